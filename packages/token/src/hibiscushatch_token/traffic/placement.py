"""Which upstream gets a new flow.

The load answered is that of short requests, a flow each: an upstream works on
as many as it has slots and queues the rest. The least loaded upstream gets the
flow, counted in outstanding flows per slot from this entry VM; a remote one is
chosen when the near ones are fuller by the cost of the way. Upstreams that do
not answer are left out except for single flows that try them again; those that
answer badly are avoided as long as the others have free slots by this entry
VM's part of them.
"""

from collections.abc import Iterable

from hibiscushatch_token.environment import Environment
from hibiscushatch_token.health.upstream_verdicts import UpstreamVerdicts
from hibiscushatch_token.knowledge.known_state import KnownState
from hibiscushatch_token.model import Route, Upstream
from hibiscushatch_token.settings import TokenNodeSettings
from hibiscushatch_token.traffic.admission import Admission, Refusal
from hibiscushatch_token.traffic.cold_allowance import ColdAllowance
from hibiscushatch_token.traffic.flow_table import FlowTable
from hibiscushatch_token.traffic.moving_average import MovingAverage
from hibiscushatch_token.traffic.upstream_pool import UpstreamPool

# Long against the time of a request, short against a wave of load.
_LOAD_AVERAGED_OVER_S = 1.0


class _ServicePool:
    """The pool of one service, and what it was made of."""

    def __init__(self, service: str, pool: UpstreamPool) -> None:
        self.service = service
        self.pool = pool
        self.made_of: tuple[int, frozenset[str]] | None = None
        self.load = MovingAverage(_LOAD_AVERAGED_OVER_S)


class Placement:
    """Chooses upstreams for new flows.

    Args:
        settings: Settings of this entry VM.
        environment: Clock and randomness.
        known: The upstreams and the evacuated failure domains.
        flows: Outstanding flows.
        verdicts: Which upstreams answer, and how well.
        allowance: What cold upstreams may get.
        admission: Which flows are refused in an overload.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        environment: Environment,
        known: KnownState,
        flows: FlowTable,
        verdicts: UpstreamVerdicts,
        allowance: ColdAllowance,
        admission: Admission,
    ) -> None:
        self._settings = settings
        self._known = known
        self._flows = flows
        self._verdicts = verdicts
        self._allowance = allowance
        self._admission = admission
        self._clock = environment.clock
        self._randomness = environment.randomness
        self._pools: dict[str, _ServicePool] = {}

    def has_room(self, service: str) -> bool:
        """Tell whether this entry VM uses less than its part of the slots.

        Where the size of the fleet is not known yet, as after a start, a
        single flow is its part.
        """
        pool = self._pool_of(service).pool
        alive = self._verdicts.without_dead(pool.everyone)
        slots = sum(one.slots for one in alive)
        open_here = sum(self._flows.outstanding(one.name) for one in alive)
        return open_here < max(1, self._part_of(slots))

    def refusal(self, service: str, route: Route) -> Refusal | None:
        """Tell why a new flow is to be refused; None when it is not."""
        slots = self._pool_of(service).pool.slots
        return self._admission.refusal(service, route, slots)

    def draw_service(self, route: Route) -> str:
        """Choose the service of a new flow by the weights of its route."""
        services = route.services
        if len(services) == 1:
            return services[0].service
        weights = [one.weight for one in services]
        return self._randomness.choices(services, weights)[0].service

    def choose(self, service: str, tried: tuple[str, ...]) -> Upstream | None:
        """Choose the upstream of a new flow.

        Args:
            service: The service that it is for.
            tried: Names of upstreams that did not answer its earlier packets.

        Returns:
            The upstream; None when no upstream may get it.
        """
        known = self._pool_of(service)
        permitted = self._permitted(known.pool.window(), service)
        if not permitted:
            permitted = self._permitted(known.pool.everyone, service)
        candidates = _without(permitted, tried) or permitted
        alive = self._verdicts.without_dead(candidates)
        if candidates and not alive:
            return self._choose_from_all(known, tried)
        due = None
        if len(alive) < len(candidates):
            due = self._verdicts.take_due_probe(candidates)
        return self._take(due or self._cheapest(alive, known), known)

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
        known = self._pool_of(service)
        for upstreams in (known.pool.window(), known.pool.everyone):
            permitted = self._permitted(upstreams, service)
            alive = self._verdicts.without_dead(_without(permitted, tried))
            if alive:
                return self._take(self._cheapest(alive, known), known)
        return None

    def _choose_from_all(
        self, known: _ServicePool, tried: tuple[str, ...]
    ) -> Upstream | None:
        permitted = self._permitted(known.pool.everyone, known.service)
        candidates = _without(permitted, tried) or permitted
        alive = self._verdicts.without_dead(candidates)
        if not alive:
            self._verdicts.note_unreachable()
        return self._take(self._cheapest(alive or candidates, known), known)

    def _pool_of(self, service: str) -> _ServicePool:
        known = self._pools.get(service)
        if known is None:
            pool = UpstreamPool(self._settings.domain, self._randomness)
            known = _ServicePool(service, pool)
            self._pools[service] = known
        made_of = (self._known.registry.version, self._known.routing.evacuated)
        if known.made_of != made_of:
            known.made_of = made_of
            known.pool.update(self._eligible(service))
        return known

    def _eligible(self, service: str) -> Iterable[Upstream]:
        evacuated = self._known.routing.evacuated
        for upstream in self._known.registry.of_service(service):
            is_out = upstream.domain in evacuated
            if not upstream.is_draining and not is_out:
                yield upstream

    def _permitted(
        self, upstreams: list[Upstream], service: str
    ) -> list[Upstream]:
        if not self._allowance.is_stated(service):
            return upstreams
        return [one for one in upstreams if self._allowance.permits(one)]

    def _cheapest(
        self, candidates: list[Upstream], known: _ServicePool
    ) -> Upstream | None:
        limits = self._settings.placement
        domain = self._settings.domain
        penalties = self._penalties(candidates, known)
        cheapest = None
        least = float('inf')
        # Written out: this is most of what opening a flow costs.
        for upstream in candidates:
            cost = self._flows.outstanding(upstream.name) / upstream.slots
            if upstream.domain != domain:
                cost += limits.remote_cost
            if penalties:
                cost += penalties.get(upstream.name, 0)
            if cost < least:
                cheapest = upstream
                least = cost
        return cheapest

    def _penalties(
        self, candidates: list[Upstream], known: _ServicePool
    ) -> dict[str, float]:
        registry = self._known.registry
        limits = self._settings.placement
        penalties: dict[str, float] = {}
        if registry.has_cold_upstreams:
            cold = (one.name for one in candidates if registry.is_cold(one))
            penalties = dict.fromkeys(cold, limits.cold_cost)
        for name in self._verdicts.doubtful_names():
            penalties[name] = penalties.get(name, 0) + limits.doubt_cost
        avoided = self._verdicts.avoided_among(candidates)
        if self._can_do_without(avoided, known):
            for name in avoided:
                penalties[name] = penalties.get(name, 0) + limits.slow_cost
        return penalties

    def _can_do_without(
        self, avoided: frozenset[str], known: _ServicePool
    ) -> bool:
        open_here = self._flows.outstanding_on(known.service)
        slots = known.pool.slots
        for upstream in map(self._known.registry.find, avoided):
            if upstream is not None:
                open_here -= self._flows.outstanding(upstream.name)
                slots -= upstream.slots
        load = known.load.note(open_here, self._clock())
        return load < self._part_of(slots)

    def _part_of(self, slots: int) -> float:
        fleet = self._known.count_fleet()
        return slots / fleet if fleet else 1

    def _take(
        self, chosen: Upstream | None, known: _ServicePool
    ) -> Upstream | None:
        if chosen is not None:
            self._allowance.spend(chosen)
            known.pool.take(chosen)
        return chosen


def _without(
    upstreams: list[Upstream], tried: tuple[str, ...]
) -> list[Upstream]:
    if not tried:
        return upstreams
    return [one for one in upstreams if one.name not in tried]
