"""Tests of hibiscushatch_tools.experiment, load_model and load_outcome."""

import json
import pathlib
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager

from click.testing import CliRunner, Result

from hibiscushatch_tools import experiment
from hibiscushatch_tools.load_model import RequestKind
from hibiscushatch_tools.load_outcome import PlayedRequest, outcome_of

LOADS = pathlib.Path(__file__).parents[3] / 'examples' / 'loads'
KIND = RequestKind('lookup', 1, 0.05, 0.2, 1)
OFF = 'off={"admission":{"flows_per_slot":100}}'


@contextmanager
def changed_load(**changes: object) -> Iterator[str]:
    """Write a load with other fields to a file, and return its path."""
    fields = json.loads((LOADS / 'busy.json').read_text())
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'load.json'
        path.write_text(json.dumps({**fields, **changes}))
        yield str(path)


def run(*arguments: str) -> Result:
    """Run the command."""
    return CliRunner().invoke(experiment.main, arguments)


def settled(took_s: float, is_served: bool = True) -> PlayedRequest:
    """Build a request that took some time."""
    request = PlayedRequest(0, KIND, 'here', came_at=3.0)
    request.settle(request.came_at + took_s, is_served)
    return request


def test_each_load_is_played_with_each_variant() -> None:
    with changed_load(length_s=3, judged=[1, 2]) as path:
        played = run(path, '--variant', OFF, '--seeds', '2', '--json')
    assert played.exit_code == 0, played.output
    rows = [json.loads(line) for line in played.output.splitlines()]
    assert [row['variant'] for row in rows] == ['default', 'off']
    assert all(row['worth'] > 0 and row['asked'] > 0 for row in rows)


def test_the_same_seed_gives_the_same_table() -> None:
    with changed_load(length_s=3, judged=[1, 2]) as path:
        tables = {run(path, '--seeds', '1').output for _ in range(2)}
    assert len(tables) == 1


def test_wrong_documents_are_refused_with_the_field() -> None:
    with changed_load(slots=0) as path:
        assert 'slots' in run(path).output
    with changed_load(colour='red') as path:
        assert 'colour' in run(path).output
    with changed_load() as path:
        wrong = run(path, '--variant', 'x={"admission":{"speed":1}}')
        assert 'speed' in wrong.output
        assert wrong.exit_code
        assert run(path, '--variant', 'x').exit_code


def test_every_example_can_be_read() -> None:
    names = {path.stem for path in LOADS.glob('*.json')}
    loads = {experiment.read_load(path).name for path in LOADS.glob('*.json')}
    assert names == loads


def test_requests_are_in_aim_late_or_failed() -> None:
    outcome = outcome_of(
        [settled(0.1), settled(0.3), settled(1.1), settled(0.1, False)]
    )
    parts = (outcome.in_aim, outcome.late, outcome.failed)
    assert parts == (1 / 4, 1 / 4, 2 / 4)
    assert outcome.worth == (1 + KIND.late_worth) / 4
