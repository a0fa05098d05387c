"""Tests of hibiscushatch_core.unexpected_errors and log_throttle."""

import asyncio
import logging
import os
import unittest

from hibiscushatch_core.background_tasks import keep_running
from hibiscushatch_core.counters import Counters
from hibiscushatch_core.log_format import BoundedHandler, JsonFormatter
from hibiscushatch_core.unexpected_errors import UnexpectedErrors

LOG = 'hibiscushatch_core.unexpected_errors'


def raise_error(error: Exception) -> None:
    """Raise an error."""
    raise error


# Guards against background tasks whose error ends the process.
async def test_a_failed_task_runs_again_and_the_error_is_logged() -> None:
    counters = Counters()
    errors = UnexpectedErrors(counters)
    runs: list[int] = []

    async def run() -> None:
        runs.append(len(runs))
        if len(runs) < 4:
            raise OverflowError('port must be 0-65535')
        await asyncio.sleep(0)

    with unittest.TestCase().assertLogs(LOG, 'ERROR') as lines:
        await keep_running(errors, 'retrying flows', run)
    assert runs == [0, 1, 2, 3]
    assert counters.unexpected_errors == 3
    assert [record.step for record in lines.records] == ['retrying flows']


async def test_a_task_that_fails_at_once_is_not_restarted_without_pause() -> (
    None
):
    counters = Counters()
    clock = asyncio.get_running_loop().time
    errors = UnexpectedErrors(counters, clock)

    async def fail() -> None:
        raise ValueError

    with unittest.TestCase().assertLogs(LOG, 'ERROR'):
        task = asyncio.create_task(keep_running(errors, 'failing', fail, clock))
        await asyncio.sleep(60)
    task.cancel()
    assert 10 < counters.unexpected_errors < 50


def test_lines_of_one_step_are_limited_and_state_what_was_left_out() -> None:
    counters = Counters()
    now = [0.0]
    errors = UnexpectedErrors(counters, lambda: now[0])
    with unittest.TestCase().assertLogs(LOG, 'ERROR') as lines:
        for _ in range(100):
            errors.guard('handling', raise_error, ValueError('odd'))
        errors.guard('other', raise_error, ValueError('odd'))
        now[0] = 60.0
        errors.guard('handling', raise_error, ValueError('odd'))
    assert counters.unexpected_errors == 102
    assert [record.omitted for record in lines.records] == [0, 0, 99]


# Guards against code that fails because a field of its log line can't be
# encoded, such as half of a surrogate pair in a key of another writer.
def test_a_line_that_cannot_be_encoded_does_not_fail_its_caller() -> None:
    reader, writer = os.pipe()
    handler = BoundedHandler(writer, 100)
    handler.setFormatter(JsonFormatter())
    logger = logging.Logger('test')
    logger.addHandler(handler)
    logger.info('entry', extra={'key': '\ud800'})
    logger.info('next', extra={'key': 'plain'})
    os.close(writer)
    with os.fdopen(reader) as lines:
        first, second = lines.read().splitlines()
    assert 'not formatted' in first
    assert '"key":"plain"' in second
