"""Runs each committed scenario file as a test of its promises."""

from collections.abc import Callable

import scenarios_fixtures


def _make_test(name: str) -> Callable[[], None]:
    def run_file() -> None:
        broken = scenarios_fixtures.results_by_name()[name].result()
        assert not broken, broken

    run_file.__name__ = 'test_' + name.replace('-', '_')
    return run_file


_tests = (_make_test(one.stem) for one in scenarios_fixtures.scenario_files())
globals().update({test.__name__: test for test in _tests})
