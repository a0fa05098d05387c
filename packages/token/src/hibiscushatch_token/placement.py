"""Which upstream gets a new flow.

The load answered is that of short requests, a flow each: an upstream works on
as many as it has slots and queues the rest. The least loaded upstream gets the
flow, counted in outstanding flows per slot from this entry VM; a remote one is
chosen when the near ones are fuller by the cost of the way. Upstreams that do
not answer are left out except for single flows that try them again.
"""

import random
from collections.abc import Callable, Iterator

from hibiscushatch_core.upstream_health import Verdict
from hibiscushatch_token.cold_allowance import ColdAllowance
from hibiscushatch_token.flow_table import FlowTable
from hibiscushatch_token.knowledge import Registry, Routing
from hibiscushatch_token.model import Route, Upstream
from hibiscushatch_token.reachability import Reachability
from hibiscushatch_token.response_times import ResponseTimes
from hibiscushatch_token.settings import TokenNodeSettings


class Placement:
    """Chooses upstreams for new flows.

    Args:
        settings: Settings of this entry VM.
        registry: The upstreams.
        routing: Tells evacuated failure domains.
        flows: Outstanding flows.
        reachability: Which upstreams accept flows.
        times: Which upstreams answer slowly.
        allowance: What cold upstreams may get.
        fleet: Counts the entry VMs; 0 when that is not known.
        clock: Monotonic seconds.
        randomness: Breaks ties.
    """

    def __init__(  # noqa: WPS211
        self,
        settings: TokenNodeSettings,
        registry: Registry,
        routing: Routing,
        flows: FlowTable,
        reachability: Reachability,
        times: ResponseTimes,
        allowance: ColdAllowance,
        fleet: Callable[[], int],
        clock: Callable[[], float],
        randomness: random.Random,
    ) -> None:
        self._settings = settings
        self._registry = registry
        self._routing = routing
        self._flows = flows
        self._reachability = reachability
        self._times = times
        self._allowance = allowance
        self._fleet = fleet
        self._clock = clock
        self._randomness = randomness
        self._chosen_at: dict[str, float] = {}
        self._unreachable_at: float | None = None

    @property
    def unreachable_at(self) -> float | None:
        """When last no upstream of a route was known to answer."""
        return self._unreachable_at

    def forget(self, upstream: Upstream) -> None:
        """Drop what is known of an upstream that is gone or began anew."""
        self._chosen_at.pop(upstream.name, None)

    def has_room(self, service: str) -> bool:
        """Tell whether this entry VM uses less than its part of the slots.

        Where the size of the fleet is not known yet, as after a start, a
        single flow is its part.
        """
        slots = 0
        outstanding = 0
        for upstream in self._eligible(service):
            if self._reachability.verdict(upstream) is not Verdict.DEAD:
                slots += upstream.slots
                outstanding += self._flows.outstanding(upstream.name)
        fleet = self._fleet()
        part = slots / fleet if fleet else 1
        return outstanding < max(1, part)

    def choose(self, service: str, tried: tuple[str, ...]) -> Upstream | None:
        """Choose the upstream of a new flow.

        Args:
            service: The service that it is for.
            tried: Names of upstreams that did not answer its earlier packets.

        Returns:
            The upstream; None when no upstream may get it.
        """
        eligible = list(self._eligible(service))
        fresh = [one for one in eligible if one.name not in tried]
        return self._take(
            self._due_probe(fresh) or self._best(fresh or eligible)
        )

    def choose_other(
        self, service: str, tried: tuple[str, ...]
    ) -> Upstream | None:
        """Choose another upstream for a flow that has no answer yet.

        Args:
            service: The service that it is for.
            tried: Names of upstreams that did not answer.

        Returns:
            The upstream; None when none that answers may get it.
        """
        alive = [
            one
            for one in self._eligible(service)
            if one.name not in tried
            and self._reachability.verdict(one) is not Verdict.DEAD
        ]
        return self._take(self._best(alive))

    def _take(self, chosen: Upstream | None) -> Upstream | None:
        if chosen is not None:
            self._chosen_at[chosen.name] = self._clock()
            self._allowance.spend(chosen)
        return chosen

    def draw_service(self, route: Route) -> str:
        """Choose the service of a new flow by the weights of its route."""
        services = route.services
        if len(services) == 1:
            return services[0].service
        weights = [one.weight for one in services]
        return self._randomness.choices(services, weights)[0].service

    def _eligible(self, service: str) -> Iterator[Upstream]:
        evacuated = self._routing.evacuated
        for upstream in self._registry.of_service(service):
            is_out = upstream.is_draining or upstream.domain in evacuated
            if not is_out and self._allowance.permits(upstream):
                yield upstream

    def _due_probe(self, candidates: list[Upstream]) -> Upstream | None:
        now = self._clock()
        due = None
        has_alive = False
        for upstream in candidates:
            if self._reachability.verdict(upstream) is not Verdict.DEAD:
                has_alive = True
            elif self._reachability.may_probe(upstream, now):
                due = upstream
        if due is None or not has_alive:
            return None
        self._reachability.probe_started(due, now)
        return due

    def _best(self, candidates: list[Upstream]) -> Upstream | None:
        alive = [
            one
            for one in candidates
            if self._reachability.verdict(one) is not Verdict.DEAD
        ]
        if candidates and not alive:
            self._unreachable_at = self._clock()
        usable = alive or candidates
        slow = self._times.slow_among(usable)
        return min(
            usable,
            key=lambda one: (
                self._cost(one, one.name in slow),
                self._chosen_at.get(one.name, 0),
            ),
            default=None,
        )

    def _cost(self, upstream: Upstream, is_slow: bool) -> float:
        limits = self._settings.placement
        cost = self._flows.outstanding(upstream.name) / upstream.slots
        if upstream.domain != self._settings.domain:
            cost += limits.remote_cost
        if self._registry.is_cold(upstream):
            cost += limits.cold_cost
        if self._reachability.is_doubtful(upstream, self._clock()):
            cost += limits.doubt_cost
        if is_slow:
            cost += limits.slow_cost
        return cost
