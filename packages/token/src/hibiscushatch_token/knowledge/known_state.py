"""Everything that the decisions know of the deployment."""

from collections.abc import Callable

import msgspec

from hibiscushatch_token.knowledge.registry import Registry
from hibiscushatch_token.knowledge.routing import Routing


class KnownState(msgspec.Struct):
    """Routes, upstreams and the size of the fleet.

    Attributes:
        routing: The routes in force and the evacuated failure domains.
        registry: The upstreams.
        count_fleet: Counts the entry VMs; 0 when that is not known.
    """

    routing: Routing
    registry: Registry
    count_fleet: Callable[[], int]
