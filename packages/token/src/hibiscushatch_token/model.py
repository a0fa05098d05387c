"""Routes and upstreams, in the form in which the entry VM's code uses them.

The types are msgspec structs, since each standard dataclass adds half a
millisecond of a core to the start of the process.
"""

import msgspec

# IPv4 address in network byte order, and port.
Endpoint = tuple[bytes, int]


class EntryVersion(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identifies a statement of an upstream; a later one compares greater.

    Attributes:
        incarnation: Start of the upstream's process as Unix time in
            milliseconds; 0 if its entry does not state it.
        sequence: Number of the statement within the incarnation; 0 if its
            entry does not state it.
    """

    incarnation: int
    sequence: int


class Upstream(msgspec.Struct, frozen=True):
    """An upstream as it is registered in the platform's store.

    Attributes:
        name: Its key in the registry.
        identity: Prefix of each datagram that is sent to it, so that no other
            process accepts the datagram.
        token: Identifies it in the packets of its flows; never 0.
        service: The service that it belongs to.
        address: IPv4 address and port at which it receives datagrams.
        domain: Its failure domain.
        slots: How many requests it works on at the same time.
        is_draining: Whether it keeps its flows but must get no new ones.
        cold_s: How much longer it was going to be cold when its entry was
            written.
        version: Incarnation of its process and number of its entry.
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
    version: EntryVersion

    @property
    def incarnation(self) -> int:
        """Start of its process as Unix time in ms; 0 if it is not stated."""
        return self.version.incarnation


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its share of the new flows of a route."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where the flows of an endpoint go, and how urgent they are.

    Attributes:
        services: The services among which its new flows are divided.
        priority: Rank in an overload, when not all flows can be served; 0 is
            the most urgent.
        aim_s: Latency target: the time within which its requests should be
            answered; 0 if none is stated.
        timeout_s: Time after which its callers give up; 0 if none is stated.
    """

    services: tuple[WeightedService, ...]
    priority: int = 0
    aim_s: float = 0
    timeout_s: float = 0

    def names(self, service: str) -> bool:
        """Return whether the route gives a service new flows."""
        return any(
            weighted.service == service and weighted.weight > 0
            for weighted in self.services
        )


class ServicePolicy(msgspec.Struct, frozen=True):
    """Limits that the configuration states for a service's upstreams.

    Attributes:
        cold_flows_per_s: New flows a second that a cold upstream can take
            from all entry VMs together; 0 if no limit is stated.
        connections: Flows that one upstream can hold.
    """

    cold_flows_per_s: float
    connections: int


class RoutingConfig(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes:
        version: Increases with each change.
        routes: Routes by the endpoint to which callers send.
        services: Policies by service name.
    """

    version: int
    routes: dict[Endpoint, Route]
    services: dict[str, ServicePolicy]


EMPTY_CONFIG = RoutingConfig(version=0, routes={}, services={})
