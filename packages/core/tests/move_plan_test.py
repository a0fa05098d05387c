"""Tests of hibiscushatch_core.move_plan."""

import collections
import dataclasses
import itertools

from hypothesis import given, settings, strategies

from hibiscushatch_core.move_plan import (
    DEFAULT_PACE,
    BucketRow,
    PlannedMove,
    UpstreamRow,
    assign_initially,
    divide_buckets,
    plan_moves,
)

REPEATABLE = settings(
    derandomize=True, deadline=None, max_examples=60, database=None
)
DOMAINS = ('pos-a', 'pos-b', 'pos-c')
BUCKETS = 256
ALL_ON_ONE = list(itertools.repeat('server-0', BUCKETS))
one_weight = strategies.sampled_from((0, 10, 1000, 2000))
fleets = strategies.lists(
    strategies.tuples(one_weight, strategies.booleans()),
    min_size=1,
    max_size=10,
).map(
    lambda known: [
        upstream_row(index, weight=weight, is_eligible=is_eligible)
        for index, (weight, is_eligible) in enumerate(known)
    ]
)


def upstream_row(
    index: int, *, weight: int = 2000, is_eligible: bool = True
) -> UpstreamRow:
    """Make an upstream of one of the domains."""
    domain = DOMAINS[index % len(DOMAINS)]
    return UpstreamRow(f'server-{index}', domain, weight, is_eligible)


def rows_of(names: list[str], upstreams: list[UpstreamRow]) -> list[BucketRow]:
    """Make a stable table."""
    domains = {one.name: one.domain for one in upstreams}
    return [
        BucketRow(bucket, name, base_domain=domains[name])
        for bucket, name in enumerate(names)
    ]


def carry_out(
    rows: list[BucketRow], moves: list[PlannedMove]
) -> list[BucketRow]:
    """Return the table after moves have ended."""
    targets = {move.bucket: move.target for move in moves}
    return [
        dataclasses.replace(row, current=targets.get(row.bucket, row.current))
        for row in rows
    ]


def count(names: list[str]) -> collections.Counter[str]:
    """Count the buckets of each upstream."""
    return collections.Counter(names)


@REPEATABLE
@given(before=fleets, after=fleets)
def test_planning_reaches_a_fixed_point_and_then_plans_nothing(
    before: list[UpstreamRow], after: list[UpstreamRow]
) -> None:
    upstreams = before + [
        one for one in after if one.name not in {old.name for old in before}
    ]
    names = assign_initially(BUCKETS, before) or ALL_ON_ONE
    rows = rows_of(names, upstreams)
    eligible = {one.name for one in after if one.is_eligible}
    moved = 0
    for _ in range(BUCKETS):
        moves = list(plan_moves(rows, after))
        rebalancing = [move for move in moves if not move.is_urgent]
        assert len(rebalancing) <= DEFAULT_PACE.in_motion_max
        assert all(move.target in eligible for move in moves)
        moved += len(rebalancing)
        rows = carry_out(rows, moves)
        if not moves:
            break
    assert not list(plan_moves(rows, after))
    assert moved <= BUCKETS
    if eligible:
        quotas = divide_buckets(
            BUCKETS, [one for one in after if one.is_eligible]
        )
        counts = count([row.current for row in rows])
        for name, quota in quotas.items():
            bound = max(1, quota * (DEFAULT_PACE.band - 1))
            assert abs(counts[name] - quota) < bound


def test_urgent_moves_are_all_at_once_even_and_near() -> None:
    upstreams = [upstream_row(index) for index in range(9)]
    rows = rows_of(assign_initially(BUCKETS, upstreams), upstreams)
    for leaving in (['server-0'], ['server-0', 'server-3', 'server-6']):
        left = [
            dataclasses.replace(one, is_eligible=one.name not in leaving)
            for one in upstreams
        ]
        moves = list(plan_moves(rows, left))
        urgent = [move for move in moves if move.is_urgent]
        stranded = [row for row in rows if row.current in leaving]
        assert [move.bucket for move in urgent] == [
            row.bucket for row in stranded
        ]
        counts = count([row.current for row in carry_out(rows, moves)])
        mean = BUCKETS / (len(upstreams) - len(leaving))
        assert max(counts.values()) <= 1.05 * mean + 1
        assert not any(counts[name] for name in leaving)


def test_buckets_in_motion_are_left_alone_and_counted() -> None:
    upstreams = [upstream_row(index) for index in range(3)]
    names = ALL_ON_ONE
    rows = [
        dataclasses.replace(row, in_motion=row.bucket < 5)
        for row in rows_of(names, upstreams)
    ]
    moves = list(plan_moves(rows, upstreams))
    assert len(moves) == DEFAULT_PACE.in_motion_max - 5
    assert all(move.bucket >= 5 for move in moves)


def test_a_cold_upstream_gets_one_bucket_and_more_when_warm() -> None:
    for weight, buckets in ((10, 1), (2000, 32)):
        upstreams = [upstream_row(index) for index in range(7)]
        rows = rows_of(assign_initially(BUCKETS, upstreams), upstreams)
        upstreams.append(upstream_row(7, weight=weight))
        for _ in range(40):
            rows = carry_out(rows, list(plan_moves(rows, upstreams)))
        assert (
            abs(count([row.current for row in rows])['server-7'] - buckets) <= 3
        )


def test_a_loaded_upstream_gives_but_does_not_take() -> None:
    upstreams = [
        UpstreamRow('server-0', 'pos-a', 100, load=10),
        UpstreamRow('server-1', 'pos-a', 100, load=90),
        UpstreamRow('server-2', 'pos-a', 100, load=10),
    ]
    rows = rows_of(ALL_ON_ONE, upstreams)
    targets = {move.target for move in plan_moves(rows, upstreams)}
    assert targets == {'server-2'}


def test_initial_assignment_is_balanced_and_changes_little() -> None:
    for size in (3, 7, 10):
        upstreams = [upstream_row(index) for index in range(size + 1)]
        names = assign_initially(BUCKETS, upstreams[:size])
        counts = count(names).values()
        assert max(counts) - min(counts) <= 1
        larger = assign_initially(BUCKETS, upstreams)
        changed = sum(map(str.__ne__, names, larger))
        assert changed <= 2 * BUCKETS / (size + 1)
