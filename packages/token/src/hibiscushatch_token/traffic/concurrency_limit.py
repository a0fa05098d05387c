"""How many flows one entry VM may have open on a service.

By Little's law, the flows that are open are the rate at which they end times
the time that each takes. So the rate times the time that a flow may take is the
number of flows beyond which new ones would take longer. Nothing has to be known
of the upstreams: where they are slower, flows end more seldom and the limit
falls. The rate lags behind a burst that has just begun, so the time that
responses take counts as well.

A flow may take a multiple of what a response takes while slots are free, as
longer queues keep no more slots busy and upstreams reject what they can't
queue; and less than the aim, where that is shorter.
"""

import math
from collections.abc import Callable

from hibiscushatch_core.decaying_count import DecayingCount
from hibiscushatch_token.settings import AdmissionSettings
from hibiscushatch_token.traffic.moving_average import MovingAverage

# Long against the time of a request, short against a wave of load.
_LOAD_AVERAGED_OVER_S = 1.0
# Over so many responses the time is averaged that they take while slots are
# free: it changes with the software of the upstreams, not with the load.
_UNLOADED_RESPONSES = 64


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
        self._load = MovingAverage(_LOAD_AVERAGED_OVER_S)
        self._slots = 0.0
        self._has_room = False
        self._response_s = 0.0
        self._unloaded_s = 0.0

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
    def unloaded_s(self) -> float:
        """How long responses take while slots are free; 0 when unknown."""
        return self._unloaded_s

    def note_load(self, open_flows: float, slots: float) -> None:
        """Take over how many flows are open.

        Args:
            open_flows: Flows of this entry VM on the service.
            slots: Its part of the service's slots.
        """
        average = self._load.note(open_flows, self._clock())
        self._slots = slots
        self._has_room = max(open_flows, average) < slots

    def served(self, took_s: float) -> None:
        """Count a request that was served.

        Args:
            took_s: How long its response took.
        """
        self._served.add(self._clock())
        change = took_s - self._response_s
        self._response_s += change / self._settings.responses
        if not self._unloaded_s:
            self._unloaded_s = took_s
        elif self._has_room:
            change = took_s - self._unloaded_s
            self._unloaded_s += change / _UNLOADED_RESPONSES

    def flows_max(self, aim_s: float) -> float:
        """Return how many flows may be open.

        Some flows for each slot may always be open: fewer would leave slots
        idle.

        Args:
            aim_s: Within what time callers want their answers.
        """
        per_slot = self._settings.flows_per_slot
        flow_s = min(
            aim_s * self._settings.aim_share, self._unloaded_s * per_slot
        )
        return max(1.0, self._slots * per_slot, self.rate_per_s * flow_s)

    def is_slow(self, aim_s: float) -> bool:
        """Tell whether responses take as long as in an overload.

        Args:
            aim_s: Within what time callers want their answers.
        """
        return self._response_s >= min(
            aim_s * self._settings.delay_share,
            self._unloaded_s * self._settings.slow_factor,
        )
