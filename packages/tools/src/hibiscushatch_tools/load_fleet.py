"""The entry VMs of a simulated load, with what they tell each other.

Each entry VM runs the decision code in virtual time. Reports of failures and
sums of loads reach the others after a delay; the messages that carry them in a
real fleet are not simulated.
"""

import functools
import random
from collections.abc import Iterator

import msgspec

from hibiscushatch_core.counters import Counters
from hibiscushatch_token.caller_socket import limit_waits
from hibiscushatch_token.environment import Environment
from hibiscushatch_token.knowledge import peer_messages
from hibiscushatch_token.knowledge.failure_reporter import FailureReporter
from hibiscushatch_token.knowledge.fleet_load import LoadRows, LoadSum
from hibiscushatch_token.model import (
    Endpoint,
    EntryVersion,
    Route,
    RoutingConfig,
    ServicePolicy,
    Upstream,
    WeightedService,
)
from hibiscushatch_token.ports import Position
from hibiscushatch_token.settings import TokenNodeSettings
from hibiscushatch_token.traffic.packet_path import PacketPath
from hibiscushatch_tools import plain_codec
from hibiscushatch_tools.load_events import EventScheduler
from hibiscushatch_tools.load_model import Fault, Load

SERVICE = 'service'
PUBLISHER = '127.0.0.1:3'
PEER_DELAY_S = 0.002
UPSTREAM_CONNECTIONS = 2000
_NO_NAME = ''
# The store has one state during a load.
_POSITION = Position(0, 1)
_NO_LOAD = LoadSum()


class SentPacket(msgspec.Struct):
    """A packet that an entry VM has sent.

    Attributes:
        flow: Number of its flow.
        flags: Flags of plain_codec.
        upstream: Name of the upstream that gets it; empty for a reset.
    """

    flow: int
    flags: int
    upstream: str

    @property
    def is_reset(self) -> bool:
        """Whether the packet resets a flow."""
        return not self.upstream


class SimulatedEntryVm:
    """The decision code of one entry VM and the packets that it sends.

    Args:
        settings: Settings of the entry VM.
        scheduler: Provides the clock.
        vm_count: Number of entry VMs in the fleet.
        seed: Seed of the random choices of the entry VM.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        scheduler: EventScheduler,
        vm_count: int,
        seed: int,
    ) -> None:
        self.domain = settings.domain
        self.is_on = True
        self._clock = scheduler.clock
        # Packets that wait for a frozen entry VM; None while it runs.
        self._waiting: list[bytes] | None = None
        self._frozen_at = 0.0
        self.counters = Counters()
        self._sent: list[SentPacket] = []
        environment = Environment(
            plain_codec.PlainCodec(),
            self.counters,
            scheduler.clock,
            random.Random(seed),  # noqa: S311
        )
        self.path = PacketPath(
            settings, environment, self._send, lambda: vm_count
        )

    @property
    def is_running(self) -> bool:
        """Whether it is on and not frozen."""
        return self.is_on and self._waiting is None

    def freeze(self) -> None:
        """Let packets wait from now on."""
        self._waiting = []
        self._frozen_at = self._clock()

    def thaw(self) -> list[SentPacket]:
        """Handle what has waited; return the packets that are sent."""
        waited_max_s = self._clock() - self._frozen_at
        waiting = [(datagram, None) for datagram in self._waiting or []]
        self._waiting = None
        self.path.backlog.handle(limit_waits(waiting, waited_max_s))
        return self.take_sent()

    def handle(self, datagram: bytes) -> list[SentPacket]:
        """Handle a packet and return the packets that are sent in response."""
        if self._waiting is not None:
            self._waiting.append(datagram)
            return []
        self.path.forwarder.handle(datagram, _NO_NAME)
        return self.take_sent()

    def take_sent(self) -> list[SentPacket]:
        """Return the packets that were sent since the last call."""
        sent = self._sent
        self._sent = []
        return sent

    def _send(self, datagram: bytes, target: tuple[str, int]) -> None:
        upstream = _NO_NAME if target == plain_codec.CALLER else target[0]
        flow, flags = plain_codec.read_flow(datagram)
        self._sent.append(SentPacket(flow, flags, upstream))


class SimulatedFleet:
    """The entry VMs and the failure reports between them.

    Args:
        load: The load.
        settings: Settings that all entry VMs share.
        scheduler: Delivers the reports.
        seed: Seed of the random choices of the entry VMs.
    """

    def __init__(
        self,
        load: Load,
        settings: TokenNodeSettings,
        scheduler: EventScheduler,
        seed: int,
    ) -> None:
        self._load = load
        self._settings = settings
        self._scheduler = scheduler
        self._seed = seed
        self._config = _build_config(load)
        self._upstreams = tuple(build_upstreams(load))
        self._reporters: list[FailureReporter] = []
        self.vms: list[SimulatedEntryVm] = []
        self._vms_by_domain: dict[str, list[SimulatedEntryVm]] = {}
        self.start()

    def start(self) -> None:
        """Start all entry VMs with no state of earlier ones."""
        domains = [
            domain.name
            for domain in self._load.domains
            for _ in range(domain.entry_vms)
        ]
        self.vms = []
        self._reporters = []
        self._vms_by_domain = {name: [] for name in domains}
        upstreams = list(self._listed_upstreams())
        for index, domain in enumerate(domains):
            settings = msgspec.structs.replace(
                self._settings,
                domain=domain,
                control=f'127.0.0.1:{index + 3}',
                publishers=[PUBLISHER],
            )
            vm = SimulatedEntryVm(
                settings, self._scheduler, len(domains), self._seed + index
            )
            vm.path.known.routing.apply_config(self._config, _POSITION)
            _list_upstreams(vm, upstreams)
            self.vms.append(vm)
            self._vms_by_domain[domain].append(vm)
            self._reporters.append(
                self._build_reporter(vm, settings, index == 0)
            )

    def stop(self) -> None:
        """Turn all entry VMs off."""
        for vm in self.vms:
            vm.is_on = False

    def start_frozen(self) -> None:
        """Start all entry VMs; packets wait until they are thawed."""
        self.start()
        self.freeze(1)

    def freeze(self, share: float) -> None:
        """Freeze a share of the entry VMs, taken evenly."""
        for index, vm in enumerate(self.vms):
            if int((index + 1) * share) > int(index * share):
                vm.freeze()

    def thaw(self) -> Iterator[SentPacket]:
        """Let frozen entry VMs go on; yield the packets that they send."""
        for vm in self.vms:
            if not vm.is_running:
                yield from vm.thaw()

    def vms_of(self, domain: str) -> list[SimulatedEntryVm]:
        """Return the entry VMs of a failure domain."""
        return self._vms_by_domain[domain]

    def add_cold_upstreams(self) -> None:
        """List the upstreams that have been added by now."""
        upstreams = list(self._listed_upstreams())
        for vm in self.vms:
            _list_upstreams(vm, upstreams)

    def poll(self) -> None:
        """Let all entry VMs check for unanswered packets and requests."""
        for vm, reporter in zip(self.vms, self._reporters, strict=True):
            if vm.is_running:
                vm.path.opener.retry_unanswered()
                vm.path.opener.place_late_flows()
                vm.path.request_watch.record_overdue()
                reporter.record_failures(vm.path.request_watch.take_failures())

    def _listed_upstreams(self) -> Iterator[Upstream]:
        now = self._scheduler.now
        faults = [one for one in self._load.faults if one.kind == 'cold']
        for index, upstream in enumerate(self._upstreams):
            fault = _fault_of(index, faults)
            if fault is None:
                yield upstream
            elif now >= fault.from_s:
                yield msgspec.structs.replace(
                    upstream, cold_s=max(0, fault.until_s - now)
                )

    def _build_reporter(
        self,
        vm: SimulatedEntryVm,
        settings: TokenNodeSettings,
        is_publisher: bool,
    ) -> FailureReporter:
        return FailureReporter(
            settings,
            vm.path.outliers,
            self._scheduler.clock,
            self._send_report,
            lambda: [] if is_publisher else [PUBLISHER],
            self._announce_ejections if is_publisher else _announce_nothing,
        )

    def _send_report(self, datagram: bytes, _address: tuple[str, int]) -> None:
        report = peer_messages.decode_datagram(datagram, PUBLISHER)
        publisher = self._reporters[0]
        self._scheduler.call_later(
            PEER_DELAY_S, functools.partial(publisher.on_report, report)
        )

    def _announce_ejections(self) -> None:
        publisher = self.vms[0].path
        ejections = list(publisher.outliers.active_ejections())
        for vm in self.vms[1:]:
            self._scheduler.call_later(
                PEER_DELAY_S, functools.partial(_adopt_ejections, vm, ejections)
            )


class SimulatedExchange:
    """Gives each entry VM the sums of the loads of all, some time later.

    Args:
        load: States the interval, the delay and the share that is covered.
        fleet: The entry VMs.
        scheduler: Delivers the sums.
    """

    def __init__(
        self, load: Load, fleet: SimulatedFleet, scheduler: EventScheduler
    ) -> None:
        self._exchange = load.exchange
        self._fleet = fleet
        self._scheduler = scheduler

    def start(self) -> None:
        """Begin to sum loads, if they are exchanged at all."""
        if self._exchange.is_on:
            self._scheduler.call_repeatedly(
                self._exchange.interval_s, self._sum_loads
            )

    def _sum_loads(self) -> None:
        if self._scheduler.now > self._exchange.until_s:
            return
        covered = [vm for vm in self._covered_vms() if vm.is_running]
        rows: LoadRows = {}
        for vm in covered:
            for key, load in vm.path.local_load.rows().items():
                rows[key] = rows.get(key, _NO_LOAD).plus(load)
        self._scheduler.call_later(
            self._exchange.delay_s,
            functools.partial(self._deliver, rows, len(covered)),
        )

    def _deliver(self, rows: LoadRows, covered: int) -> None:
        for vm in self._fleet.vms:
            if vm.is_running:
                vm.path.fleet_load.update(
                    rows.items(), covered, self._exchange.delay_s
                )

    def _covered_vms(self) -> Iterator[SimulatedEntryVm]:
        """Yield the covered entry VMs, an equal share of each domain."""
        share = self._exchange.covered
        for index, vm in enumerate(self._fleet.vms):
            if int((index + 1) * share) > int(index * share):
                yield vm


def build_upstreams(load: Load) -> Iterator[Upstream]:
    """Yield the upstreams of a load, taking one from each domain in turn."""
    upstreams_max = max(domain.upstreams for domain in load.domains)
    positions = (
        (domain, index)
        for index in range(upstreams_max)
        for domain in load.domains
        if index < domain.upstreams
    )
    for token, (domain, index) in enumerate(positions, start=1):
        name = f'{domain.name}-{index}'
        yield Upstream(
            name,
            token.to_bytes(8, 'big'),
            token,
            SERVICE,
            (name, 1),
            domain.name,
            load.slots,
            is_draining=False,
            cold_s=0,
            version=EntryVersion(1, 0),
        )


def _list_upstreams(vm: SimulatedEntryVm, upstreams: list[Upstream]) -> None:
    registry = vm.path.known.registry
    for upstream in upstreams:
        if registry.find(upstream.name) is None:
            registry.apply(upstream.name, upstream, _POSITION)


def _fault_of(index: int, faults: list[Fault]) -> Fault | None:
    for fault in faults:
        if index < fault.upstreams:
            return fault
    return None


def _build_config(load: Load) -> RoutingConfig:
    routes: dict[Endpoint, Route] = {}
    for index, kind in enumerate(load.kinds):
        endpoint = (
            plain_codec.ENDPOINT_ADDRESS,
            plain_codec.FIRST_PORT + index,
        )
        routes[endpoint] = Route(
            (WeightedService(SERVICE, 1),),
            kind.priority,
            kind.aim_s,
            kind.timeout_s,
        )
    policy = ServicePolicy(load.cold_flows_per_s, UPSTREAM_CONNECTIONS)
    return RoutingConfig(1, routes, {SERVICE: policy})


def _adopt_ejections(
    vm: SimulatedEntryVm, ejections: list[tuple[str, float]]
) -> None:
    for name, remaining_s in ejections:
        vm.path.outliers.adopt_ejection(name, remaining_s, PUBLISHER)


def _announce_nothing() -> None:
    """Announce nothing: only the publisher announces ejections."""
