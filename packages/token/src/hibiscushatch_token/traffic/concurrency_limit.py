"""How many flows one entry VM may have open on a service.

By Little's law, the flows that are open are the rate at which they end times
the time that each takes. So the rate times the time that a flow may take is the
number of flows beyond which new ones would take longer. Nothing has to be known
of the upstreams: where they are slower, flows end more seldom and the limit
falls. The rate lags behind a burst that has just begun, so the time that
responses take counts as well.

A flow may take a multiple of what a response usually takes, as longer queues
keep no more slots busy and upstreams reject what they can't queue; and less
than the aim, where that is shorter.
"""

import math
from collections.abc import Callable

from hibiscushatch_core.decaying_count import DecayingCount
from hibiscushatch_token.settings import AdmissionSettings

# Over so many responses the time is averaged that they usually take: more than
# come before an overload is noticed.
_USUAL_RESPONSES = 256
# The first ones are averaged evenly; a burst may come soon after a start.
_FIRST_RESPONSES = 16
# Those of an overload move it far less, but do so: upstreams that have become
# slower for good must not look overloaded for ever.
_OVERLOADED_WEIGHT = 1 / 16


class ConcurrencyLimit:
    """The limit of one service.

    Args:
        settings: Times and factors.
        clock: Monotonic seconds.
    """

    def __init__(
        self, settings: AdmissionSettings, clock: Callable[[], float]
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._served = DecayingCount(settings.rate_half_life_s)
        self._began_at = clock()
        self._response_s = 0.0
        self._usual_s = 0.0
        self._responses = 0

    @property
    def rate_per_s(self) -> float:
        """Requests that were served a second, of late."""
        count = self._served.value_at(self._clock())
        return count * math.log(2) / self._settings.rate_half_life_s

    @property
    def is_known(self) -> bool:
        """Whether enough was seen to tell the rate."""
        seen_s = self._clock() - self._began_at
        return seen_s >= self._settings.warm_up_s

    @property
    def response_s(self) -> float:
        """How long responses took of late."""
        return self._response_s

    @property
    def usual_s(self) -> float:
        """How long responses usually take, without overload."""
        return self._usual_s

    def served(self, took_s: float, is_overloaded: bool) -> None:
        """Count a request that was served.

        Args:
            took_s: How long its response took.
            is_overloaded: Whether the service was overloaded a moment ago.
        """
        self._served.add(self._clock())
        change = took_s - self._response_s
        self._response_s += change / self._settings.responses
        self._responses += 1
        weight = 1 / _USUAL_RESPONSES
        if self._responses <= _FIRST_RESPONSES:
            weight = 1 / self._responses
        if is_overloaded:
            weight *= _OVERLOADED_WEIGHT
        self._usual_s += (took_s - self._usual_s) * weight

    def flows_max(self, slots: float, aim_s: float) -> float:
        """Return how many flows may be open.

        Args:
            slots: This entry VM's part of the slots. Some flows for each of
                them may always be open: fewer would leave slots idle.
            aim_s: Within what time callers want their answers.
        """
        per_slot = self._settings.flows_per_slot
        flow_s = min(aim_s * self._settings.aim_share, self._usual_s * per_slot)
        return max(1.0, slots * per_slot, self.rate_per_s * flow_s)

    def is_slow(self, aim_s: float) -> bool:
        """Tell whether responses take as long as in an overload.

        Args:
            aim_s: Within what time callers want their answers.
        """
        return self._response_s >= min(
            aim_s * self._settings.delay_share,
            self._usual_s * self._settings.slow_factor,
        )
