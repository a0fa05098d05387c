"""Placing a new flow: choose an upstream, await its answer, try another.

One task a new flow, from its SYN to the upstream's answer or the refusal.
No payload can have been forwarded before the answer, so a refusal from here
is always true.
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

ROOM_POLL_S = 0.05
ROOM_WAIT_S = 2.0


class Answer(enum.Enum):
    """What came of one placement."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNANSWERED = 'unanswered'


_FAILURES = {
    Answer.REFUSED: Failure.REFUSED,
    Answer.UNANSWERED: Failure.UNANSWERED,
}
_RETRY_REASONS = {
    Answer.REFUSED: RetryReason.CONNECT_REFUSED,
    Answer.UNANSWERED: RetryReason.CONNECT_UNANSWERED,
}


@dataclasses.dataclass(slots=True)
class _Attempt:
    """A flow that is being placed.

    Attributes:
        located: Its SYN.
        entry: Its entry.
        deadline_s: When it is refused at the latest.
        sent_at_s: When it was placed last.
        answer: Set with the answer of the placement under way.
        tried: Upstreams it was placed on in vain.
    """

    located: LocatedPacket
    entry: FlowEntry
    deadline_s: float
    sent_at_s: float = 0
    answer: asyncio.Future[Answer] | None = None
    tried: set[str] = dataclasses.field(default_factory=set)


class Connector:
    """Places new flows, one task each."""

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
        self._attempts: dict[tuple[str, int], _Attempt] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._budgets: dict[str, RetryBudget] = {}
        self.admission = admission

    def begin(self, located: LocatedPacket) -> None:
        """Begin to place the flow of a SYN.

        Args:
            located: The SYN.
        """
        service = located.service
        now_s = self._state.now()
        entry = FlowEntry('', FlowState.CONNECTING, now_s)
        self._state.flows.put(service.name, located.index, located.key, entry)
        attempt = _Attempt(located, entry, now_s + service.connect_deadline_s)
        self._attempts[(service.name, located.key)] = attempt
        self._budget(service).record_flow(now_s)
        task = asyncio.create_task(self._place(attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def repeat(self, located: LocatedPacket, entry: FlowEntry) -> None:
        """Handle a further packet of a caller whose flow is being placed.

        Args:
            located: A repeated SYN, or the caller's reset.
            entry: The flow's entry.
        """
        flags = located.headers.tcp_flags
        if flags & packets.TCP_RST:
            self._cancel(located, entry)
        elif entry.upstream and not flags & packets.TCP_SYN:
            self._accept_unseen(located, entry)
        elif entry.upstream:
            self._exit.to_upstream(
                located.service, entry.upstream, located.packet
            )
        else:
            self._exit.drop(DropReason.PLACEMENT_PENDING)

    def _accept_unseen(self, located: LocatedPacket, entry: FlowEntry) -> None:
        """Take a caller's acknowledgement for the answer it must have had.

        The answer itself went to the caller by a VM with another view.
        """
        entry.state = FlowState.OPEN
        self._settle(located, Answer.ACCEPTED)
        self._exit.to_upstream(located.service, entry.upstream, located.packet)

    def take_answer(self, located: LocatedPacket, entry: FlowEntry) -> None:
        """Handle the answer of the upstream that a flow is placed on.

        Args:
            located: Its SYN-ACK or reset.
            entry: The flow's entry.
        """
        if located.headers.tcp_flags & packets.TCP_RST:
            self._settle(located, Answer.REFUSED)
            return
        entry.state = FlowState.OPEN
        self._note_handshake(located, entry)
        self._settle(located, Answer.ACCEPTED)
        self._exit.to_caller(located.packet)

    async def stop(self) -> None:
        """Wait for the flows being placed, then return."""
        if self._tasks:
            await asyncio.wait(tuple(self._tasks))

    def _settle(self, located: LocatedPacket, answer: Answer) -> None:
        attempt = self._attempts.get((located.service.name, located.key))
        if attempt is not None:
            _settle_attempt(attempt, answer)

    def _note_handshake(self, located: LocatedPacket, entry: FlowEntry) -> None:
        attempt = self._attempts.get((located.service.name, located.key))
        if attempt is not None:
            handshake_s = self._state.now() - attempt.sent_at_s
            self.admission.answered(entry.upstream, handshake_s)

    def _cancel(self, located: LocatedPacket, entry: FlowEntry) -> None:
        attempt = self._attempts.get((located.service.name, located.key))
        if entry.upstream:
            self._exit.to_upstream(
                located.service, entry.upstream, located.packet
            )
            self.admission.uncount(entry)
        if attempt is not None:
            self._forget(attempt)
            _settle_attempt(attempt, Answer.UNANSWERED)

    async def _place(self, attempt: _Attempt) -> None:
        while self._is_current(attempt):
            upstream = self._choose(attempt)
            if not upstream and self._may_get_room(attempt):
                await asyncio.sleep(ROOM_POLL_S)
            elif not upstream:
                self._refuse(attempt, self._reason_without_choice(attempt))
            elif await self._prepare(attempt, upstream):
                await self._place_on(attempt, upstream)

    async def _place_on(self, attempt: _Attempt, upstream: str) -> None:
        """Try one upstream; end the attempt unless it is to be retried."""
        located = attempt.located
        answer = await self._try(attempt, upstream)
        if not self._is_current(attempt):
            return
        if answer is Answer.ACCEPTED:
            self._attempts.pop((located.service.name, located.key))
            return
        if not self._state.owns(located.service.name, located.index):
            self._leave(attempt)
            return
        is_partial = self._state.ownership.is_view_partial(self._state.now())
        if answer is Answer.UNANSWERED and is_partial:
            self._repeat_unanswered(attempt)
            return
        self._abandon(attempt, upstream, answer)
        refusal = self._reason_not_to_retry(attempt)
        if refusal is None:
            self._state.counters.retries[_RETRY_REASONS[answer]] += 1
        else:
            self._refuse(attempt, refusal)

    def _repeat_unanswered(self, attempt: _Attempt) -> None:
        """Let the SYN be sent again to the same upstream.

        While a failure domain is out of touch, the answer may have gone to
        the caller by a VM with another view, so nothing is reset or refused.
        """
        self.admission.uncount(attempt.entry)
        reason = _RETRY_REASONS[Answer.UNANSWERED]
        self._state.counters.retries[reason] += 1
        if self._state.now() >= attempt.deadline_s:
            self._leave(attempt)

    def _leave(self, attempt: _Attempt) -> None:
        """End an attempt whose answer may have gone by another VM."""
        located = attempt.located
        service_name = located.service.name
        self._attempts.pop((service_name, located.key))
        self.admission.uncount(attempt.entry)
        self._state.flows.remove(service_name, located.index, located.key)

    def _may_get_room(self, attempt: _Attempt) -> bool:
        """Tell whether a share that is due here may be granted in a moment.

        An entry VM that has just become the owner of a bucket waits for the
        other VMs' confirmation of its claim.
        """
        if self._state.now() - attempt.entry.seen_at_s > ROOM_WAIT_S:
            return False
        if not self.admission.follows_owners():
            return True
        return any(
            self.admission.ledger.is_below_target(one.name)
            and self._mover.is_eligible(one.name)
            for one in attempt.located.service.upstreams
        )

    def _is_current(self, attempt: _Attempt) -> bool:
        located = attempt.located
        known = self._attempts.get((located.service.name, located.key))
        return known is attempt

    def _choose(self, attempt: _Attempt) -> str:
        located = attempt.located
        service_name = located.service.name
        bucket = self._state.table.state(service_name, located.index)
        candidates = (
            bucket.current,
            *self._mover.alternatives(service_name, located.index),
        )
        usable = (
            name
            for name in candidates
            if name not in attempt.tried and self._takes_flow(name, attempt)
        )
        return next(usable, '')

    def _takes_flow(self, upstream: str, attempt: _Attempt) -> bool:
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
        return verdict is Verdict.USABLE or not attempt.tried

    def _reason_without_choice(self, attempt: _Attempt) -> RefusalReason:
        if attempt.tried:
            return RefusalReason.UPSTREAM_REFUSED
        service = attempt.located.service
        if any(self._mover.is_eligible(one.name) for one in service.upstreams):
            return RefusalReason.NO_ROOM
        return RefusalReason.NO_UPSTREAM

    async def _prepare(self, attempt: _Attempt, upstream: str) -> bool:
        """Put the bucket in motion if it doesn't explain the placement.

        Returns:
            False when the choice must be made again.
        """
        located = attempt.located
        service_name = located.service.name
        bucket = self._state.table.state(service_name, located.index)
        if bucket.through_owner or upstream == bucket.bases[0]:
            return True
        await self._mover.open_bucket(service_name, located.index)
        return self._is_current(attempt) and upstream == self._choose(attempt)

    async def _try(self, attempt: _Attempt, upstream: str) -> Answer:
        located = attempt.located
        attempt.entry.upstream = upstream
        attempt.answer = asyncio.get_running_loop().create_future()
        if self.admission.verdict(upstream) is Verdict.DEAD:
            self.admission.probe_started(upstream)
        self.admission.placed(attempt.entry)
        attempt.sent_at_s = self._state.now()
        self._mover.note_entry(located.service.name, located.index, located.key)
        self._state.counters.flows_placed += 1
        self._exit.to_upstream(located.service, upstream, located.packet)
        try:
            async with asyncio.timeout(self._patience_s(attempt)):
                return await attempt.answer
        except TimeoutError:
            return Answer.UNANSWERED

    def _patience_s(self, attempt: _Attempt) -> float:
        remaining_s = attempt.deadline_s - self._state.now()
        retry_s = attempt.located.service.connect_retry_s
        return max(min(remaining_s, retry_s), 0)

    def _abandon(
        self, attempt: _Attempt, upstream: str, answer: Answer
    ) -> None:
        located = attempt.located
        if self._mover.is_reachable(upstream):
            self.admission.failed(upstream, _FAILURES[answer])
        attempt.tried.add(upstream)
        self.admission.uncount(attempt.entry)
        attempt.entry.upstream = ''
        if located.service.key.protocol == packets.TCP:
            reset = packets.build_reset_as_sender(located.packet)
            self._exit.to_upstream(located.service, upstream, reset)

    def _reason_not_to_retry(self, attempt: _Attempt) -> RefusalReason | None:
        now_s = self._state.now()
        if now_s >= attempt.deadline_s:
            return RefusalReason.CONNECT_DEADLINE
        if not self._budget(attempt.located.service).take(now_s):
            return RefusalReason.RETRY_BUDGET
        return None

    def _budget(self, service: Service) -> RetryBudget:
        budget = self._budgets.get(service.name)
        if budget is None:
            budget = RetryBudget(RetryBudgetSettings(), self._state.now())
            self._budgets[service.name] = budget
        return budget

    def _refuse(self, attempt: _Attempt, reason: RefusalReason) -> None:
        located = attempt.located
        self._exit.refuse(located.service, located.packet, reason)
        self._forget(attempt)

    def _forget(self, attempt: _Attempt) -> None:
        """End an attempt; its entry stays a while to turn late answers away."""
        located = attempt.located
        self._attempts.pop((located.service.name, located.key), None)
        self.admission.uncount(attempt.entry)
        attempt.entry.state = FlowState.CLOSING
        attempt.entry.upstream = ''


def _settle_attempt(attempt: _Attempt, answer: Answer) -> None:
    if attempt.answer is not None and not attempt.answer.done():
        attempt.answer.set_result(answer)
