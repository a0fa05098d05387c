"""Plays a load against the real decisions of entry VMs, in virtual time.

The load answered is that of one service: callers open a flow for each request,
repeat opening packets, and try again when a flow is reset, a request rejected
or, where it may be repeated, answered with an error. What is played are
callers, upstreams and the reports between entry VMs; the platform, the fabric
and the network are not.
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
    Route,
    RoutingConfig,
    ServicePolicy,
    Upstream,
    WeightedService,
)
from hibiscushatch_token.settings import TokenNodeSettings
from hibiscushatch_token.traffic.packet_path import PacketPath
from hibiscushatch_tools import plain_codec
from hibiscushatch_tools.load_events import Events, Upstreams
from hibiscushatch_tools.load_model import (
    Domain,
    Fault,
    Load,
    RequestKind,
    Surge,
)
from hibiscushatch_tools.load_outcome import PlayedRequest

SERVICE = 'service'
PUBLISHER = '127.0.0.1:3'
# Between callers and upstreams, there and back.
ROUND_TRIP_S = 0.008
PEER_DELAY_S = 0.002
# An error costs an upstream hardly any work.
ERROR_S = 0.001
# How often an entry VM looks for missing answers.
LOOK_S = 0.05
# A caller gives up an attempt that no upstream has accepted.
ATTEMPT_S = 1.4
RETRIES = 2
RETRY_PAUSE_S = 0.015
CONNECTIONS = 2000
_TRIES = RETRIES + 1
_GONE = 'gone'
_NOBODY = ''


class PlayedEntryVm:
    """The decisions of one entry VM, and the packets that leave it.

    Args:
        settings: Its settings.
        events: The clock.
        fleet: Number of entry VMs.
        seed: Seed of its randomness.
    """

    def __init__(
        self, settings: TokenNodeSettings, events: Events, fleet: int, seed: int
    ) -> None:
        self.domain = settings.domain
        self.is_on = True
        self.counters = Counters()
        self.sent: list[tuple[int, str]] = []
        environment = Environment(
            plain_codec.PlainCodec(),
            self.counters,
            events.clock,
            random.Random(seed),  # noqa: S311
        )
        self.path = PacketPath(settings, environment, self._send, lambda: fleet)

    def handle(self, datagram: bytes) -> Iterator[tuple[int, str]]:
        """Handle a packet; yield the packets that leave.

        Yields:
            The flow and the upstream; an empty name for a reset.
        """
        self.path.forwarder.handle(datagram, _NOBODY)
        yield from self.take_sent()

    def take_sent(self) -> Iterator[tuple[int, str]]:
        """Yield the packets that have left since the last call."""
        sent = list(self.sent)
        self.sent.clear()
        yield from sent

    def _send(self, datagram: bytes, target: tuple[str, int]) -> None:
        upstream = _NOBODY if target == plain_codec.CALLER else target[0]
        self.sent.append((plain_codec.read_flow_number(datagram), upstream))


class PlayedFleet:
    """The entry VMs, and the reports of failures among them.

    Args:
        load: The load.
        settings: Settings that all entry VMs share.
        events: Plays the reports.
        seed: Seed of the entry VMs.
    """

    def __init__(
        self,
        load: Load,
        settings: TokenNodeSettings,
        events: Events,
        seed: int,
    ) -> None:
        self._load = load
        self._settings = settings
        self._events = events
        self._seed = seed
        self._config = _config_of(load.kinds)
        self._upstreams = tuple(upstreams_of(load))
        self._reporters: list[FailureReporter] = []
        self.vms: list[PlayedEntryVm] = []
        self.start()

    def start(self) -> None:
        """Start all entry VMs; what earlier ones knew is lost."""
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
            vm = PlayedEntryVm(
                settings, self._events, len(domains), self._seed + index
            )
            known = vm.path.known
            known.routing.apply_config(self._config, 1)
            for upstream in self._upstreams:
                known.registry.apply(upstream.name, upstream, 1)
            self.vms.append(vm)
            self._reporters.append(self._reporter(vm, settings, index == 0))

    def stop(self) -> None:
        """Turn all entry VMs off."""
        for vm in self.vms:
            vm.is_on = False

    def look(self) -> None:
        """Let all entry VMs look for missing answers."""
        for vm, reporter in zip(self.vms, self._reporters, strict=True):
            if vm.is_on:
                vm.path.opener.retry_unanswered()
                vm.path.opener.place_late_flows()
                vm.path.request_watch.record_overdue()
                reporter.record_failures(vm.path.request_watch.take_failures())

    def _reporter(
        self,
        vm: PlayedEntryVm,
        settings: TokenNodeSettings,
        is_publisher: bool,
    ) -> FailureReporter:
        return FailureReporter(
            settings,
            vm.path.outliers,
            self._events.clock,
            self._send_report,
            lambda: [] if is_publisher else [PUBLISHER],
            self._announce if is_publisher else _do_nothing,
        )

    def _send_report(self, datagram: bytes, _address: tuple[str, int]) -> None:
        report = peer_messages.decode_datagram(datagram, PUBLISHER)
        publisher = self._reporters[0]
        self._events.after(
            PEER_DELAY_S, functools.partial(publisher.on_report, report)
        )

    def _announce(self) -> None:
        publisher = self.vms[0].path
        ejected = list(publisher.outliers.active_ejections())
        for vm in self.vms[1:]:
            self._events.after(
                PEER_DELAY_S, functools.partial(_take_over, vm, ejected)
            )


class LoadPlayer:
    """Plays one load once.

    Args:
        load: The load.
        settings: Settings that all entry VMs share.
        seed: Seed of callers and entry VMs.
    """

    def __init__(
        self, load: Load, settings: TokenNodeSettings, seed: int
    ) -> None:
        self.load = load
        self.events = Events()
        self.requests: list[PlayedRequest] = []
        self.fleet = PlayedFleet(load, settings, self.events, seed)
        self._randomness = random.Random(seed)  # noqa: S311
        self._upstreams = Upstreams(self.events, load.slots, load.queue)
        self._names = [one.name for one in upstreams_of(load)]
        self._tokens = {one.name: one.token for one in upstreams_of(load)}
        self._vms_of: dict[int, PlayedEntryVm] = {}

    def play(self) -> list[PlayedRequest]:
        """Play the load; return what became of each request."""
        for fault in self.load.faults:
            if fault.kind == 'power':
                self.events.after(fault.from_s, self.fleet.stop)
                self.events.after(fault.until_s, self.fleet.start)
        self.events.every(LOOK_S, self._look)
        self._ask()
        self.events.play(self.load.length_s)
        return self.requests

    def _ask(self) -> None:
        surge = self._surge()
        gap_s = self._randomness.expovariate(self._requests_per_s(surge))
        self.events.after(gap_s, self._ask)
        kinds = self.load.kinds
        kind = self._randomness.choices(kinds, [one.share for one in kinds])[0]
        domain = self._domain_of_caller(surge)
        request = PlayedRequest(
            len(self.requests), kind, domain.name, self.events.now
        )
        self.requests.append(request)
        self._attempt(request)

    def _surge(self) -> Surge | None:
        for surge in self.load.surges:
            if surge.from_s <= self.events.now < surge.until_s:
                return surge
        return None

    def _requests_per_s(self, surge: Surge | None) -> float:
        load = self.load
        crest = math.sin(2 * math.pi * self.events.now / load.wave_s)
        per_s = load.requests_per_s * (1 + load.wave * crest)
        if surge is None:
            return per_s
        grown = 1.0
        if surge.is_ramp:
            length_s = surge.until_s - surge.from_s
            grown = (self.events.now - surge.from_s) / length_s
        return per_s * (1 + (surge.factor - 1) * grown)

    def _domain_of_caller(self, surge: Surge | None) -> Domain:
        domains = self.load.domains
        if surge is not None and surge.domains:
            domains = tuple(one for one in domains if one.name in surge.domains)
        weights = [one.callers for one in domains]
        return self._randomness.choices(domains, weights)[0]

    def _attempt(self, request: PlayedRequest) -> None:
        flow = request.number * _TRIES + request.attempt
        here = [vm for vm in self.fleet.vms if vm.domain == request.domain]
        self._vms_of[flow] = self._randomness.choice(here)
        request.upstream = None
        for copy, delay_s in enumerate(plain_codec.COPY_TIMES_S):
            self.events.after(
                delay_s, functools.partial(self._open, request, flow, copy)
            )
        self.events.after(
            ATTEMPT_S, functools.partial(self._give_up, request, flow)
        )

    def _is_trying(self, request: PlayedRequest, flow: int) -> bool:
        is_present = flow == request.number * _TRIES + request.attempt
        return is_present and not request.is_settled

    def _open(self, request: PlayedRequest, flow: int, copy: int) -> None:
        if not self._is_trying(request, flow) or request.upstream is not None:
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

    def _vm_of(self, flow: int) -> PlayedEntryVm:
        # An entry VM that was turned off is back under the same address.
        vm = self._vms_of[flow]
        if vm not in self.fleet.vms:
            here = [one for one in self.fleet.vms if one.domain == vm.domain]
            vm = self._randomness.choice(here)
            self._vms_of[flow] = vm
        return vm

    def _give_up(self, request: PlayedRequest, flow: int) -> None:
        if self._is_trying(request, flow) and request.upstream is None:
            self._fail(request, flow)

    def _fail(self, request: PlayedRequest, flow: int) -> None:
        if not self._is_trying(request, flow):
            return
        left_s = request.came_at + request.kind.timeout_s - self.events.now
        if request.attempt < RETRIES and left_s > RETRY_PAUSE_S:
            request.attempt += 1
            self.events.after(
                RETRY_PAUSE_S, functools.partial(self._attempt, request)
            )
        else:
            request.settle(self.events.now, is_served=False)

    def _look(self) -> None:
        self.fleet.look()
        for vm in self.fleet.vms:
            self._deliver(vm.take_sent())

    def _deliver(self, sent: Iterator[tuple[int, str]]) -> None:
        for flow, name in sent:
            request = self.requests[flow // _TRIES]
            if name == _NOBODY:
                request.refusals += 1
                self.events.after(
                    ROUND_TRIP_S, functools.partial(self._fail, request, flow)
                )
            elif self._is_trying(request, flow) and request.upstream is None:
                self._accept(request, flow, name)

    def _accept(self, request: PlayedRequest, flow: int, name: str) -> None:
        fault = self._fault_of(name)
        if fault is None or fault.kind != _GONE:
            request.upstream = name
            self.events.after(
                ROUND_TRIP_S,
                functools.partial(self._begin, request, flow, name),
            )

    def _fault_of(self, name: str) -> Fault | None:
        now = self.events.now
        for fault in self.load.faults:
            names = self._names[: fault.upstreams]
            is_hit = fault.kind != 'power' and name in names
            if is_hit and fault.from_s <= now < fault.until_s:
                fails = fault.share >= self._randomness.random()
                return fault if fails else None
        return None

    def _begin(self, request: PlayedRequest, flow: int, name: str) -> None:
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
        fault = self._fault_of(name)
        end = functools.partial(self._end, request, flow, name)
        if fault is None:
            self._upstreams.begin(name, work_s, end)
        elif fault.kind == 'slow':
            self._upstreams.begin(name, work_s * fault.factor, end)
        elif fault.kind == 'errors':
            self.events.after(
                ERROR_S, functools.partial(self._fail_at, request, flow, name)
            )
        else:
            left_s = request.came_at + request.kind.timeout_s - self.events.now
            self.events.after(
                max(0, left_s),
                functools.partial(self._leave, request, flow, name),
            )

    def _end(
        self, request: PlayedRequest, flow: int, name: str, was_run: bool
    ) -> None:
        self._close(flow, name)
        if not was_run:
            self._fail(request, flow)
        elif self._is_trying(request, flow):
            request.settle(self.events.now, is_served=True)

    def _fail_at(self, request: PlayedRequest, flow: int, name: str) -> None:
        self._close(flow, name)
        if request.kind.may_repeat:
            self._fail(request, flow)
        else:
            request.settle(self.events.now, is_served=False)

    def _leave(self, request: PlayedRequest, flow: int, name: str) -> None:
        self._close(flow, name)
        if self._is_trying(request, flow):
            request.settle(self.events.now, is_served=False)

    def _close(self, flow: int, name: str) -> None:
        def send_last() -> None:
            vm = self._vm_of(flow)
            if vm.is_on:
                packet = plain_codec.build_packet(
                    flow, self._tokens[name], plain_codec.LAST
                )
                self._deliver(vm.handle(packet))

        self.events.after(ROUND_TRIP_S, send_last)


def upstreams_of(load: Load) -> Iterator[Upstream]:
    """Yield the upstreams of a load, from each domain in turn."""
    most = max(domain.upstreams for domain in load.domains)
    places = (
        (domain, index)
        for index in range(most)
        for domain in load.domains
        if index < domain.upstreams
    )
    for token, (domain, index) in enumerate(places, start=1):
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
            incarnation=1,
        )


def _config_of(kinds: tuple[RequestKind, ...]) -> RoutingConfig:
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
    return RoutingConfig(1, routes, {SERVICE: ServicePolicy(0, CONNECTIONS)})


def _take_over(vm: PlayedEntryVm, ejected: list[tuple[str, float]]) -> None:
    for name, left_s in ejected:
        vm.path.outliers.adopt_ejection(name, left_s, PUBLISHER)


def _do_nothing() -> None:
    """Leave announcements to the publisher."""
