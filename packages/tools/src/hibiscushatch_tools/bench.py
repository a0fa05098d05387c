"""Runs both users' deployments through scenarios, beside the baselines.

``python -m hibiscushatch_tools.bench`` prints a table and writes a JSON file.
Promises that fall short are printed; only a crash of the bench fails it.
"""

import dataclasses
import itertools
import json
import multiprocessing
import os
import pathlib
import time
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor

import click

from hibiscushatch_tools import bench_table
from hibiscushatch_tools.bench_case import (
    SCENARIO_SUFFIX,
    BenchCase,
    BenchRow,
    Variant,
    run_case,
)
from hibiscushatch_tools.bench_placement import (
    PlacementRow,
    measure_placement,
)

WORKERS = 4
HASH_SEED_VARIABLE = 'PYTHONHASHSEED'
SCENARIOS = (
    'tobago-several',
    'lochan-roll',
    'tobago-domain-out',
    'lochan-domain-out',
    'tobago-quiet',
    'tobago-add',
    'tobago-kill',
    'lochan-drain',
)
SEEDS = (11, 12, 13)


@click.command()
@click.option(
    '--scenarios',
    default=','.join(SCENARIOS),
    help='Names of scenarios, with commas between.',
)
@click.option(
    '--seeds',
    default=','.join(map(str, SEEDS)),
    help='Seeds, with commas between.',
)
@click.option(
    '--folder',
    default='scenarios',
    type=click.Path(exists=True, path_type=pathlib.Path),
    help='Where the scenarios are.',
)
@click.option(
    '--output',
    default='build/bench.json',
    type=click.Path(path_type=pathlib.Path),
    help='Where the rows are written.',
)
def main(
    scenarios: str, seeds: str, folder: pathlib.Path, output: pathlib.Path
) -> None:
    """Weigh hibiscushatch against simpler ways of routing."""
    started_s = time.perf_counter()
    paths = [
        folder / f'{name}{SCENARIO_SUFFIX}' for name in scenarios.split(',')
    ]
    rows = run_bench(paths, [int(one) for one in seeds.split(',')])
    placement = tuple(measure_placement())
    took_s = time.perf_counter() - started_s
    _print_all(rows, placement, took_s)
    _write(output, rows, placement)


def run_bench(
    paths: Iterable[pathlib.Path],
    seeds: Iterable[int],
    variants: Iterable[Variant] = Variant,
) -> tuple[BenchRow, ...]:
    """Run every variant through scenarios in worker processes.

    Args:
        paths: Scenario files.
        seeds: Seeds to run each with.
        variants: Ways to route.

    Returns:
        One row a scenario, variant and seed, in this order.
    """
    cases = [
        BenchCase(path, variant, seed)
        for path, variant, seed in itertools.product(paths, variants, seeds)
    ]
    costliest_first = sorted(
        range(len(cases)),
        key=lambda number: cases[number].variant is not Variant.HIBISCUSHATCH,
    )
    # The order of a set of texts differs between processes otherwise.
    os.environ[HASH_SEED_VARIABLE] = '0'
    context = multiprocessing.get_context('spawn')
    with ProcessPoolExecutor(WORKERS, context) as pool:
        futures = {
            number: pool.submit(run_case, cases[number])
            for number in costliest_first
        }
        return tuple(futures[number].result() for number, _ in enumerate(cases))


def _print_all(
    rows: Sequence[BenchRow],
    placement: Sequence[PlacementRow],
    took_s: float,
) -> None:
    for line in bench_table.format_rows(rows):
        click.echo(line)
    click.echo()
    for line in bench_table.format_placement(placement):
        click.echo(line)
    click.echo()
    for line in bench_table.format_broken_promises(rows):
        click.echo(line)
    click.echo(f'{len(rows)} runs in {took_s:.0f} s')


def _write(
    output: pathlib.Path,
    rows: Sequence[BenchRow],
    placement: Sequence[PlacementRow],
) -> None:
    output.parent.mkdir(parents=True, exist_ok=True)
    text = json.dumps(
        {
            'rows': [dataclasses.asdict(one) for one in rows],
            'placement': [dataclasses.asdict(one) for one in placement],
        },
        indent=1,
    )
    output.write_text(f'{text}\n')


if __name__ == '__main__':
    main()
