"""Runs scenario files and prints the result of each promise.

Usage: ``python -m hibiscushatch_tools.scenario FILE...``. The exit code is 1
when a promise is broken and 2 when a file can't be read or parsed.
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

EXIT_BROKEN_PROMISE = 1
EXIT_SYNTAX_ERROR = 2


@click.command()
@click.argument(
    'files',
    nargs=-1,
    required=True,
    type=click.Path(path_type=pathlib.Path),
)
@click.option(
    '--seed', type=int, help="Use this seed instead of the files' own."
)
@click.option(
    '--json', 'as_json', is_flag=True, help='Print one JSON object per file.'
)
def main(
    files: tuple[pathlib.Path, ...], seed: int | None, as_json: bool
) -> None:
    """Run scenario files and check their promises."""
    try:
        scenarios = [scenario_language.read_scenario(one) for one in files]
    except ScenarioSyntaxError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_SYNTAX_ERROR)
    kept = [_run_and_print(one, seed, as_json) for one in scenarios]
    sys.exit(0 if all(kept) else EXIT_BROKEN_PROMISE)


def _run_and_print(scenario: Scenario, seed: int | None, as_json: bool) -> bool:
    started_s = time.perf_counter()
    outcome = run_scenario(scenario, seed)
    elapsed_s = time.perf_counter() - started_s
    results = tuple(check_promises(scenario, outcome))
    if as_json:
        click.echo(json.dumps(dataclasses.asdict(outcome)))
    else:
        click.echo(f'{scenario.path}: {scenario.name} ({elapsed_s:.1f} s)')
        for result in results:
            _print_result(result)
        _print_outcome(outcome)
    return all(promise_result.holds for promise_result in results)


def _print_result(result: PromiseResult) -> None:
    label = 'kept' if result.holds else 'BROKEN'
    click.echo(f'  {label:6} {result.promise}: {result.figure:g}')


def _print_outcome(outcome: ScenarioOutcome) -> None:
    for name, value in dataclasses.asdict(outcome).items():
        click.echo(f'         {name} = {value}')


if __name__ == '__main__':
    main()
