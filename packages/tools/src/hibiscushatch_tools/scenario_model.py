"""Model of a scenario: its deployment, load, events and promises."""

import dataclasses
import enum
import operator

from hibiscushatch_core.settings import TimingSettings
from hibiscushatch_tools.memory_network import NetworkSettings
from hibiscushatch_tools.scenario_events import Event


@dataclasses.dataclass(frozen=True, slots=True)
class DomainSpec:
    """A failure domain and its number of entry VMs."""

    name: str
    entry_vms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """Capacity and timing of each upstream of a service.

    Attributes:
        slots: Requests that it works on at the same time.
        connections: Maximum number of open flows.
        cold_allowance: Maximum number of open flows while it is cold.
        warm_up_s: Time from its first flow until it is warm.
        work_s: Mean time that one request takes.
    """

    slots: int
    connections: int
    cold_allowance: int
    warm_up_s: float
    work_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service, whose upstreams are assigned to the domains in rotation.

    Attributes:
        name: Its name; upstreams are named ``<service>-<number>``.
        address: Its IPv4 address in dotted notation.
        port: Its port.
        protocol: ``tcp`` or ``udp``.
        buckets: Number of buckets.
        upstreams: Number of upstreams at the start.
        upstream: Capacity and timing of each upstream.
        connect_deadline_s: Longest time to connect.
        idle_timeout_s: Time without packets after which a flow is given up.
        silent_timeout_s: Time without packets from one side after which a flow
            is reset.
    """

    name: str
    address: str
    port: int
    protocol: str
    buckets: int
    upstreams: int
    upstream: UpstreamSpec
    connect_deadline_s: float = 5.0
    idle_timeout_s: float = 300.0
    silent_timeout_s: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSpec:
    """New flows at a constant rate for a period of time.

    Attributes:
        service: Name of the service that is called.
        new_flows_per_s: New flows per second.
        from_s: Time at which the first flow is opened.
        until_s: Time at which the last flow is opened.
        flow_length_s: Duration of each flow.
        request_interval_s: Time between the requests of a flow.
        request_segments: Payload segments of a request.
        answer_segments: Payload segments of an answer.
    """

    service: str
    new_flows_per_s: float
    from_s: float
    until_s: float
    flow_length_s: float
    request_interval_s: float
    request_segments: int = 2
    answer_segments: int = 3


class Comparison(enum.StrEnum):
    """How a figure is compared with its bound."""

    AT_MOST = '<='
    AT_LEAST = '>='

    def holds(self, figure: float, bound: float) -> bool:
        """Return whether a figure keeps to a bound."""
        if self is Comparison.AT_MOST:
            return operator.le(figure, bound)
        return operator.ge(figure, bound)


@dataclasses.dataclass(frozen=True, slots=True)
class Promise:
    """A bound on one figure of the outcome.

    Attributes:
        figure: Name of a numeric field of the outcome.
        comparison: How the figure is compared with the bound.
        bound: The bound.
        line: Line of the promise in its file.
    """

    figure: str
    comparison: Comparison
    bound: float
    line: int

    def __str__(self) -> str:
        return f'{self.figure} {self.comparison} {self.bound:g}'


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A deployment, what happens to it and what must hold.

    Attributes:
        name: A short description.
        path: The file that it was read from.
        seed: Seed of all random choices.
        duration_s: Duration of the run.
        measure_from_s: Start of the period in which imbalance is measured.
        measure_until_s: End of that period.
        settle_s: Time allowed after a commit that takes a domain out or drains
            an upstream; only later packets to the domain and later new
            flows at the upstream count against the promises.
        fabric_lag_s: Time between refreshes of the fabric's list.
        domains: Failure domains.
        services: Services.
        network: Delays and packet loss.
        timing: Timing settings of the entry VMs.
        loads: Flows that callers open.
        events: Events in order of time.
        promises: Bounds on the figures of the outcome.
    """

    name: str
    path: str
    seed: int
    duration_s: float
    measure_from_s: float
    measure_until_s: float
    settle_s: float
    fabric_lag_s: float
    domains: tuple[DomainSpec, ...]
    services: tuple[ServiceSpec, ...]
    network: NetworkSettings
    timing: TimingSettings
    loads: tuple[LoadSpec, ...]
    events: tuple[Event, ...]
    promises: tuple[Promise, ...]

    @property
    def vm_names(self) -> tuple[str, ...]:
        """Names of all entry VMs, as ``<domain>-vm-<number>``."""
        return tuple(
            f'{domain.name}-vm-{number}'
            for domain in self.domains
            for number in range(1, domain.entry_vms + 1)
        )
