"""The bucket states of all services as this entry VM knows them."""

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
        """Digest of all states; equal tables have equal digests."""
        total = 0
        for digest in self._digests.values():
            total ^= digest
        return total & DIGEST_MASK

    def service_digest(self, service: str) -> int:
        """Return the digest of one service's states."""
        return self._digests.get(service, 0)

    def has(self, service: str, index: int) -> bool:
        """Tell whether a bucket exists."""
        return index < len(self._states.get(service, ()))

    def add_service(self, service: str, layout: Layout) -> None:
        """Create the buckets of a service.

        Args:
            service: Its name.
            layout: The assignment to begin with.
        """
        self._layouts[service] = layout
        self._states[service] = layout.states()
        self._digests[service] = layout.digest
        self._in_motion[service] = set()

    def layout(self, service: str) -> Layout:
        """Return the assignment that a service began with."""
        return self._layouts[service]

    def join_layout(self, service: str, layout: Layout) -> None:
        """Unite a layout that another VM began with into the buckets.

        Both VMs go on to the younger layout's digest, and each bucket whose
        first upstreams differ knows both.

        Args:
            service: Name of the service.
            layout: The other VM's layout.
        """
        mine = self._layouts[service]
        if mine == layout or len(mine.upstreams) != len(layout.upstreams):
            return
        for index, state in enumerate(layout.states()):
            self.join(service, index, state)
        newer = max(mine, layout, key=lambda one: (one.generation, one.digest))
        self._layouts[service] = newer
        self._digests[service] ^= mine.digest ^ newer.digest

    def remove_service(self, service: str) -> None:
        """Drop the buckets of a service that left the manifest."""
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

    def join(self, service: str, index: int, state: BucketState) -> bool:
        """Join a state from another VM into a bucket.

        Args:
            service: Name of the service.
            index: Number of the bucket.
            state: The other VM's view.

        Returns:
            True when the bucket's state changed.
        """
        old = self._states[service][index]
        joined = merge_states(old, state)
        if joined == old:
            return False
        self.put(service, index, joined)
        return True

    def changed_states(self, service: str) -> Iterator[tuple[int, BucketState]]:
        """Yield index and state of each bucket that was ever moved."""
        for index, state in enumerate(self._states.get(service, ())):
            if state.stamp.version:
                yield index, state


def _digest_state(service: str, index: int, state: BucketState) -> int:
    if not state.stamp.version:
        return 0
    stamp = state.stamp
    return hash_text(f'{service}/{index}/{stamp.version}/{stamp.writer}')
