"""A reading averaged over time.

One entry VM of many has a fraction of a flow open on average. At any moment
that is none or one, which says little of the load; its average does.
"""

import math


class MovingAverage:
    """An exponentially weighted moving average.

    Args:
        averaged_over_s: Time constant, in seconds.
    """

    __slots__ = ('_averaged_over_s', '_average', '_noted_at')

    def __init__(self, averaged_over_s: float) -> None:
        self._averaged_over_s = averaged_over_s
        self._average = 0.0
        self._noted_at = float('-inf')

    def note(self, reading: float, now: float) -> float:
        """Take over a reading and return the average.

        Args:
            reading: The present value.
            now: Monotonic seconds.
        """
        passed_s = now - self._noted_at
        self._noted_at = now
        kept = math.exp(-passed_s / self._averaged_over_s)
        self._average = reading + (self._average - reading) * kept
        return self._average
