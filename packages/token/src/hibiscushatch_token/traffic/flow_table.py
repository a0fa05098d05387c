"""The flows that this entry VM opened and that are not known to have ended.

The table only serves placement and health: packets are forwarded by their
token, whether their flow is in the table or not.
"""

import collections
from collections.abc import Iterator

from hibiscushatch_token.model import Upstream
from hibiscushatch_token.ports import FlowPacket


class FlowRecord:
    """One flow.

    Attributes:
        opening: Its latest opening packet.
        upstream: Where its opening packet went last.
        placed_at: When that was, in monotonic seconds.
        opened_at: When its first opening packet came.
        last_at: When the caller's latest packet came.
        is_answered: The caller has gone on after an answer of the upstream.
        is_counted: It counts as outstanding.
        is_retried: It was placed again since the caller's latest packet.
        is_failed: The missing answer of its upstream has been counted.
        tried: Names of upstreams that did not answer.
        answer_s: How long its upstream took to accept it, in seconds.
    """

    __slots__ = (
        'opening',
        'upstream',
        'placed_at',
        'opened_at',
        'last_at',
        'is_answered',
        'is_counted',
        'is_retried',
        'is_failed',
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
        self.last_at = now
        self.is_answered = False
        self.is_counted = False
        self.is_retried = False
        self.is_failed = False
        self.tried: tuple[str, ...] = ()
        self.answer_s = 0.0

    @property
    def tried_by_now(self) -> tuple[str, ...]:
        """Names of upstreams that did not answer, and of the present one."""
        return (*self.tried, self.upstream.name)


class FlowTable:
    """Flows by their addresses and ports, and counts by upstream."""

    def __init__(self) -> None:
        self._flows: dict[bytes, FlowRecord] = {}
        # Flows whose upstream has yet to answer, the longest placed first.
        self._unanswered: dict[bytes, FlowRecord] = {}
        self._outstanding: collections.Counter[str] = collections.Counter()
        self._by_service: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, flow: bytes) -> FlowRecord | None:
        """Return the record of a flow."""
        return self._flows.get(flow)

    def outstanding(self, name: str) -> int:
        """Return how many flows an upstream has from here."""
        return self._outstanding.get(name, 0)

    def outstanding_on(self, service: str) -> int:
        """Return how many flows a service has from here."""
        return self._by_service.get(service, 0)

    def place(
        self, opening: FlowPacket, upstream: Upstream, now: float
    ) -> None:
        """Add a flow, or move an unanswered one to another upstream."""
        record = self._flows.get(opening.flow)
        if record is None:
            record = FlowRecord(opening, upstream, now)
            self._flows[opening.flow] = record
        else:
            record.tried = record.tried_by_now
            self._move(record, upstream)
            record.placed_at = now
            record.is_failed = False
        self._count(record)
        self._unanswered.pop(opening.flow, None)
        self._unanswered[opening.flow] = record

    def answer(self, record: FlowRecord, upstream: Upstream) -> None:
        """Note which upstream answered, maybe an earlier one."""
        record.is_answered = True
        self._unanswered.pop(record.opening.flow, None)
        self._move(record, upstream)
        self._count(record)

    def remove(self, flow: bytes) -> None:
        """Drop a flow that has ended."""
        record = self._flows.pop(flow, None)
        if record is not None:
            self.settle(record)

    def settle(self, record: FlowRecord) -> None:
        """Cease to wait for an answer and to count a flow as outstanding."""
        self._unanswered.pop(record.opening.flow, None)
        if record.is_counted:
            record.is_counted = False
            self._outstanding[record.upstream.name] -= 1
            self._by_service[record.upstream.service] -= 1

    def unanswered(self) -> Iterator[FlowRecord]:
        """Yield flows that wait for an answer, the longest placed first."""
        yield from tuple(self._unanswered.values())

    def drop_idle(self, before: float) -> None:
        """Drop flows without a packet since a moment."""
        idle = [
            flow
            for flow, record in self._flows.items()
            if record.last_at < before
        ]
        for flow in idle:
            self.remove(flow)

    def _move(self, record: FlowRecord, upstream: Upstream) -> None:
        self.settle(record)
        record.upstream = upstream

    def _count(self, record: FlowRecord) -> None:
        record.is_counted = True
        self._outstanding[record.upstream.name] += 1
        self._by_service[record.upstream.service] += 1
