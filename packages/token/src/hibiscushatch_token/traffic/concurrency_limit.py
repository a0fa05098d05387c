"""Computes how many flows one entry VM may have open on a service.

By Little's law, the number of open flows is the rate at which flows end times
the time that each takes. So that rate times the time that a flow may take is
the number of flows beyond which new ones would take longer. Nothing has to be
known of the upstreams: where they get slower, flows end less often and the
limit falls. The measured rate lags behind a burst that has just begun, so
admission also checks whether responses have become slow.

A flow may take a multiple of the baseline, which is what a response takes
without overload: longer queues keep no more slots busy, and upstreams reject
requests that they can't queue. A flow may take no longer than the share
``aim_share`` of the shortest latency target that a route of the service states.
"""

import math
from collections.abc import Callable

from hibiscushatch_core.decaying_count import DecayingCount
from hibiscushatch_token.settings import AdmissionSettings

# The baseline is averaged over this many responses: more than arrive before an
# overload is noticed.
_BASELINE_RESPONSES = 256
# The first responses are averaged with equal weights, so that there is a
# baseline when a burst comes soon after a start.
_INITIAL_RESPONSES = 16
# Responses during an overload change the baseline far less. They still change
# it, so that a service whose upstreams have become slower for good does not
# look overloaded for ever.
_OVERLOAD_WEIGHT_FACTOR = 1 / 16


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
        self._recent_responses = DecayingCount(settings.rate_half_life_s)
        self._began_at = clock()
        self._response_s = 0.0
        self._baseline_s = 0.0
        self._responses = 0

    @property
    def rate_per_s(self) -> float:
        """Requests served per second recently."""
        count = self._recent_responses.value_at(self._clock())
        return count * math.log(2) / self._settings.rate_half_life_s

    @property
    def is_warmed_up(self) -> bool:
        """Whether the service was observed for long enough to know its rate."""
        observed_s = self._clock() - self._began_at
        return observed_s >= self._settings.warm_up_s

    @property
    def response_s(self) -> float:
        """Average time of recent responses."""
        return self._response_s

    @property
    def baseline_s(self) -> float:
        """Average time of responses without overload."""
        return self._baseline_s

    def record_response(self, response_s: float, is_overloaded: bool) -> None:
        """Count a request that was served.

        Args:
            response_s: How long the response took.
            is_overloaded: Whether the service is overloaded, or was until a
                moment ago.
        """
        self._recent_responses.add(self._clock())
        change = response_s - self._response_s
        self._response_s += change / self._settings.responses
        self._responses += 1
        weight = 1 / _BASELINE_RESPONSES
        if self._responses <= _INITIAL_RESPONSES:
            weight = 1 / self._responses
        if is_overloaded:
            weight *= _OVERLOAD_WEIGHT_FACTOR
        self._baseline_s += (response_s - self._baseline_s) * weight

    def flows_max(self, slots: float, aim_s: float) -> float:
        """Return how many flows may be open.

        Args:
            slots: This entry VM's share of the slots. A fixed number of flows
                for each of them may always be open: fewer would leave slots
                idle.
            aim_s: The shortest latency target of the service.
        """
        per_slot = self._settings.flows_per_slot
        flow_s = min(
            aim_s * self._settings.aim_share, self._baseline_s * per_slot
        )
        return max(1.0, slots * per_slot, self.rate_per_s * flow_s)

    def is_slow(self, aim_s: float) -> bool:
        """Return whether responses take as long as in an overload.

        Args:
            aim_s: The shortest latency target of the service.
        """
        return self._response_s >= min(
            aim_s * self._settings.delay_share,
            self._baseline_s * self._settings.slow_factor,
        )
