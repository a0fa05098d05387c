"""Limits the new flows of upstreams that are cold.

The configuration of a service may state how many new flows a second a cold
upstream can take from all entry VMs together. Each entry VM uses an equal share
of that rate, as a token bucket that holds one flow. So no entry VM sends a
burst of several flows, and random initial levels of the buckets spread the
flows over the fleet even when the share of one entry VM is far below one flow a
second.
"""

from hibiscushatch_token.environment import Environment
from hibiscushatch_token.knowledge.known_state import KnownState
from hibiscushatch_token.model import Upstream

_BUCKET_CAPACITY_FLOWS = 1.0


class ColdAllowance:
    """This entry VM's share of the allowances of cold upstreams.

    Args:
        environment: Clock, and randomness that draws initial bucket levels.
        known: Which upstreams are cold, and the allowance of each service.
    """

    def __init__(self, environment: Environment, known: KnownState) -> None:
        self._registry = known.registry
        self._routing = known.routing
        self._count_fleet = known.count_fleet
        self._clock = environment.clock
        self._randomness = environment.randomness
        # Level of each bucket in flows, and when it was computed.
        self._levels: dict[str, tuple[float, float]] = {}

    def is_stated(self, service: str) -> bool:
        """Return whether the cold upstreams of a service are limited."""
        policy = self._routing.config.services.get(service)
        return policy is not None and policy.cold_flows_per_s > 0

    def permits(self, upstream: Upstream) -> bool:
        """Return whether an upstream may get one more flow now."""
        if not self._is_limited(upstream):
            return True
        return self._level(upstream) >= _BUCKET_CAPACITY_FLOWS

    def consume(self, upstream: Upstream) -> None:
        """Count a flow that was placed on an upstream."""
        if self._is_limited(upstream):
            level = self._level(upstream) - _BUCKET_CAPACITY_FLOWS
            self._levels[upstream.name] = (level, self._clock())

    def forget(self, upstream: Upstream) -> None:
        """Drop the bucket of an upstream that was removed or restarted."""
        self._levels.pop(upstream.name, None)

    def _is_limited(self, upstream: Upstream) -> bool:
        # Without a stated allowance the slots alone limit an upstream.
        is_stated = self.is_stated(upstream.service)
        return is_stated and self._registry.is_cold(upstream)

    def _level(self, upstream: Upstream) -> float:
        fleet_size = self._count_fleet()
        if not fleet_size:
            return 0
        now = self._clock()
        previous = self._levels.get(upstream.name)
        if previous is None:
            level = self._randomness.random() * _BUCKET_CAPACITY_FLOWS
        else:
            policy = self._routing.config.services[upstream.service]
            share_per_s = policy.cold_flows_per_s / fleet_size
            refill = (now - previous[1]) * share_per_s
            level = min(_BUCKET_CAPACITY_FLOWS, previous[0] + refill)
        self._levels[upstream.name] = (level, now)
        return level
