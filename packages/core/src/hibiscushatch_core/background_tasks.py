"""Runs background tasks again after errors that no other code expects."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from hibiscushatch_core.unexpected_errors import UnexpectedErrors

_RESTART_DELAY_MIN_S = 0.05
_RESTART_DELAY_MAX_S = 2.0
_RESTART_DELAY_GROWTH = 2.0


async def keep_running(
    errors: UnexpectedErrors,
    step: str,
    run: Callable[[], Awaitable[None]],
    clock: Callable[[], float] = time.monotonic,
) -> None:
    """Run a background task, and start it again after an error.

    Returns when the task returns. The pause before a restart grows while the
    task fails at once.

    Args:
        errors: Counts and logs the errors.
        step: What the task does; one of few names.
        run: Runs the task; called again after an error.
        clock: Returns monotonic seconds.
    """
    delay_s = _RESTART_DELAY_MIN_S
    while True:
        started_at = clock()
        try:
            return await run()
        except Exception as error:
            errors.record(step, error)
        if clock() - started_at > _RESTART_DELAY_MAX_S:
            delay_s = _RESTART_DELAY_MIN_S
        await asyncio.sleep(delay_s)
        delay_s = min(_RESTART_DELAY_MAX_S, delay_s * _RESTART_DELAY_GROWTH)
