"""The entries of the flows whose buckets this entry VM owns or backs up.

An entry records which upstream a flow is on. This is needed when the state of
its bucket doesn't determine the upstream, and to count the open flows of each
upstream. Entries are slotted to save memory, because an entry VM holds
hundreds of thousands of them.
"""

import dataclasses
import enum
from collections.abc import Iterator


class FlowState(enum.IntEnum):
    """Whether a flow is being placed, open or closing."""

    CONNECTING = 0
    OPEN = 1
    CLOSING = 2


@dataclasses.dataclass(slots=True)
class FlowEntry:
    """The entry of one flow.

    Attributes:
        upstream: Name of the upstream that the flow is placed on; empty when
            it is on none.
        state: State of the flow.
        seen_at_s: When a packet of the flow, or its entry from another VM, last
            arrived here.
        waiting_since_s: When the caller sent the first payload that no reply
            has followed; 0 when it waits for no reply.
        unconfirmed: Whether the upstream was inferred from the bucket when a
            caller's packet came, and no reply has confirmed it yet.
        counted: Whether the flow is counted as an open flow of this VM.
    """

    upstream: str
    state: FlowState
    seen_at_s: float
    waiting_since_s: float = 0
    unconfirmed: bool = False
    counted: bool = False


class FlowTable:
    """Flow entries by service, bucket index and flow key."""

    def __init__(self) -> None:
        self._buckets: dict[tuple[str, int], dict[int, FlowEntry]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def find(self, service: str, index: int, key: int) -> FlowEntry | None:
        """Return the entry of a flow; None when it has none."""
        bucket = self._buckets.get((service, index))
        return bucket.get(key) if bucket else None

    def put(self, service: str, index: int, key: int, entry: FlowEntry) -> None:
        """Add or replace the entry of a flow."""
        bucket = self._buckets.setdefault((service, index), {})
        self._size += int(key not in bucket)
        bucket[key] = entry

    def remove(self, service: str, index: int, key: int) -> FlowEntry | None:
        """Remove the entry of a flow and return it; None if it had none."""
        bucket = self._buckets.get((service, index), {})
        entry = bucket.pop(key, None)
        if entry is not None:
            self._size -= 1
        return entry

    def bucket(self, service: str, index: int) -> dict[int, FlowEntry]:
        """Return the entries of a bucket by flow key; not a copy."""
        return self._buckets.get((service, index), {})

    def buckets(
        self,
    ) -> Iterator[tuple[str, int, dict[int, FlowEntry]]]:
        """Yield service, index and entries of each bucket with entries."""
        for (service, index), entries in tuple(self._buckets.items()):
            if entries:
                yield service, index, entries

    def count(self, service: str) -> int:
        """Count the entries of a service."""
        return sum(
            len(entries)
            for name, _, entries in self.buckets()
            if name == service
        )
