"""Planning of which buckets to move to which upstreams.

Every entry VM computes the same plan from the same table and carries out the
moves of the buckets that it owns. A bucket whose upstream can't take new flows
is moved at once. Other buckets are moved only to balance the load: only when
an upstream's bucket count is outside a band around its quota, and only a few
at a time. Quotas depend on weights alone, so moves that were carried out never
cause moves back.
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
        current: Upstream that gets its new flows, now or at the end of a move
            that is in progress.
        in_motion: Whether a move of the bucket is in progress.
        base_domain: Failure domain of the upstream that has its existing
            flows; empty when unknown.
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
        weight: Open flows that it can handle now.
        is_eligible: Whether it may get new flows.
        load: Open flows that it has; None when unknown.
    """

    name: str
    domain: str
    weight: int
    is_eligible: bool = True
    load: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedMove:
    """A bucket to be moved to another upstream.

    Attributes:
        bucket: Its index.
        source: The upstream that it is moved from.
        target: The upstream that it is moved to.
        is_urgent: Whether it is moved because the source can't take new
            flows.
    """

    bucket: int
    source: str
    target: str
    is_urgent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MovePace:
    """When buckets are moved to balance the load, and how many at once.

    Attributes:
        band: Rebalancing starts when the bucket count of an upstream differs
            from its quota by this factor; 1.1 means by a tenth. An upstream
            whose load is above average by this factor gets no buckets from
            rebalancing.
        domain_band: Factor over its quota up to which an upstream takes
            urgent buckets from its own failure domain.
        in_motion_max: Buckets that may be moved for rebalancing at one time.
    """

    band: float = 1.1
    domain_band: float = 1.03
    in_motion_max: int = 8


DEFAULT_PACE = MovePace()


@dataclasses.dataclass(slots=True)
class _Table:
    """Bucket counts of the upstreams while a plan is made.

    Attributes:
        upstreams: The eligible upstreams by name.
        quotas: How many buckets each eligible upstream should have.
        counts: How many buckets each upstream has, after the moves planned so
            far.
    """

    upstreams: Mapping[str, UpstreamRow]
    quotas: Mapping[str, int]
    counts: collections.Counter[str]

    def shortfall(self, name: str) -> int:
        """Return by how many buckets an upstream is below its quota."""
        return self.quotas[name] - self.counts[name]

    def move(
        self, row: BucketRow, target: str, *, is_urgent: bool
    ) -> PlannedMove:
        """Plan a move and update the bucket counts."""
        self.counts[row.current] -= 1
        self.counts[target] += 1
        return PlannedMove(row.bucket, row.current, target, is_urgent)


def plan_moves(
    buckets: Sequence[BucketRow],
    upstreams: Sequence[UpstreamRow],
    pace: MovePace = DEFAULT_PACE,
) -> Iterator[PlannedMove]:
    """Plan the moves that the current table requires.

    Args:
        buckets: All buckets of one service.
        upstreams: Its upstreams, including those that aren't eligible.
        pace: When to rebalance, and how many buckets at once.

    Yields:
        Urgent moves, then moves for rebalancing; nothing when no upstream is
        eligible.
    """
    eligible = {
        upstream.name: upstream
        for upstream in upstreams
        if upstream.is_eligible
    }
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

    An upstream with any weight gets at least one bucket while there are
    enough buckets, since a cold upstream that gets no flow never warms up.

    Args:
        bucket_count: Number of buckets of the service.
        upstreams: Its eligible upstreams.

    Returns:
        Numbers of buckets by upstream name; they add up to the bucket count.
    """
    weights = {upstream.name: upstream.weight for upstream in upstreams}
    if not any(weights.values()):
        weights = dict.fromkeys(weights, 1)
    quotas = share_division.divide_by_largest_remainder(
        bucket_count, weights, 'quota'
    )
    quotas = {name: quotas.get(name, 0) for name in weights}
    for name in sorted(weights):
        if weights[name] and not quotas[name]:
            _give_from_largest(quotas, name)
    return quotas


def _give_from_largest(quotas: dict[str, int], name: str) -> None:
    largest = max(quotas, key=lambda key: (quotas[key], key))
    if quotas[largest] > 1:
        quotas[largest] -= 1
        quotas[name] = 1


def assign_initially(
    bucket_count: int, upstreams: Sequence[UpstreamRow]
) -> list[str]:
    """Assign all buckets of a service that has no bucket table yet.

    Each bucket proposes to the upstreams in the order of a hash of both. An
    upstream over its quota keeps the buckets with the highest hashes and
    rejects the others, which then propose to their next upstream (deferred
    acceptance). With this method, a change of the upstreams changes few
    assignments.

    Args:
        bucket_count: Number of buckets of the service.
        upstreams: Its upstreams; those that aren't eligible get no buckets.

    Returns:
        Upstream names by bucket index; empty when no upstream is eligible.
    """
    eligible = [upstream for upstream in upstreams if upstream.is_eligible]
    if not eligible:
        return []
    quotas = divide_buckets(bucket_count, eligible)
    accepted: dict[str, list[_Proposal]] = {name: [] for name in quotas}
    unassigned = [
        _Preferences(bucket, quotas) for bucket in range(bucket_count)
    ]
    while unassigned:
        preferences = unassigned.pop()
        proposal = preferences.take_best()
        kept = accepted[proposal.upstream]
        heapq.heappush(kept, proposal)
        if len(kept) > quotas[proposal.upstream]:
            unassigned.append(heapq.heappop(kept).preferences)
    names = {
        proposal.preferences.bucket: name
        for name, kept in accepted.items()
        for proposal in kept
    }
    return [names[bucket] for bucket in range(bucket_count)]


class _Preferences:
    """The upstreams that a bucket has not proposed to yet, by preference."""

    def __init__(self, bucket: int, names: Iterable[str]) -> None:
        self.bucket = bucket
        hashes = sorted(
            (hashing.hash_text(name, bucket), name) for name in names
        )
        self._remaining = [_Proposal(rank, name, self) for rank, name in hashes]

    def take_best(self) -> '_Proposal':
        """Remove the most preferred remaining upstream and return it."""
        return self._remaining.pop()


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Proposal:
    """A bucket's proposal to an upstream; a higher rank is preferred."""

    rank: int
    upstream: str
    preferences: _Preferences = dataclasses.field(compare=False)


def _plan_urgent(
    buckets: Sequence[BucketRow], table: _Table, pace: MovePace
) -> Iterator[PlannedMove]:
    for row in buckets:
        if row.current not in table.upstreams:
            target = _choose_urgent_target(row, table, pace)
            yield table.move(row, target, is_urgent=True)


def _choose_urgent_target(row: BucketRow, table: _Table, pace: MovePace) -> str:
    same_domain = [
        name
        for name, upstream in table.upstreams.items()
        if upstream.domain == row.base_domain
        and table.counts[name] < int(table.quotas[name] * pace.domain_band)
    ]
    below_quota = [
        name for name in table.upstreams if table.shortfall(name) > 0
    ]
    return max(
        same_domain or below_quota,
        key=lambda name: (
            table.shortfall(name) / table.quotas[name],
            hashing.hash_text(name, row.bucket),
        ),
    )


def _plan_rebalancing(
    buckets: Sequence[BucketRow], table: _Table, pace: MovePace
) -> Iterator[PlannedMove]:
    if not _is_rebalancing_due(table, pace):
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


def _is_rebalancing_due(table: _Table, pace: MovePace) -> bool:
    return any(
        abs(table.shortfall(name)) >= max(1, quota * (pace.band - 1))
        for name, quota in table.quotas.items()
    )


def _choose_source(
    table: _Table, movable: Mapping[str, list[BucketRow]]
) -> str:
    sources = [name for name in table.upstreams if table.shortfall(name) < 0]
    return max(
        (name for name in sources if movable[name]),
        key=lambda name: (_excess_ratio(table, name), name),
        default='',
    )


def _excess_ratio(table: _Table, name: str) -> float:
    return -table.shortfall(name) / max(1, table.quotas[name])


def _choose_rebalancing_target(
    table: _Table, source: str, pace: MovePace
) -> str:
    overloaded = _find_overloaded(table, pace)
    targets = [
        name
        for name in table.upstreams
        if table.shortfall(name) > 0 and name not in overloaded
    ]
    source_domain = table.upstreams[source].domain if source else ''
    return max(
        targets,
        key=lambda name: (
            table.upstreams[name].domain == source_domain,
            -_excess_ratio(table, name),
            name,
        ),
        default='',
    )


def _find_overloaded(table: _Table, pace: MovePace) -> frozenset[str]:
    measured = [
        upstream
        for upstream in table.upstreams.values()
        if upstream.load is not None
    ]
    total_weight = sum(upstream.weight for upstream in measured)
    total_load = sum(upstream.load for upstream in measured)
    return frozenset(
        upstream.name
        for upstream in measured
        if upstream.load * total_weight
        > total_load * upstream.weight * pace.band
    )


def _choose_bucket(
    rows: Sequence[BucketRow], table: _Table, target: str
) -> BucketRow:
    target_domain = table.upstreams[target].domain
    return max(
        rows,
        key=lambda row: (
            row.base_domain == target_domain,
            hashing.hash_text(target, row.bucket),
        ),
    )
