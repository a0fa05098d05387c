"""Tests of hibiscushatch_core.buckets."""

import functools

from hypothesis import given, settings, strategies

from hibiscushatch_core import buckets

UPSTREAMS = ('u1', 'u2', 'u3')
VIEWS = 3
FIXED = settings(
    derandomize=True, deadline=None, max_examples=300, database=None
)
CHANGES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, VIEWS - 1),
        strategies.sampled_from(('change', 'copy')),
        strategies.integers(0, VIEWS - 1),
        strategies.sampled_from(UPSTREAMS),
    ),
    max_size=12,
)


def _first() -> buckets.BucketState:
    return buckets.initial_state(1, 'u1')


def _play(
    changes: list[tuple[int, str, int, str]],
) -> list[buckets.BucketState]:
    """Let some VMs change their views and copy those of others."""
    views = [_first() for _ in range(VIEWS)]
    for viewer, kind, other, upstream in changes:
        if kind == 'change':
            views[viewer] = buckets.change_state(
                views[viewer],
                f'vm-{viewer}',
                through_owner=True,
                bases=views[viewer].bases,
                current=upstream,
            )
        else:
            views[viewer] = buckets.merge_states(views[viewer], views[other])
    return views


@FIXED
@given(CHANGES)
def test_join_does_not_depend_on_the_side(
    changes: list[tuple[int, str, int, str]],
) -> None:
    left, right, _ = _play(changes)
    joined = buckets.merge_states(left, right)
    assert joined == buckets.merge_states(right, left)
    assert buckets.merge_states(joined, left) == joined
    assert buckets.merge_states(joined, joined) == joined


@FIXED
@given(CHANGES)
def test_views_that_exchange_states_become_equal(
    changes: list[tuple[int, str, int, str]],
) -> None:
    views = _play(changes)
    for _ in range(len(views) * 4):
        whole = functools.reduce(buckets.merge_states, views)
        views = [buckets.merge_states(view, whole) for view in views]
    assert len({(view.stamp, view.bases, view.current) for view in views}) == 1


@FIXED
@given(CHANGES)
def test_join_forgets_no_base_of_a_concurrent_view(
    changes: list[tuple[int, str, int, str]],
) -> None:
    left, right, _ = _play(changes)
    joined = buckets.merge_states(left, right)
    for view in (left, right):
        if not joined.includes(view.stamp):
            assert set(view.bases) <= set(joined.bases)


def test_a_later_version_replaces_the_one_it_follows() -> None:
    later = buckets.change_state(
        _first(), 'vm-1', through_owner=False, bases=('u2',), current='u2'
    )
    assert buckets.merge_states(_first(), later) == later


def test_versions_of_both_sides_of_a_cut_are_united() -> None:
    one = buckets.change_state(
        _first(), 'vm-1', through_owner=False, bases=('u2',), current='u2'
    )
    other = buckets.change_state(
        _first(), 'vm-2', through_owner=False, bases=('u3',), current='u3'
    )
    joined = buckets.merge_states(one, other)
    assert joined.through_owner
    assert set(joined.bases) == {'u2', 'u3'}
    assert joined.stamp.version == 2
