"""The flows that this entry VM opened and that are not known to have ended.

The table only serves placement and health: packets are forwarded by their
token, whether their flow is in the table or not.
"""

import collections
from collections.abc import Iterator

from hibiscushatch_token.model import Upstream
from hibiscushatch_token.ports import FlowPacket


class FlowRecord:
    """What is known of one flow.

    All times are in monotonic seconds.

    Attributes:
        opening: The opening packet with which the flow was first placed.
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
        is_failure_recorded: Whether the missing answer of its upstream has been
            counted.
        tried: Names of upstreams that did not answer.
        answer_s: How long its upstream took to accept it.
    """

    __slots__ = (
        'opening',
        'upstream',
        'placed_at',
        'opened_at',
        'last_packet_at',
        'is_answered',
        'is_outstanding',
        'is_retried',
        'is_failure_recorded',
        'tried',
        'answer_s',
    )

    def __init__(
        self, opening: FlowPacket, upstream: Upstream, now: float
    ) -> None:
        self.opening = opening
        self.upstream = upstream
        self.placed_at = now
        self.opened_at = now
        self.last_packet_at = now
        self.is_answered = False
        self.is_outstanding = False
        self.is_retried = False
        self.is_failure_recorded = False
        self.tried: tuple[str, ...] = ()
        self.answer_s = 0.0

    @property
    def tried_with_current(self) -> tuple[str, ...]:
        """Names of upstreams that did not answer, and of the current one."""
        return (*self.tried, self.upstream.name)


class FlowTable:
    """Flows by addresses and ports, counted by upstream and service."""

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

    def place(
        self, opening: FlowPacket, upstream: Upstream, now: float
    ) -> None:
        """Add a flow, or move an unanswered one to another upstream."""
        record = self._flows.get(opening.flow)
        if record is None:
            record = FlowRecord(opening, upstream, now)
            self._flows[opening.flow] = record
        else:
            record.tried = record.tried_with_current
            self._reassign(record, upstream)
            record.placed_at = now
            record.is_failure_recorded = False
        self._start_counting(record)
        self._unanswered.pop(opening.flow, None)
        self._unanswered[opening.flow] = record

    def record_answer(self, record: FlowRecord, upstream: Upstream) -> None:
        """Record the upstream that answered, maybe an earlier one."""
        record.is_answered = True
        self._unanswered.pop(record.opening.flow, None)
        self._reassign(record, upstream)
        self._start_counting(record)

    def remove(self, flow: bytes) -> None:
        """Drop a flow that has ended."""
        record = self._flows.pop(flow, None)
        if record is not None:
            self.stop_counting(record)

    def stop_counting(self, record: FlowRecord) -> None:
        """Stop counting a flow as unanswered and outstanding."""
        self._unanswered.pop(record.opening.flow, None)
        if record.is_outstanding:
            record.is_outstanding = False
            self._outstanding_by_upstream[record.upstream.name] -= 1
            self._outstanding_by_service[record.upstream.service] -= 1

    def unanswered(self) -> Iterator[FlowRecord]:
        """Yield the flows without an answer, earliest placed first."""
        yield from tuple(self._unanswered.values())

    def drop_idle(self, before: float) -> None:
        """Drop flows whose latest packet came before a point in time."""
        idle = [
            flow
            for flow, record in self._flows.items()
            if record.last_packet_at < before
        ]
        for flow in idle:
            self.remove(flow)

    def _reassign(self, record: FlowRecord, upstream: Upstream) -> None:
        self.stop_counting(record)
        record.upstream = upstream

    def _start_counting(self, record: FlowRecord) -> None:
        record.is_outstanding = True
        self._outstanding_by_upstream[record.upstream.name] += 1
        self._outstanding_by_service[record.upstream.service] += 1
