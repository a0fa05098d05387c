"""Runs the committed scenario files in a few worker processes."""

import functools
import multiprocessing
import os
import pathlib
from concurrent import futures

from hibiscushatch_tools import scenario_language, scenario_runner

SCENARIOS = pathlib.Path(__file__).parents[3] / 'scenarios'
WORKERS_MAX = 4
HASH_SEED_VARIABLE = 'PYTHONHASHSEED'
RunProblems = tuple[str, ...]


def scenario_files() -> tuple[pathlib.Path, ...]:
    """Return the scenario files in order of their names."""
    return tuple(sorted(SCENARIOS.glob(f'*{scenario_language.SUFFIX}')))


def run_scenario_file(path: pathlib.Path) -> RunProblems:
    """Run one file and describe its broken promises and failed tasks."""
    scenario = scenario_language.read_scenario(path)
    outcome = scenario_runner.run_scenario(scenario)
    broken = tuple(
        f'{result.promise}: {result.figure:g}'
        for result in scenario_runner.check_promises(scenario, outcome)
        if not result.holds
    )
    return broken + outcome.failures


@functools.cache
def start_runs() -> dict[str, 'futures.Future[RunProblems]']:
    """Start all runs once; a fixed hash seed keeps the order of sets."""
    os.environ.setdefault(HASH_SEED_VARIABLE, '0')
    pool = futures.ProcessPoolExecutor(
        max_workers=min(WORKERS_MAX, os.cpu_count() or 1),
        mp_context=multiprocessing.get_context('spawn'),
    )
    return {
        path.stem: pool.submit(run_scenario_file, path)
        for path in scenario_files()
    }
