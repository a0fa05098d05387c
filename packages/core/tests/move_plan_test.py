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
ALL_ON_SERVER_0 = list(itertools.repeat('server-0', BUCKETS))
upstream_weights = strategies.sampled_from((0, 10, 1000, 2000))
fleets = strategies.lists(
    strategies.tuples(upstream_weights, strategies.booleans()),
    min_size=1,
    max_size=10,
).map(
    lambda drawn: [
        upstream_row(index, weight=weight, is_eligible=is_eligible)
        for index, (weight, is_eligible) in enumerate(drawn)
    ]
)


def upstream_row(
    index: int, *, weight: int = 2000, is_eligible: bool = True
) -> UpstreamRow:
    """Build an upstream; its index decides its failure domain."""
    domain = DOMAINS[index % len(DOMAINS)]
    return UpstreamRow(f'server-{index}', domain, weight, is_eligible)


def bucket_rows(
    names: list[str], upstreams: list[UpstreamRow]
) -> list[BucketRow]:
    """Build a bucket table in which no bucket is in motion."""
    domains = {upstream.name: upstream.domain for upstream in upstreams}
    return [
        BucketRow(bucket, name, base_domain=domains[name])
        for bucket, name in enumerate(names)
    ]


def apply_moves(
    rows: list[BucketRow], moves: list[PlannedMove]
) -> list[BucketRow]:
    """Return the bucket table after the moves are complete."""
    targets = {move.bucket: move.target for move in moves}
    return [
        dataclasses.replace(row, current=targets.get(row.bucket, row.current))
        for row in rows
    ]


def count_by_upstream(names: list[str]) -> collections.Counter[str]:
    """Count the buckets of each upstream, given each bucket's upstream."""
    return collections.Counter(names)


@REPEATABLE
@given(before=fleets, after=fleets)
def test_repeated_plans_converge_to_the_quotas(
    before: list[UpstreamRow], after: list[UpstreamRow]
) -> None:
    upstreams = before + [
        upstream
        for upstream in after
        if upstream.name not in {old.name for old in before}
    ]
    names = assign_initially(BUCKETS, before) or ALL_ON_SERVER_0
    rows = bucket_rows(names, upstreams)
    eligible = {upstream.name for upstream in after if upstream.is_eligible}
    moved = 0
    for _ in range(BUCKETS):
        moves = list(plan_moves(rows, after))
        rebalancing = [move for move in moves if not move.is_urgent]
        assert len(rebalancing) <= DEFAULT_PACE.in_motion_max
        assert all(move.target in eligible for move in moves)
        moved += len(rebalancing)
        rows = apply_moves(rows, moves)
        if not moves:
            break
    assert not list(plan_moves(rows, after))
    assert moved <= BUCKETS
    if eligible:
        quotas = divide_buckets(
            BUCKETS, [upstream for upstream in after if upstream.is_eligible]
        )
        counts = count_by_upstream([row.current for row in rows])
        for name, quota in quotas.items():
            bound = max(1, quota * (DEFAULT_PACE.band - 1))
            assert abs(counts[name] - quota) < bound


def test_all_urgent_moves_are_planned_at_once_and_balanced() -> None:
    upstreams = [upstream_row(index) for index in range(9)]
    rows = bucket_rows(assign_initially(BUCKETS, upstreams), upstreams)
    for leaving in (['server-0'], ['server-0', 'server-3', 'server-6']):
        changed = [
            dataclasses.replace(
                upstream, is_eligible=upstream.name not in leaving
            )
            for upstream in upstreams
        ]
        moves = list(plan_moves(rows, changed))
        urgent = [move for move in moves if move.is_urgent]
        affected = [row for row in rows if row.current in leaving]
        assert [move.bucket for move in urgent] == [
            row.bucket for row in affected
        ]
        counts = count_by_upstream(
            [row.current for row in apply_moves(rows, moves)]
        )
        mean = BUCKETS / (len(upstreams) - len(leaving))
        assert max(counts.values()) <= 1.05 * mean + 1
        assert not any(counts[name] for name in leaving)


def test_buckets_in_motion_stay_and_count_towards_the_maximum() -> None:
    upstreams = [upstream_row(index) for index in range(3)]
    names = ALL_ON_SERVER_0
    rows = [
        dataclasses.replace(row, in_motion=row.bucket < 5)
        for row in bucket_rows(names, upstreams)
    ]
    moves = list(plan_moves(rows, upstreams))
    assert len(moves) == DEFAULT_PACE.in_motion_max - 5
    assert all(move.bucket >= 5 for move in moves)


def test_a_cold_upstream_gets_one_bucket_and_a_warm_one_its_quota() -> None:
    for weight, buckets in ((10, 1), (2000, 32)):
        upstreams = [upstream_row(index) for index in range(7)]
        rows = bucket_rows(assign_initially(BUCKETS, upstreams), upstreams)
        upstreams.append(upstream_row(7, weight=weight))
        for _ in range(40):
            rows = apply_moves(rows, list(plan_moves(rows, upstreams)))
        assert (
            abs(
                count_by_upstream([row.current for row in rows])['server-7']
                - buckets
            )
            <= 3
        )


def test_an_overloaded_upstream_gets_no_buckets() -> None:
    upstreams = [
        UpstreamRow('server-0', 'pos-a', 100, load=10),
        UpstreamRow('server-1', 'pos-a', 100, load=90),
        UpstreamRow('server-2', 'pos-a', 100, load=10),
    ]
    rows = bucket_rows(ALL_ON_SERVER_0, upstreams)
    targets = {move.target for move in plan_moves(rows, upstreams)}
    assert targets == {'server-2'}


def test_initial_assignment_is_balanced_and_changes_few_buckets() -> None:
    for size in (3, 7, 10):
        upstreams = [upstream_row(index) for index in range(size + 1)]
        names = assign_initially(BUCKETS, upstreams[:size])
        counts = count_by_upstream(names).values()
        assert max(counts) - min(counts) <= 1
        larger = assign_initially(BUCKETS, upstreams)
        changed = sum(map(str.__ne__, names, larger))
        assert changed <= 2 * BUCKETS / (size + 1)
