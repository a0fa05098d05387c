"""The replicated state of a bucket and how two versions of it are merged.

A bucket decides to which upstream the flows that hash to it are sent. New
flows go to ``current``. A flow for which the bucket's owner has no entry is on
one of ``bases``. While ``through_owner`` is set, every packet is sent through
the bucket's owner, because the flows may be on several upstreams and only the
owner's entries show which flow is on which.
"""

import dataclasses

from hibiscushatch_core.hashing import hash_text

SEEN_STAMPS_MAX = 8
_MERGE_DIGEST_MASK = 0xFFFFFFFF


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """Identifies one change of a bucket.

    Attributes:
        version: Rises with every change.
        writer: Name of the entry VM that made the change.
    """

    version: int
    writer: str


@dataclasses.dataclass(frozen=True, slots=True)
class BucketState:
    """One version of a bucket.

    Attributes:
        stamp: The change that made this version.
        through_owner: Whether all packets are sent through the owner.
        bases: Upstreams that may hold flows without an entry, the most
            likely first.
        current: Upstream for new flows.
        seen: The newest earlier change of each writer that this version
            includes; at most ``SEEN_STAMPS_MAX``, the newest ones.
    """

    stamp: Stamp
    through_owner: bool
    bases: tuple[str, ...]
    current: str
    seen: tuple[Stamp, ...] = ()

    @property
    def is_stable(self) -> bool:
        """Whether packets can be routed without going through the owner."""
        return not self.through_owner

    def includes(self, stamp: Stamp) -> bool:
        """Return whether this version includes a change.

        Args:
            stamp: The change.

        Returns:
            True when the change made this version or an earlier version that
            this one was derived from.
        """
        if stamp == self.stamp:
            return True
        return any(
            earlier.writer == stamp.writer and earlier.version >= stamp.version
            for earlier in self.seen
        )


def initial_state(generation: int, upstream: str) -> BucketState:
    """Build the state of a bucket that no entry VM has changed yet.

    Args:
        generation: Manifest generation that the layout was made from.
        upstream: The upstream that the layout assigns to the bucket.

    Returns:
        A stable state whose stamp is older than that of any change.
    """
    stamp = Stamp(0, f'generation-{generation:012d}')
    return BucketState(stamp, False, (upstream,), upstream)


def change_state(
    state: BucketState,
    writer: str,
    *,
    through_owner: bool,
    bases: tuple[str, ...],
    current: str,
) -> BucketState:
    """Build the next version of a bucket.

    Args:
        state: The version to replace.
        writer: Name of the entry VM that makes the change.
        through_owner: Whether all packets are sent through the owner.
        bases: Upstreams that may hold flows without an entry.
        current: Upstream for new flows.

    Returns:
        A state that includes all changes of the given one.
    """
    return BucketState(
        Stamp(state.stamp.version + 1, writer),
        through_owner,
        bases,
        current,
        _newest_by_writer((state.stamp, *state.seen)),
    )


def merge_states(left: BucketState, right: BucketState) -> BucketState:
    """Merge two versions of one bucket.

    A version that includes the other replaces it. Concurrent versions, such
    as those made on both sides of a partition, are combined: the result keeps
    the bases of both, because a flow without an entry may be on the upstream
    of either side.

    Args:
        left: One version.
        right: The other version.

    Returns:
        The merged version; it does not depend on the order of the arguments.
    """
    if left == right:
        return left
    newer, older = left, right
    if older.stamp > newer.stamp:
        newer, older = older, newer
    if newer.stamp != older.stamp and newer.includes(older.stamp):
        return newer
    if _same_routing(newer, older):
        stamps = (older.stamp, *older.seen, *newer.seen)
        earlier = tuple(stamp for stamp in stamps if stamp != newer.stamp)
        return dataclasses.replace(newer, seen=_newest_by_writer(earlier))
    return _merge_concurrent(newer, older)


def _same_routing(left: BucketState, right: BucketState) -> bool:
    return (
        left.through_owner == right.through_owner
        and left.bases == right.bases
        and left.current == right.current
    )


def _merge_concurrent(newer: BucketState, older: BucketState) -> BucketState:
    # The digest is computed from the repr of the stamps. Renaming Stamp or its
    # fields would change it, but all entry VMs must compute the same digest.
    digest = hash_text(f'{newer.stamp}{older.stamp}') & _MERGE_DIGEST_MASK
    added_bases = sorted(set(older.bases) - set(newer.bases))
    stamps = (newer.stamp, older.stamp, *newer.seen, *older.seen)
    return BucketState(
        Stamp(newer.stamp.version + 1, f'join-{digest:08x}'),
        True,
        (*newer.bases, *added_bases),
        newer.current,
        _newest_by_writer(stamps),
    )


def _newest_by_writer(stamps: tuple[Stamp, ...]) -> tuple[Stamp, ...]:
    newest: dict[str, Stamp] = {}
    for stamp in stamps:
        latest = newest.get(stamp.writer)
        if latest is None or latest < stamp:
            newest[stamp.writer] = stamp
    ordered = sorted(newest.values(), reverse=True)
    return tuple(ordered[:SEEN_STAMPS_MAX])
