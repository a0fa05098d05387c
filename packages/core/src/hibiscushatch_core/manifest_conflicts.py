"""Finds contradictions between fields of a manifest.

It accepts any JSON values and ignores invalid ones, which the models report,
so that contradictions and invalid fields are reported together. Addresses are
compared as text, since a valid IPv4 address has only one textual form.
"""

import dataclasses
from collections.abc import Iterator
from typing import Any

from hibiscushatch_core.errors import FieldProblem

JsonObject = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class _Item:
    """An element of a list in the manifest.

    Attributes:
        path: Its JSON path.
        fields: Its fields; empty if it is not a JSON object.
    """

    path: str
    fields: JsonObject

    def get_text(self, name: str, default: str = '') -> str:
        """Return the value of a field; empty if it is not a string."""
        value = self.fields.get(name, default)
        return value if isinstance(value, str) else ''

    def build_problem(self, field: str, message: str) -> FieldProblem:
        """Build the description of a problem with a field."""
        return FieldProblem(f'{self.path}.{field}', message)


def find_conflicts(manifest: object) -> Iterator[FieldProblem]:
    """Find contradictions between fields.

    Args:
        manifest: The manifest as JSON values, valid or not.

    Yields:
        The problems, each with the JSON path of a field.
    """
    root = manifest if isinstance(manifest, dict) else {}
    domains = tuple(_items(root, 'failure_domains'))
    services = tuple(_items(root, 'services'))
    upstreams = tuple(
        upstream
        for service in services
        for upstream in _items(service.fields, 'upstreams', service.path)
    )
    for items in (domains, services, upstreams):
        yield from _find_duplicates(items, 'name')
    yield from _find_duplicates(upstreams, 'address')
    yield from _find_service_overlaps(services)
    yield from _find_upstream_problems(domains, services, upstreams)


def _items(fields: JsonObject, name: str, parent: str = '') -> Iterator[_Item]:
    elements = fields.get(name)
    if not isinstance(elements, list):
        return
    path = f'{parent}.{name}' if parent else name
    for index, element in enumerate(elements):
        element_fields = element if isinstance(element, dict) else {}
        yield _Item(f'{path}[{index}]', element_fields)


def _find_duplicates(
    items: tuple[_Item, ...], field: str
) -> Iterator[FieldProblem]:
    first_items: dict[str, _Item] = {}
    for item in items:
        value = item.get_text(field)
        if not value:
            continue
        first = first_items.setdefault(value, item)
        if first is not item:
            yield item.build_problem(
                field, f'{value} is already used by {first.path}'
            )


def _find_service_overlaps(
    services: tuple[_Item, ...],
) -> Iterator[FieldProblem]:
    first_items: dict[tuple[str, int, str], _Item] = {}
    for service in services:
        port = service.fields.get('port')
        protocol = service.get_text('protocol', 'tcp')
        address = service.get_text('address')
        if not address or not isinstance(port, int):
            continue
        key = (address, port, protocol)
        first = first_items.setdefault(key, service)
        if first is not service:
            yield service.build_problem(
                'address',
                f'{address}:{port}/{protocol} is already used by {first.path}',
            )


def _find_upstream_problems(
    domains: tuple[_Item, ...],
    services: tuple[_Item, ...],
    upstreams: tuple[_Item, ...],
) -> Iterator[FieldProblem]:
    declared = {domain.get_text('name') for domain in domains}
    service_addresses = {
        service.get_text('address') for service in services
    } - {''}
    for upstream in upstreams:
        address = upstream.get_text('address')
        domain = upstream.get_text('domain')
        if address in service_addresses:
            yield upstream.build_problem(
                'address', f'{address} is the address of a service'
            )
        if domain and domain not in declared:
            yield upstream.build_problem('domain', f'{domain} is not declared')
        if _exceeds(upstream, 'cold_allowance', 'connections'):
            yield upstream.build_problem(
                'cold_allowance', 'is more than connections'
            )


def _exceeds(item: _Item, field: str, limit_field: str) -> bool:
    value = item.fields.get(field)
    limit = item.fields.get(limit_field)
    if not isinstance(value, int) or not isinstance(limit, int):
        return False
    return value > limit
