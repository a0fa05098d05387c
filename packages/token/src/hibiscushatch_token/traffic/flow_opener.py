"""How a flow gets its upstream.

The opening packet of a flow is placed on an upstream. A caller goes on within
milliseconds of the answer, so silence means that the upstream, or the way to
it, does not work: the same packet then goes to another upstream, well before
the caller repeats it after 200 ms. Opening packets carry no payload and the
caller goes on with one upstream only, so no request runs twice. A flow that
can be placed nowhere is reset at once.
"""

import logging

import msgspec

from hibiscushatch_core.reasons import RefusalReason, RetryReason
from hibiscushatch_core.retry_budget import RetryBudget, RetryBudgetSettings
from hibiscushatch_token.environment import Environment
from hibiscushatch_token.health.reachability import Reachability
from hibiscushatch_token.knowledge.known_state import KnownState
from hibiscushatch_token.model import Route, Upstream
from hibiscushatch_token.ports import FlowPacket
from hibiscushatch_token.settings import PlacementSettings
from hibiscushatch_token.traffic.flow_table import FlowRecord, FlowTable
from hibiscushatch_token.traffic.late_flows import LateFlows, is_late
from hibiscushatch_token.traffic.packet_exit import PacketExit
from hibiscushatch_token.traffic.placement import Placement

# Repeated opening packets are small; a domain that is cut off costs some tens
# of them until it is judged dead.
_RETRY_BUDGET = RetryBudgetSettings(ratio=0.2, floor_per_s=2, burst=50)
# Answers slower than this many usual ones are missing.
_USUAL_ANSWERS = 4
_USUAL_ANSWER_WEIGHT = 0.05
# An opening packet that is found unanswered this late was overtaken by a pause
# of this process, or its flow went on at another entry VM.
_EVIDENCE_AGE_MAX_S = 0.5

_log = logging.getLogger(__name__)


class FlowOpener:
    """Places flows, and places them again when no answer comes.

    Args:
        settings: When an answer is missing.
        environment: Codec, counters and clock.
        known: Routes in force.
        flows: Flows opened here.
        placement: Chooses upstreams, and refuses what they can't serve.
        reachability: Told what becomes of opening packets.
        packet_exit: Where packets leave.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        environment: Environment,
        known: KnownState,
        flows: FlowTable,
        placement: Placement,
        reachability: Reachability,
        packet_exit: PacketExit,
    ) -> None:
        self._limits = settings
        self._codec = environment.codec
        self._routing = known.routing
        self._registry = known.registry
        self._flows = flows
        self._placement = placement
        self._reachability = reachability
        self._exit = packet_exit
        self._counters = environment.counters
        self._clock = environment.clock
        self._budget = RetryBudget(_RETRY_BUDGET, self._clock())
        self._usual_answer_s = 0.0
        self._late = LateFlows(self._clock)

    def open(self, packet: FlowPacket) -> None:
        """Place a flow at its opening packet or a copy of it."""
        if self._late.refresh(packet):
            return
        now = self._clock()
        record = self._flows.get(packet.flow)
        if record is not None and record.is_answered:
            self._exit.forward(packet, record.upstream)
            return
        if record is not None and self._came_together(record, now):
            return
        route = self._routing.route_of(packet.endpoint)
        if route is None:
            self._refuse(packet, RefusalReason.NO_ROUTE)
            return
        service = self._placement.draw_service(route)
        if record is None:
            self._budget.record_flow(now)
            self._open_first(packet, service, route, now)
        else:
            self._open_again(packet, service, record, now)

    def go_on(self, flow: bytes) -> None:
        """Note that a flow went on, maybe at another entry VM."""
        self._late.remove(flow)

    def ended(self, flow: bytes) -> None:
        """Forget a flow that its caller ended."""
        self._flows.remove(flow)
        self.place_late()

    def place_late(self) -> None:
        """Place late flows for which there is room by now."""
        for late in self._late.take_ready(self._placement.has_room):
            self._place(late.packet, late.service, (), self._clock())
            record = self._flows.get(late.packet.flow)
            if record is not None:
                # While it waited, the fabric may have given it to another
                # entry VM, which then sees the answer.
                record.is_retried = True
                record.is_failed = True

    def answered(self, record: FlowRecord, upstream: Upstream) -> float:
        """Take over that the caller goes on with an upstream.

        Args:
            record: The flow.
            upstream: Where it goes on, maybe one that was tried earlier.

        Returns:
            Seconds since the flow was placed last.
        """
        now = self._clock()
        answer_s = now - record.placed_at
        record.answer_s = answer_s
        self._flows.answer(record, upstream)
        self._reachability.answered(upstream, answer_s, now)
        if not record.tried:
            change = answer_s - self._usual_answer_s
            self._usual_answer_s += change * _USUAL_ANSWER_WEIGHT
        return answer_s

    def retry_unanswered(self) -> float:
        """Place flows again whose answer is missing.

        All packets that have come must have been handled before.

        Returns:
            Seconds after which to look again.
        """
        now = self._clock()
        patience_s = max(
            self._limits.retry_after_s, self._usual_answer_s * _USUAL_ANSWERS
        )
        for record in self._flows.unanswered():
            waited_s = now - record.placed_at
            if waited_s < patience_s:
                return patience_s - waited_s
            if waited_s < _EVIDENCE_AGE_MAX_S:
                self._note_unanswered(record, now)
                if self._place_elsewhere(record, now):
                    continue
            self._flows.settle(record)
        return patience_s

    def drop_idle(self) -> None:
        """Drop flows that ended unseen."""
        self._flows.drop_idle(self._clock() - self._limits.idle_s)

    def _place(
        self,
        packet: FlowPacket,
        service: str,
        tried: tuple[str, ...],
        now: float,
    ) -> None:
        upstream = self._placement.choose(service, tried)
        if upstream is None:
            self._refuse(packet, RefusalReason.NO_UPSTREAM)
        else:
            self._send(packet, upstream, tried, now)

    def _refuse(
        self,
        packet: FlowPacket,
        reason: RefusalReason,
        cause: dict[str, object] | None = None,
    ) -> None:
        self._flows.remove(packet.flow)
        version = self._routing.config.version
        self._exit.refuse(packet, reason, {'config': version, **(cause or {})})

    def _came_together(self, record: FlowRecord, now: float) -> bool:
        # Copies that waited here together tell nothing.
        return now - record.last_at < self._limits.copy_gap_s

    def _open_first(
        self, packet: FlowPacket, service: str, route: Route, now: float
    ) -> None:
        if not is_late(packet, route) or self._placement.has_room(service):
            self._admit(packet, service, route, now)
            return
        self._late.add(packet, service, route)
        self._counters.flows_deferred += 1
        _log.info(
            'flow deferred',
            extra={
                'flow': self._codec.describe(packet.flow),
                'copy': packet.copy,
                'waiting': len(self._late),
                'config': self._routing.config.version,
            },
        )

    def _admit(
        self, packet: FlowPacket, service: str, route: Route, now: float
    ) -> None:
        refusal = self._placement.refusal(service, route)
        if refusal is None:
            self._place(packet, service, (), now)
            return
        cause = msgspec.structs.asdict(refusal)
        self._refuse(packet, RefusalReason.OVERLOAD, cause)

    def _open_again(
        self, packet: FlowPacket, service: str, record: FlowRecord, now: float
    ) -> None:
        record.last_at = now
        record.is_retried = False
        self._note_unanswered(record, now)
        self._counters.retries[RetryReason.CONNECT_UNANSWERED] += 1
        self._place(packet, service, record.tried_by_now, now)

    def _place_elsewhere(self, record: FlowRecord, now: float) -> bool:
        if record.is_retried or not self._budget.take(now):
            return False
        tried = record.tried_by_now
        route = self._routing.route_of(record.opening.endpoint)
        if route is None:
            return False
        service = self._placement.draw_service(route)
        upstream = self._placement.choose_other(service, tried)
        if upstream is None:
            return False
        record.is_retried = True
        self._counters.retries[RetryReason.CONNECT_UNANSWERED] += 1
        self._send(record.opening, upstream, tried, now)
        return True

    def _send(
        self,
        packet: FlowPacket,
        upstream: Upstream,
        tried: tuple[str, ...],
        now: float,
    ) -> None:
        self._flows.place(packet, upstream, now)
        self._counters.flows_placed += 1
        _log.info(
            'flow placed',
            extra={
                'flow': self._codec.describe(packet.flow),
                'copy': packet.copy,
                'upstream': upstream.name,
                'domain': upstream.domain,
                'outstanding': self._flows.outstanding(upstream.name),
                'tried': ','.join(tried),
                'config': self._routing.config.version,
                'revision': self._registry.revision,
            },
        )
        self._exit.forward(packet, upstream)

    def _note_unanswered(self, record: FlowRecord, now: float) -> None:
        if record.is_failed:
            return
        record.is_failed = True
        _log.info(
            'flow unanswered',
            extra={
                'flow': self._codec.describe(record.opening.flow),
                'upstream': record.upstream.name,
                'waited_s': round(now - record.placed_at, 3),
            },
        )
        self._reachability.unanswered(record.upstream, now)
