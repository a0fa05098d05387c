"""Runs all tests of the workspace and prints how many passed and failed.

A test that is listed in KNOWN-RED.txt may fail: it runs, its failure is printed
and not counted. If it passes, it counts as failed, so that its entry is removed
from the file.
"""

import pathlib
import sys
import unittest

from hibiscushatch_tools import testing

TEST_PATTERN = '*_test.py'
KNOWN_RED_FILE = 'KNOWN-RED.txt'
KNOWN_RED_PREFIX = 'test: '


def read_known_red(path: pathlib.Path) -> frozenset[str]:
    """Read the names of tests that are known to fail.

    Args:
        path: Path of the list; the file may be missing.

    Returns:
        Names of the tests as unittest prints them.
    """
    if not path.exists():
        return frozenset()
    return frozenset(
        line.removeprefix(KNOWN_RED_PREFIX).strip()
        for line in path.read_text().splitlines()
        if line.startswith(KNOWN_RED_PREFIX)
    )


def collect_tests(root: pathlib.Path) -> unittest.TestSuite:
    """Collect the tests of all packages.

    Args:
        root: Root folder of the workspace.

    Returns:
        A suite of all tests.
    """
    suite = unittest.TestSuite()
    folders = [*root.glob('packages/*/tests'), root / 'platform' / 'tests']
    for folder in sorted(folders):
        sys.path.insert(0, str(folder))
        for path in sorted(folder.glob(TEST_PATTERN)):
            suite.addTests(
                testing.FunctionLoader().loadTestsFromName(path.stem)
            )
    return suite


def main() -> None:
    """Run the tests whose names contain all words given as arguments."""
    root = pathlib.Path.cwd()
    known_red = read_known_red(root / KNOWN_RED_FILE)
    suite = unittest.TestSuite(
        test
        for test in _flatten(collect_tests(root))
        if all(word in test.id() for word in sys.argv[1:])
    )
    run_names = frozenset(test.id() for test in _flatten(suite))
    result = unittest.TextTestRunner(stream=sys.stdout).run(suite)
    failed = {test.id() for test, _ in result.failures + result.errors}
    for name in sorted(failed & known_red):
        print(f'known red: {name}')
    unexpected_passes = (known_red & run_names) - failed
    for name in sorted(unexpected_passes):
        print(f'passes now, remove it from {KNOWN_RED_FILE}: {name}')
    failures = len(failed - known_red) + len(unexpected_passes)
    passed = result.testsRun - len(failed | unexpected_passes)
    print(f'{passed} passed, {failures} failed')
    sys.exit(1 if failures else 0)


def _flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    tests: list[unittest.TestCase] = []
    for item in suite:
        tests.extend(
            _flatten(item) if isinstance(item, unittest.TestSuite) else [item]
        )
    return tests


if __name__ == '__main__':
    main()
