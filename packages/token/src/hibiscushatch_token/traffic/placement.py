"""Which upstream gets a new flow.

The load answered is that of short requests, a flow each: an upstream works on
as many as it has slots and queues the rest. The least loaded upstream gets the
flow, counted in outstanding flows per slot from this entry VM; a remote one is
chosen when the near ones are fuller by the cost of the way. Upstreams that do
not answer are left out except for single flows that try them again.
"""

from hibiscushatch_token.environment import Environment
from hibiscushatch_token.health.upstream_verdicts import UpstreamVerdicts
from hibiscushatch_token.knowledge.known_state import KnownState
from hibiscushatch_token.model import Route, Upstream
from hibiscushatch_token.settings import TokenNodeSettings
from hibiscushatch_token.traffic.cold_allowance import ColdAllowance
from hibiscushatch_token.traffic.flow_table import FlowTable


class Placement:
    """Chooses upstreams for new flows.

    Args:
        settings: Settings of this entry VM.
        environment: Clock and randomness.
        known: The upstreams and the evacuated failure domains.
        flows: Outstanding flows.
        verdicts: Which upstreams answer, and how well.
        allowance: What cold upstreams may get.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        environment: Environment,
        known: KnownState,
        flows: FlowTable,
        verdicts: UpstreamVerdicts,
        allowance: ColdAllowance,
    ) -> None:
        self._settings = settings
        self._known = known
        self._flows = flows
        self._verdicts = verdicts
        self._allowance = allowance
        self._clock = environment.clock
        self._randomness = environment.randomness
        # When each upstream had its latest turn; before the first one a
        # negative number.
        self._chosen_at: dict[str, float] = {}

    def forget(self, upstream: Upstream) -> None:
        """Drop what is known of an upstream that is gone or began anew."""
        self._chosen_at.pop(upstream.name, None)

    def has_room(self, service: str) -> bool:
        """Tell whether this entry VM uses less than its part of the slots.

        Where the size of the fleet is not known yet, as after a start, a
        single flow is its part.
        """
        alive = self._verdicts.without_dead(self._eligible(service))
        slots = sum(one.slots for one in alive)
        outstanding = sum(self._flows.outstanding(one.name) for one in alive)
        fleet = self._known.count_fleet()
        part = slots / fleet if fleet else 1
        return outstanding < max(1, part)

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
        eligible = self._eligible(service)
        candidates = _without(eligible, tried) or eligible
        alive = self._verdicts.without_dead(candidates)
        if candidates and not alive:
            self._verdicts.note_unreachable()
            return self._take(self._cheapest(candidates))
        due = None
        if len(alive) < len(candidates):
            due = self._verdicts.take_due_probe(candidates)
        return self._take(due or self._cheapest(alive))

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
        candidates = _without(self._eligible(service), tried)
        alive = self._verdicts.without_dead(candidates)
        return self._take(self._cheapest(alive))

    def _eligible(self, service: str) -> list[Upstream]:
        evacuated = self._known.routing.evacuated
        eligible = [
            one
            for one in self._known.registry.of_service(service)
            if not one.is_draining and one.domain not in evacuated
        ]
        if not self._allowance.is_stated(service):
            return eligible
        return [one for one in eligible if self._allowance.permits(one)]

    def _cheapest(self, candidates: list[Upstream]) -> Upstream | None:
        limits = self._settings.placement
        domain = self._settings.domain
        penalties = self._penalties(candidates)
        cheapest = None
        least = (float('inf'), 0.0)
        in_turn = None
        least_in_turn = least
        # Written out: this is most of what opening a flow costs.
        for upstream in candidates:
            name = upstream.name
            cost = self._flows.outstanding(name) / upstream.slots
            if upstream.domain != domain:
                cost += limits.remote_cost
            chosen_at = self._chosen_at.get(name)
            if chosen_at is None:
                chosen_at = self._enter(name, candidates)
            rank = (cost, chosen_at)
            if penalties:
                if rank < least_in_turn:
                    in_turn = upstream
                    least_in_turn = rank
                rank = (cost + penalties.get(name, 0), chosen_at)
            if rank < least:
                cheapest = upstream
                least = rank
        if in_turn is not None:
            # One that is passed over has had its turn: when its penalty ends
            # everywhere at once, it is not the first choice everywhere.
            self._chosen_at[in_turn.name] = self._clock()
        return cheapest

    def _enter(self, name: str, candidates: list[Upstream]) -> float:
        """Give an upstream that is new here a place in the order of turns.

        Entry VMs learn of it at the same time; it would be the first choice
        of all of them.
        """
        turns = [
            self._chosen_at[one.name]
            for one in candidates
            if self._chosen_at.get(one.name, 0) > 0
        ]
        if turns:
            turn = self._randomness.choice(turns)
        else:
            turn = -self._randomness.random()
        self._chosen_at[name] = turn
        return turn

    def _penalties(self, candidates: list[Upstream]) -> dict[str, float]:
        cold_cost = self._settings.placement.cold_cost
        penalties = dict.fromkeys(self._known.registry.cold_names(), cold_cost)
        for name, cost in self._verdicts.penalties(candidates):
            penalties[name] = penalties.get(name, 0) + cost
        return penalties

    def _take(self, chosen: Upstream | None) -> Upstream | None:
        if chosen is not None:
            self._chosen_at[chosen.name] = self._clock()
            self._allowance.spend(chosen)
        return chosen


def _without(
    upstreams: list[Upstream], tried: tuple[str, ...]
) -> list[Upstream]:
    if not tried:
        return upstreams
    return [one for one in upstreams if one.name not in tried]
