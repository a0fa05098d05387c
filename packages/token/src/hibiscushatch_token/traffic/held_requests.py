"""Holds late requests on open flows back while slots are scarce.

A request that has waited at an interruption and can no longer be answered in
time would take a slot from one that still can. It waits with the late flows,
for at most a part of its latency target, as it has to be served in any case:
holding it longer costs more than it gains (docs/UNEVEN-LOAD.md).

Packets of a flow leave in the order in which they came. Repeated ones are
dropped, further parts of the request wait behind the first, and any other
packet, such as the end of the flow, releases them. A flow keeps its upstream,
whatever happens to its route.
"""

import logging

from hibiscushatch_token.environment import Environment
from hibiscushatch_token.knowledge.routing import Routing
from hibiscushatch_token.model import Upstream
from hibiscushatch_token.ports import FlowPacket
from hibiscushatch_token.settings import BacklogSettings
from hibiscushatch_token.traffic.flow_table import FlowTable
from hibiscushatch_token.traffic.late_flows import (
    LateFlow,
    LateFlows,
    is_late,
)
from hibiscushatch_token.traffic.placement import Placement

# An upload has several packets. Where more come, the request is sent.
_PACKETS_MAX = 8

_log = logging.getLogger(__name__)


class HeldRequests:
    """Decides which packets of open flows wait.

    Args:
        settings: How long requests wait, and how many.
        environment: Codec and counters.
        routing: The routes in force.
        flows: Tells whether a request is under way on a flow.
        placement: Tells whether slots are free.
        late_flows: Where requests wait, together with late flows.
    """

    def __init__(
        self,
        settings: BacklogSettings,
        environment: Environment,
        routing: Routing,
        flows: FlowTable,
        placement: Placement,
        late_flows: LateFlows,
    ) -> None:
        self._settings = settings
        self._codec = environment.codec
        self._counters = environment.counters
        self._routing = routing
        self._flows = flows
        self._placement = placement
        self._late_flows = late_flows

    def hold(self, packet: FlowPacket, upstream: Upstream) -> bool:
        """Hold a packet of an open flow back if it should wait.

        Args:
            packet: The packet; no packet of its flow is waiting.
            upstream: The upstream of the flow.

        Returns:
            Whether it waits.
        """
        if packet.waited_s <= 0 or not packet.is_request:
            return False
        record = self._flows.get(packet.flow)
        if record is not None and record.is_outstanding:
            # A further part of a request that has been sent.
            return False
        route = self._routing.route_of(packet.endpoint)
        if route is None or not is_late(packet, route):
            return False
        wait_s = route.aim_s * self._settings.hold_share
        has_room = len(self._late_flows) < self._settings.held_max
        if not (wait_s and has_room):
            return False
        if self._placement.has_free_slots(upstream.service):
            return False
        self._late_flows.add_request(packet, upstream.service, route, wait_s)
        self._counters.requests_held += 1
        _log.info(
            'request held',
            extra={
                'flow': self._codec.describe(packet.flow),
                'waited_s': round(packet.waited_s, 3),
                'hold_s': round(wait_s, 3),
                'waiting': len(self._late_flows),
            },
        )
        return True

    def follow(self, packet: FlowPacket) -> list[FlowPacket] | None:
        """Handle a packet of a flow whose request may be waiting.

        Returns:
            The packets that are to be sent now, in order; None if the flow has
            no waiting request.
        """
        held = self._late_flows.request_of(packet.flow)
        if held is None:
            return None
        if _is_repeated(packet, held):
            return []
        if packet.is_request and len(held.followers) < _PACKETS_MAX:
            held.followers.append(packet)
            return []
        self._late_flows.remove(packet.flow)
        return [held.packet, *held.followers, packet]


def _is_repeated(packet: FlowPacket, held: LateFlow) -> bool:
    waiting = (held.packet, *held.followers)
    return packet.datagram in {one.datagram for one in waiting}
