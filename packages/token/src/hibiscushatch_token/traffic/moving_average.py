"""Averages a value over time.

In a large fleet, one entry VM has a fraction of a flow open on average. At any
moment that is no flow or one flow, which says little about the load. The
average over time shows the load.
"""

import math


class MovingAverage:
    """An exponentially weighted moving average.

    Args:
        time_constant_s: Time constant, in seconds.
    """

    __slots__ = ('_time_constant_s', '_average', '_updated_at')

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._average = 0.0
        self._updated_at = float('-inf')

    def update(self, value: float, now: float) -> float:
        """Add a value and return the new average.

        Args:
            value: The current value.
            now: Monotonic seconds.
        """
        elapsed_s = now - self._updated_at
        self._updated_at = now
        decay = math.exp(-elapsed_s / self._time_constant_s)
        self._average = value + (self._average - value) * decay
        return self._average
