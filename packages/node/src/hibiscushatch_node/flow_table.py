"""The flows that this entry VM has seen as the owner of their buckets.

An entry explains a flow that its bucket can't, and counts an open flow on
its upstream. It is as small as a slotted object allows, since an entry VM
holds hundreds of thousands.
"""

import dataclasses
import enum
from collections.abc import Iterator


class FlowState(enum.IntEnum):
    """How far a flow is."""

    CONNECTING = 0
    OPEN = 1
    CLOSING = 2


@dataclasses.dataclass(slots=True)
class FlowEntry:
    """One flow.

    Attributes:
        upstream: Name of the upstream it is placed on; empty before.
        state: How far it is.
        seen_at_s: When its last packet passed here.
        waiting_since_s: When the caller sent payload that no reply has
            followed; 0 when it waits for nothing.
        learned: Whether it was entered from a caller's packet alone, and no
            reply has confirmed its upstream yet.
        counted: Whether it counts as an open flow owned here.
    """

    upstream: str
    state: FlowState
    seen_at_s: float
    waiting_since_s: float = 0
    learned: bool = False
    counted: bool = False


class FlowTable:
    """Entries by service, bucket and flow key."""

    def __init__(self) -> None:
        self._buckets: dict[tuple[str, int], dict[int, FlowEntry]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def find(self, service: str, index: int, key: int) -> FlowEntry | None:
        """Return the entry of a flow, if there is one."""
        bucket = self._buckets.get((service, index))
        return bucket.get(key) if bucket else None

    def put(self, service: str, index: int, key: int, entry: FlowEntry) -> None:
        """Add or replace the entry of a flow."""
        bucket = self._buckets.setdefault((service, index), {})
        self._size += int(key not in bucket)
        bucket[key] = entry

    def remove(self, service: str, index: int, key: int) -> FlowEntry | None:
        """Remove and return the entry of a flow."""
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
        """Yield service, index and entries of each bucket that has any."""
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
