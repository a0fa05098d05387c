"""Chooses the upstream of each new flow.

Designed for short requests, one flow each: an upstream works on as many
requests as it has slots and queues the rest. A new flow goes to the upstream
with the lowest load, which is its number of outstanding flows from this entry
VM per slot. Upstreams in other failure domains are treated as if their load
were higher by a fixed cost, and so are chosen only when those in the own domain
are fuller by that much. Upstreams that do not answer get only single flows, as
probes. Upstreams that are slow or ejected are avoided as long as this entry VM
uses less than its share of the slots of the others.
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
from hibiscushatch_token.traffic.free_slots import FreeSlots
from hibiscushatch_token.traffic.moving_average import MovingAverage
from hibiscushatch_token.traffic.upstream_pool import UpstreamPool

# Much longer than a request takes, much shorter than a surge in load lasts.
_LOAD_TIME_CONSTANT_S = 1.0


class _ServicePool:
    """The upstream pool of one service.

    Attributes:
        service: Name of the service.
        pool: The upstreams that may get new flows.
        built_from: Registry version and evacuated failure domains from which
            the pool was built; None before that.
        load: Average number of flows that this entry VM has open on the
            service, without those on avoided upstreams.
    """

    def __init__(self, service: str, pool: UpstreamPool) -> None:
        self.service = service
        self.pool = pool
        self.built_from: tuple[int, frozenset[str]] | None = None
        self.load = MovingAverage(_LOAD_TIME_CONSTANT_S)


class Placement:
    """Chooses upstreams for new flows.

    Args:
        settings: Settings of this entry VM.
        environment: Clock and randomness.
        known: Upstreams, evacuated failure domains, number of entry VMs.
        flows: Outstanding flows by upstream and service.
        verdicts: Which upstreams don't answer, are slow or are ejected.
        allowance: Which cold upstreams may get one more flow.
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
        self._free_slots = FreeSlots(
            settings.backlog, environment, known, flows
        )

    def has_free_slots(self, service: str) -> bool:
        """Return whether slots are left here for flows that can wait."""
        pool = self._pool_of(service).pool
        answering = self._verdicts.without_dead(pool.upstreams)
        return self._free_slots.are_left(service, answering)

    def record_interruption(self) -> None:
        """Record that the backlog of an interruption is handled now."""
        self._free_slots.record_interruption()

    def record_demand(self, service: str, route: Route) -> None:
        """Count a new flow that a caller asked for, admitted or not."""
        self._admission.record_demand(service, route)

    def check_admission(self, service: str, route: Route) -> Refusal | None:
        """Return why a new flow must be refused; None when it is admitted."""
        slots = self._pool_of(service).pool.slots
        return self._admission.check(service, route, slots)

    def draw_service(self, route: Route) -> str:
        """Draw the service of a new flow by the weights of its route."""
        services = route.services
        if len(services) == 1:
            return services[0].service
        weights = [weighted.weight for weighted in services]
        return self._randomness.choices(services, weights)[0].service

    def may_keep(self, upstream: Upstream, route: Route) -> bool:
        """Return whether an unanswered flow may stay on its upstream.

        Args:
            upstream: The upstream on which the flow was placed.
            route: The route of the flow that is in force now.
        """
        listed = self._known.registry.find(upstream.name)
        if listed is None or listed.incarnation != upstream.incarnation:
            return False
        is_leaving = (
            listed.is_draining or listed.domain in self._known.routing.evacuated
        )
        return not is_leaving and route.names(listed.service)

    def choose(self, service: str, tried: tuple[str, ...]) -> Upstream | None:
        """Choose the upstream of a new flow.

        Args:
            service: The service of the flow.
            tried: Names of upstreams that did not answer its earlier opening
                packets; they are avoided if there are others.

        Returns:
            The upstream; None when no upstream may get it.
        """
        service_pool = self._pool_of(service)
        permitted = self._filter_permitted(
            service_pool.pool.next_window(), service
        )
        if not permitted:
            permitted = self._filter_permitted(
                service_pool.pool.upstreams, service
            )
        candidates = _exclude(permitted, tried) or permitted
        answering = self._verdicts.without_dead(candidates)
        if candidates and not answering:
            return self._choose_from_whole_pool(service_pool, tried)
        due_probe = None
        if len(answering) < len(candidates):
            due_probe = self._verdicts.take_due_probe(candidates)
        return self._record_choice(
            due_probe or self._cheapest(answering, service_pool), service_pool
        )

    def choose_other(
        self, service: str, tried: tuple[str, ...]
    ) -> Upstream | None:
        """Choose another upstream for a flow that has no answer yet.

        Args:
            service: The service of the flow.
            tried: Names of upstreams that did not answer its opening packet.

        Returns:
            The upstream; None when no upstream that answers may get it.
        """
        service_pool = self._pool_of(service)
        for upstreams in (
            service_pool.pool.next_window(),
            service_pool.pool.upstreams,
        ):
            permitted = self._filter_permitted(upstreams, service)
            answering = self._verdicts.without_dead(_exclude(permitted, tried))
            if answering:
                return self._record_choice(
                    self._cheapest(answering, service_pool), service_pool
                )
        return None

    def _choose_from_whole_pool(
        self, service_pool: _ServicePool, tried: tuple[str, ...]
    ) -> Upstream | None:
        permitted = self._filter_permitted(
            service_pool.pool.upstreams, service_pool.service
        )
        candidates = _exclude(permitted, tried) or permitted
        answering = self._verdicts.without_dead(candidates)
        if not answering:
            self._verdicts.record_unreachable()
        return self._record_choice(
            self._cheapest(answering or candidates, service_pool), service_pool
        )

    def _pool_of(self, service: str) -> _ServicePool:
        service_pool = self._pools.get(service)
        if service_pool is None:
            pool = UpstreamPool(self._settings.domain, self._randomness)
            service_pool = _ServicePool(service, pool)
            self._pools[service] = service_pool
        built_from = (
            self._known.registry.version,
            self._known.routing.evacuated,
        )
        if service_pool.built_from != built_from:
            service_pool.built_from = built_from
            service_pool.pool.update(self._eligible_upstreams(service))
        return service_pool

    def _eligible_upstreams(self, service: str) -> Iterable[Upstream]:
        evacuated = self._known.routing.evacuated
        for upstream in self._known.registry.of_service(service):
            is_evacuated = upstream.domain in evacuated
            if not upstream.is_draining and not is_evacuated:
                yield upstream

    def _filter_permitted(
        self, upstreams: list[Upstream], service: str
    ) -> list[Upstream]:
        if not self._allowance.is_stated(service):
            return upstreams
        return [
            upstream
            for upstream in upstreams
            if self._allowance.permits(upstream)
        ]

    def _cheapest(
        self, candidates: list[Upstream], service_pool: _ServicePool
    ) -> Upstream | None:
        costs = self._settings.placement
        domain = self._settings.domain
        penalties = self._penalties(candidates, service_pool)
        cheapest = None
        lowest_cost = float('inf')
        # An explicit loop, for speed: most of the processor time to open a flow
        # is spent here.
        for upstream in candidates:
            cost = self._flows.outstanding(upstream.name) / upstream.slots
            if upstream.domain != domain:
                cost += costs.remote_cost
            if penalties:
                cost += penalties.get(upstream.name, 0)
            if cost < lowest_cost:
                cheapest = upstream
                lowest_cost = cost
        return cheapest

    def _penalties(
        self, candidates: list[Upstream], service_pool: _ServicePool
    ) -> dict[str, float]:
        registry = self._known.registry
        costs = self._settings.placement
        penalties: dict[str, float] = {}
        if registry.has_cold_upstreams:
            cold = (
                upstream.name
                for upstream in candidates
                if registry.is_cold(upstream)
            )
            penalties = dict.fromkeys(cold, costs.cold_cost)
        for name in self._verdicts.recent_suspects():
            penalties[name] = penalties.get(name, 0) + costs.doubt_cost
        avoided = self._verdicts.avoided_names(candidates)
        if self._has_free_slots_without(avoided, service_pool):
            for name in avoided:
                penalties[name] = penalties.get(name, 0) + costs.slow_cost
        return penalties

    def _has_free_slots_without(
        self, avoided: frozenset[str], service_pool: _ServicePool
    ) -> bool:
        open_here = self._flows.outstanding_of_service(service_pool.service)
        slots = service_pool.pool.slots
        for upstream in map(self._known.registry.find, avoided):
            if upstream is not None:
                open_here -= self._flows.outstanding(upstream.name)
                slots -= upstream.slots
        load = service_pool.load.update(open_here, self._clock())
        return load < self._own_share_of(slots)

    def _own_share_of(self, slots: int) -> float:
        fleet_size = self._known.count_fleet()
        return slots / fleet_size if fleet_size else 1

    def _record_choice(
        self, chosen: Upstream | None, service_pool: _ServicePool
    ) -> Upstream | None:
        if chosen is not None:
            self._allowance.consume(chosen)
            service_pool.pool.record_choice(chosen)
        return chosen


def _exclude(
    upstreams: list[Upstream], tried: tuple[str, ...]
) -> list[Upstream]:
    if not tried:
        return upstreams
    return [upstream for upstream in upstreams if upstream.name not in tried]
