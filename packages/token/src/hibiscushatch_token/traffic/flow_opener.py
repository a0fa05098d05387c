"""Opens flows: sends their opening packets to upstreams, and retries them.

The opening packet of a flow goes to the upstream on which the flow is placed. A
caller sends its next packet within milliseconds of the upstream's answer. If no
packet comes, a datagram was lost, or the upstream or the path to it does not
work. The opening packet is sent again, well before the caller repeats it after
200 ms: to another upstream if this one has left another flow unanswered too,
and to the same one otherwise. Only when the caller has repeated it, which shows
that it has no answer, the flow moves on without such evidence. Opening packets
carry no payload and the caller continues with one upstream only, so no request
runs twice. A flow that can be placed on no upstream is reset at once.

An upstream that answers late changes the token in the caller's packets. So that
few flows are answered by two upstreams, the same one is tried first, and
opening packets that waited here for long are dropped.
"""

import logging
from collections.abc import Callable

import msgspec

from hibiscushatch_core.reasons import DropReason, RefusalReason, RetryReason
from hibiscushatch_core.retry_budget import RetryBudget, RetryBudgetSettings
from hibiscushatch_core.unexpected_errors import UnexpectedErrors
from hibiscushatch_core.upstream_health import Verdict
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

# Retries cost little, since opening packets are small. The burst covers the
# retries, some tens of them, that a failure domain that is cut off costs until
# it is judged dead.
_RETRY_BUDGET = RetryBudgetSettings(ratio=0.2, floor_per_s=2, burst=50)
# An opening packet is retried when its answer takes this many times the average
# time of answers.
_RETRY_AFTER_AVERAGES = 4
_AVERAGE_ANSWER_WEIGHT = 0.05
# An opening packet found unanswered after this time says nothing about its
# upstream: this process was paused, or the flow continued at another entry VM.
_EVIDENCE_AGE_MAX_S = 0.5

_log = logging.getLogger(__name__)


class FlowOpener:
    """Places flows, and places them again when no answer comes.

    Args:
        settings: Time after which an unanswered opening packet is sent again.
        environment: Codec, counters and clock.
        known: Routes in force and upstreams.
        flows: Flows opened here.
        placement: Chooses upstreams, and refuses flows in an overload.
        reachability: Notified of answered and unanswered opening packets.
        packet_exit: Sends packets.
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
        self._settings = settings
        self._codec = environment.codec
        self._routing = known.routing
        self._registry = known.registry
        self._flows = flows
        self._placement = placement
        self._reachability = reachability
        self._packet_exit = packet_exit
        self._counters = environment.counters
        self._clock = environment.clock
        self._retry_budget = RetryBudget(_RETRY_BUDGET, self._clock())
        self._average_answer_s = 0.0
        self._errors = UnexpectedErrors(self._counters, self._clock)
        self.late_flows = LateFlows(self._clock)
        self._late_flows_version = 0
        self._release: Callable[[FlowPacket], None] = _ignore

    @property
    def average_answer_s(self) -> float:
        """Average time in which upstreams accept flows; 0 at first."""
        return self._average_answer_s

    def open(self, packet: FlowPacket) -> None:
        """Handle the opening packet of a flow or a copy of it."""
        if packet.is_superseded:
            self._packet_exit.drop(packet, DropReason.SUPERSEDED)
            return
        if self.late_flows.update_packet(packet):
            self._update_late_flows()
            return
        now = self._clock()
        record = self._flows.get(packet.flow)
        if record is not None and record.is_answered:
            self._packet_exit.forward(packet, record.upstream)
            return
        if record is not None and self._is_queued_copy(record, now):
            return
        route = self._routing.route_of(packet.endpoint)
        if route is None:
            self._refuse(packet, RefusalReason.NO_ROUTE)
            return
        if record is None:
            service = self._placement.draw_service(route)
            self._retry_budget.record_flow(now)
            self._placement.record_demand(service, route)
            self._admit_or_defer(packet, service, route, now)
        else:
            self._place_again(packet, route, record, now)

    def release_by(self, release: Callable[[FlowPacket], None]) -> None:
        """Set the function that sends packets of requests that waited."""
        self._release = release

    def on_flow_continued(self, flow: bytes) -> None:
        """Stop deferring a flow that continued, maybe at another entry VM."""
        self.late_flows.remove(flow)

    def on_flow_ended(self, flow: bytes) -> None:
        """Remove a flow that its caller ended."""
        self._flows.remove(flow)
        self.place_late_flows()

    def place_late_flows(self) -> None:
        """Place the late flows that have free slots or can wait no longer.

        Flows whose route no longer exists are refused, and those that this
        process could not place in time are dropped.
        """
        for packet in self.late_flows.take_overdue():
            self._packet_exit.drop(packet, DropReason.SUPERSEDED)
        self._update_late_flows()
        for late in self.late_flows.take_ready(self._placement.has_free_slots):
            if late.is_open:
                for packet in (late.packet, *late.followers):
                    self._release(packet)
                continue
            self._place(late.packet, late.service, (), self._clock())
            record = self._flows.get(late.packet.flow)
            if record is not None:
                # No retry, and a missing answer doesn't count: while the flow
                # waited, the fabric may have moved it to another entry VM,
                # which then sees the answer.
                record.is_retried = True
                record.is_failure_recorded = True

    def on_answered(self, record: FlowRecord, upstream: Upstream) -> float:
        """Record that the caller continues with an upstream.

        Args:
            record: The flow.
            upstream: The upstream that answered, maybe one that was tried
                before the latest.

        Returns:
            Seconds since the opening packet was sent last.
        """
        now = self._clock()
        answer_s = now - record.placed_at
        record.answer_s = answer_s
        self._flows.record_answer(record, upstream)
        self._reachability.record_answer(upstream, answer_s, now)
        if not (record.tried or record.is_sent_again):
            change = answer_s - self._average_answer_s
            self._average_answer_s += change * _AVERAGE_ANSWER_WEIGHT
        return answer_s

    def retry_unanswered(self) -> float:
        """Send the opening packets of unanswered flows again.

        All packets received so far must have been handled before the call.

        Returns:
            Seconds until the next call is due.
        """
        now = self._clock()
        retry_after_s = max(
            self._settings.retry_after_s,
            self._average_answer_s * _RETRY_AFTER_AVERAGES,
        )
        for record in self._flows.unanswered():
            waited_s = now - record.placed_at
            if waited_s < retry_after_s:
                return retry_after_s - waited_s
            is_recent = waited_s < _EVIDENCE_AGE_MAX_S
            if not (is_recent and self._retry_unanswered_flow(record, now)):
                self._flows.stop_counting(record)
        return retry_after_s

    def drop_idle(self) -> None:
        """Drop flows without recent packets: their end was not seen here."""
        self._flows.drop_idle(self._clock() - self._settings.idle_s)

    def _update_late_flows(self) -> None:
        version = self._routing.config.version
        if version == self._late_flows_version:
            return
        self._late_flows_version = version
        without_route = self.late_flows.update_routes(
            self._routing.route_of, self._placement.draw_service
        )
        for packet in without_route:
            self._refuse(packet, RefusalReason.NO_ROUTE)

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
        self._packet_exit.refuse(
            packet, reason, {'config': version, **(cause or {})}
        )

    def _is_queued_copy(self, record: FlowRecord, now: float) -> bool:
        # Packets that were queued here are handled together: a copy among them
        # doesn't show that an answer is missing.
        return now - record.last_packet_at < self._settings.copy_gap_s

    def _admit_or_defer(
        self, packet: FlowPacket, service: str, route: Route, now: float
    ) -> None:
        if not is_late(packet, route) or self._placement.has_free_slots(
            service
        ):
            self._admit_or_refuse(packet, service, route, now)
            return
        self.late_flows.add(packet, service, route)
        self._counters.flows_deferred += 1
        _log.info(
            'flow deferred',
            extra={
                'flow': self._codec.describe(packet.flow),
                'copy': packet.copy,
                'waiting': len(self.late_flows),
                'config': self._routing.config.version,
            },
        )

    def _admit_or_refuse(
        self, packet: FlowPacket, service: str, route: Route, now: float
    ) -> None:
        refusal = self._placement.check_admission(service, route)
        if refusal is None:
            self._place(packet, service, (), now)
            return
        cause = msgspec.structs.asdict(refusal)
        self._refuse(packet, RefusalReason.OVERLOAD, cause)

    def _place_again(
        self, packet: FlowPacket, route: Route, record: FlowRecord, now: float
    ) -> None:
        record.last_packet_at = now
        record.is_retried = False
        record.is_repeated = True
        self._record_unanswered(record, now)
        if self._may_stay(record, route) and not record.is_sent_again:
            self._send_again(packet, record, now)
            return
        self._counters.retries[RetryReason.CONNECT_UNANSWERED] += 1
        service = self._placement.draw_service(route)
        self._place(packet, service, record.tried_with_current, now)

    def _retry_unanswered_flow(self, record: FlowRecord, now: float) -> bool:
        """Place an unanswered flow again; return whether it was placed."""
        try:
            self._record_unanswered(record, now)
            return self._retry_opening(record, now)
        except Exception as error:
            # The other flows have to be retried too.
            self._errors.record('retrying a flow', error)
            return False

    def _retry_opening(self, record: FlowRecord, now: float) -> bool:
        opening = record.opening
        if opening is None or record.is_retried:
            return False
        route = self._routing.route_of(opening.endpoint)
        if route is None:
            return False
        if not self._may_stay(record, route):
            return self._retry_other_upstream(record, opening, route, now)
        if record.is_sent_again:
            # Without a copy, the caller may have got the answer, and its next
            # packets may have been lost.
            return record.is_repeated and self._retry_other_upstream(
                record, opening, route, now
            )
        if not self._retry_budget.take(now):
            return False
        self._send_again(opening, record, now)
        return True

    def _retry_other_upstream(
        self, record: FlowRecord, opening: FlowPacket, route: Route, now: float
    ) -> bool:
        if not self._retry_budget.take(now):
            return False
        tried = record.tried_with_current
        service = self._placement.draw_service(route)
        upstream = self._placement.choose_other(service, tried)
        if upstream is None:
            return False
        record.is_retried = True
        self._counters.retries[RetryReason.CONNECT_UNANSWERED] += 1
        self._send(opening, upstream, tried, now)
        return True

    def _may_stay(self, record: FlowRecord, route: Route) -> bool:
        """Return whether an unanswered flow may stay on its upstream.

        One unanswered opening packet makes an upstream suspect. If it is dead,
        it has left that of another flow unanswered too.
        """
        verdict = self._reachability.verdict(record.upstream)
        return verdict is not Verdict.DEAD and self._placement.may_keep(
            record.upstream, route
        )

    def _send_again(
        self, packet: FlowPacket, record: FlowRecord, now: float
    ) -> None:
        self._counters.retries[RetryReason.CONNECT_UNANSWERED] += 1
        self._flows.record_sent_again(record, now)
        _log.info(
            'flow sent again',
            extra={
                'flow': self._codec.describe(packet.flow),
                'copy': packet.copy,
                'upstream': record.upstream.name,
                'config': self._routing.config.version,
            },
        )
        self._packet_exit.forward(packet, record.upstream)

    def _send(
        self,
        packet: FlowPacket,
        upstream: Upstream,
        tried: tuple[str, ...],
        now: float,
    ) -> None:
        route = self._routing.route_of(packet.endpoint)
        priority = 0 if route is None else route.priority
        self._flows.place(packet, priority, upstream, now)
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
                'era': self._registry.position.era,
                'revision': self._registry.position.revision,
            },
        )
        self._packet_exit.forward(packet, upstream)

    def _record_unanswered(self, record: FlowRecord, now: float) -> None:
        if record.is_failure_recorded:
            return
        record.is_failure_recorded = True
        _log.info(
            'flow unanswered',
            extra={
                'flow': self._codec.describe(record.flow),
                'upstream': record.upstream.name,
                'waited_s': round(now - record.placed_at, 3),
            },
        )
        self._reachability.record_unanswered(record.upstream, now)


def _ignore(_packet: FlowPacket) -> None:
    """Ignore a packet: nothing is held back before a function is set."""
