"""Compares variants of settings on loads that are played in virtual time.

A variant is a JSON document with the settings that differ from the defaults,
so that every mechanism that has a setting can be changed or turned off. Its
field ``exchange`` replaces fields of the load's exchange of loads.
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
from hibiscushatch_tools.load_model import Exchange, Load, read_load
from hibiscushatch_tools.load_outcome import (
    GROUPINGS,
    Outcome,
    group_by,
    judged_requests,
    mean_outcome,
    summarize,
    worth_spread,
)
from hibiscushatch_tools.load_player import LoadPlayer

DEFAULT_VARIANT = 'default'
SEEDS_DEFAULT = 3
_REQUIRED_SETTINGS = {
    'name': 'played',
    'domain': 'played',
    'packets': '127.0.0.1:1',
    'readiness': '127.0.0.1:2',
    'control': '127.0.0.1:3',
    'metrics': '127.0.0.1:4',
    'store': {'address': '127.0.0.1:5'},
}
# Field of a variant that changes the load rather than the settings.
_EXCHANGE = 'exchange'
_TABLE_HEAD = (
    f'{"load":24} {"variant":20} {"worth":>6} {"+-":>6} {"least":>6}'
    f' {"window":>6} {"in aim":>7} {"late":>6} {"failed":>7} {"refused":>8}'
    f' {"urgent":>7} {"in aim":>7}'
)
# The group of all requests of a load.
_ALL = 'all'
# Outcomes by the label of the group of requests.
_Outcomes = Mapping[str, Outcome]


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """One run of a load with a variant.

    Attributes:
        load: The load.
        variant: Name of the variant.
        changes: Settings of the variant that differ from the defaults.
        seed: Seed of the random choices of callers and entry VMs.
        groupings: Keys of GROUPINGS by which outcomes are wanted too.
    """

    load: Load
    variant: str
    changes: Mapping[str, object]
    seed: int
    groupings: tuple[str, ...] = ()


def build_settings(changes: Mapping[str, object]) -> TokenNodeSettings:
    """Build the settings that all entry VMs of a trial share.

    Args:
        changes: Settings that differ from the defaults.

    Raises:
        InvalidDocumentError: If a field is unknown or invalid.
    """
    settings = {
        name: field for name, field in changes.items() if name != _EXCHANGE
    }
    try:
        return msgspec.convert(
            {**_REQUIRED_SETTINGS, **settings}, TokenNodeSettings
        )
    except msgspec.ValidationError as error:
        problem = FieldProblem('$', str(error))
        raise InvalidDocumentError(
            'reading a variant', json.dumps(changes), (problem,)
        ) from error


def build_load(load: Load, changes: Mapping[str, object]) -> Load:
    """Build the load of a trial.

    Args:
        load: The load as it was read.
        changes: The variant; only its field ``exchange`` is used.

    Raises:
        InvalidDocumentError: If a field is unknown or invalid.
    """
    fields = changes.get(_EXCHANGE, {})
    try:
        exchange = msgspec.convert(
            {**msgspec.structs.asdict(load.exchange), **dict(fields)}, Exchange
        )
    except (msgspec.ValidationError, TypeError, ValueError) as error:
        problem = FieldProblem('$.exchange', str(error))
        raise InvalidDocumentError(
            'reading a variant', json.dumps(changes), (problem,)
        ) from error
    return msgspec.structs.replace(load, exchange=exchange)


def play_trial(trial: Trial) -> _Outcomes:
    """Play the load of a trial and summarize its requests by group."""
    logging.disable()
    load = build_load(trial.load, trial.changes)
    player = LoadPlayer(load, build_settings(trial.changes), trial.seed)
    judged = judged_requests(load, player.play())
    outcomes = {_ALL: summarize(judged)}
    for grouping in trial.groupings:
        for label, requests in group_by(judged, grouping).items():
            outcomes[f'{grouping} {label}'] = summarize(requests)
    return outcomes


def compare(
    loads: Iterable[Load],
    variants: Mapping[str, Mapping[str, object]],
    seeds: int,
    jobs: int,
    groupings: tuple[str, ...] = (),
) -> Iterator[tuple[str, str, Sequence[_Outcomes]]]:
    """Play each load with each variant.

    Args:
        loads: The loads.
        variants: Settings that differ from the defaults, by name of the
            variant.
        seeds: Number of trials of each load and variant, each with its own
            seed.
        jobs: Number of trials that run at the same time.
        groupings: Keys of GROUPINGS by which outcomes are wanted too.

    Yields:
        The names of load and variant, and the outcomes of each seed by group.
    """
    combinations = [
        (load, variant, changes)
        for load in loads
        for variant, changes in variants.items()
    ]
    trials = [
        Trial(load, variant, changes, seed, groupings)
        for load, variant, changes in combinations
        for seed in range(1, seeds + 1)
    ]
    with multiprocessing.Pool(jobs) as pool:
        outcomes = pool.imap(play_trial, trials)
        for load, variant, _ in combinations:
            yield load.name, variant, [next(outcomes) for _ in range(seeds)]


def render_row(load: str, variant: str, outcomes: Sequence[Outcome]) -> str:
    """Format a row of the table."""
    mean = mean_outcome(outcomes)
    spread = worth_spread(outcomes)
    return (
        f'{load:24} {variant:20} {mean.worth:6.3f} {spread:6.3f}'
        f' {mean.least_second:6.2f} {mean.least_window:6.3f}'
        f' {mean.in_aim:7.3f} {mean.late:6.3f} {mean.failed:7.4f}'
        f' {mean.refused:8.4f} {mean.urgent_served:7.3f}'
        f' {mean.urgent_in_aim:7.3f}'
    )


def _rows(
    load: str,
    variant: str,
    trials: Sequence[_Outcomes],
    as_json: bool,
) -> Iterator[str]:
    for group in trials[0]:
        # A small group may be missing with some seeds.
        outcomes = [trial[group] for trial in trials if group in trial]
        if as_json:
            mean = dataclasses.asdict(mean_outcome(outcomes))
            yield json.dumps(
                {'load': load, 'variant': variant, 'group': group, **mean}
            )
        else:
            is_all = group == _ALL
            name = load if is_all else f'  {group}'
            yield render_row(name, variant, outcomes)


def _read_variant(argument: str) -> tuple[str, Mapping[str, object]]:
    name, separator, document = argument.partition('=')
    try:
        changes = json.loads(document)
    except json.JSONDecodeError as error:
        raise click.BadParameter(f'{argument}: {error}') from error
    if not separator or not isinstance(changes, dict):
        raise click.BadParameter(f'{argument}: expected NAME=OBJECT')
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
    help='Changed settings, e.g. loose={"admission":{"flows_per_slot":100}}.',
)
@click.option('--seeds', default=SEEDS_DEFAULT, type=click.IntRange(1))
@click.option('--jobs', default=1, type=click.IntRange(1))
@click.option(
    '--by',
    'groupings',
    multiple=True,
    type=click.Choice(list(GROUPINGS)),
    help='Outcomes of groups of requests too.',
)
@click.option('--json', 'as_json', is_flag=True, help='One object a line.')
def main(
    files: tuple[pathlib.Path, ...],
    variants: tuple[str, ...],
    seeds: int,
    jobs: int,
    groupings: tuple[str, ...],
    as_json: bool,
) -> None:
    """Play the loads in FILES with each variant and compare the outcomes."""
    variants_by_name = {
        DEFAULT_VARIANT: {},
        **dict(map(_read_variant, variants)),
    }
    try:
        loads = [read_load(path) for path in files]
        for changes in variants_by_name.values():
            build_settings(changes)
            build_load(loads[0], changes)
    except InvalidDocumentError as error:
        raise click.ClickException(str(error)) from error
    if not as_json:
        click.echo(_TABLE_HEAD)
    for load, variant, trials in compare(
        loads, variants_by_name, seeds, jobs, groupings
    ):
        for row in _rows(load, variant, trials, as_json):
            click.echo(row)


if __name__ == '__main__':
    main()
