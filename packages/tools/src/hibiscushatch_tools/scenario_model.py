"""What a scenario says: a deployment, its load, its events, its promises."""

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
    """What each upstream of a service bears."""

    slots: int
    connections: int
    cold_allowance: int
    warm_up_s: float
    work_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service; its upstreams are spread over the domains in turn.

    Attributes:
        name: Its name; its upstreams are called after it.
        address: Its IPv4 address, dotted.
        port: Its port.
        protocol: ``tcp`` or ``udp``.
        buckets: Number of its buckets.
        upstreams: Number of its upstreams at the start.
        upstream: What each upstream bears.
        connect_deadline_s: Longest time to connect.
        idle_timeout_s: Silence after which a flow is given up.
        silent_timeout_s: Silence of one side after which a flow is reset.
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
    """New flows at a steady rate for a while.

    Attributes:
        service: The service that is called.
        new_per_s: New flows a second.
        from_s: When the first is opened.
        until_s: When the last is opened.
        length_s: How long each lasts.
        every_s: Time between the requests of a flow.
        request_segments: Payload segments of a request.
        answer_segments: Payload segments of an answer.
    """

    service: str
    new_per_s: float
    from_s: float
    until_s: float
    length_s: float
    every_s: float
    request_segments: int = 2
    answer_segments: int = 3


class Comparison(enum.StrEnum):
    """How a figure is compared with its bound."""

    AT_MOST = '<='
    AT_LEAST = '>='

    def holds(self, figure: float, bound: float) -> bool:
        """Compare a figure with a bound."""
        if self is Comparison.AT_MOST:
            return operator.le(figure, bound)
        return operator.ge(figure, bound)


@dataclasses.dataclass(frozen=True, slots=True)
class Promise:
    """An assertion on one figure of the outcome.

    Attributes:
        figure: Name of a numeric field of the outcome.
        comparison: How it is compared.
        bound: With what.
        line: Line of the file that says so.
    """

    figure: str
    comparison: Comparison
    bound: float
    line: int

    def __str__(self) -> str:
        return f'{self.figure} {self.comparison} {self.bound:g}'


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A whole scenario.

    Attributes:
        name: A short description.
        path: The file it came from.
        seed: Of all randomness.
        duration_s: Length of the run.
        measure_from_s: Start of the time that imbalance is measured over.
        measure_until_s: End of that time.
        settle_s: Time after a commit from which a domain that is out gets
            no packet and a drained upstream no new flow.
        fabric_lag_s: Time between refreshes of the fabric's list.
        domains: Failure domains.
        services: Services.
        network: Delays and loss.
        timing: Settings of the entry VMs.
        loads: What callers do.
        events: What happens, in order of time.
        promises: What must hold.
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
