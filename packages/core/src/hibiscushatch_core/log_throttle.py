"""Limits how often an event is logged that others can cause at any rate."""

import time
from collections.abc import Callable


class LogThrottle:
    """Admits a number of log lines in each interval and counts the others.

    Args:
        lines_max: Most lines in an interval.
        interval_s: Length of an interval.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        lines_max: int,
        interval_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._lines_max = lines_max
        self._interval_s = interval_s
        self._clock = clock
        self._interval_began_at = float('-inf')
        self._lines = 0
        self._omitted = 0

    def admit(self) -> int | None:
        """Ask for a line.

        Returns:
            How many lines were left out since the last one that was admitted;
            None if this one is to be left out as well.
        """
        now = self._clock()
        if now - self._interval_began_at >= self._interval_s:
            self._interval_began_at = now
            self._lines = 0
        if self._lines >= self._lines_max:
            self._omitted += 1
            return None
        self._lines += 1
        omitted = self._omitted
        self._omitted = 0
        return omitted
