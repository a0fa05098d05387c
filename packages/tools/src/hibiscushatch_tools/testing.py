"""Lets unittest run tests that are plain functions.

Every module-level ``test_*`` function is a test. A coroutine function runs in
virtual time unless it is marked with ``real_time``. Shared fixtures are
functions and context managers in the modules ``*_fixtures`` beside the tests.
"""

import asyncio
import inspect
import types
import unittest
from collections.abc import Callable, Iterator
from typing import Any

from hibiscushatch_tools import virtual_time

TestFunction = Callable[[], Any]
_REAL_TIME_ATTRIBUTE = 'hibiscushatch_real_time'


def real_time(function: TestFunction) -> TestFunction:
    """Mark a coroutine test that needs real sockets and real time."""
    setattr(function, _REAL_TIME_ATTRIBUTE, True)
    return function


class FunctionTest(unittest.FunctionTestCase):
    """Test case of a function; its id is the module and function name."""

    def __init__(self, function: TestFunction) -> None:
        super().__init__(_wrap_coroutine(function))
        self._name = f'{function.__module__}.{function.__name__}'

    def id(self) -> str:
        """Return the module and function name."""
        return self._name

    def __str__(self) -> str:
        return self._name


class FunctionLoader(unittest.TestLoader):
    """Loads test functions in addition to the test cases of unittest."""

    def loadTestsFromModule(  # noqa: N802
        self, module: types.ModuleType, *, pattern: str | None = None
    ) -> unittest.TestSuite:
        """Collect the tests of a module.

        Args:
            module: An imported test module.
            pattern: Passed on to unittest.

        Returns:
            The test cases and test functions of the module.
        """
        suite = super().loadTestsFromModule(module, pattern=pattern)
        suite.addTests(
            FunctionTest(function) for function in _test_functions(module)
        )
        return suite


def _test_functions(module: types.ModuleType) -> Iterator[TestFunction]:
    for name, function in vars(module).items():
        is_function = inspect.isfunction(function)
        if name.startswith('test_') and is_function:
            yield function


def _wrap_coroutine(function: TestFunction) -> TestFunction:
    if not inspect.iscoroutinefunction(function):
        return function
    if getattr(function, _REAL_TIME_ATTRIBUTE, False):
        return lambda: asyncio.run(function())
    return lambda: virtual_time.run_in_virtual_time(function())
