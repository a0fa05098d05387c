"""Forwards each packet of a caller.

The flow of an opening packet is placed on an upstream, whose token is put into
the packet. Any later packet goes to the upstream that its token names.
"""

from hibiscushatch_core.reasons import DropReason
from hibiscushatch_token.environment import Environment
from hibiscushatch_token.health.request_watch import RequestEnd, RequestWatch
from hibiscushatch_token.knowledge.known_state import KnownState
from hibiscushatch_token.model import Upstream
from hibiscushatch_token.ports import FlowObserver, FlowPacket
from hibiscushatch_token.traffic.flow_opener import FlowOpener
from hibiscushatch_token.traffic.flow_table import FlowRecord, FlowTable
from hibiscushatch_token.traffic.held_requests import HeldRequests
from hibiscushatch_token.traffic.local_load import LocalLoad
from hibiscushatch_token.traffic.packet_exit import PacketExit


class Forwarder:
    """Forwards packets of callers to upstreams.

    Args:
        environment: Codec, counters and clock.
        known: Routes in force, and upstreams by token.
        flows: Flows opened or continued here.
        opener: Opens flows.
        request_watch: Measures how long requests take.
        local_load: Counts requests and answers.
        packet_exit: Sends packets.
    """

    def __init__(
        self,
        environment: Environment,
        known: KnownState,
        flows: FlowTable,
        opener: FlowOpener,
        request_watch: RequestWatch,
        local_load: LocalLoad,
        packet_exit: PacketExit,
    ) -> None:
        self._codec = environment.codec
        self._registry = known.registry
        self._routing = known.routing
        self._flows = flows
        self._opener = opener
        opener.release_by(self._forward_by_token)
        self._held: HeldRequests | None = None
        self._request_watch = request_watch
        self._local_load = local_load
        self._packet_exit = packet_exit
        self._counters = environment.counters
        self._clock = environment.clock
        self._observer: FlowObserver | None = None

    @property
    def open_flows(self) -> int:
        """Number of flows in the table, which were active here lately."""
        return len(self._flows)

    def observe(self, observer: FlowObserver) -> None:
        """Set the observer that is notified of the times of flows."""
        self._observer = observer

    def hold_by(self, held: HeldRequests) -> None:
        """Set what decides which requests on open flows wait."""
        self._held = held

    def handle(self, datagram: bytes, _sender: str) -> None:
        """Forward one datagram, answer it with a reset, or drop it."""
        self.handle_waited(datagram, 0)

    def handle_waited(self, datagram: bytes, waited_s: float) -> None:
        """Handle a datagram that has waited in the socket.

        Args:
            datagram: The datagram.
            waited_s: How long it has waited.
        """
        packet = self.parse(datagram, waited_s)
        if packet is not None:
            self.handle_packet(packet)

    def parse(self, datagram: bytes, waited_s: float) -> FlowPacket | None:
        """Parse and count a datagram; None if it is too short.

        Args:
            datagram: The datagram.
            waited_s: How long it has waited.
        """
        self._counters.packets_in += 1
        packet = self._codec.parse(datagram)
        if packet is None:
            self._counters.drops[DropReason.TRUNCATED] += 1
            return None
        packet.waited_s += waited_s
        return packet

    def handle_packet(self, packet: FlowPacket) -> None:
        """Forward one packet, answer it with a reset, or drop it."""
        if packet.is_opening:
            self._opener.open(packet)
            return
        for one in self._take_sendable(packet):
            self._forward_by_token(one)

    def _take_sendable(self, packet: FlowPacket) -> list[FlowPacket]:
        """Return what is to be sent now that a packet of a flow has come."""
        if self._held is None:
            return [packet]
        released = self._held.follow(packet)
        if released is not None:
            return released
        upstream = self._upstream_of(packet)
        is_held = upstream is not None and self._held.hold(packet, upstream)
        return [] if is_held else [packet]

    def _upstream_of(self, packet: FlowPacket) -> Upstream | None:
        record = self._flows.get(packet.flow)
        if record is not None and record.is_answered:
            return record.upstream
        return self._registry.by_token(packet.token)

    def _forward_by_token(self, packet: FlowPacket) -> None:
        upstream = self._registry.by_token(packet.token)
        record = self._flows.get(packet.flow)
        if record is None:
            self._opener.on_flow_continued(packet.flow)
            if upstream is not None:
                self._record_continued(packet, upstream)
        else:
            upstream = self._record_packet(packet, record, upstream)
        if upstream is None:
            self._packet_exit.drop(packet, DropReason.UNKNOWN_TOKEN)
        else:
            self._packet_exit.forward(packet, upstream)

    def _record_packet(
        self,
        packet: FlowPacket,
        record: FlowRecord,
        upstream: Upstream | None,
    ) -> Upstream | None:
        now = self._clock()
        record.last_packet_at = now
        if not record.is_answered and upstream is not None:
            answer_s = self._opener.on_answered(record, upstream)
            if self._observer is not None:
                self._observer.on_answer(answer_s)
        if record.is_answered:
            self._observe_request(packet, record)
        if packet.is_last:
            if self._observer is not None and record.opening is not None:
                self._observer.on_end(now - record.opened_at)
            self._opener.on_flow_ended(packet.flow)
        # The record takes precedence over the token, which a late answer of
        # another upstream may have changed.
        return record.upstream if record.is_answered else upstream

    def _record_continued(self, packet: FlowPacket, upstream: Upstream) -> None:
        """Record a packet of a flow that is open and not in the table."""
        if not packet.has_payload or packet.is_last:
            self._request_watch.observe_packet(packet, upstream, 0)
            return
        route = self._routing.route_of(packet.endpoint)
        record = self._flows.add_continued(
            packet.flow,
            0 if route is None else route.priority,
            upstream,
            self._clock(),
        )
        # The handshake was not seen here, so its usual time is taken.
        record.answer_s = self._opener.average_answer_s
        self._observe_request(packet, record)

    def _observe_request(self, packet: FlowPacket, record: FlowRecord) -> None:
        upstream = record.upstream
        end = self._request_watch.observe_packet(
            packet, upstream, record.answer_s
        )
        if end is not None:
            self._flows.end_request(record)
            self._local_load.record_answered(
                upstream, record.priority, end is RequestEnd.REJECTED
            )
            return
        is_request = packet.has_payload and not packet.is_last
        if is_request and self._flows.begin_request(record):
            self._local_load.record_demand(upstream.service, record.priority)
