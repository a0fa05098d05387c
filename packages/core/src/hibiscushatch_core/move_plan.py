"""Which buckets to move to which upstreams.

Every entry VM computes the same plan from the same table and carries out the
moves of the buckets that it owns. A bucket whose upstream can't have new
flows moves at once. Others move only to even the load: not before an upstream
is out of a band around its quota, and few at a time. Quotas depend on weights
alone, so that carried-out moves never lead back to where they came from.
"""

import collections
import dataclasses
import heapq
from collections.abc import Iterable, Iterator, Mapping, Sequence

from hibiscushatch_core import hashing, share_division


@dataclasses.dataclass(frozen=True, slots=True)
class BucketRow:
    """One bucket of a service.

    Attributes:
        bucket: Its index.
        current: Upstream that its new flows go to, or will go to when it is
            in motion.
        in_motion: Whether a move of it has not ended.
        base_domain: Failure domain of the upstream that holds its old flows;
            empty when it is not known.
    """

    bucket: int
    current: str
    in_motion: bool = False
    base_domain: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRow:
    """One upstream of a service.

    Attributes:
        name: Its name.
        domain: Its failure domain.
        weight: Open flows that it bears now.
        is_eligible: Whether it may have new flows.
        load: Open flows that it has; None when that is not known.
    """

    name: str
    domain: str
    weight: int
    is_eligible: bool = True
    load: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedMove:
    """A bucket that is to change its upstream.

    Attributes:
        bucket: Its index.
        source: The upstream it leaves.
        target: The upstream it goes to.
        is_urgent: Whether the source can't have new flows.
    """

    bucket: int
    source: str
    target: str
    is_urgent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MovePace:
    """How eagerly load is rebalanced.

    Attributes:
        band: Factor around its quota within which an upstream is left alone.
        domain_band: Factor over its quota up to which an upstream takes
            urgent buckets of its own failure domain.
        in_motion_max: Buckets that may be in motion for rebalancing.
    """

    band: float = 1.1
    domain_band: float = 1.03
    in_motion_max: int = 8


DEFAULT_PACE = MovePace()


@dataclasses.dataclass(slots=True)
class _Table:
    """Buckets and upstreams while a plan is made.

    Attributes:
        upstreams: The eligible upstreams by name.
        quotas: How many buckets each of them should have.
        counts: How many it has, planned moves included.
    """

    upstreams: Mapping[str, UpstreamRow]
    quotas: Mapping[str, int]
    counts: collections.Counter[str]

    def lack(self, name: str) -> int:
        """Return how many buckets an upstream is short of."""
        return self.quotas[name] - self.counts[name]

    def move(
        self, row: BucketRow, target: str, *, is_urgent: bool
    ) -> PlannedMove:
        """Count a move and return it."""
        self.counts[row.current] -= 1
        self.counts[target] += 1
        return PlannedMove(row.bucket, row.current, target, is_urgent)


def plan_moves(
    buckets: Sequence[BucketRow],
    upstreams: Sequence[UpstreamRow],
    pace: MovePace = DEFAULT_PACE,
) -> Iterator[PlannedMove]:
    """Plan the moves that the present table calls for.

    Args:
        buckets: All buckets of one service.
        upstreams: Its upstreams, also those that leave.
        pace: How eagerly to even.

    Yields:
        Urgent moves, then moves that even; nothing when no upstream is
        eligible.
    """
    eligible = {one.name: one for one in upstreams if one.is_eligible}
    if not eligible:
        return
    table = _Table(
        upstreams=eligible,
        quotas=divide_buckets(len(buckets), tuple(eligible.values())),
        counts=collections.Counter(row.current for row in buckets),
    )
    yield from _plan_urgent(buckets, table, pace)
    yield from _plan_rebalancing(buckets, table, pace)


def divide_buckets(
    bucket_count: int, upstreams: Sequence[UpstreamRow]
) -> dict[str, int]:
    """Compute how many buckets each upstream should have.

    An upstream with any weight has at least one bucket, since a cold one
    that never got a flow would never be warm.

    Args:
        bucket_count: Buckets of the service.
        upstreams: Its eligible upstreams.

    Returns:
        Numbers by name, which add up to the count.
    """
    weights = {one.name: one.weight for one in upstreams}
    if not any(weights.values()):
        weights = dict.fromkeys(weights, 1)
    quotas = share_division.divide_by_largest_remainder(
        bucket_count, weights, 'quota'
    )
    quotas = {name: quotas.get(name, 0) for name in weights}
    for name in sorted(weights):
        if weights[name] and not quotas[name]:
            _give_one(quotas, name)
    return quotas


def _give_one(quotas: dict[str, int], name: str) -> None:
    largest = max(quotas, key=lambda key: (quotas[key], key))
    if quotas[largest] > 1:
        quotas[largest] -= 1
        quotas[name] = 1


def assign_initially(
    bucket_count: int, upstreams: Sequence[UpstreamRow]
) -> list[str]:
    """Assign all buckets of a service that has no table yet.

    Buckets choose upstreams in the order of their hashes; an upstream over
    its quota keeps those with the highest hashes (deferred acceptance). A
    changed list of upstreams so changes few assignments.

    Args:
        bucket_count: Buckets of the service.
        upstreams: Its upstreams; those not eligible get none.

    Returns:
        Names by bucket index; empty when no upstream is eligible.
    """
    eligible = [one for one in upstreams if one.is_eligible]
    if not eligible:
        return []
    quotas = divide_buckets(bucket_count, eligible)
    accepted: dict[str, list[_Score]] = {name: [] for name in quotas}
    waiting = [_Choice(bucket, quotas) for bucket in range(bucket_count)]
    while waiting:
        choice = waiting.pop()
        score = choice.take_next()
        kept = accepted[score.upstream]
        heapq.heappush(kept, score)
        if len(kept) > quotas[score.upstream]:
            waiting.append(heapq.heappop(kept).choice)
    names = {
        score.choice.bucket: name
        for name, kept in accepted.items()
        for score in kept
    }
    return [names[bucket] for bucket in range(bucket_count)]


class _Choice:
    """The upstreams that a bucket has not tried yet, best first."""

    def __init__(self, bucket: int, names: Iterable[str]) -> None:
        self.bucket = bucket
        hashes = sorted(
            (hashing.hash_text(name, bucket), name) for name in names
        )
        self._left = [_Score(rank, name, self) for rank, name in hashes]

    def take_next(self) -> '_Score':
        """Return the best one that is left and drop it."""
        return self._left.pop()


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Score:
    """How well a bucket and an upstream fit."""

    rank: int
    upstream: str
    choice: _Choice = dataclasses.field(compare=False)


def _plan_urgent(
    buckets: Sequence[BucketRow], table: _Table, pace: MovePace
) -> Iterator[PlannedMove]:
    for row in buckets:
        if row.current not in table.upstreams:
            target = _choose_urgent_target(row, table, pace)
            yield table.move(row, target, is_urgent=True)


def _choose_urgent_target(row: BucketRow, table: _Table, pace: MovePace) -> str:
    near = [
        name
        for name, upstream in table.upstreams.items()
        if upstream.domain == row.base_domain
        and table.counts[name] < int(table.quotas[name] * pace.domain_band)
    ]
    lacking = [name for name in table.upstreams if table.lack(name) > 0]
    return max(
        near or lacking,
        key=lambda name: (
            table.lack(name) / table.quotas[name],
            hashing.hash_text(name, row.bucket),
        ),
    )


def _plan_rebalancing(
    buckets: Sequence[BucketRow], table: _Table, pace: MovePace
) -> Iterator[PlannedMove]:
    if not _is_out_of_band(table, pace):
        return
    in_motion = sum(row.in_motion for row in buckets)
    movable = _group_movable(buckets, table)
    for _ in range(pace.in_motion_max - in_motion):
        source = _choose_source(table, movable)
        target = _choose_rebalancing_target(table, source, pace)
        if not source or not target:
            return
        chosen = _choose_bucket(movable[source], table, target)
        movable[source].remove(chosen)
        yield table.move(chosen, target, is_urgent=False)


def _group_movable(
    buckets: Sequence[BucketRow], table: _Table
) -> dict[str, list[BucketRow]]:
    movable: dict[str, list[BucketRow]] = {name: [] for name in table.upstreams}
    for row in buckets:
        if row.current in movable and not row.in_motion:
            movable[row.current].append(row)
    return movable


def _is_out_of_band(table: _Table, pace: MovePace) -> bool:
    return any(
        abs(table.lack(name)) >= max(1, quota * (pace.band - 1))
        for name, quota in table.quotas.items()
    )


def _choose_source(
    table: _Table, movable: Mapping[str, list[BucketRow]]
) -> str:
    sources = [name for name in table.upstreams if table.lack(name) < 0]
    return max(
        (name for name in sources if movable[name]),
        key=lambda name: (_excess_ratio(table, name), name),
        default='',
    )


def _excess_ratio(table: _Table, name: str) -> float:
    return -table.lack(name) / max(1, table.quotas[name])


def _choose_rebalancing_target(
    table: _Table, source: str, pace: MovePace
) -> str:
    crowded = _find_crowded(table, pace)
    targets = [
        name
        for name in table.upstreams
        if table.lack(name) > 0 and name not in crowded
    ]
    home = table.upstreams[source].domain if source else ''
    return max(
        targets,
        key=lambda name: (
            table.upstreams[name].domain == home,
            -_excess_ratio(table, name),
            name,
        ),
        default='',
    )


def _find_crowded(table: _Table, pace: MovePace) -> frozenset[str]:
    known = [one for one in table.upstreams.values() if one.load is not None]
    weight = sum(one.weight for one in known)
    load = sum(one.load for one in known)
    return frozenset(
        one.name
        for one in known
        if one.load * weight > load * one.weight * pace.band
    )


def _choose_bucket(
    rows: Sequence[BucketRow], table: _Table, target: str
) -> BucketRow:
    home = table.upstreams[target].domain
    return max(
        rows,
        key=lambda row: (
            row.base_domain == home,
            hashing.hash_text(target, row.bucket),
        ),
    )
