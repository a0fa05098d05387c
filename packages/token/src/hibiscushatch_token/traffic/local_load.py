"""The load that this entry VM sees, by service, failure domain and priority.

Other entry VMs add it to theirs (fleet_load). Demand and refusals count for the
failure domain of this entry VM, since its callers are there; answers and
requests under way count for the domain of the upstream.
"""

import math
from collections.abc import Callable

from hibiscushatch_core.decaying_count import DecayingCount
from hibiscushatch_token.knowledge.fleet_load import (
    LoadKey,
    LoadRows,
    LoadSum,
)
from hibiscushatch_token.model import Upstream
from hibiscushatch_token.settings import TokenNodeSettings
from hibiscushatch_token.traffic.flow_table import FlowTable

# A count that has decayed to this or less is dropped.
_COUNT_NEGLIGIBLE = 0.01


class _Rates:
    """Rates of events by key, in events a second."""

    def __init__(self, half_life_s: float, clock: Callable[[], float]) -> None:
        self._half_life_s = half_life_s
        self._clock = clock
        self._counts: dict[LoadKey, DecayingCount] = {}

    def record(self, key: LoadKey) -> None:
        """Count one event."""
        count = self._counts.get(key)
        if count is None:
            count = DecayingCount(self._half_life_s)
            self._counts[key] = count
        count.add(self._clock())

    def per_s(self, key: LoadKey) -> float:
        """Return the rate of one key."""
        count = self._counts.get(key)
        if count is None:
            return 0
        per_count = math.log(2) / self._half_life_s
        return count.value_at(self._clock()) * per_count

    def current_keys(self) -> list[LoadKey]:
        """Drop the keys without recent events and return the others."""
        now = self._clock()
        self._counts = {
            key: count
            for key, count in self._counts.items()
            if count.value_at(now) > _COUNT_NEGLIGIBLE
        }
        return list(self._counts)


class LocalLoad:
    """Counts requests, refusals and answers of this entry VM.

    Args:
        settings: Settings of this entry VM.
        clock: Monotonic seconds.
        flows: Requests under way.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        clock: Callable[[], float],
        flows: FlowTable,
    ) -> None:
        half_life_s = settings.load.rate_half_life_s
        self._domain = settings.domain
        self._flows = flows
        self._demand = _Rates(half_life_s, clock)
        self._refused = _Rates(half_life_s, clock)
        self._rejected = _Rates(half_life_s, clock)
        self._answered = _Rates(half_life_s, clock)

    def record_demand(self, service: str, priority: int) -> None:
        """Count a request that a caller asked for."""
        self._demand.record(LoadKey(service, self._domain, priority))

    def record_refused(self, service: str, priority: int) -> None:
        """Count a request that this entry VM refused."""
        self._refused.record(LoadKey(service, self._domain, priority))

    def record_answered(
        self, upstream: Upstream, priority: int, is_rejected: bool
    ) -> None:
        """Count a request whose response began, or that was rejected."""
        key = LoadKey(upstream.service, upstream.domain, priority)
        self._answered.record(key)
        if is_rejected:
            self._rejected.record(key)

    def demand_per_s(self, service: str, priority: int) -> float:
        """Return how many requests a second callers here ask for."""
        return self._demand.per_s(LoadKey(service, self._domain, priority))

    def rows(self) -> LoadRows:
        """Return the load of all keys that have any."""
        under_way = {
            LoadKey(*parts): count
            for parts, count in self._flows.outstanding_by_key()
            if count > 0
        }
        rates = (self._demand, self._refused, self._rejected, self._answered)
        keys = set(under_way).union(*(rate.current_keys() for rate in rates))
        return {
            key: LoadSum(
                *(rate.per_s(key) for rate in rates), under_way.get(key, 0)
            )
            for key in keys
        }
