"""Compares variants of settings on loads that are played in virtual time.

A variant is a JSON document of settings that differ from the default ones, so
that any mechanism with a setting can be changed or turned off by name.
"""

import dataclasses
import json
import logging
import multiprocessing
import pathlib
from collections.abc import Iterable, Iterator, Mapping, Sequence

import click
import msgspec

from hibiscushatch_core.errors import FieldProblem, InvalidDocumentError
from hibiscushatch_token.settings import TokenNodeSettings
from hibiscushatch_tools.load_model import Load, read_load
from hibiscushatch_tools.load_outcome import Outcome, judge, mean_of, spread_of
from hibiscushatch_tools.load_player import LoadPlayer

DEFAULT_VARIANT = 'default'
SEEDS = 3
_ADDRESSES = {
    'name': 'played',
    'domain': 'played',
    'packets': '127.0.0.1:1',
    'readiness': '127.0.0.1:2',
    'control': '127.0.0.1:3',
    'metrics': '127.0.0.1:4',
    'store': {'address': '127.0.0.1:5'},
}
_HEAD = (
    f'{"load":24} {"variant":20} {"worth":>6} {"+-":>6} {"least":>6}'
    f' {"in aim":>7} {"late":>6} {"failed":>7} {"refused":>8} {"urgent":>7}'
)


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """One load, played once with one variant.

    Attributes:
        load: The load.
        variant: Name of the variant.
        changes: Its settings that differ from the default ones.
        seed: Seed of callers and entry VMs.
    """

    load: Load
    variant: str
    changes: Mapping[str, object]
    seed: int


def settings_of(changes: Mapping[str, object]) -> TokenNodeSettings:
    """Build settings of a played entry VM.

    Args:
        changes: Fields that differ from the default ones.

    Raises:
        InvalidDocumentError: When a field is unknown or wrong.
    """
    try:
        return msgspec.convert({**_ADDRESSES, **changes}, TokenNodeSettings)
    except msgspec.ValidationError as error:
        problem = FieldProblem('$', str(error))
        raise InvalidDocumentError(
            'reading a variant', json.dumps(changes), (problem,)
        ) from error


def play(trial: Trial) -> Outcome:
    """Play a trial and judge what callers got."""
    logging.disable()
    player = LoadPlayer(trial.load, settings_of(trial.changes), trial.seed)
    return judge(trial.load, player.play())


def compare(
    loads: Iterable[Load],
    variants: Mapping[str, Mapping[str, object]],
    seeds: int,
    jobs: int,
) -> Iterator[tuple[str, str, Sequence[Outcome]]]:
    """Play each load with each variant.

    Args:
        loads: The loads.
        variants: Changes of settings by name of the variant.
        seeds: How often, each time with another seed.
        jobs: How many trials are played at a time.

    Yields:
        The names of load and variant, and an outcome for each seed.
    """
    cells = [
        (load, variant, changes)
        for load in loads
        for variant, changes in variants.items()
    ]
    trials = [
        Trial(load, variant, changes, seed)
        for load, variant, changes in cells
        for seed in range(1, seeds + 1)
    ]
    with multiprocessing.Pool(jobs) as pool:
        outcomes = pool.imap(play, trials)
        for load, variant, _ in cells:
            yield load.name, variant, [next(outcomes) for _ in range(seeds)]


def render_row(load: str, variant: str, outcomes: Sequence[Outcome]) -> str:
    """Render a row of the table."""
    mean = mean_of(outcomes)
    spread = spread_of(outcomes)
    return (
        f'{load:24} {variant:20} {mean.worth:6.3f} {spread:6.3f}'
        f' {mean.least_second:6.2f} {mean.in_aim:7.3f} {mean.late:6.3f}'
        f' {mean.failed:7.4f} {mean.refused:8.4f} {mean.urgent_served:7.3f}'
    )


def _read_variant(argument: str) -> tuple[str, Mapping[str, object]]:
    name, separator, document = argument.partition('=')
    try:
        changes = json.loads(document)
    except json.JSONDecodeError as error:
        raise click.BadParameter(f'{argument}: {error}') from error
    if not separator or not isinstance(changes, dict):
        raise click.BadParameter(f'{argument}: not NAME=OBJECT')
    return name, changes


@click.command()
@click.argument(
    'files',
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option(
    '--variant',
    'variants',
    multiple=True,
    metavar='NAME=JSON',
    help='Settings that differ, e.g. none={"admission":{"is_on":false}}.',
)
@click.option('--seeds', default=SEEDS, type=click.IntRange(1))
@click.option('--jobs', default=1, type=click.IntRange(1))
@click.option('--json', 'as_json', is_flag=True, help='One object a line.')
def main(
    files: tuple[pathlib.Path, ...],
    variants: tuple[str, ...],
    seeds: int,
    jobs: int,
    as_json: bool,
) -> None:
    """Play the loads in FILES and compare what callers get."""
    named = {DEFAULT_VARIANT: {}, **dict(map(_read_variant, variants))}
    try:
        loads = [read_load(path) for path in files]
        for changes in named.values():
            settings_of(changes)
    except InvalidDocumentError as error:
        raise click.ClickException(str(error)) from error
    if not as_json:
        click.echo(_HEAD)
    for load, variant, outcomes in compare(loads, named, seeds, jobs):
        if as_json:
            mean = dataclasses.asdict(mean_of(outcomes))
            row = {'load': load, 'variant': variant, **mean}
            click.echo(json.dumps(row))
        else:
            click.echo(render_row(load, variant, outcomes))


if __name__ == '__main__':
    main()
