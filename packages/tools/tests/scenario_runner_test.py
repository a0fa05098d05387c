"""Tests of hibiscushatch_tools.scenario_runner, with a stateless entry VM."""

import scenario_fixtures

from hibiscushatch_tools import scenario_language, scenario_runner
from hibiscushatch_tools.scenario_model import Scenario
from hibiscushatch_tools.scenario_outcome import ScenarioOutcome

LOAD = 'load booking new 10/s from 3s until 13s length 20s every 2s'
FLOW_COUNT = 100
DRAIN = 'at 15s drain booking-1'


def _run(*lines: str) -> tuple[Scenario, ScenarioOutcome]:
    with scenario_fixtures.scenario_file(
        'scenario Case', 'duration 45s', LOAD, *lines
    ) as path:
        scenario = scenario_language.read_scenario(path)
    return scenario, scenario_runner.run_scenario(
        scenario, vm_factory=scenario_fixtures.HashingVm
    )


def test_the_same_seed_gives_the_same_outcome() -> None:
    events = (DRAIN, 'at 20s kill vm pos-a-vm-1', 'at 5s loss 0.01')
    _, outcome = _run(*events)
    _, repeated = _run(*events)
    _, other_seed = _run('seed 2', *events)
    assert outcome == repeated
    assert outcome != other_seed


def test_reports_flows_that_a_stateless_vm_breaks() -> None:
    scenario, outcome = _run(
        DRAIN,
        'at 16s touch manifest',
        'promise broken_flows <= 0',
        'promise finished_flows >= 50',
        'promise manifest_in_force_s <= 5',
    )
    results = list(scenario_runner.check_promises(scenario, outcome))
    assert [result.holds for result in results] == [False, True, True]
    assert outcome.flows == FLOW_COUNT
    assert outcome.finished_flows + outcome.broken_flows == FLOW_COUNT
    assert outcome.drained_new_flows == 0
    assert outcome.duplicated_payloads == 0
    assert outcome.misdelivered == 0


def test_counts_flows_as_given_up_when_their_upstream_is_out_or_fails() -> None:
    for event in (
        'domain out pos-a',
        'upstream booking-1 dies',
        'upstream booking-1 restarts',
    ):
        _, outcome = _run(f'at 15s {event}')
        assert outcome.given_up_flows > 0, event
        assert outcome.failed_tasks == 0, event


def test_all_flows_finish_despite_each_event() -> None:
    for event in (
        'roll all vms every 1s',
        'freeze vm pos-a-vm-1 for 3s',
        'replace vm pos-a-vm-1',
        'race 3 commits',
        'platform lose-answers 1',
        'one-way loss pos-a-vm-1 pos-b-vm-1',
        'cut pos-a from platform',
    ):
        _, outcome = _run(f'at 15s {event}', 'at 20s heal')
        assert outcome.finished_flows == FLOW_COUNT, event
        assert outcome.failed_tasks == 0, event
