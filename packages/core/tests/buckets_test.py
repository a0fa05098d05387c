"""Tests of hibiscushatch_core.buckets."""

import functools

from hypothesis import given, settings, strategies

from hibiscushatch_core import buckets

UPSTREAMS = ('u1', 'u2', 'u3')
VIEW_COUNT = 3
REPEATABLE = settings(
    derandomize=True, deadline=None, max_examples=300, database=None
)
CHANGES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, VIEW_COUNT - 1),
        strategies.sampled_from(('change', 'copy')),
        strategies.integers(0, VIEW_COUNT - 1),
        strategies.sampled_from(UPSTREAMS),
    ),
    max_size=12,
)


def _initial_state() -> buckets.BucketState:
    return buckets.initial_state(1, 'u1')


def _apply_changes(
    changes: list[tuple[int, str, int, str]],
) -> list[buckets.BucketState]:
    """Return the views of some VMs after changes and merges of views."""
    views = [_initial_state() for _ in range(VIEW_COUNT)]
    for index, kind, other, upstream in changes:
        if kind == 'change':
            views[index] = buckets.change_state(
                views[index],
                f'vm-{index}',
                through_owner=True,
                bases=views[index].bases,
                current=upstream,
            )
        else:
            views[index] = buckets.merge_states(views[index], views[other])
    return views


@REPEATABLE
@given(CHANGES)
def test_merge_is_commutative_and_idempotent(
    changes: list[tuple[int, str, int, str]],
) -> None:
    left, right, _ = _apply_changes(changes)
    merged = buckets.merge_states(left, right)
    assert merged == buckets.merge_states(right, left)
    assert buckets.merge_states(merged, left) == merged
    assert buckets.merge_states(merged, merged) == merged


@REPEATABLE
@given(CHANGES)
def test_views_converge_when_states_are_exchanged(
    changes: list[tuple[int, str, int, str]],
) -> None:
    views = _apply_changes(changes)
    for _ in range(len(views) * 4):
        combined = functools.reduce(buckets.merge_states, views)
        views = [buckets.merge_states(view, combined) for view in views]
    assert len({(view.stamp, view.bases, view.current) for view in views}) == 1


@REPEATABLE
@given(CHANGES)
def test_merge_keeps_the_bases_of_concurrent_views(
    changes: list[tuple[int, str, int, str]],
) -> None:
    left, right, _ = _apply_changes(changes)
    merged = buckets.merge_states(left, right)
    for view in (left, right):
        if not merged.includes(view.stamp):
            assert set(view.bases) <= set(merged.bases)


def test_a_version_replaces_the_version_it_includes() -> None:
    later = buckets.change_state(
        _initial_state(),
        'vm-1',
        through_owner=False,
        bases=('u2',),
        current='u2',
    )
    assert buckets.merge_states(_initial_state(), later) == later


def test_concurrent_versions_of_a_partition_are_combined() -> None:
    left = buckets.change_state(
        _initial_state(),
        'vm-1',
        through_owner=False,
        bases=('u2',),
        current='u2',
    )
    right = buckets.change_state(
        _initial_state(),
        'vm-2',
        through_owner=False,
        bases=('u3',),
        current='u3',
    )
    merged = buckets.merge_states(left, right)
    assert merged.through_owner
    assert set(merged.bases) == {'u2', 'u3'}
    assert merged.stamp.version == 2
