"""Tests of hibiscushatch_token.traffic.upstream_pool."""

import collections
import random

from token_fixtures import SEED, upstream

from hibiscushatch_token.traffic.upstream_pool import UpstreamPool

LOCAL = [upstream(f'n{index:03}', 'here') for index in range(100)]
REMOTE = [upstream(f'f{index:03}', 'there') for index in range(100)]


def pool_of(*upstreams: object, seed: int = SEED) -> UpstreamPool:
    """Build a pool whose own failure domain is 'here'."""
    pool = UpstreamPool('here', random.Random(seed))  # noqa: S311
    pool.update(upstreams)
    return pool


def test_a_window_is_bounded_and_begins_with_local_upstreams() -> None:
    table = (
        ((), 0, 0),
        (LOCAL[:3], 3, 0),
        ((*LOCAL[:3], *REMOTE[:4]), 3, 4),
        ((*LOCAL, *REMOTE), 24, 8),
        ((*LOCAL[:3], *REMOTE), 3, 29),
        (REMOTE, 0, 32),
    )
    for upstreams, local, remote in table:
        window = pool_of(*upstreams).next_window()
        assert {listed.domain for listed in window[:local]} <= {'here'}
        assert {listed.domain for listed in window[local:]} <= {'there'}
        assert len(window) == local + remote, (local, remote)
        assert len({listed.name for listed in window}) == len(window)


def test_all_upstreams_get_their_turn() -> None:
    pool = pool_of(*LOCAL)
    turns: collections.Counter[str] = collections.Counter()
    for _ in range(300):
        chosen = pool.next_window()[0]
        turns[chosen.name] += 1
        pool.record_choice(chosen)
    assert set(turns.values()) == {3}
    assert len(turns) == 100


def test_upstreams_that_are_passed_over_have_had_their_turn() -> None:
    pool = pool_of(*LOCAL)
    window = pool.next_window()
    pool.record_choice(window[5])
    assert pool.next_window()[0] is window[6]


def test_local_and_remote_upstreams_have_separate_turns() -> None:
    pool = pool_of(*LOCAL[:3], *REMOTE[:4])
    window = pool.next_window()
    pool.record_choice(window[3])
    assert pool.next_window()[:3] == window[:3]
    assert pool.next_window()[3] is window[4]


def test_an_update_keeps_the_order_of_upstreams_that_stay() -> None:
    pool = pool_of(*LOCAL[:30])
    for _ in range(7):
        pool.record_choice(pool.next_window()[0])
    before = [listed.name for listed in pool.upstreams]
    pool.update(LOCAL[:31])
    after = [listed.name for listed in pool.upstreams]
    assert [name for name in after if name != LOCAL[30].name] == before
    pool.update(LOCAL[1:31])
    assert LOCAL[0].name not in {listed.name for listed in pool.upstreams}
    pool.update([])
    assert pool.next_window() == []


def test_entry_vms_begin_in_different_orders() -> None:
    first = {
        pool_of(*LOCAL, seed=seed).next_window()[0].name for seed in range(50)
    }
    assert len(first) > 20
