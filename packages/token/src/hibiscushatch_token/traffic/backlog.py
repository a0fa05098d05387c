"""Handles the packets that waited while this entry VM could not.

After a start or a freeze, all packets that came meanwhile wait in the socket.
Upstreams work in order, so the order in which these packets are handled decides
which callers are served in time: first those that still can be, the most urgent
ones first and then those with the least time left; then the others likewise.

Packets of one flow keep their order. Flows whose packets ask for nothing come
first, since they show which requests have ended.
"""

from collections.abc import Iterable, Iterator, Sequence

from hibiscushatch_core.unexpected_errors import UnexpectedErrors
from hibiscushatch_token.environment import Environment
from hibiscushatch_token.knowledge.routing import Routing
from hibiscushatch_token.model import Route
from hibiscushatch_token.ports import FlowPacket
from hibiscushatch_token.settings import BacklogSettings
from hibiscushatch_token.traffic.forwarder import Forwarder
from hibiscushatch_token.traffic.late_flows import is_late
from hibiscushatch_token.traffic.placement import Placement

_STEP = 'handling a waiting packet'
# Whether it is late, its priority, and the time it has left. A smaller rank is
# handled first.
_Rank = tuple[int, int, float]
_ASKS_FOR_NOTHING: _Rank = (-1, 0, 0)
_WITHOUT_ROUTE: _Rank = (2, 0, 0)


class Backlog:
    """Handles waiting packets in the order in which they should be served.

    Args:
        settings: Whether packets are ordered.
        environment: Counters and clock.
        routing: The routes in force.
        placement: Learns of the interruption.
        forwarder: Handles single packets.
    """

    def __init__(
        self,
        settings: BacklogSettings,
        environment: Environment,
        routing: Routing,
        placement: Placement,
        forwarder: Forwarder,
    ) -> None:
        self._settings = settings
        self._routing = routing
        self._placement = placement
        self._forwarder = forwarder
        self._errors = UnexpectedErrors(environment.counters, environment.clock)

    def handle(self, waiting: Iterable[tuple[bytes, float]]) -> None:
        """Handle datagrams that have waited.

        Args:
            waiting: The datagrams in the order in which they arrived, and how
                long each has probably waited.
        """
        packets: list[FlowPacket] = []
        for datagram, waited_s in waiting:
            self._errors.guard(_STEP, self._parse, datagram, waited_s, packets)
        if packets:
            self._placement.record_interruption()
        if self._settings.is_ordered:
            packets = list(order_packets(packets, self._routing))
        for packet in packets:
            self._errors.guard(_STEP, self._forwarder.handle_packet, packet)

    def _parse(
        self, datagram: bytes, waited_s: float, packets: list[FlowPacket]
    ) -> None:
        packet = self._forwarder.parse(datagram, waited_s)
        if packet is not None:
            packets.append(packet)


def order_packets(
    packets: Iterable[FlowPacket], routing: Routing
) -> Iterator[FlowPacket]:
    """Yield packets in the order in which their requests should be served.

    Args:
        packets: The packets in the order in which they arrived.
        routing: The routes in force.
    """
    flows: dict[bytes, list[FlowPacket]] = {}
    for packet in packets:
        flows.setdefault(packet.flow, []).append(packet)
    # Flows of one rank stay in the order of their first packets.
    ordered = sorted(flows.values(), key=lambda flow: _rank(flow, routing))
    for flow in ordered:
        yield from flow


def _rank(flow: Sequence[FlowPacket], routing: Routing) -> _Rank:
    for packet in flow:
        if packet.is_request and not packet.is_superseded:
            route = routing.route_of(packet.endpoint)
            return _WITHOUT_ROUTE if route is None else _rank_of(packet, route)
    return _ASKS_FOR_NOTHING


def _rank_of(packet: FlowPacket, route: Route) -> _Rank:
    late = is_late(packet, route)
    limit_s = route.timeout_s if late or not route.aim_s else route.aim_s
    return (int(late), route.priority, limit_s - packet.waited_s)
