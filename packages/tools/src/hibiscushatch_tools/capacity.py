"""Measures all slopes again and rewrites the tables of docs/CAPACITY.md."""

import dataclasses
import json
import os
import pathlib
import resource
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import Executor, Future, ProcessPoolExecutor

import click

from hibiscushatch_tools import (
    capacity_change,
    capacity_claims,
    capacity_control,
    capacity_manifest,
    capacity_memory,
    capacity_page,
    capacity_platform,
    capacity_processor,
    capacity_roles,
)
from hibiscushatch_tools.capacity_model import DESIGN, KIB, LIMITS, Slope

PAGE = pathlib.Path('docs/CAPACITY.md')
RAW_FIGURES = pathlib.Path('build/capacity.json')
WORKERS = 6
PROCESSORS = os.cpu_count() or 1


def measure_all(pool: Executor) -> capacity_roles.Measured:
    """Run all measurements.

    Args:
        pool: Runs several at once, each in a process of its own.

    Returns:
        What was measured.
    """
    process_bytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB
    change = _submit(
        pool, capacity_change.measure_change, capacity_change.FLEET_SIZES
    )
    fleets = _submit(
        pool, capacity_control.measure_fleet, capacity_control.SHAPES
    )
    slopes = [
        pool.submit(_list_slopes, one)
        for one in (
            _standing_slopes,
            capacity_control.replacement_slopes,
            _platform_slopes,
            capacity_memory.measure_memory,
            _claims_slopes,
            _manifest_slopes,
            capacity_processor.processor_slopes,
        )
    ]
    costs = [one.result() for one in fleets]
    changes = [one.result() for one in change]
    found = [slope for one in slopes for slope in one.result()]
    found.extend(capacity_control.rest_slopes(costs))
    found.extend(capacity_change.change_slopes(changes))
    return capacity_roles.Measured(
        {one.key: one for one in found}, costs, process_bytes
    )


def _submit(
    pool: Executor,
    measure: Callable[..., object],
    sizes: Sequence[object],
) -> list[Future]:
    return [pool.submit(measure, one) for one in reversed(sizes)]


def _list_slopes(measure: Callable[[], Iterator[Slope]]) -> list[Slope]:
    return list(measure())


def _standing_slopes() -> Iterator[Slope]:
    yield capacity_control.standing_slope()


def _platform_slopes() -> Iterator[Slope]:
    yield from capacity_platform.platform_slopes(
        [
            capacity_platform.measure_rack(one)
            for one in capacity_platform.RACK_SIZES
        ],
        [
            capacity_platform.measure_return(one)
            for one in capacity_platform.FLEET_SIZES
        ],
    )


def _claims_slopes() -> Iterator[Slope]:
    yield from capacity_claims.claims_slopes(
        [capacity_claims.measure_claims(*one) for one in capacity_claims.SHAPES]
    )


def _manifest_slopes() -> Iterator[Slope]:
    yield from capacity_manifest.manifest_slopes(
        [
            capacity_manifest.measure_manifest(one)
            for one in capacity_manifest.UPSTREAM_COUNTS
        ]
    )


def write_page(measured: capacity_roles.Measured) -> None:
    """Rewrite the tables of the page and the raw figures.

    Args:
        measured: The run.
    """
    verdicts = tuple(capacity_roles.judge(measured))
    blocks = {
        'roles': capacity_page.render_verdicts(verdicts),
        'failures': capacity_page.render_failures(verdicts),
        'slopes': capacity_page.render_slopes(measured.slopes.values()),
        'fleets': _render_fleets(measured.fleets),
    }
    page = capacity_page.replace_blocks(PAGE.read_text(), blocks)
    PAGE.write_text(page)
    RAW_FIGURES.parent.mkdir(exist_ok=True)
    raw = {
        'design': dataclasses.asdict(DESIGN),
        'limits': dataclasses.asdict(LIMITS),
        'processors': PROCESSORS,
        'process_bytes': measured.process_bytes,
        'fleets': [dataclasses.asdict(one) for one in measured.fleets],
        'slopes': [
            {**dataclasses.asdict(one), 'fit': dataclasses.asdict(one.fit)}
            for one in measured.slopes.values()
        ],
        'verdicts': [
            {**dataclasses.asdict(one), 'holds': one.holds} for one in verdicts
        ],
    }
    RAW_FIGURES.write_text(json.dumps(raw, indent=2))


def _render_fleets(
    fleets: Sequence[capacity_control.FleetCost],
) -> Iterator[str]:
    head = (
        'Entry VMs',
        'Failure domains',
        'Links of a VM',
        'Bytes/s sent',
        'Processor ms/s',
        'Granted part of the limits',
    )
    figure = capacity_page.format_figure
    ordered = sorted(fleets, key=lambda one: (one.entry_vms, one.links))
    yield from capacity_page.render_table(
        head,
        (
            (
                str(one.entry_vms),
                str(one.failure_domains),
                figure(one.links),
                figure(one.bytes_s),
                figure(one.cpu_ms_s),
                figure(one.granted),
            )
            for one in ordered
        ),
    )


@click.command()
def main() -> None:
    """Measure and write docs/CAPACITY.md and build/capacity.json."""
    with ProcessPoolExecutor(WORKERS) as pool:
        measured = measure_all(pool)
    write_page(measured)
    for verdict in capacity_roles.judge(measured):
        if not verdict.holds:
            click.echo(
                f'does not hold: {verdict.role}: {verdict.subject}: '
                f'{capacity_page.format_figure(verdict.figure)} {verdict.unit}'
            )


if __name__ == '__main__':
    main()
