"""Runs all tests of the workspace and prints how many passed and failed.

A test listed in KNOWN-RED.txt may fail: it is run and printed, and not
counted. It is counted as failed when it passes, so that the entry goes.
"""

import pathlib
import sys
import unittest

from hibiscushatch_tools import testing

TEST_PATTERN = '*_test.py'
KNOWN_RED_FILE = 'KNOWN-RED.txt'
KNOWN_RED_MARK = 'test: '


def read_known_red(path: pathlib.Path) -> frozenset[str]:
    """Read the names of tests that are known to fail.

    Args:
        path: The file; it may be absent.

    Returns:
        Test names as unittest prints them.
    """
    if not path.exists():
        return frozenset()
    return frozenset(
        line.removeprefix(KNOWN_RED_MARK).strip()
        for line in path.read_text().splitlines()
        if line.startswith(KNOWN_RED_MARK)
    )


def collect_tests(root: pathlib.Path) -> unittest.TestSuite:
    """Collect the tests of every package.

    Args:
        root: The root of the workspace.

    Returns:
        One suite.
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
    """Run the tests, or those whose names contain the given words."""
    root = pathlib.Path.cwd()
    known_red = read_known_red(root / KNOWN_RED_FILE)
    suite = unittest.TestSuite(
        one
        for one in _flatten(collect_tests(root))
        if all(word in one.id() for word in sys.argv[1:])
    )
    ids = frozenset(one.id() for one in _flatten(suite))
    outcome = unittest.TextTestRunner(stream=sys.stdout).run(suite)
    failed = {one.id() for one, _ in outcome.failures + outcome.errors}
    for name in sorted(failed & known_red):
        print(f'known red: {name}')
    stale = (known_red & ids) - failed
    for name in sorted(stale):
        print(f'passes, take it out of {KNOWN_RED_FILE}: {name}')
    failures = len(failed - known_red) + len(stale)
    passed = outcome.testsRun - len(failed | stale)
    print(f'{passed} passed, {failures} failed')
    sys.exit(1 if failures else 0)


def _flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    tests: list[unittest.TestCase] = []
    for one in suite:
        tests.extend(
            _flatten(one) if isinstance(one, unittest.TestSuite) else [one]
        )
    return tests


if __name__ == '__main__':
    main()
