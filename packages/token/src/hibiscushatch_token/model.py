"""What an entry VM knows of routes and upstreams, as the decisions see it.

The types are msgspec structs, as each data class of the standard library adds
half a millisecond of a core to the start of the process.
"""

import msgspec

# An IPv4 address in network byte order and a port.
Endpoint = tuple[bytes, int]


class Upstream(msgspec.Struct, frozen=True):
    """An upstream as it is registered in the platform's store.

    Attributes:
        name: Its key in the registry.
        identity: Leads each datagram, so that no other process takes it.
        token: Names it in the packets of its flows; never 0.
        service: The service that it belongs to.
        address: Where it takes datagrams.
        domain: Its failure domain.
        slots: How many requests it works on at a time.
        is_draining: It keeps its flows and must get no new ones.
        cold_s: For how long it stayed cold when the entry was written.
        incarnation: Start of its process, Unix time in milliseconds; 0 when
            it did not say.
    """

    name: str
    identity: bytes
    token: int
    service: str
    address: tuple[str, int]
    domain: str
    slots: int
    is_draining: bool
    cold_s: float
    incarnation: int


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its part of the new flows of a route."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """What an endpoint serves.

    Attributes:
        services: The services that share its new flows.
        priority: Which flows come first when not all can; 0 is first.
        aim_s: Within what time its requests should be answered; 0 when that
            is not stated.
        timeout_s: When its callers give up; 0 when that is not stated.
    """

    services: tuple[WeightedService, ...]
    priority: int = 0
    aim_s: float = 0
    timeout_s: float = 0


class ServicePolicy(msgspec.Struct, frozen=True):
    """What the configuration says of a service.

    Attributes:
        cold_flows_per_s: New flows a second that a cold upstream bears; 0
            when no allowance is stated.
        connections: Flows that one upstream holds.
    """

    cold_flows_per_s: float
    connections: int


class RoutingConfig(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes:
        version: Rises with each change.
        routes: Routes by the endpoint that callers use.
        services: Policies by name of the service.
    """

    version: int
    routes: dict[Endpoint, Route]
    services: dict[str, ServicePolicy]


NO_CONFIG = RoutingConfig(version=0, routes={}, services={})
