"""How many new flows an upstream gets while it is cold.

A cold upstream bears a stated number of new flows a second from all entry VMs
together. Each entry VM uses an equal part of it, as a token bucket of one
flow: no burst of several can come from one entry VM, and a random first level
spreads the flows of parts far below one a second over the fleet.
"""

from hibiscushatch_token.environment import Environment
from hibiscushatch_token.knowledge.known_state import KnownState
from hibiscushatch_token.model import Upstream

_BUCKET_FLOWS = 1.0


class ColdAllowance:
    """The part of this entry VM in the allowances of cold upstreams.

    Args:
        environment: Clock, and randomness that draws first levels.
        known: Which upstreams are cold, and the allowance of a service.
    """

    def __init__(self, environment: Environment, known: KnownState) -> None:
        self._registry = known.registry
        self._routing = known.routing
        self._fleet = known.count_fleet
        self._clock = environment.clock
        self._randomness = environment.randomness
        self._levels: dict[str, tuple[float, float]] = {}

    def is_stated(self, service: str) -> bool:
        """Tell whether cold upstreams of a service are limited."""
        policy = self._routing.config.services.get(service)
        return policy is not None and policy.cold_flows_per_s > 0

    def permits(self, upstream: Upstream) -> bool:
        """Tell whether an upstream may get one more flow now."""
        if not self._is_limited(upstream):
            return True
        return self._level(upstream) >= _BUCKET_FLOWS

    def spend(self, upstream: Upstream) -> None:
        """Count a flow that was placed on an upstream."""
        if self._is_limited(upstream):
            level = self._level(upstream) - _BUCKET_FLOWS
            self._levels[upstream.name] = (level, self._clock())

    def forget(self, upstream: Upstream) -> None:
        """Begin anew with a process that has just started."""
        self._levels.pop(upstream.name, None)

    def _is_limited(self, upstream: Upstream) -> bool:
        # Without a stated allowance the slots alone limit an upstream.
        is_stated = self.is_stated(upstream.service)
        return is_stated and self._registry.is_cold(upstream)

    def _level(self, upstream: Upstream) -> float:
        fleet = self._fleet()
        if not fleet:
            return 0
        now = self._clock()
        known = self._levels.get(upstream.name)
        if known is None:
            level = self._randomness.random() * _BUCKET_FLOWS
        else:
            policy = self._routing.config.services[upstream.service]
            part = policy.cold_flows_per_s / fleet
            earned = (now - known[1]) * part
            level = min(_BUCKET_FLOWS, known[0] + earned)
        self._levels[upstream.name] = (level, now)
        return level
