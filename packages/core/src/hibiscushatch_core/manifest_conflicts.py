"""Finds what is wrong in a manifest across fields.

It reads the JSON values leniently, so that these problems are reported
together with those of single fields; what a value should be but isn't is left
to the models. Addresses are compared as texts, since a valid IPv4 address has
one written form.
"""

import dataclasses
from collections.abc import Iterator
from typing import Any

from hibiscushatch_core.errors import FieldProblem

JsonObject = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class _Item:
    """An element of a list of the manifest.

    Attributes:
        path: Its JSON path.
        fields: Its fields; empty when it is no object.
    """

    path: str
    fields: JsonObject

    def text(self, name: str, default: str = '') -> str:
        """Read a field as text; empty when it is none."""
        found = self.fields.get(name, default)
        return found if isinstance(found, str) else ''

    def problem(self, field: str, message: str) -> FieldProblem:
        """Describe what is wrong with a field."""
        return FieldProblem(f'{self.path}.{field}', message)


def find_conflicts(manifest: object) -> Iterator[FieldProblem]:
    """Find what is wrong across fields.

    Args:
        manifest: The manifest as JSON values, valid or not.

    Yields:
        One problem each, with the JSON path of the field.
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
        yield from _find_repeated(items, 'name')
    yield from _find_repeated(upstreams, 'address')
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


def _find_repeated(
    items: tuple[_Item, ...], field: str
) -> Iterator[FieldProblem]:
    seen: dict[str, _Item] = {}
    for item in items:
        found = item.text(field)
        if not found:
            continue
        first = seen.setdefault(found, item)
        if first is not item:
            yield item.problem(field, f'{found} is also that of {first.path}')


def _find_service_overlaps(
    services: tuple[_Item, ...],
) -> Iterator[FieldProblem]:
    seen: dict[tuple[str, int, str], _Item] = {}
    for service in services:
        port = service.fields.get('port')
        protocol = service.text('protocol', 'tcp')
        address = service.text('address')
        if not address or not isinstance(port, int):
            continue
        key = (address, port, protocol)
        first = seen.setdefault(key, service)
        if first is not service:
            yield service.problem(
                'address',
                f'{address}:{port}/{protocol} is also that of {first.path}',
            )


def _find_upstream_problems(
    domains: tuple[_Item, ...],
    services: tuple[_Item, ...],
    upstreams: tuple[_Item, ...],
) -> Iterator[FieldProblem]:
    declared = {domain.text('name') for domain in domains}
    callers_see = {service.text('address') for service in services} - {''}
    for upstream in upstreams:
        address = upstream.text('address')
        domain = upstream.text('domain')
        if address in callers_see:
            yield upstream.problem(
                'address', f'{address} is the address of a service'
            )
        if domain and domain not in declared:
            yield upstream.problem('domain', f'{domain} is not declared')
        if _is_more(upstream, 'cold_allowance', 'connections'):
            yield upstream.problem('cold_allowance', 'is more than connections')


def _is_more(item: _Item, field: str, other_field: str) -> bool:
    number = item.fields.get(field)
    limit = item.fields.get(other_field)
    if not isinstance(number, int) or not isinstance(limit, int):
        return False
    return number > limit
