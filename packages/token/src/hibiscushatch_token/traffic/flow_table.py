"""The flows that were active here lately, as a measure of load.

The unit of load is the request. A flow is outstanding from its opening packet
until its first request was answered, and after that while a request is under
way. So a flow that is kept open costs nothing between its requests, and a flow
that was opened at another entry VM counts as soon as a request comes on it.

The table only serves placement, admission and health: packets are forwarded by
their token, whether their flow is in the table or not.
"""

import collections
from collections.abc import Iterator

from hibiscushatch_token.model import Upstream
from hibiscushatch_token.ports import FlowPacket

# A caller may continue a flow up to 1.4 s after its first opening packet.
_OPENING_S = 1.4


class FlowRecord:
    """What is known of one flow.

    All times are in monotonic seconds.

    Attributes:
        flow: Addresses and ports of both ends.
        opening: The opening packet with which the flow was first placed; None
            when it was opened at another entry VM or was dropped here.
        priority: Priority of its route.
        upstream: The upstream to which its opening packet went last, or that
            has answered.
        placed_at: When its opening packet was sent last.
        opened_at: When its first opening packet came.
        last_packet_at: When the caller's latest packet came.
        is_answered: Whether the caller has continued after an answer of the
            upstream.
        is_outstanding: Whether the flow counts as outstanding.
        is_retried: Whether the flow was placed again since the caller's latest
            packet.
        is_sent_again: Whether its opening packet was sent to its upstream more
            than once.
        is_repeated: Whether the caller has repeated its opening packet since
            the flow was placed on its upstream.
        is_failure_recorded: Whether the missing answer of its upstream has been
            counted.
        tried: Names of upstreams that did not answer.
        answer_s: How long its upstream took to accept it.
    """

    __slots__ = (
        'flow',
        'opening',
        'priority',
        'upstream',
        'placed_at',
        'opened_at',
        'last_packet_at',
        'is_answered',
        'is_outstanding',
        'is_retried',
        'is_sent_again',
        'is_repeated',
        'is_failure_recorded',
        'tried',
        'answer_s',
    )

    def __init__(
        self,
        flow: bytes,
        opening: FlowPacket | None,
        priority: int,
        upstream: Upstream,
        now: float,
    ) -> None:
        self.flow = flow
        self.opening = opening
        self.priority = priority
        self.upstream = upstream
        self.placed_at = now
        self.opened_at = now
        self.last_packet_at = now
        self.is_answered = False
        self.is_outstanding = False
        self.is_retried = False
        self.is_sent_again = False
        self.is_repeated = False
        self.is_failure_recorded = False
        self.tried: tuple[str, ...] = ()
        self.answer_s = 0.0

    @property
    def tried_with_current(self) -> tuple[str, ...]:
        """Names of upstreams that did not answer, and of the current one."""
        return (*self.tried, self.upstream.name)


class FlowTable:
    """Flows by addresses and ports, with counts of the outstanding ones."""

    def __init__(self) -> None:
        self._flows: dict[bytes, FlowRecord] = {}
        # Flows without an answer of their upstream, earliest placed first.
        self._unanswered: dict[bytes, FlowRecord] = {}
        self._outstanding_by_upstream: collections.Counter[str] = (
            collections.Counter()
        )
        self._outstanding_by_service: collections.Counter[str] = (
            collections.Counter()
        )
        # By service, failure domain of the upstream, and priority.
        self._outstanding_by_key: collections.Counter[tuple[str, str, int]] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, flow: bytes) -> FlowRecord | None:
        """Return the record of a flow; None when it is not in the table."""
        return self._flows.get(flow)

    def outstanding(self, name: str) -> int:
        """Return how many outstanding flows an upstream has from here."""
        return self._outstanding_by_upstream.get(name, 0)

    def outstanding_of_service(self, service: str) -> int:
        """Return how many outstanding flows a service has from here."""
        return self._outstanding_by_service.get(service, 0)

    def outstanding_of_priority(self, service: str, priority: int) -> int:
        """Return how many outstanding flows of a priority a service has."""
        return sum(
            count
            for key, count in self._outstanding_by_key.items()
            if key[0] == service and key[2] == priority
        )

    def outstanding_by_key(self) -> Iterator[tuple[tuple[str, str, int], int]]:
        """Yield outstanding flows by service, upstreams' domain and priority.

        Combinations without an outstanding flow may be missing.
        """
        yield from self._outstanding_by_key.items()

    def place(
        self,
        opening: FlowPacket,
        priority: int,
        upstream: Upstream,
        now: float,
    ) -> None:
        """Add a flow, or move an unanswered one to another upstream."""
        record = self._flows.get(opening.flow)
        if record is None:
            record = FlowRecord(opening.flow, opening, priority, upstream, now)
            self._flows[opening.flow] = record
        else:
            record.tried = record.tried_with_current
            self._reassign(record, upstream)
            record.priority = priority
            record.placed_at = now
            record.is_sent_again = False
            record.is_repeated = False
            record.is_failure_recorded = False
        self._start_counting(record)
        self._unanswered.pop(opening.flow, None)
        self._unanswered[opening.flow] = record

    def record_sent_again(self, record: FlowRecord, now: float) -> None:
        """Record that an opening packet was sent to its upstream again."""
        self.stop_counting(record)
        record.placed_at = now
        record.is_sent_again = True
        self._start_counting(record)
        self._unanswered[record.flow] = record

    def add_continued(
        self, flow: bytes, priority: int, upstream: Upstream, now: float
    ) -> FlowRecord:
        """Add a flow that is open already and continues here."""
        record = FlowRecord(flow, None, priority, upstream, now)
        record.is_answered = True
        self._flows[flow] = record
        return record

    def begin_request(self, record: FlowRecord) -> bool:
        """Count an open flow as outstanding, as a request came on it.

        Returns:
            Whether it was not outstanding before.
        """
        if record.is_outstanding:
            return False
        self._start_counting(record)
        return True

    def end_request(self, record: FlowRecord) -> None:
        """Stop counting a flow as outstanding until its next request."""
        self._stop_counting(record)

    def record_answer(self, record: FlowRecord, upstream: Upstream) -> None:
        """Record the upstream that answered, maybe an earlier one."""
        record.is_answered = True
        self._unanswered.pop(record.flow, None)
        self._reassign(record, upstream)
        self._start_counting(record)

    def remove(self, flow: bytes) -> None:
        """Drop a flow that has ended."""
        record = self._flows.pop(flow, None)
        if record is not None:
            self.stop_counting(record)

    def stop_counting(self, record: FlowRecord) -> None:
        """Stop counting a flow as unanswered and outstanding."""
        self._unanswered.pop(record.flow, None)
        self._stop_counting(record)

    def unanswered(self) -> Iterator[FlowRecord]:
        """Yield the flows without an answer, earliest placed first."""
        yield from tuple(self._unanswered.values())

    def drop_idle(self, before: float) -> None:
        """Drop flows whose latest packet came before a point in time.

        A flow without an answer is kept for as long as its caller may continue
        it, since the record shows to which upstreams it was sent.
        """
        idle = [
            flow
            for flow, record in self._flows.items()
            if record.last_packet_at < before
            and (record.is_answered or record.opened_at < before - _OPENING_S)
        ]
        for flow in idle:
            self.remove(flow)

    def _reassign(self, record: FlowRecord, upstream: Upstream) -> None:
        self.stop_counting(record)
        record.upstream = upstream

    def _start_counting(self, record: FlowRecord) -> None:
        record.is_outstanding = True
        self._count(record, 1)

    def _stop_counting(self, record: FlowRecord) -> None:
        if record.is_outstanding:
            record.is_outstanding = False
            self._count(record, -1)

    def _count(self, record: FlowRecord, change: int) -> None:
        upstream = record.upstream
        self._outstanding_by_upstream[upstream.name] += change
        self._outstanding_by_service[upstream.service] += change
        key = (upstream.service, upstream.domain, record.priority)
        self._outstanding_by_key[key] += change
