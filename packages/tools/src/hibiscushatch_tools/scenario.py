"""Runs scenario files and prints promise by promise.

``python -m hibiscushatch_tools.scenario FILE...``; exit code 1 when a promise
is broken, 2 when a file can't be read.
"""

import dataclasses
import json
import pathlib
import sys
import time

import click

from hibiscushatch_tools import scenario_language
from hibiscushatch_tools.scenario_model import Scenario
from hibiscushatch_tools.scenario_outcome import ScenarioOutcome
from hibiscushatch_tools.scenario_runner import (
    PromiseResult,
    check_promises,
    run_scenario,
)
from hibiscushatch_tools.scenario_statements import ScenarioSyntaxError

EXIT_BROKEN = 1
EXIT_SYNTAX = 2


@click.command()
@click.argument(
    'files',
    nargs=-1,
    required=True,
    type=click.Path(path_type=pathlib.Path),
)
@click.option('--seed', type=int, help='Run with this seed, not the own one.')
@click.option('--json', 'as_json', is_flag=True, help='Print one JSON a file.')
def main(
    files: tuple[pathlib.Path, ...], seed: int | None, as_json: bool
) -> None:
    """Run scenario files and check what they promise."""
    try:
        scenarios = [scenario_language.read_scenario(one) for one in files]
    except ScenarioSyntaxError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_SYNTAX)
    kept = [_run_one(one, seed, as_json) for one in scenarios]
    sys.exit(0 if all(kept) else EXIT_BROKEN)


def _run_one(scenario: Scenario, seed: int | None, as_json: bool) -> bool:
    started_s = time.perf_counter()
    outcome = run_scenario(scenario, seed)
    took_s = time.perf_counter() - started_s
    results = tuple(check_promises(scenario, outcome))
    if as_json:
        click.echo(json.dumps(dataclasses.asdict(outcome)))
    else:
        click.echo(f'{scenario.path}: {scenario.name} ({took_s:.1f} s)')
        for result in results:
            _print_result(result)
        _print_outcome(outcome)
    return all(one.holds for one in results)


def _print_result(result: PromiseResult) -> None:
    word = 'kept' if result.holds else 'BROKEN'
    click.echo(f'  {word:6} {result.promise}: {result.figure:g}')


def _print_outcome(outcome: ScenarioOutcome) -> None:
    for name, figure in dataclasses.asdict(outcome).items():
        click.echo(f'         {name} = {figure}')


if __name__ == '__main__':
    main()
