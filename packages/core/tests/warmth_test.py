"""Tests of hibiscushatch_core.warmth."""

import core_fixtures
from hypothesis import given, settings, strategies

from hibiscushatch_core import manifest, warmth

REPEATABLE = settings(
    derandomize=True, deadline=None, max_examples=200, database=None
)
UPSTREAM = manifest.build_manifest(
    core_fixtures.manifest_document()
).upstreams_by_name['server-1']
COLD = UPSTREAM.cold_allowance
FULL = UPSTREAM.connections

ages = strategies.dictionaries(
    strategies.sampled_from(['', 'vm-a', 'vm-b']),
    strategies.one_of(strategies.none(), strategies.integers(0, 9)),
    min_size=1,
).map(
    lambda known: tuple(
        warmth.WarmUpAge(name, known[name]) for name in sorted(known)
    )
)
records = strategies.builds(
    warmth.WarmthRecord,
    upstream=strategies.just(UPSTREAM.name),
    generation=strategies.integers(0, 1),
    resets=strategies.integers(0, 1),
    ages=ages,
)


def exchange(
    sender: warmth.WarmthTable, receiver: warmth.WarmthTable, now: float
) -> None:
    """Send all records of one table to another at once."""
    for record in sender.records(now):
        receiver.receive(record, now)


@REPEATABLE
@given(one=records, other=records, third=records)
def test_join_is_commutative_associative_and_idempotent(
    one: warmth.WarmthRecord,
    other: warmth.WarmthRecord,
    third: warmth.WarmthRecord,
) -> None:
    join = warmth.merge_records
    assert join(one, one) == one
    assert join(one, other) == join(other, one)
    assert join(join(one, other), third) == join(one, join(other, third))


def test_allowance_is_cold_until_the_warm_up_has_passed() -> None:
    table = warmth.WarmthTable('vm-a')
    assert table.allowance(UPSTREAM, now=500) == COLD
    table.record_flow(UPSTREAM.name, now=500)
    table.record_flow(UPSTREAM.name, now=510)
    warm_at = 500 + UPSTREAM.warm_up_s
    assert table.ramped_allowance(UPSTREAM, warm_at - 0.001) == COLD
    assert table.allowance(UPSTREAM, warm_at - 0.001) == COLD
    assert table.allowance(UPSTREAM, warm_at) == FULL
    ramp = [
        table.ramped_allowance(
            UPSTREAM, warm_at + step * warmth.RAMP_DOUBLING_S
        )
        for step in range(5)
    ]
    assert ramp == [20, 40, 80, FULL, FULL]


def test_cold_turn_and_return_reach_the_others_at_once() -> None:
    for generation in (0, 8):
        one, other = warmth.WarmthTable('vm-a'), warmth.WarmthTable('vm-b')
        one.record_flow(UPSTREAM.name, now=0)
        exchange(one, other, now=1)
        assert other.is_warm(UPSTREAM, now=100)
        if generation:
            one.record_return(UPSTREAM.name, generation)
        else:
            one.record_reset(UPSTREAM.name, now=100)
        exchange(one, other, now=100)
        assert other.allowance(UPSTREAM, now=100) == COLD
        other.record_flow(UPSTREAM.name, now=101)
        exchange(other, one, now=101)
        assert one.is_warm(UPSTREAM, 101 + UPSTREAM.warm_up_s)


def test_merge_after_a_partition_takes_the_colder_side() -> None:
    one, other = warmth.WarmthTable('vm-a'), warmth.WarmthTable('vm-b')
    one.record_flow(UPSTREAM.name, now=0)
    exchange(one, other, now=0)
    one.record_reset(UPSTREAM.name, now=40)
    one.record_flow(UPSTREAM.name, now=41)
    other.record_reset(UPSTREAM.name, now=90)
    assert one.is_warm(UPSTREAM, now=90)
    exchange(other, one, now=90)
    exchange(one, other, now=90)
    assert one.allowance(UPSTREAM, now=90) == COLD
    assert other.allowance(UPSTREAM, now=90) == COLD


def test_delayed_and_repeated_records_never_age_an_upstream() -> None:
    one, other = warmth.WarmthTable('vm-a'), warmth.WarmthTable('vm-b')
    one.record_flow(UPSTREAM.name, now=0)
    for sent_at in range(1, 20):
        for record in tuple(one.records(sent_at)):
            other.receive(record, now=sent_at + 0.9)
        for record in tuple(other.records(sent_at + 0.9)):
            one.receive(record, now=sent_at + 0.95)
    assert one.warm_at(UPSTREAM) >= UPSTREAM.warm_up_s
    assert one.warm_at(UPSTREAM) <= UPSTREAM.warm_up_s + 0.01
    assert other.warm_at(UPSTREAM) >= UPSTREAM.warm_up_s
