"""Compares two manifests.

Upstreams are matched by name, which is unique in a manifest. So an upstream
that moves to another service is reported as changed. Addresses that move from
one service to another are also listed separately: entry VMs quarantine them
until no packet of the old service can be in flight.
"""

import dataclasses
import enum
from collections.abc import Iterator, Mapping

from hibiscushatch_core.manifest_document import (
    ManifestDocument,
    ServiceDocument,
    UpstreamDocument,
)

Fields = Mapping[str, object]


class ItemKind(enum.StrEnum):
    """Kind of an item in a manifest."""

    FAILURE_DOMAIN = 'failure domain'
    SERVICE = 'service'
    UPSTREAM = 'upstream'


class ChangeKind(enum.StrEnum):
    """What happened to an item."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@dataclasses.dataclass(frozen=True, slots=True)
class FieldChange:
    """A field with different values in the two manifests."""

    field: str
    before: object
    after: object


@dataclasses.dataclass(frozen=True, slots=True)
class ItemChange:
    """An item that differs; only a changed item has ``fields``."""

    item: ItemKind
    name: str
    change: ChangeKind
    fields: tuple[FieldChange, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class MovedAddress:
    """An address that moves from one service to another."""

    address: str
    from_service: str
    to_service: str


@dataclasses.dataclass(frozen=True, slots=True)
class ManifestDiff:
    """All differences between two manifests.

    Attributes:
        generation_before: Generation of the first manifest.
        generation_after: Generation of the second manifest.
        changes: Items that differ, ordered by kind and then by name.
        moved_addresses: Addresses that will be quarantined for a while.
    """

    generation_before: int
    generation_after: int
    changes: tuple[ItemChange, ...]
    moved_addresses: tuple[MovedAddress, ...]

    @property
    def has_higher_generation(self) -> bool:
        """Whether the second manifest may be committed after the first."""
        return self.generation_after > self.generation_before


def diff_manifests(
    before: ManifestDocument, after: ManifestDocument
) -> ManifestDiff:
    """Compare two manifests.

    Args:
        before: The manifest in force.
        after: The manifest that is to replace it.

    Returns:
        Their differences.
    """
    old_items = _items_by_kind(before)
    new_items = _items_by_kind(after)
    changes = (
        change
        for kind in ItemKind
        for change in _diff_items(kind, old_items[kind], new_items[kind])
    )
    return ManifestDiff(
        generation_before=before.generation,
        generation_after=after.generation,
        changes=tuple(changes),
        moved_addresses=tuple(_find_moved_addresses(before, after)),
    )


def _items_by_kind(
    manifest: ManifestDocument,
) -> dict[ItemKind, dict[str, Fields]]:
    return {
        ItemKind.FAILURE_DOMAIN: {
            domain.name: domain.model_dump(mode='json')
            for domain in manifest.failure_domains
        },
        ItemKind.SERVICE: {
            service.name: service.model_dump(mode='json', exclude={'upstreams'})
            for service in manifest.services
        },
        ItemKind.UPSTREAM: {
            upstream.name: _upstream_fields(service, upstream)
            for service in manifest.services
            for upstream in service.upstreams
        },
    }


def _upstream_fields(
    service: ServiceDocument, upstream: UpstreamDocument
) -> Fields:
    return {'service': service.name, **upstream.model_dump(mode='json')}


def _diff_items(
    kind: ItemKind, before: dict[str, Fields], after: dict[str, Fields]
) -> Iterator[ItemChange]:
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            yield ItemChange(kind, name, ChangeKind.ADDED)
        elif name not in after:
            yield ItemChange(kind, name, ChangeKind.REMOVED)
        else:
            fields = tuple(_diff_fields(before[name], after[name]))
            if fields:
                yield ItemChange(kind, name, ChangeKind.CHANGED, fields)


def _diff_fields(before: Fields, after: Fields) -> Iterator[FieldChange]:
    for field, old in before.items():
        if old != after[field]:
            yield FieldChange(field, old, after[field])


def _find_moved_addresses(
    before: ManifestDocument, after: ManifestDocument
) -> Iterator[MovedAddress]:
    old_services = _services_by_address(before)
    for address, service in _services_by_address(after).items():
        old_service = old_services.get(address, service)
        if old_service != service:
            yield MovedAddress(address, old_service, service)


def _services_by_address(manifest: ManifestDocument) -> dict[str, str]:
    addresses: dict[str, str] = {}
    for service in manifest.services:
        service_address = f'{service.address}:{service.port}/{service.protocol}'
        addresses[service_address] = service.name
        for upstream in service.upstreams:
            addresses[str(upstream.address)] = service.name
    return addresses
