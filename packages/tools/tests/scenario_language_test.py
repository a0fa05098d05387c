"""Tests of hibiscushatch_tools.scenario_language."""

import scenario_fixtures

from hibiscushatch_tools import scenario_language
from hibiscushatch_tools.scenario_events import CutDomain, CutTarget, FreezeVm
from hibiscushatch_tools.scenario_model import Scenario
from hibiscushatch_tools.scenario_statements import ScenarioSyntaxError


def _read(*lines: str) -> Scenario:
    with scenario_fixtures.scenario_file(*lines) as path:
        return scenario_language.read_scenario(path)


def _read_error(*lines: str) -> str:
    try:
        _read(*lines)
    except ScenarioSyntaxError as error:
        return str(error)
    return ''


def test_reads_a_complete_scenario() -> None:
    scenario = _read(
        'scenario A pause amid a cut # a comment',
        'seed 5',
        'duration 1m',
        'load booking new 2.5/s from 500ms until 10s length 4s every 1s',
        'at 20s cut domain pos-a from platform',
        'at 10s freeze vm pos-a-vm-1 for 5s',
        'promise drained_new_flows after 4s <= 0',
        'promise imbalance <= 1.10',
    )
    assert scenario.name == 'A pause amid a cut'
    assert (scenario.seed, scenario.duration_s) == (5, 60)
    assert scenario.measure_from_s == 30
    assert scenario.vm_names[0] == 'pos-a-vm-1'
    assert len(scenario.vm_names) == 9
    assert str(scenario.loads[0].from_s) == '0.5'
    assert scenario.settle_s == 4
    assert str(scenario.promises[1]) == 'imbalance <= 1.1'
    assert scenario.events == (
        FreezeVm(10, 'pos-a-vm-1', 5),
        CutDomain(20, 'pos-a', CutTarget.PLATFORM),
    )


def test_errors_name_the_file_the_line_and_the_reason() -> None:
    table = (
        ('at 5s explode', 'event is'),
        ('at soon heal', "'soon'"),
        ('at 5s heal now', "'now' is unexpected"),
        ('at 5s freeze vm pos-a-vm-1', "'for' is missing"),
        ('at 5s cut pos-a from everyone', 'everyone'),
        ('promise happiness <= 0', 'happiness'),
        ('promise broken_flows < 0', 'comparison'),
        ('load coffee new 1/s', 'coffee'),
        ('load booking new 1', 'rate'),
        ('seed x', 'whole number'),
        ('include nowhere.topology', 'nowhere.topology'),
        ('blah', 'statement'),
    )
    for line, reason in table:
        error = _read_error('scenario A wrong line', line)
        assert reason in error, (line, error)
        if not line.startswith('include'):
            assert 'case.scenario:3' in error, (line, error)


def test_errors_name_the_missing_statement() -> None:
    assert 'no duration' in _read_error('scenario Endless')
