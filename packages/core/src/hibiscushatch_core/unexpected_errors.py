"""Contains errors that no other code expects, so that they end nothing else.

An exception that a single datagram, entry, connection or iteration of a
background task raises must not end the process, nor the task that handles the
next one. It is counted and logged with the step that raised it. A step that
fails again and again logs one line in each interval, which states how many
errors were left out.
"""

import logging
import time
from collections.abc import Callable

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.log_throttle import LogThrottle

_LOG_INTERVAL_S = 10.0

_log = logging.getLogger(__name__)


class UnexpectedErrors:
    """Counts and logs unexpected errors of a process.

    Args:
        counters: Counters of the process.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        counters: Counters,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._counters = counters
        self._clock = clock
        # The steps are named in the source, so their number is limited.
        self._throttles: dict[tuple[str, type[Exception]], LogThrottle] = {}

    def record(self, step: str, error: Exception, source: str = '') -> None:
        """Count an error, and log it unless its like was logged just now.

        Args:
            step: What was being done; one of few names.
            error: The error.
            source: What it was done with, such as a peer or a key.
        """
        self._counters.unexpected_errors += 1
        throttle = self._throttles.setdefault(
            (step, type(error)), LogThrottle(1, _LOG_INTERVAL_S, self._clock)
        )
        omitted = throttle.admit()
        if omitted is not None:
            _log.error(
                'unexpected error',
                exc_info=error,
                extra={'step': step, 'source': source, 'omitted': omitted},
            )

    def guard(
        self, step: str, function: Callable[..., object], *arguments: object
    ) -> None:
        """Call a function and record what it raises.

        Args:
            step: What the function does; one of few names.
            function: The function.
            arguments: Its arguments.
        """
        try:
            function(*arguments)
        except Exception as error:
            self.record(step, error)
