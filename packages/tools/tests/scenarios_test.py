"""Runs each committed scenario file as a test of its promises."""

from collections.abc import Callable

import scenarios_fixtures


def _make_test(name: str) -> Callable[[], None]:
    def run_file() -> None:
        problems = scenarios_fixtures.start_runs()[name].result()
        assert not problems, problems

    run_file.__name__ = 'test_' + name.replace('-', '_')
    return run_file


_tests = (_make_test(path.stem) for path in scenarios_fixtures.scenario_files())
globals().update({test.__name__: test for test in _tests})
