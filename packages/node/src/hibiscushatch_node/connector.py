"""Places new flows: chooses an upstream, awaits its answer, tries another.

Each new flow has its own task, from its SYN until an upstream accepts it or
the caller is refused. No payload is forwarded before an upstream has answered,
so no upstream has received any payload of a refused flow.
"""

import asyncio
import dataclasses
import enum

from hibiscushatch_core import packets
from hibiscushatch_core.manifest import Service
from hibiscushatch_core.reasons import (
    DropReason,
    RefusalReason,
    RetryReason,
)
from hibiscushatch_core.retry_budget import RetryBudget, RetryBudgetSettings
from hibiscushatch_core.upstream_health import Failure, Verdict
from hibiscushatch_node.admission import Admission
from hibiscushatch_node.flow_table import FlowEntry, FlowState
from hibiscushatch_node.located_packet import LocatedPacket
from hibiscushatch_node.mover import BucketMover
from hibiscushatch_node.node_state import NodeState
from hibiscushatch_node.packet_exit import PacketExit

# While no upstream can take a new flow but this VM may soon be granted a larger
# share, the upstreams are checked again every CAPACITY_POLL_S, for at most
# CAPACITY_WAIT_S.
CAPACITY_POLL_S = 0.05
CAPACITY_WAIT_S = 2.0


class Outcome(enum.Enum):
    """How an attempt to place a flow on one upstream ended."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNANSWERED = 'unanswered'


_FAILURES = {
    Outcome.REFUSED: Failure.REFUSED,
    Outcome.UNANSWERED: Failure.UNANSWERED,
}
_RETRY_REASONS = {
    Outcome.REFUSED: RetryReason.CONNECT_REFUSED,
    Outcome.UNANSWERED: RetryReason.CONNECT_UNANSWERED,
}


@dataclasses.dataclass(slots=True)
class _PendingFlow:
    """A flow that is being placed.

    Attributes:
        located: Its SYN.
        entry: Its entry in the flow table.
        deadline_s: Time at which the placement ends at the latest.
        sent_at_s: When the SYN was last sent to an upstream.
        outcome: Future for the outcome of the current attempt; None before
            the first attempt.
        tried: Names of the upstreams that refused it or didn't answer.
    """

    located: LocatedPacket
    entry: FlowEntry
    deadline_s: float
    sent_at_s: float = 0
    outcome: asyncio.Future[Outcome] | None = None
    tried: set[str] = dataclasses.field(default_factory=set)


class Connector:
    """Places each new flow in a task of its own."""

    def __init__(
        self,
        state: NodeState,
        exit_: PacketExit,
        mover: BucketMover,
        admission: Admission,
    ) -> None:
        self._state = state
        self._exit = exit_
        self._mover = mover
        self._pending_flows: dict[tuple[str, int], _PendingFlow] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._budgets: dict[str, RetryBudget] = {}
        self.admission = admission

    def start_placement(self, located: LocatedPacket) -> None:
        """Start a task that places the flow of a SYN.

        Args:
            located: The SYN.
        """
        service = located.service
        now_s = self._state.now()
        entry = FlowEntry('', FlowState.CONNECTING, now_s)
        self._state.flows.put(service.name, located.index, located.key, entry)
        pending = _PendingFlow(
            located, entry, now_s + service.connect_deadline_s
        )
        self._pending_flows[(service.name, located.key)] = pending
        self._budget(service).record_flow(now_s)
        task = asyncio.create_task(self._place(pending))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def handle_caller_packet(
        self, located: LocatedPacket, entry: FlowEntry
    ) -> None:
        """Handle a further packet of a caller whose flow is being placed.

        Args:
            located: A repeated SYN, a reset or an acknowledgement.
            entry: The flow's entry.
        """
        flags = located.headers.tcp_flags
        if flags & packets.TCP_RST:
            self._cancel(located, entry)
        elif entry.upstream and not flags & packets.TCP_SYN:
            self._accept_unseen_answer(located, entry)
        elif entry.upstream:
            self._exit.to_upstream(
                located.service, entry.upstream, located.packet
            )
        else:
            self._exit.drop(DropReason.PLACEMENT_PENDING)

    def _accept_unseen_answer(
        self, located: LocatedPacket, entry: FlowEntry
    ) -> None:
        """Treat a flow as accepted because its caller acknowledges an answer.

        The upstream's answer reached the caller through another VM, whose view
        of the membership differs.
        """
        entry.state = FlowState.OPEN
        self._report_outcome(located, Outcome.ACCEPTED)
        self._exit.to_upstream(located.service, entry.upstream, located.packet)

    def handle_answer(self, located: LocatedPacket, entry: FlowEntry) -> None:
        """Handle the answer of the upstream that a flow is being placed on.

        Args:
            located: The upstream's SYN-ACK or reset.
            entry: The flow's entry.
        """
        if located.headers.tcp_flags & packets.TCP_RST:
            self._report_outcome(located, Outcome.REFUSED)
            return
        entry.state = FlowState.OPEN
        self._record_handshake(located, entry)
        self._report_outcome(located, Outcome.ACCEPTED)
        self._exit.to_caller(located.packet)

    async def stop(self) -> None:
        """Wait until no flow is being placed any more."""
        if self._tasks:
            await asyncio.wait(tuple(self._tasks))

    def _report_outcome(self, located: LocatedPacket, outcome: Outcome) -> None:
        pending = self._pending_flows.get((located.service.name, located.key))
        if pending is not None:
            _set_outcome(pending, outcome)

    def _record_handshake(
        self, located: LocatedPacket, entry: FlowEntry
    ) -> None:
        pending = self._pending_flows.get((located.service.name, located.key))
        if pending is not None:
            handshake_s = self._state.now() - pending.sent_at_s
            self.admission.record_answer(entry.upstream, handshake_s)

    def _cancel(self, located: LocatedPacket, entry: FlowEntry) -> None:
        pending = self._pending_flows.get((located.service.name, located.key))
        if entry.upstream:
            self._exit.to_upstream(
                located.service, entry.upstream, located.packet
            )
            self.admission.uncount(entry)
        if pending is not None:
            self._close(pending)
            _set_outcome(pending, Outcome.UNANSWERED)

    async def _place(self, pending: _PendingFlow) -> None:
        while self._is_pending(pending):
            upstream = self._choose_upstream(pending)
            if not upstream and self._may_get_capacity(pending):
                await asyncio.sleep(CAPACITY_POLL_S)
            elif not upstream:
                self._refuse(pending, self._reason_for_no_choice(pending))
            elif await self._prepare_bucket(pending, upstream):
                await self._try_upstream(pending, upstream)

    async def _try_upstream(self, pending: _PendingFlow, upstream: str) -> None:
        """Try one upstream; end the placement unless another try follows."""
        located = pending.located
        outcome = await self._send_and_await(pending, upstream)
        if not self._is_pending(pending):
            return
        if outcome is Outcome.ACCEPTED:
            self._pending_flows.pop((located.service.name, located.key))
            return
        if not self._state.owns(located.service.name, located.index):
            self._end_without_refusal(pending)
            return
        is_partial = self._state.ownership.is_view_partial(self._state.now())
        if outcome is Outcome.UNANSWERED and is_partial:
            self._retry_same_upstream(pending)
            return
        self._abandon_upstream(pending, upstream, outcome)
        refusal = self._reason_not_to_retry(pending)
        if refusal is None:
            self._state.counters.retries[_RETRY_REASONS[outcome]] += 1
        else:
            self._refuse(pending, refusal)

    def _retry_same_upstream(self, pending: _PendingFlow) -> None:
        """Allow another attempt on the same upstream.

        While this VM sees no live VM in some failure domain, the upstream's
        answer may have reached the caller through a VM on the other side of a
        partition. So the upstream is not sent a reset and the caller is not
        refused.
        """
        self.admission.uncount(pending.entry)
        reason = _RETRY_REASONS[Outcome.UNANSWERED]
        self._state.counters.retries[reason] += 1
        if self._state.now() >= pending.deadline_s:
            self._end_without_refusal(pending)

    def _end_without_refusal(self, pending: _PendingFlow) -> None:
        """End a placement whose answer may have gone through another VM."""
        located = pending.located
        service_name = located.service.name
        self._pending_flows.pop((service_name, located.key))
        self.admission.uncount(pending.entry)
        self._state.flows.remove(service_name, located.index, located.key)

    def _may_get_capacity(self, pending: _PendingFlow) -> bool:
        """Return whether this VM may soon be granted a larger share.

        A VM that has just become the owner of a bucket must wait until the
        other VMs have confirmed its claim.
        """
        if self._state.now() - pending.entry.seen_at_s > CAPACITY_WAIT_S:
            return False
        if not self.admission.reflects_current_owners():
            return True
        return any(
            self.admission.ledger.is_below_target(upstream.name)
            and self._mover.is_eligible(upstream.name)
            for upstream in pending.located.service.upstreams
        )

    def _is_pending(self, pending: _PendingFlow) -> bool:
        located = pending.located
        known = self._pending_flows.get((located.service.name, located.key))
        return known is pending

    def _choose_upstream(self, pending: _PendingFlow) -> str:
        located = pending.located
        service_name = located.service.name
        bucket = self._state.table.state(service_name, located.index)
        candidates = (
            bucket.current,
            *self._mover.ranked_upstreams(service_name, located.index),
        )
        usable = (
            name
            for name in candidates
            if name not in pending.tried and self._can_take_flow(name, pending)
        )
        return next(usable, '')

    def _can_take_flow(self, upstream: str, pending: _PendingFlow) -> bool:
        if not self._mover.accepts_new_flows(upstream):
            return False
        if not self._mover.is_reachable(upstream):
            return False
        if not self.admission.may_open(upstream):
            return False
        verdict = self.admission.verdict(upstream)
        if verdict is Verdict.DEAD:
            return self.admission.may_probe(upstream)
        if upstream in self._state.membership.dead_upstreams():
            return False
        return verdict is Verdict.USABLE or not pending.tried

    def _reason_for_no_choice(self, pending: _PendingFlow) -> RefusalReason:
        if pending.tried:
            return RefusalReason.UPSTREAM_REFUSED
        service = pending.located.service
        if any(
            self._mover.is_eligible(upstream.name)
            for upstream in service.upstreams
        ):
            return RefusalReason.NO_ROOM
        return RefusalReason.NO_UPSTREAM

    async def _prepare_bucket(
        self, pending: _PendingFlow, upstream: str
    ) -> bool:
        """Put the bucket in motion unless the upstream is its first base.

        Returns:
            False when an upstream must be chosen again.
        """
        located = pending.located
        service_name = located.service.name
        bucket = self._state.table.state(service_name, located.index)
        if bucket.through_owner or upstream == bucket.bases[0]:
            return True
        await self._mover.put_in_motion(service_name, located.index)
        return self._is_pending(pending) and upstream == self._choose_upstream(
            pending
        )

    async def _send_and_await(
        self, pending: _PendingFlow, upstream: str
    ) -> Outcome:
        located = pending.located
        pending.entry.upstream = upstream
        pending.outcome = asyncio.get_running_loop().create_future()
        if self.admission.verdict(upstream) is Verdict.DEAD:
            self.admission.record_probe(upstream)
        self.admission.record_placement(pending.entry)
        pending.sent_at_s = self._state.now()
        self._mover.back_up_entry(
            located.service.name, located.index, located.key
        )
        self._state.counters.flows_placed += 1
        self._exit.to_upstream(located.service, upstream, located.packet)
        try:
            async with asyncio.timeout(self._answer_timeout_s(pending)):
                return await pending.outcome
        except TimeoutError:
            return Outcome.UNANSWERED

    def _answer_timeout_s(self, pending: _PendingFlow) -> float:
        remaining_s = pending.deadline_s - self._state.now()
        retry_s = pending.located.service.connect_retry_s
        return max(min(remaining_s, retry_s), 0)

    def _abandon_upstream(
        self, pending: _PendingFlow, upstream: str, outcome: Outcome
    ) -> None:
        located = pending.located
        if self._mover.is_reachable(upstream):
            self.admission.record_failure(upstream, _FAILURES[outcome])
        pending.tried.add(upstream)
        self.admission.uncount(pending.entry)
        pending.entry.upstream = ''
        if located.service.key.protocol == packets.TCP:
            reset = packets.build_reset_as_sender(located.packet)
            self._exit.to_upstream(located.service, upstream, reset)

    def _reason_not_to_retry(
        self, pending: _PendingFlow
    ) -> RefusalReason | None:
        now_s = self._state.now()
        if now_s >= pending.deadline_s:
            return RefusalReason.CONNECT_DEADLINE
        if not self._budget(pending.located.service).take(now_s):
            return RefusalReason.RETRY_BUDGET
        return None

    def _budget(self, service: Service) -> RetryBudget:
        budget = self._budgets.get(service.name)
        if budget is None:
            budget = RetryBudget(RetryBudgetSettings(), self._state.now())
            self._budgets[service.name] = budget
        return budget

    def _refuse(self, pending: _PendingFlow, reason: RefusalReason) -> None:
        located = pending.located
        self._exit.refuse(located.service, located.packet, reason)
        self._close(pending)

    def _close(self, pending: _PendingFlow) -> None:
        """End a placement and mark the entry as closing.

        The entry stays for some seconds, so that late answers of the upstreams
        are recognized and not sent to the caller.
        """
        located = pending.located
        self._pending_flows.pop((located.service.name, located.key), None)
        self.admission.uncount(pending.entry)
        pending.entry.state = FlowState.CLOSING
        pending.entry.upstream = ''


def _set_outcome(pending: _PendingFlow, outcome: Outcome) -> None:
    if pending.outcome is not None and not pending.outcome.done():
        pending.outcome.set_result(outcome)
