"""Tests of hibiscushatch_tools.bench and the modules beside it."""

import dataclasses
import json

import scenario_fixtures

from hibiscushatch_tools import bench_placement, bench_table
from hibiscushatch_tools.bench_case import (
    BenchCase,
    BenchRow,
    Variant,
    run_case,
)

FLOWS = 40
REQUIRED = {
    'scenario',
    'variant',
    'seed',
    'broken_flows',
    'misdelivered',
    'duplicated_payloads',
    'imbalance',
    'domain_out_s',
    'domain_back_s',
    'refused',
    'control_bytes_per_s',
    'entries_held',
    'extra_hops',
}


def _run(variant: Variant, event: str, seed: int = 3) -> BenchRow:
    with scenario_fixtures.scenario_file(
        'scenario Case',
        'duration 22s',
        'load booking new 10/s from 3s until 7s length 12s every 2s',
        event,
        'promise broken_flows <= 0',
    ) as path:
        return run_case(BenchCase(path, variant, seed))


def test_the_same_seed_gives_the_same_row_with_all_fields() -> None:
    event = 'at 10s kill vm pos-a-vm-1'
    row = _run(Variant.OWNER, event)
    assert row == _run(Variant.OWNER, event)
    assert dataclasses.replace(row, seed=4) != _run(Variant.OWNER, event, 4)
    assert json.loads(json.dumps(dataclasses.asdict(row))).keys() >= REQUIRED
    assert row.entries_held > 0
    assert row.extra_hops * 2 > 1


def test_baselines_break_flows_that_the_entry_vm_keeps() -> None:
    drain = 'at 10s drain booking-1'
    rows = [_run(variant, drain) for variant in Variant]
    broken = {row.variant: row.broken_flows for row in rows}
    assert broken[Variant.HIBISCUSHATCH] == 0
    assert broken[Variant.OWNER] == 0
    assert 0 < broken[Variant.RENDEZVOUS] < broken[Variant.MODULO]
    for row in rows:
        assert row.flows == FLOWS
        assert row.finished_flows + row.broken_flows == FLOWS
        assert bool(row.broken_promises) == bool(row.broken_flows)


def test_the_table_adds_flows_up_and_names_what_was_not_kept() -> None:
    row = _run(Variant.MODULO, 'at 10s drain booking-1')
    titles, summed = bench_table.format_rows([row, row])
    assert titles.split()[:4] == ['scenario', 'variant', 'flows', 'broken']
    flows, broken = summed.split()[2:4]
    assert (int(flows), int(broken)) == (2 * FLOWS, 2 * row.broken_flows)
    assert not list(bench_table.format_broken_promises([row]))
    own = dataclasses.replace(row, variant=Variant.HIBISCUSHATCH)
    lines = list(bench_table.format_broken_promises([own]))
    assert len(lines) == 1
    assert lines[0].endswith(f'broken_flows <= 0: {row.broken_flows}')


def test_placement_counts_each_flow_once() -> None:
    rows = list(bench_placement.measure_placement())
    assert {row.way for row in rows} == {'buckets', 'modulo', 'rendezvous'}
    for row in rows:
        assert row.flows == row.upstreams * 2000
        assert 1 <= row.imbalance_mean <= row.imbalance_max
        assert row.imbalance_max <= row.target
