"""What an entry VM knows of the deployment."""

from collections.abc import Callable

import msgspec

from hibiscushatch_token.knowledge.fleet_load import FleetLoad
from hibiscushatch_token.knowledge.registry import Registry
from hibiscushatch_token.knowledge.routing import Routing


class KnownState(msgspec.Struct):
    """The routes, the upstreams and the number of entry VMs.

    Attributes:
        routing: The routes in force and the evacuated failure domains.
        registry: The upstreams.
        count_fleet: Returns the number of entry VMs; 0 when unknown.
        fleet_load: Sums of the load over the fleet; None if there are none.
    """

    routing: Routing
    registry: Registry
    count_fleet: Callable[[], int]
    fleet_load: FleetLoad | None = None
