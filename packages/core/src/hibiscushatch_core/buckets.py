"""The shared state of a bucket and how two views of it are joined.

A bucket says where the flows that hash to it go. ``current`` takes its new
flows; flows for which the owner has no entry are on one of ``bases``. While
``through_owner`` is set, every packet passes the bucket's owner, because the
bucket alone can't tell its flows' upstreams apart.
"""

import dataclasses

from hibiscushatch_core.hashing import hash_text

WRITERS_REMEMBERED = 8
_JOIN_DIGEST_MASK = 0xFFFFFFFF


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
        through_owner: Whether all packets pass the owner.
        bases: Upstreams of flows without an entry, the likeliest first.
        current: Upstream for new flows.
        seen: The newest change of each writer that this version follows.
    """

    stamp: Stamp
    through_owner: bool
    bases: tuple[str, ...]
    current: str
    seen: tuple[Stamp, ...] = ()

    @property
    def is_stable(self) -> bool:
        """Whether the bucket alone tells where its packets go."""
        return not self.through_owner

    def follows(self, stamp: Stamp) -> bool:
        """Tell whether this version was made knowing a change.

        Args:
            stamp: The change.

        Returns:
            True when the change is this version's or an ancestor's.
        """
        if stamp == self.stamp:
            return True
        return any(
            one.writer == stamp.writer and one.version >= stamp.version
            for one in self.seen
        )


def initial_state(generation: int, upstream: str) -> BucketState:
    """Build the state of a bucket that nobody has moved yet.

    Args:
        generation: Manifest generation that the assignment came from.
        upstream: The upstream assigned.

    Returns:
        A stable state, older than any change that a VM makes.
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
    """Make the next version of a bucket.

    Args:
        state: The version that is replaced.
        writer: Name of the entry VM that makes the change.
        through_owner: Whether all packets pass the owner from now on.
        bases: Upstreams of flows without an entry.
        current: Upstream for new flows.

    Returns:
        A state that follows the one given.
    """
    return BucketState(
        Stamp(state.stamp.version + 1, writer),
        through_owner,
        bases,
        current,
        _newest_by_writer((state.stamp, *state.seen)),
    )


def join_states(left: BucketState, right: BucketState) -> BucketState:
    """Join two views of one bucket.

    A version that follows the other replaces it. Two versions made without
    knowledge of each other, as on the sides of a partition, are united: no
    flow without an entry may be looked for on one side's upstream alone.

    Args:
        left: One view.
        right: The other view.

    Returns:
        The joined view; the same whichever way round they are given.
    """
    if left == right:
        return left
    newer, older = left, right
    if older.stamp > newer.stamp:
        newer, older = older, newer
    if newer.stamp != older.stamp and newer.follows(older.stamp):
        return newer
    if _same_routing(newer, older):
        known = (older.stamp, *older.seen, *newer.seen)
        followed = tuple(stamp for stamp in known if stamp != newer.stamp)
        return dataclasses.replace(newer, seen=_newest_by_writer(followed))
    return _unite(newer, older)


def _same_routing(left: BucketState, right: BucketState) -> bool:
    return (
        left.through_owner == right.through_owner
        and left.bases == right.bases
        and left.current == right.current
    )


def _unite(newer: BucketState, older: BucketState) -> BucketState:
    digest = hash_text(f'{newer.stamp}{older.stamp}') & _JOIN_DIGEST_MASK
    others = sorted(set(older.bases) - set(newer.bases))
    stamps = (newer.stamp, older.stamp, *newer.seen, *older.seen)
    return BucketState(
        Stamp(newer.stamp.version + 1, f'join-{digest:08x}'),
        True,
        (*newer.bases, *others),
        newer.current,
        _newest_by_writer(stamps),
    )


def _newest_by_writer(stamps: tuple[Stamp, ...]) -> tuple[Stamp, ...]:
    newest: dict[str, Stamp] = {}
    for stamp in stamps:
        known = newest.get(stamp.writer)
        if known is None or known < stamp:
            newest[stamp.writer] = stamp
    ordered = sorted(newest.values(), reverse=True)
    return tuple(ordered[:WRITERS_REMEMBERED])
