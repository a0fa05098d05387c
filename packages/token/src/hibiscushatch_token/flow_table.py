"""The flows that this entry VM opened and that are not known to have ended.

The table only serves placement and health: packets are forwarded by their
token, whether their flow is in the table or not.
"""

import collections
from collections.abc import Iterator

from hibiscushatch_token.model import Upstream


class FlowRecord:
    """One flow.

    Attributes:
        flow: Addresses and ports of both ends.
        upstream: Where its latest opening packet went.
        placed_at: When that was, in monotonic seconds.
        last_at: When its latest packet came.
        is_answered: The caller has gone on after an answer of the upstream.
        is_overdue: The missing answer has been counted as a failure.
        is_counted: It counts as outstanding.
        tried: Names of upstreams that did not answer.
    """

    __slots__ = (
        'flow',
        'upstream',
        'placed_at',
        'last_at',
        'is_answered',
        'is_overdue',
        'is_counted',
        'tried',
    )

    def __init__(self, flow: bytes, upstream: Upstream, now: float) -> None:
        self.flow = flow
        self.upstream = upstream
        self.placed_at = now
        self.last_at = now
        self.is_answered = False
        self.is_overdue = False
        self.is_counted = True
        self.tried: tuple[str, ...] = ()


class FlowTable:
    """Flows by their addresses and ports, and counts by upstream."""

    def __init__(self) -> None:
        self._flows: dict[bytes, FlowRecord] = {}
        self._outstanding: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, flow: bytes) -> FlowRecord | None:
        """Return the record of a flow."""
        return self._flows.get(flow)

    def outstanding(self, name: str) -> int:
        """Return how many flows an upstream has from here."""
        return self._outstanding[name]

    def place(self, flow: bytes, upstream: Upstream, now: float) -> FlowRecord:
        """Add a flow, or move an unanswered one to another upstream."""
        record = self._flows.get(flow)
        if record is None:
            record = FlowRecord(flow, upstream, now)
            self._flows[flow] = record
        else:
            self.settle(record)
            record.is_counted = True
            record.tried += (record.upstream.name,)
            record.upstream = upstream
            record.placed_at = now
            record.last_at = now
            record.is_overdue = False
        self._outstanding[upstream.name] += 1
        return record

    def remove(self, flow: bytes) -> None:
        """Drop a flow that has ended."""
        record = self._flows.pop(flow, None)
        if record is not None:
            self.settle(record)

    def settle(self, record: FlowRecord) -> None:
        """Cease to count a flow as outstanding; its record stays."""
        if record.is_counted:
            record.is_counted = False
            self._outstanding[record.upstream.name] -= 1

    def unanswered(self, before: float) -> Iterator[FlowRecord]:
        """Yield flows placed before a moment and not answered since."""
        for record in self._flows.values():
            if not record.is_answered and record.placed_at < before:
                yield record

    def drop_idle(self, before: float) -> None:
        """Drop flows without a packet since a moment."""
        idle = [
            flow
            for flow, record in self._flows.items()
            if record.last_at < before
        ]
        for flow in idle:
            self.remove(flow)
