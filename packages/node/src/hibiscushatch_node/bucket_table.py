"""The bucket states of all services, as known to this entry VM."""

from collections.abc import Iterator

from hibiscushatch_core.buckets import BucketState, merge_states
from hibiscushatch_core.hashing import hash_text
from hibiscushatch_core.layout import Layout

DIGEST_MASK = 0xFFFFFFFF


class BucketTable:
    """Bucket states by service, with a digest of each service's states."""

    def __init__(self) -> None:
        self._states: dict[str, list[BucketState]] = {}
        self._layouts: dict[str, Layout] = {}
        self._digests: dict[str, int] = {}
        self._in_motion: dict[str, set[int]] = {}

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the services that have buckets."""
        return tuple(self._states)

    @property
    def digest(self) -> int:
        """Digest of the whole table; equal tables have equal digests."""
        total = 0
        for digest in self._digests.values():
            total ^= digest
        return total & DIGEST_MASK

    def service_digest(self, service: str) -> int:
        """Return the digest of one service's states."""
        return self._digests.get(service, 0)

    def has_bucket(self, service: str, index: int) -> bool:
        """Return whether a bucket exists."""
        return index < len(self._states.get(service, ()))

    def add_service(self, service: str, layout: Layout) -> None:
        """Create the buckets of a service.

        Args:
            service: Name of the service.
            layout: The initial assignment of its buckets.
        """
        self._layouts[service] = layout
        self._states[service] = layout.states()
        self._digests[service] = layout.digest
        self._in_motion[service] = set()

    def layout(self, service: str) -> Layout:
        """Return the layout that a service's buckets started from."""
        return self._layouts[service]

    def merge_layout(self, service: str, layout: Layout) -> None:
        """Merge the layout that another VM started from into the buckets.

        Each bucket that the two layouts assign to different upstreams gets
        both upstreams as bases. Both VMs then keep the newer layout, so their
        digests become equal.

        Args:
            service: Name of the service.
            layout: The other VM's layout.
        """
        own = self._layouts[service]
        if own == layout or len(own.upstreams) != len(layout.upstreams):
            return
        for index, state in enumerate(layout.states()):
            self.merge(service, index, state)
        newer = max(
            own, layout, key=lambda item: (item.generation, item.digest)
        )
        self._layouts[service] = newer
        self._digests[service] ^= own.digest ^ newer.digest

    def remove_service(self, service: str) -> None:
        """Drop the buckets of a service that was removed or resized."""
        self._states.pop(service, None)
        self._digests.pop(service, None)
        self._layouts.pop(service, None)
        self._in_motion.pop(service, None)

    def state(self, service: str, index: int) -> BucketState:
        """Return the state of a bucket."""
        return self._states[service][index]

    def states(self, service: str) -> list[BucketState]:
        """Return the states of a service by bucket index; not a copy."""
        return self._states.get(service, [])

    def put(self, service: str, index: int, state: BucketState) -> None:
        """Replace the state of a bucket."""
        old = self._states[service][index]
        self._states[service][index] = state
        self._digests[service] ^= _digest_state(service, index, old)
        self._digests[service] ^= _digest_state(service, index, state)
        if state.through_owner:
            self._in_motion[service].add(index)
        else:
            self._in_motion[service].discard(index)

    def in_motion(self, service: str) -> list[int]:
        """Return the indexes of the buckets in motion, in order."""
        return sorted(self._in_motion.get(service, ()))

    def merge(self, service: str, index: int, state: BucketState) -> bool:
        """Merge a bucket state from another VM into the table.

        Args:
            service: Name of the service.
            index: Index of the bucket.
            state: The bucket's state on the other VM.

        Returns:
            True when the bucket's state changed.
        """
        old = self._states[service][index]
        merged = merge_states(old, state)
        if merged == old:
            return False
        self.put(service, index, merged)
        return True

    def changed_states(self, service: str) -> Iterator[tuple[int, BucketState]]:
        """Yield index and state of each bucket changed since its layout."""
        for index, state in enumerate(self._states.get(service, ())):
            if state.stamp.version:
                yield index, state


def _digest_state(service: str, index: int, state: BucketState) -> int:
    if not state.stamp.version:
        return 0
    stamp = state.stamp
    return hash_text(f'{service}/{index}/{stamp.version}/{stamp.writer}')
