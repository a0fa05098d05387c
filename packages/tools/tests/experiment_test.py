"""Tests hibiscushatch_tools.experiment, load_model and load_outcome."""

import json
import pathlib
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager

from click.testing import CliRunner, Result

from hibiscushatch_tools import experiment
from hibiscushatch_tools.load_model import RequestKind
from hibiscushatch_tools.load_outcome import SimulatedRequest, summarize

LOADS = pathlib.Path(__file__).parents[3] / 'examples' / 'loads'
REQUEST_KIND = RequestKind('lookup', 1, 0.05, 0.2, 1)
ADMIT_ALL_VARIANT = 'off={"admission":{"flows_per_slot":100}}'


@contextmanager
def changed_load_file(**changes: object) -> Iterator[str]:
    """Write a load with changed fields to a file and yield the path."""
    fields = json.loads((LOADS / 'busy.json').read_text())
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'load.json'
        path.write_text(json.dumps({**fields, **changes}))
        yield str(path)


def run_experiment(*arguments: str) -> Result:
    """Run the command of hibiscushatch_tools.experiment."""
    return CliRunner().invoke(experiment.main, arguments)


def settled_request(
    duration_s: float, is_served: bool = True
) -> SimulatedRequest:
    """Build a request that ended some time after it came."""
    request = SimulatedRequest(0, REQUEST_KIND, 'here', came_at=3.0)
    request.settle(request.came_at + duration_s, is_served)
    return request


def test_each_load_is_played_with_each_variant() -> None:
    with changed_load_file(length_s=3, judged=[1, 2]) as path:
        result = run_experiment(
            path, '--variant', ADMIT_ALL_VARIANT, '--seeds', '2', '--json'
        )
    assert result.exit_code == 0, result.output
    rows = [json.loads(line) for line in result.output.splitlines()]
    assert [row['variant'] for row in rows] == ['default', 'off']
    assert all(row['worth'] > 0 and row['asked'] > 0 for row in rows)


def test_the_same_seed_gives_the_same_table() -> None:
    with changed_load_file(length_s=3, judged=[1, 2]) as path:
        tables = {run_experiment(path, '--seeds', '1').output for _ in range(2)}
    assert len(tables) == 1


def test_invalid_documents_are_rejected_and_the_field_is_named() -> None:
    with changed_load_file(slots=0) as path:
        assert 'slots' in run_experiment(path).output
    with changed_load_file(colour='red') as path:
        assert 'colour' in run_experiment(path).output
    with changed_load_file() as path:
        result = run_experiment(
            path, '--variant', 'x={"admission":{"speed":1}}'
        )
        assert 'speed' in result.output
        assert result.exit_code
        assert run_experiment(path, '--variant', 'x').exit_code


def test_every_example_load_is_valid_and_named_after_its_file() -> None:
    names = {path.stem for path in LOADS.glob('*.json')}
    loads = {experiment.read_load(path).name for path in LOADS.glob('*.json')}
    assert names == loads


def test_requests_are_counted_as_in_aim_late_or_failed() -> None:
    outcome = summarize(
        [
            settled_request(0.1),
            settled_request(0.3),
            settled_request(1.1),
            settled_request(0.1, False),
        ]
    )
    parts = (outcome.in_aim, outcome.late, outcome.failed)
    assert parts == (1 / 4, 1 / 4, 2 / 4)
    assert outcome.worth == (1 + REQUEST_KIND.late_worth) / 4
