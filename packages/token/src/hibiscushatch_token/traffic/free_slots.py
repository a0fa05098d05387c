"""Decides whether slots of a service are free for requests that can wait.

The sums over the fleet show how many requests are under way at its slots. They
are some tenths of a second old and all entry VMs get them at the same time, so
each uses only its share of the free slots until the next sums, beyond what it
had under way when they came. Shares below one are drawn at random. Without
fresh sums, as after a start, an entry VM uses its share of all slots; while the
number of entry VMs is not known either, that is a single request. Sums that
were measured before the backlog of an interruption had reached the upstreams
show free slots that are not there, so they are not used.
"""

from collections.abc import Sequence

import msgspec

from hibiscushatch_token.environment import Environment
from hibiscushatch_token.knowledge.fleet_load import FleetLoad
from hibiscushatch_token.knowledge.known_state import KnownState
from hibiscushatch_token.model import Upstream
from hibiscushatch_token.settings import BacklogSettings
from hibiscushatch_token.traffic.flow_table import FlowTable


class _Allowance(msgspec.Struct):
    """How many requests may be under way from here until the next sums.

    Attributes:
        version: Version of the sums from which it was computed.
        requests: Number of requests.
    """

    version: int
    requests: int


class FreeSlots:
    """Tells whether this entry VM may use another slot of a service.

    Args:
        settings: How many requests a slot can have.
        environment: Clock and randomness.
        known: Number of entry VMs, and the sums over the fleet.
        flows: Requests that are under way from here.
    """

    def __init__(
        self,
        settings: BacklogSettings,
        environment: Environment,
        known: KnownState,
        flows: FlowTable,
    ) -> None:
        self._settings = settings
        self._clock = environment.clock
        self._randomness = environment.randomness
        self._known = known
        self._flows = flows
        self._allowances: dict[str, _Allowance] = {}
        self._sums_from = self._clock() + settings.settle_s

    def record_interruption(self) -> None:
        """Record that the backlog of an interruption is handled now."""
        self._sums_from = self._clock() + self._settings.settle_s

    def are_left(self, service: str, upstreams: Sequence[Upstream]) -> bool:
        """Return whether slots are left for this entry VM.

        Args:
            service: The service.
            upstreams: Its upstreams that may get new flows and that answer.
        """
        slots = sum(upstream.slots for upstream in upstreams)
        open_here = sum(
            self._flows.outstanding(upstream.name) for upstream in upstreams
        )
        fleet_load = self._known.fleet_load
        if fleet_load is None or not self._is_usable(fleet_load, service):
            return open_here < max(1, self._own_share_of(slots))
        allowance = self._allowances.get(service)
        if allowance is None or allowance.version != fleet_load.version:
            allowance = _Allowance(
                fleet_load.version,
                self._draw_allowance(service, slots, fleet_load, open_here),
            )
            self._allowances[service] = allowance
        return open_here < allowance.requests

    def _draw_allowance(
        self, service: str, slots: int, fleet_load: FleetLoad, open_here: int
    ) -> int:
        """Return how many requests may be under way until the next sums."""
        free = self._count_free(service, slots, fleet_load)
        if not free:
            return 0
        # Rounded up or down at random, so that the shares of all entry VMs add
        # up to the free slots.
        return open_here + int(free + self._randomness.random())

    def _is_usable(self, fleet_load: FleetLoad, service: str) -> bool:
        measured_at = self._clock() - fleet_load.age_s
        if not fleet_load.is_fresh or measured_at < self._sums_from:
            return False
        # Sums have rows of the busiest services only.
        return any(True for _ in fleet_load.rows_of(service))

    def _count_free(
        self, service: str, slots: int, fleet_load: FleetLoad
    ) -> float:
        """Return this entry VM's share of the free slots."""
        under_way = sum(
            load.under_way for _, load in fleet_load.rows_of(service)
        )
        requests_max = slots * self._settings.requests_per_slot
        entry_vms = max(1, self._known.count_fleet(), fleet_load.covered)
        return max(0.0, requests_max - under_way) / entry_vms

    def _own_share_of(self, slots: int) -> float:
        fleet_size = self._known.count_fleet()
        return slots / fleet_size if fleet_size else 1
