"""Decides whether slots of a service are free for requests that can wait.

The sums over the fleet show how many requests are under way at its slots. They
are some tenths of a second old and all entry VMs get them at the same time, so
each uses only its share of the free slots until the next sums, beyond what it
had under way when they came. Shares below one are drawn at random. Without
fresh sums, as after a start, an entry VM uses its share of all slots; while the
number of entry VMs is not known either, that is a single request.
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
        environment: Randomness.
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
        self._randomness = environment.randomness
        self._known = known
        self._flows = flows
        self._allowances: dict[str, _Allowance] = {}

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
        if fleet_load is None or not fleet_load.is_fresh:
            return open_here < max(1, self._own_share_of(slots))
        allowance = self._allowances.get(service)
        if allowance is None or allowance.version != fleet_load.version:
            free = self._count_free(service, slots, fleet_load)
            # Rounded up or down at random, so that the shares of all entry VMs
            # add up to the free slots.
            share = int(free + self._randomness.random())
            allowance = _Allowance(fleet_load.version, open_here + share)
            self._allowances[service] = allowance
        return open_here < allowance.requests

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
