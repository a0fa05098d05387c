"""Callers of a simulated load: their requests, flows and retries.

Callers open a flow for each request, or keep flows open and send one request at
a time on each. They repeat opening packets, and try again on a new flow when a
flow is reset, when an upstream rejects the request, or when it is answered with
an error and may be repeated. Packets get lost only where entry VMs are off.
"""

import dataclasses
import functools
import random
from collections.abc import Iterable

from hibiscushatch_tools import plain_codec
from hibiscushatch_tools.load_events import EventScheduler
from hibiscushatch_tools.load_fleet import (
    SentPacket,
    SimulatedEntryVm,
    SimulatedFleet,
    build_upstreams,
)
from hibiscushatch_tools.load_model import Load, RequestKind
from hibiscushatch_tools.load_outcome import SimulatedRequest
from hibiscushatch_tools.load_serving import Answer, FaultyUpstreams

# Round trip between callers and upstreams.
ROUND_TRIP_S = 0.008
# After this time a caller gives up an attempt that no upstream has accepted.
ATTEMPT_TIMEOUT_S = 1.4
RETRIES_MAX = 2
RETRY_DELAY_S = 0.015
# After this time, doubled each time, a packet that got lost is sent again.
RETRANSMIT_S = 0.2
# Identifies the user of a flow: address, number of the user, kind.
_UserKey = tuple[bytes, int, str]


@dataclasses.dataclass(slots=True, eq=False)
class _CallerFlow:
    """A flow of a caller.

    Attributes:
        number: Number of the flow.
        request: The request that it carries; the last one when it is idle.
        vm: The entry VM that its packets reach.
        requests_left: How many requests it can still carry.
        upstream: Name of the upstream that accepted it; None before.
        idle_since: When its last response came.
        is_closed: Whether its caller has ended it.
    """

    number: int
    request: SimulatedRequest
    vm: SimulatedEntryVm
    requests_left: int
    upstream: str | None = None
    idle_since: float = 0
    is_closed: bool = False

    @property
    def is_needed(self) -> bool:
        """Whether its request still waits for an answer on this flow."""
        request = self.request
        return request.flow == self.number and not request.is_settled


class Callers:
    """Sends the requests of callers and handles what comes back.

    Args:
        load: The load.
        scheduler: Schedules packets and timeouts.
        fleet: The entry VMs.
        upstreams: Serve requests.
        randomness: Draws the entry VM of each flow.
        user_randomness: Draws users, and how long flows are used.
    """

    def __init__(
        self,
        load: Load,
        scheduler: EventScheduler,
        fleet: SimulatedFleet,
        upstreams: FaultyUpstreams,
        randomness: random.Random,
        user_randomness: random.Random,
    ) -> None:
        self._load = load
        self._scheduler = scheduler
        self._fleet = fleet
        self._upstreams = upstreams
        self._randomness = randomness
        self._user_randomness = user_randomness
        self._tokens = {
            upstream.name: upstream.token for upstream in build_upstreams(load)
        }
        self._routes = {
            kind.name: index for index, kind in enumerate(load.kinds)
        }
        self._flows: dict[int, _CallerFlow] = {}
        self._flow_count = 0
        self._idle_flows: dict[_UserKey, list[_CallerFlow]] = {}

    def send(self, request: SimulatedRequest) -> None:
        """Send a new request, on an idle flow of its user if there is one."""
        self._scheduler.call_later(
            request.kind.timeout_s, functools.partial(self._give_up, request)
        )
        flow = self._take_idle_flow(request)
        if flow is None:
            self._start_attempt(request)
            return
        flow.request = request
        request.flow = flow.number
        request.is_on_open_flow = True
        self._scheduler.call_later(
            ROUND_TRIP_S / 2, functools.partial(self._send_request, flow)
        )

    def deliver(self, sent: Iterable[SentPacket]) -> None:
        """Deliver packets of entry VMs to upstreams and callers."""
        for packet in sent:
            flow = self._flows.get(packet.flow)
            if flow is None:
                continue
            if packet.is_reset:
                flow.request.refusals += 1
                self._scheduler.call_later(
                    ROUND_TRIP_S, functools.partial(self._retry, flow)
                )
            elif packet.flags & plain_codec.OPENING:
                self._deliver_opening_packet(flow, packet.upstream)
            elif packet.flags & plain_codec.PAYLOAD:
                self._begin_work(flow, packet.upstream)

    def _take_idle_flow(self, request: SimulatedRequest) -> _CallerFlow | None:
        kind = request.kind
        idle_flows = self._idle_flows.get(_user_key(request))
        while idle_flows:
            flow = idle_flows.pop()
            paused_s = self._scheduler.now - flow.idle_since
            if paused_s < kind.pause_max_s:
                return flow
            del self._flows[flow.number]
        return None

    def _start_attempt(self, request: SimulatedRequest) -> None:
        self._flow_count += 1
        flow = _CallerFlow(
            self._flow_count,
            request,
            self._randomness.choice(self._fleet.vms_of(request.domain)),
            self._draw_requests_of_flow(request),
        )
        self._flows[flow.number] = flow
        request.flow = flow.number
        for copy, delay_s in enumerate(plain_codec.COPY_TIMES_S):
            self._scheduler.call_later(
                delay_s,
                functools.partial(self._send_opening_packet, flow, copy),
            )
        self._scheduler.call_later(
            ATTEMPT_TIMEOUT_S,
            functools.partial(self._on_attempt_timeout, flow),
        )

    def _draw_requests_of_flow(self, request: SimulatedRequest) -> int:
        mean = request.kind.requests_per_flow
        if not request.kind.is_kept_open:
            return 1
        key = _user_key(request)
        if key not in self._idle_flows:
            # The load begins in the middle of the life of the first flow.
            self._idle_flows[key] = []
            return self._user_randomness.randint(1, round(mean))
        return int(mean + self._user_randomness.random())

    def _send_opening_packet(self, flow: _CallerFlow, copy: int) -> None:
        if not flow.is_needed or flow.upstream is not None:
            return
        vm = self._vm_of(flow)
        if vm.is_on:
            packet = plain_codec.build_packet(
                flow.number,
                flags=plain_codec.OPENING,
                copy=copy,
                route=self._routes[flow.request.kind.name],
                caller=flow.request.address,
            )
            self.deliver(vm.handle(packet))

    def _vm_of(self, flow: _CallerFlow) -> SimulatedEntryVm:
        # After a power failure, a restarted VM of the domain handles the flow.
        if flow.vm not in self._fleet.vms_of(flow.vm.domain):
            flow.vm = self._randomness.choice(
                self._fleet.vms_of(flow.vm.domain)
            )
        return flow.vm

    def _on_attempt_timeout(self, flow: _CallerFlow) -> None:
        if flow.upstream is None:
            self._retry(flow)

    def _retry(self, flow: _CallerFlow) -> None:
        """Try again on a new flow, or fail if no attempt is left."""
        self._flows.pop(flow.number, None)
        if not flow.is_needed:
            return
        request = flow.request
        now = self._scheduler.now
        remaining_s = request.came_at + request.kind.timeout_s - now
        if request.attempt < RETRIES_MAX and remaining_s > RETRY_DELAY_S:
            request.attempt += 1
            request.flow = 0
            self._scheduler.call_later(
                RETRY_DELAY_S, functools.partial(self._start_attempt, request)
            )
        else:
            request.settle(now, is_served=False)

    def _deliver_opening_packet(self, flow: _CallerFlow, name: str) -> None:
        is_waiting = flow.is_needed and flow.upstream is None
        if is_waiting and self._upstreams.accepts(name):
            flow.upstream = name
            self._scheduler.call_later(
                ROUND_TRIP_S, functools.partial(self._send_request, flow)
            )

    def _send_request(self, flow: _CallerFlow, copy: int = 0) -> None:
        vm = self._vm_of(flow)
        if vm.is_on:
            self._send_packet(flow, plain_codec.PAYLOAD)
        else:
            self._scheduler.call_later(
                RETRANSMIT_S * 2**copy,
                functools.partial(self._send_request_again, flow, copy + 1),
            )

    def _send_request_again(self, flow: _CallerFlow, copy: int) -> None:
        if flow.is_needed:
            self._send_request(flow, copy)

    def _send_packet(self, flow: _CallerFlow, flags: int) -> None:
        vm = self._vm_of(flow)
        if vm.is_on and flow.upstream is not None:
            packet = plain_codec.build_packet(
                flow.number,
                self._tokens[flow.upstream],
                flags,
                route=self._routes[flow.request.kind.name],
                caller=flow.request.address,
            )
            self.deliver(vm.handle(packet))

    def _begin_work(self, flow: _CallerFlow, name: str) -> None:
        self._upstreams.serve(
            name,
            flow.request.kind,
            functools.partial(self._on_answer, flow, flow.request),
        )

    def _on_answer(
        self, flow: _CallerFlow, request: SimulatedRequest, answer: Answer
    ) -> None:
        if flow.is_closed:
            return
        if answer is Answer.SERVED:
            request.settle(self._scheduler.now, is_served=True)
            self._keep_open_or_close(flow)
            return
        self._close(flow)
        if answer is Answer.REJECTED or request.kind.may_repeat:
            self._retry(flow)
        else:
            request.settle(self._scheduler.now, is_served=False)

    def _keep_open_or_close(self, flow: _CallerFlow) -> None:
        flow.requests_left -= 1
        if flow.requests_left:
            self._scheduler.call_later(
                ROUND_TRIP_S, functools.partial(self._acknowledge, flow)
            )
        else:
            self._close(flow)

    def _acknowledge(self, flow: _CallerFlow) -> None:
        self._send_packet(flow, 0)
        flow.idle_since = self._scheduler.now
        self._idle_flows[_user_key(flow.request)].append(flow)

    def _close(self, flow: _CallerFlow) -> None:
        flow.is_closed = True
        self._flows.pop(flow.number, None)
        self._scheduler.call_later(
            ROUND_TRIP_S,
            functools.partial(self._send_packet, flow, plain_codec.LAST),
        )

    def _give_up(self, request: SimulatedRequest) -> None:
        if request.is_settled:
            return
        request.settle(self._scheduler.now, is_served=False)
        flow = self._flows.get(request.flow)
        if flow is not None:
            self._close(flow)


def _user_key(request: SimulatedRequest) -> _UserKey:
    return request.address, request.user, request.kind.name


def draw_user(kind: RequestKind, users: int, randomness: random.Random) -> int:
    """Draw the user who sends a request; 0 if no flows are kept open."""
    return randomness.randrange(users) if kind.is_kept_open else 0
