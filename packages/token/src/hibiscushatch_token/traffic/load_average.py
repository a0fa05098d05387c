"""How many flows this entry VM has open on a service, averaged over time.

One entry VM of many has a fraction of a flow open on average. At any moment
that is none or one, which says little of the load; its average does.
"""

import math

# Long against the time of a request, short against a wave of load.
_AVERAGED_OVER_S = 1.0


class LoadAverage:
    """An exponentially weighted moving average of a number of open flows."""

    __slots__ = ('_average', '_noted_at')

    def __init__(self) -> None:
        self._average = 0.0
        self._noted_at = float('-inf')

    def note(self, open_flows: int, now: float) -> float:
        """Take over the present number and return the average.

        Args:
            open_flows: Flows that are open now.
            now: Monotonic seconds.
        """
        passed_s = now - self._noted_at
        self._noted_at = now
        kept = math.exp(-passed_s / _AVERAGED_OVER_S)
        self._average = open_flows + (self._average - open_flows) * kept
        return self._average
