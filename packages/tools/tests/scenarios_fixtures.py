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
FilePromises = tuple[str, ...]


def scenario_files() -> tuple[pathlib.Path, ...]:
    """List the scenario files in order of their names."""
    return tuple(sorted(SCENARIOS.glob(f'*{scenario_language.SUFFIX}')))


def broken_promises(path: pathlib.Path) -> FilePromises:
    """Run one file and describe the promises that it breaks."""
    scenario = scenario_language.read_scenario(path)
    outcome = scenario_runner.run_scenario(scenario)
    broken = tuple(
        f'{one.promise}: {one.figure:g}'
        for one in scenario_runner.check_promises(scenario, outcome)
        if not one.holds
    )
    return broken + outcome.failures


@functools.cache
def results_by_name() -> dict[str, 'futures.Future[FilePromises]']:
    """Start all files once; the same hash seed orders sets alike each time."""
    os.environ.setdefault(HASH_SEED_VARIABLE, '0')
    pool = futures.ProcessPoolExecutor(
        max_workers=min(WORKERS_MAX, os.cpu_count() or 1),
        mp_context=multiprocessing.get_context('spawn'),
    )
    return {
        path.stem: pool.submit(broken_promises, path)
        for path in scenario_files()
    }
