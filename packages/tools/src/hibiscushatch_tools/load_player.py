"""Plays a load against the decision code of entry VMs, in virtual time.

The load is that of one service. Callers open a flow for each request and repeat
opening packets. They try again when a flow is reset, when an upstream rejects
the request, or when it is answered with an error and may be repeated. Callers,
upstreams and the failure reports between entry VMs are simulated; the platform,
the fabric and the network are not.
"""

import functools
import math
import random
from collections.abc import Iterator

import msgspec

from hibiscushatch_core.counters import Counters
from hibiscushatch_token.environment import Environment
from hibiscushatch_token.knowledge import peer_messages
from hibiscushatch_token.knowledge.failure_reporter import FailureReporter
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
from hibiscushatch_tools.load_events import EventScheduler, SimulatedUpstreams
from hibiscushatch_tools.load_model import (
    Domain,
    Fault,
    Load,
    RequestKind,
    Surge,
)
from hibiscushatch_tools.load_outcome import SimulatedRequest

SERVICE = 'service'
PUBLISHER = '127.0.0.1:3'
# Round trip between callers and upstreams.
ROUND_TRIP_S = 0.008
PEER_DELAY_S = 0.002
# Time until an upstream answers with an error; that takes hardly any work.
ERROR_DELAY_S = 0.001
# Interval at which an entry VM checks for unanswered packets and requests.
POLL_INTERVAL_S = 0.05
# After this time a caller gives up an attempt that no upstream has accepted.
ATTEMPT_TIMEOUT_S = 1.4
RETRIES_MAX = 2
RETRY_DELAY_S = 0.015
UPSTREAM_CONNECTIONS = 2000
_ATTEMPTS_MAX = RETRIES_MAX + 1
_GONE = 'gone'
_NO_NAME = ''
# The store has one state during a load.
_POSITION = Position(0, 1)


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
        self.counters = Counters()
        self.sent: list[tuple[int, str]] = []
        environment = Environment(
            plain_codec.PlainCodec(),
            self.counters,
            scheduler.clock,
            random.Random(seed),  # noqa: S311
        )
        self.path = PacketPath(
            settings, environment, self._send, lambda: vm_count
        )

    def handle(self, datagram: bytes) -> Iterator[tuple[int, str]]:
        """Handle a packet and yield the packets that are sent in response.

        Yields:
            The flow number and the upstream; an empty name for a reset.
        """
        self.path.forwarder.handle(datagram, _NO_NAME)
        yield from self.take_sent()

    def take_sent(self) -> Iterator[tuple[int, str]]:
        """Yield the packets that were sent since the last call."""
        sent = list(self.sent)
        self.sent.clear()
        yield from sent

    def _send(self, datagram: bytes, target: tuple[str, int]) -> None:
        upstream = _NO_NAME if target == plain_codec.CALLER else target[0]
        self.sent.append((plain_codec.read_flow_number(datagram), upstream))


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
        self._config = _build_config(load.kinds)
        self._upstreams = tuple(build_upstreams(load))
        self._reporters: list[FailureReporter] = []
        self.vms: list[SimulatedEntryVm] = []
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
        for index, domain in enumerate(domains):
            control = f'127.0.0.1:{index + 3}'
            settings = msgspec.structs.replace(
                self._settings,
                domain=domain,
                control=control,
                publishers=[PUBLISHER],
            )
            vm = SimulatedEntryVm(
                settings, self._scheduler, len(domains), self._seed + index
            )
            known = vm.path.known
            known.routing.apply_config(self._config, _POSITION)
            for upstream in self._upstreams:
                known.registry.apply(upstream.name, upstream, _POSITION)
            self.vms.append(vm)
            self._reporters.append(
                self._build_reporter(vm, settings, index == 0)
            )

    def stop(self) -> None:
        """Turn all entry VMs off."""
        for vm in self.vms:
            vm.is_on = False

    def poll(self) -> None:
        """Let all entry VMs check for unanswered packets and requests."""
        for vm, reporter in zip(self.vms, self._reporters, strict=True):
            if vm.is_on:
                vm.path.opener.retry_unanswered()
                vm.path.opener.place_late_flows()
                vm.path.request_watch.record_overdue()
                reporter.record_failures(vm.path.request_watch.take_failures())

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


class LoadPlayer:
    """Plays one load once.

    Args:
        load: The load.
        settings: Settings that all entry VMs share.
        seed: Seed of the random choices of callers and entry VMs.
    """

    def __init__(
        self, load: Load, settings: TokenNodeSettings, seed: int
    ) -> None:
        self.load = load
        self.scheduler = EventScheduler()
        self.requests: list[SimulatedRequest] = []
        self.fleet = SimulatedFleet(load, settings, self.scheduler, seed)
        self._randomness = random.Random(seed)  # noqa: S311
        self._upstreams = SimulatedUpstreams(
            self.scheduler, load.slots, load.queue
        )
        self._upstream_names = [
            upstream.name for upstream in build_upstreams(load)
        ]
        self._tokens = {
            upstream.name: upstream.token for upstream in build_upstreams(load)
        }
        self._vm_by_flow: dict[int, SimulatedEntryVm] = {}

    def play(self) -> list[SimulatedRequest]:
        """Play the load and return its requests."""
        for fault in self.load.faults:
            if fault.kind == 'power':
                self.scheduler.call_later(fault.from_s, self.fleet.stop)
                self.scheduler.call_later(fault.until_s, self.fleet.start)
        self.scheduler.call_repeatedly(POLL_INTERVAL_S, self._poll)
        self._send_next_request()
        self.scheduler.run(self.load.length_s)
        return self.requests

    def _send_next_request(self) -> None:
        surge = self._current_surge()
        interval_s = self._randomness.expovariate(self._requests_per_s(surge))
        self.scheduler.call_later(interval_s, self._send_next_request)
        kinds = self.load.kinds
        kind = self._randomness.choices(
            kinds, [candidate.share for candidate in kinds]
        )[0]
        domain = self._choose_caller_domain(surge)
        request = SimulatedRequest(
            len(self.requests), kind, domain.name, self.scheduler.now
        )
        self.requests.append(request)
        self._start_attempt(request)

    def _current_surge(self) -> Surge | None:
        for surge in self.load.surges:
            if surge.from_s <= self.scheduler.now < surge.until_s:
                return surge
        return None

    def _requests_per_s(self, surge: Surge | None) -> float:
        load = self.load
        oscillation = math.sin(2 * math.pi * self.scheduler.now / load.wave_s)
        per_s = load.requests_per_s * (1 + load.wave * oscillation)
        if surge is None:
            return per_s
        progress = 1.0
        if surge.is_ramp:
            length_s = surge.until_s - surge.from_s
            progress = (self.scheduler.now - surge.from_s) / length_s
        return per_s * (1 + (surge.factor - 1) * progress)

    def _choose_caller_domain(self, surge: Surge | None) -> Domain:
        domains = self.load.domains
        if surge is not None and surge.domains:
            domains = tuple(
                domain for domain in domains if domain.name in surge.domains
            )
        weights = [domain.callers for domain in domains]
        return self._randomness.choices(domains, weights)[0]

    def _start_attempt(self, request: SimulatedRequest) -> None:
        flow = request.number * _ATTEMPTS_MAX + request.attempt
        vms_in_domain = [
            vm for vm in self.fleet.vms if vm.domain == request.domain
        ]
        self._vm_by_flow[flow] = self._randomness.choice(vms_in_domain)
        request.upstream = None
        for copy, delay_s in enumerate(plain_codec.COPY_TIMES_S):
            self.scheduler.call_later(
                delay_s,
                functools.partial(
                    self._send_opening_packet, request, flow, copy
                ),
            )
        self.scheduler.call_later(
            ATTEMPT_TIMEOUT_S,
            functools.partial(self._on_attempt_timeout, request, flow),
        )

    def _is_current_attempt(self, request: SimulatedRequest, flow: int) -> bool:
        is_current = flow == request.number * _ATTEMPTS_MAX + request.attempt
        return is_current and not request.is_settled

    def _send_opening_packet(
        self, request: SimulatedRequest, flow: int, copy: int
    ) -> None:
        if (
            not self._is_current_attempt(request, flow)
            or request.upstream is not None
        ):
            return
        vm = self._vm_of(flow)
        if vm.is_on:
            route = self.load.kinds.index(request.kind)
            self._deliver(
                vm.handle(
                    plain_codec.build_packet(
                        flow, 0, plain_codec.OPENING, copy, route
                    )
                )
            )

    def _vm_of(self, flow: int) -> SimulatedEntryVm:
        # After a power failure, a restarted VM of the domain handles the flow.
        vm = self._vm_by_flow[flow]
        if vm not in self.fleet.vms:
            vms_in_domain = [
                other for other in self.fleet.vms if other.domain == vm.domain
            ]
            vm = self._randomness.choice(vms_in_domain)
            self._vm_by_flow[flow] = vm
        return vm

    def _on_attempt_timeout(self, request: SimulatedRequest, flow: int) -> None:
        if self._is_current_attempt(request, flow) and request.upstream is None:
            self._on_attempt_failed(request, flow)

    def _on_attempt_failed(self, request: SimulatedRequest, flow: int) -> None:
        if not self._is_current_attempt(request, flow):
            return
        remaining_s = (
            request.came_at + request.kind.timeout_s - self.scheduler.now
        )
        if request.attempt < RETRIES_MAX and remaining_s > RETRY_DELAY_S:
            request.attempt += 1
            self.scheduler.call_later(
                RETRY_DELAY_S, functools.partial(self._start_attempt, request)
            )
        else:
            request.settle(self.scheduler.now, is_served=False)

    def _poll(self) -> None:
        self.fleet.poll()
        for vm in self.fleet.vms:
            self._deliver(vm.take_sent())

    def _deliver(self, sent: Iterator[tuple[int, str]]) -> None:
        for flow, name in sent:
            request = self.requests[flow // _ATTEMPTS_MAX]
            if name == _NO_NAME:
                request.refusals += 1
                self.scheduler.call_later(
                    ROUND_TRIP_S,
                    functools.partial(self._on_attempt_failed, request, flow),
                )
            elif (
                self._is_current_attempt(request, flow)
                and request.upstream is None
            ):
                self._on_accepted(request, flow, name)

    def _on_accepted(
        self, request: SimulatedRequest, flow: int, name: str
    ) -> None:
        fault = self._pick_fault(name)
        if fault is None or fault.kind != _GONE:
            request.upstream = name
            self.scheduler.call_later(
                ROUND_TRIP_S,
                functools.partial(self._begin_work, request, flow, name),
            )

    def _pick_fault(self, name: str) -> Fault | None:
        now = self.scheduler.now
        for fault in self.load.faults:
            names = self._upstream_names[: fault.upstreams]
            is_affected = fault.kind != 'power' and name in names
            if is_affected and fault.from_s <= now < fault.until_s:
                is_picked = fault.share >= self._randomness.random()
                return fault if is_picked else None
        return None

    def _begin_work(
        self, request: SimulatedRequest, flow: int, name: str
    ) -> None:
        vm = self._vm_of(flow)
        if vm.is_on:
            packet = plain_codec.build_packet(
                flow, self._tokens[name], plain_codec.PAYLOAD
            )
            list(vm.handle(packet))
        spread = self.load.work_spread
        work_s = request.kind.work_s * self._randomness.lognormvariate(
            -spread * spread / 2, spread
        )
        fault = self._pick_fault(name)
        on_done = functools.partial(self._on_work_done, request, flow, name)
        if fault is None:
            self._upstreams.submit(name, work_s, on_done)
        elif fault.kind == 'slow':
            self._upstreams.submit(name, work_s * fault.factor, on_done)
        elif fault.kind == 'errors':
            self.scheduler.call_later(
                ERROR_DELAY_S,
                functools.partial(self._on_error_answer, request, flow, name),
            )
        else:
            remaining_s = (
                request.came_at + request.kind.timeout_s - self.scheduler.now
            )
            self.scheduler.call_later(
                max(0, remaining_s),
                functools.partial(
                    self._on_request_timeout, request, flow, name
                ),
            )

    def _on_work_done(
        self, request: SimulatedRequest, flow: int, name: str, was_run: bool
    ) -> None:
        self._close_flow(flow, name)
        if not was_run:
            self._on_attempt_failed(request, flow)
        elif self._is_current_attempt(request, flow):
            request.settle(self.scheduler.now, is_served=True)

    def _on_error_answer(
        self, request: SimulatedRequest, flow: int, name: str
    ) -> None:
        self._close_flow(flow, name)
        if request.kind.may_repeat:
            self._on_attempt_failed(request, flow)
        else:
            request.settle(self.scheduler.now, is_served=False)

    def _on_request_timeout(
        self, request: SimulatedRequest, flow: int, name: str
    ) -> None:
        self._close_flow(flow, name)
        if self._is_current_attempt(request, flow):
            request.settle(self.scheduler.now, is_served=False)

    def _close_flow(self, flow: int, name: str) -> None:
        def send_last_packet() -> None:
            vm = self._vm_of(flow)
            if vm.is_on:
                packet = plain_codec.build_packet(
                    flow, self._tokens[name], plain_codec.LAST
                )
                self._deliver(vm.handle(packet))

        self.scheduler.call_later(ROUND_TRIP_S, send_last_packet)


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


def _build_config(kinds: tuple[RequestKind, ...]) -> RoutingConfig:
    routes: dict[Endpoint, Route] = {}
    for index, kind in enumerate(kinds):
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
    return RoutingConfig(
        1, routes, {SERVICE: ServicePolicy(0, UPSTREAM_CONNECTIONS)}
    )


def _adopt_ejections(
    vm: SimulatedEntryVm, ejections: list[tuple[str, float]]
) -> None:
    for name, remaining_s in ejections:
        vm.path.outliers.adopt_ejection(name, remaining_s, PUBLISHER)


def _announce_nothing() -> None:
    """Announce nothing: only the publisher announces ejections."""
