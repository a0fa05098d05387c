"""The manifest as the process uses it: frozen data classes with fast look-up.

It is built from a validated ManifestDocument. Addresses of services are
integers because the packet path compares them with packet headers.
"""

import dataclasses
import functools
import ipaddress

from hibiscushatch_core.manifest_document import (
    ManifestDocument,
    ServiceDocument,
    UpstreamDocument,
)

PROTOCOL_NUMBERS = {'tcp': 6, 'udp': 17}


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """A server that handles flows of one service.

    Attributes:
        name: Unique in the manifest.
        service: Name of the service it belongs to.
        domain: Name of its failure domain.
        address: IPv4 address of its tunnel endpoint, in dotted form.
        tunnel_port: UDP port of its tunnel endpoint.
        slots: Units of work that it processes at the same time.
        connections: Open flows that it can handle when warm.
        cold_allowance: Open flows that it can handle while cold.
        warm_up_s: Seconds from its first flow until it is warm.
        draining: Whether it must not get new flows.
    """

    name: str
    service: str
    domain: str
    address: str
    tunnel_port: int
    slots: int
    connections: int
    cold_allowance: int
    warm_up_s: float
    draining: bool

    @property
    def tunnel_address(self) -> tuple[str, int]:
        """Address and UDP port that datagrams for it are sent to."""
        return (self.address, self.tunnel_port)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceKey:
    """The packet header fields by which a service is looked up."""

    address: int
    port: int
    protocol: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and its upstreams, in the order of the manifest."""

    name: str
    key: ServiceKey
    connect_deadline_s: float
    connect_retry_s: float
    idle_timeout_s: float
    silent_timeout_s: float
    buckets: int
    upstreams: tuple[Upstream, ...]


@dataclasses.dataclass(frozen=True)
class Manifest:
    """One generation of the configuration."""

    generation: int
    domains_in: frozenset[str]
    domains_out: frozenset[str]
    regions: tuple[tuple[str, str], ...]
    services: tuple[Service, ...]

    @functools.cached_property
    def services_by_key(self) -> dict[tuple[int, int, int], Service]:
        """Services by address, port and protocol number."""
        return {
            dataclasses.astuple(service.key): service
            for service in self.services
        }

    @functools.cached_property
    def services_by_name(self) -> dict[str, Service]:
        """Services by name."""
        return {service.name: service for service in self.services}

    @functools.cached_property
    def upstreams_by_name(self) -> dict[str, Upstream]:
        """All upstreams by name."""
        return {
            upstream.name: upstream
            for service in self.services
            for upstream in service.upstreams
        }

    def accepts_new_flows(self, upstream_name: str) -> bool:
        """Return whether the manifest allows new flows on an upstream.

        Args:
            upstream_name: Name of an upstream, which may have been removed.

        Returns:
            True if it is listed and active and the state of its failure
            domain is ``in``.
        """
        upstream = self.upstreams_by_name.get(upstream_name)
        if upstream is None or upstream.draining:
            return False
        return upstream.domain in self.domains_in


def build_manifest(document: ManifestDocument) -> Manifest:
    """Convert a validated manifest document to the form used in the process.

    Args:
        document: The manifest document.

    Returns:
        The manifest.
    """
    domains = document.failure_domains
    return Manifest(
        generation=document.generation,
        domains_in=frozenset(
            item.name for item in domains if item.state == 'in'
        ),
        domains_out=frozenset(
            item.name for item in domains if item.state == 'out'
        ),
        regions=tuple((item.name, item.region) for item in domains),
        services=tuple(_build_service(item) for item in document.services),
    )


def _build_service(document: ServiceDocument) -> Service:
    return Service(
        name=document.name,
        key=ServiceKey(
            address=int(document.address),
            port=document.port,
            protocol=PROTOCOL_NUMBERS[document.protocol],
        ),
        connect_deadline_s=document.connect_deadline_s,
        connect_retry_s=document.connect_retry_s,
        idle_timeout_s=document.idle_timeout_s,
        silent_timeout_s=document.silent_timeout_s,
        buckets=document.buckets,
        upstreams=tuple(
            _build_upstream(document.name, upstream)
            for upstream in document.upstreams
        ),
    )


def _build_upstream(service: str, document: UpstreamDocument) -> Upstream:
    return Upstream(
        name=document.name,
        service=service,
        domain=document.domain,
        address=str(ipaddress.IPv4Address(document.address)),
        tunnel_port=document.tunnel_port,
        slots=document.slots,
        connections=document.connections,
        cold_allowance=document.cold_allowance,
        warm_up_s=document.warm_up_s,
        draining=document.state == 'draining',
    )
