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
    lambda drawn: tuple(
        warmth.WarmUpAge(name, drawn[name]) for name in sorted(drawn)
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
    """Deliver all records of one table to another without delay."""
    for record in sender.records(now):
        receiver.receive(record, now)


@REPEATABLE
@given(first=records, second=records, third=records)
def test_merge_is_commutative_associative_and_idempotent(
    first: warmth.WarmthRecord,
    second: warmth.WarmthRecord,
    third: warmth.WarmthRecord,
) -> None:
    merge = warmth.merge_records
    assert merge(first, first) == first
    assert merge(first, second) == merge(second, first)
    assert merge(merge(first, second), third) == merge(
        first, merge(second, third)
    )


def test_allowance_is_cold_until_the_warm_up_time_has_passed() -> None:
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


def test_a_reset_or_return_applies_on_another_vm_after_an_exchange() -> None:
    for generation in (0, 8):
        table_a, table_b = (
            warmth.WarmthTable('vm-a'),
            warmth.WarmthTable('vm-b'),
        )
        table_a.record_flow(UPSTREAM.name, now=0)
        exchange(table_a, table_b, now=1)
        assert table_b.is_warm(UPSTREAM, now=100)
        if generation:
            table_a.record_return(UPSTREAM.name, generation)
        else:
            table_a.record_reset(UPSTREAM.name, now=100)
        exchange(table_a, table_b, now=100)
        assert table_b.allowance(UPSTREAM, now=100) == COLD
        table_b.record_flow(UPSTREAM.name, now=101)
        exchange(table_b, table_a, now=101)
        assert table_a.is_warm(UPSTREAM, 101 + UPSTREAM.warm_up_s)


def test_merge_after_a_partition_keeps_the_colder_state() -> None:
    table_a, table_b = warmth.WarmthTable('vm-a'), warmth.WarmthTable('vm-b')
    table_a.record_flow(UPSTREAM.name, now=0)
    exchange(table_a, table_b, now=0)
    table_a.record_reset(UPSTREAM.name, now=40)
    table_a.record_flow(UPSTREAM.name, now=41)
    table_b.record_reset(UPSTREAM.name, now=90)
    assert table_a.is_warm(UPSTREAM, now=90)
    exchange(table_b, table_a, now=90)
    exchange(table_a, table_b, now=90)
    assert table_a.allowance(UPSTREAM, now=90) == COLD
    assert table_b.allowance(UPSTREAM, now=90) == COLD


def test_delayed_and_repeated_records_never_shorten_a_warm_up() -> None:
    table_a, table_b = warmth.WarmthTable('vm-a'), warmth.WarmthTable('vm-b')
    table_a.record_flow(UPSTREAM.name, now=0)
    for sent_at in range(1, 20):
        for record in tuple(table_a.records(sent_at)):
            table_b.receive(record, now=sent_at + 0.9)
        for record in tuple(table_b.records(sent_at + 0.9)):
            table_a.receive(record, now=sent_at + 0.95)
    assert table_a.warm_at(UPSTREAM) >= UPSTREAM.warm_up_s
    assert table_a.warm_at(UPSTREAM) <= UPSTREAM.warm_up_s + 0.01
    assert table_b.warm_at(UPSTREAM) >= UPSTREAM.warm_up_s
