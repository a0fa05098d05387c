"""The manifest as operators' build pipelines write it: validated at the border.

Checks that one field alone can't show (overlaps, unknown domains, sizes) are
in ``find_conflicts`` so that all of them are reported in one pass.
"""

import collections
import ipaddress
from collections.abc import Iterator
from typing import Annotated, Literal, Self

import pydantic

from hibiscushatch_core.documents import StrictModel

Name = Annotated[
    str, pydantic.Field(pattern='^[a-z0-9][a-z0-9.-]*$', max_length=63)
]
Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=86400)]

BUCKETS_DEFAULT = 256
TUNNEL_PORT_DEFAULT = 6635


class FailureDomainDocument(StrictModel):
    """A failure domain and whether operators want it to serve."""

    name: Name
    state: Literal['in', 'out'] = 'in'
    region: Name = 'main'


class UpstreamDocument(StrictModel):
    """One server of a service and the load that it bears.

    ``connections`` and ``cold_allowance`` count open flows, ``warm_up_s`` is
    the time from its first flow until it bears the full number.
    """

    name: Name
    domain: Name
    address: ipaddress.IPv4Address
    tunnel_port: Port = TUNNEL_PORT_DEFAULT
    slots: Annotated[int, pydantic.Field(ge=1, le=65535)] = 1
    connections: Annotated[int, pydantic.Field(ge=1, le=1000000)]
    cold_allowance: Annotated[int, pydantic.Field(ge=1, le=1000000)]
    warm_up_s: Seconds = 30.0
    state: Literal['active', 'draining'] = 'active'


class ServiceDocument(StrictModel):
    """A service: the address callers use and the upstreams behind it."""

    name: Name
    address: ipaddress.IPv4Address
    port: Port
    protocol: Literal['tcp', 'udp'] = 'tcp'
    connect_deadline_s: Seconds = 5.0
    connect_retry_s: Seconds = 1.0
    idle_timeout_s: Seconds = 300.0
    silent_timeout_s: Seconds = 30.0
    buckets: Annotated[int, pydantic.Field(ge=16, le=4096)] = BUCKETS_DEFAULT
    upstreams: Annotated[list[UpstreamDocument], pydantic.Field(min_length=1)]


class ManifestDocument(StrictModel):
    """The whole configuration that operators commit."""

    generation: Annotated[int, pydantic.Field(ge=1)]
    failure_domains: Annotated[
        list[FailureDomainDocument], pydantic.Field(min_length=1)
    ]
    services: Annotated[list[ServiceDocument], pydantic.Field(min_length=1)]

    @pydantic.model_validator(mode='after')
    def _check_conflicts(self) -> Self:
        conflicts = tuple(find_conflicts(self))
        if conflicts:
            raise ValueError('; '.join(conflicts))
        return self


def find_conflicts(manifest: ManifestDocument) -> Iterator[str]:
    """Find what is wrong across fields.

    Args:
        manifest: A document whose single fields are valid.

    Yields:
        One sentence a problem, each led by the JSON path of the field.
    """
    yield from _find_repeated_names(manifest)
    yield from _find_service_overlaps(manifest)
    yield from _find_upstream_problems(manifest)


def _find_repeated_names(manifest: ManifestDocument) -> Iterator[str]:
    domains = (domain.name for domain in manifest.failure_domains)
    services = (service.name for service in manifest.services)
    for field, names in (('failure_domains', domains), ('services', services)):
        for name, count in collections.Counter(names).items():
            if count > 1:
                yield f'{field}: the name {name} appears {count} times'


def _find_service_overlaps(manifest: ManifestDocument) -> Iterator[str]:
    seen: dict[tuple[str, int, str], str] = {}
    for index, service in enumerate(manifest.services):
        key = (str(service.address), service.port, service.protocol)
        if key in seen:
            yield (
                f'services[{index}].address: {service.address}:{service.port}'
                f'/{service.protocol} is also that of {seen[key]}'
            )
        seen.setdefault(key, service.name)


def _find_upstream_problems(manifest: ManifestDocument) -> Iterator[str]:
    domains = {domain.name for domain in manifest.failure_domains}
    service_addresses = {service.address for service in manifest.services}
    names: dict[str, str] = {}
    addresses: dict[ipaddress.IPv4Address, str] = {}
    for service_index, service in enumerate(manifest.services):
        for index, upstream in enumerate(service.upstreams):
            path = f'services[{service_index}].upstreams[{index}]'
            if upstream.name in names:
                yield (
                    f'{path}.name: {upstream.name} is also an upstream of '
                    f'{names[upstream.name]}'
                )
            if upstream.address in addresses:
                yield (
                    f'{path}.address: {upstream.address} is also that of '
                    f'{addresses[upstream.address]}'
                )
            if upstream.address in service_addresses:
                yield f'{path}.address: {upstream.address} is a service address'
            if upstream.domain not in domains:
                yield f'{path}.domain: {upstream.domain} is not declared'
            if upstream.cold_allowance > upstream.connections:
                yield f'{path}.cold_allowance: is more than connections'
            names.setdefault(upstream.name, service.name)
            addresses.setdefault(upstream.address, upstream.name)
