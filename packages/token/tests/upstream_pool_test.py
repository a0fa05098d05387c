"""Tests of hibiscushatch_token.traffic.upstream_pool."""

import collections
import random

from token_fixtures import SEED, upstream

from hibiscushatch_token.traffic.upstream_pool import UpstreamPool

NEAR = [upstream(f'n{index:03}', 'here') for index in range(100)]
FAR = [upstream(f'f{index:03}', 'there') for index in range(100)]


def pool_of(*upstreams: object, seed: int = SEED) -> UpstreamPool:
    """Build a pool of the failure domain here."""
    pool = UpstreamPool('here', random.Random(seed))  # noqa: S311
    pool.update(upstreams)
    return pool


def test_a_window_is_bounded_and_begins_with_near_ones() -> None:
    table = (
        ((), 0, 0),
        (NEAR[:3], 3, 0),
        ((*NEAR[:3], *FAR[:4]), 3, 4),
        ((*NEAR, *FAR), 24, 8),
        ((*NEAR[:3], *FAR), 3, 29),
        (FAR, 0, 32),
    )
    for upstreams, near, far in table:
        window = pool_of(*upstreams).next_window()
        assert {one.domain for one in window[:near]} <= {'here'}
        assert {one.domain for one in window[near:]} <= {'there'}
        assert len(window) == near + far, (near, far)
        assert len({one.name for one in window}) == len(window)


def test_all_get_their_turn() -> None:
    pool = pool_of(*NEAR)
    turns: collections.Counter[str] = collections.Counter()
    for _ in range(300):
        chosen = pool.next_window()[0]
        turns[chosen.name] += 1
        pool.record_choice(chosen)
    assert set(turns.values()) == {3}
    assert len(turns) == 100


def test_those_that_are_passed_over_have_had_their_turn() -> None:
    pool = pool_of(*NEAR)
    window = pool.next_window()
    pool.record_choice(window[5])
    assert pool.next_window()[0] is window[6]


def test_near_and_far_ones_have_turns_of_their_own() -> None:
    pool = pool_of(*NEAR[:3], *FAR[:4])
    window = pool.next_window()
    pool.record_choice(window[3])
    assert pool.next_window()[:3] == window[:3]
    assert pool.next_window()[3] is window[4]


def test_a_change_keeps_the_turns_of_those_that_stay() -> None:
    pool = pool_of(*NEAR[:30])
    for _ in range(7):
        pool.record_choice(pool.next_window()[0])
    before = [one.name for one in pool.upstreams]
    pool.update(NEAR[:31])
    after = [one.name for one in pool.upstreams]
    assert [name for name in after if name != NEAR[30].name] == before
    pool.update(NEAR[1:31])
    assert NEAR[0].name not in {one.name for one in pool.upstreams}
    pool.update([])
    assert pool.next_window() == []


def test_entry_vms_begin_in_different_orders() -> None:
    first = {
        pool_of(*NEAR, seed=seed).next_window()[0].name for seed in range(50)
    }
    assert len(first) > 20
