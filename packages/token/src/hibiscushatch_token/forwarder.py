"""What happens to each packet of a caller.

An opening packet is placed on an upstream and gets the upstream's token; any
later packet goes where its token says. A flow that can be placed nowhere is
reset at once.
"""

import logging
from collections.abc import Callable

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.reasons import DropReason, RefusalReason, RetryReason
from hibiscushatch_token.flow_table import FlowRecord, FlowTable
from hibiscushatch_token.knowledge import Registry, Routing
from hibiscushatch_token.model import Upstream
from hibiscushatch_token.placement import Placement
from hibiscushatch_token.ports import FlowObserver, FlowPacket, PacketCodec
from hibiscushatch_token.reachability import Reachability
from hibiscushatch_token.settings import TokenNodeSettings

SendDatagram = Callable[[bytes, tuple[str, int]], object]

_log = logging.getLogger(__name__)


class Forwarder:
    """Forwards packets of callers to upstreams.

    Args:
        settings: Settings of this entry VM.
        codec: The format of packets.
        routing: Routes in force.
        registry: Upstreams by token.
        flows: Flows opened here.
        placement: Chooses upstreams.
        reachability: Told what becomes of opening packets.
        counters: Counts of this process.
        clock: Monotonic seconds.
        send: Sends a datagram.
    """

    def __init__(  # noqa: WPS211
        self,
        settings: TokenNodeSettings,
        codec: PacketCodec,
        routing: Routing,
        registry: Registry,
        flows: FlowTable,
        placement: Placement,
        reachability: Reachability,
        counters: Counters,
        clock: Callable[[], float],
        send: SendDatagram,
    ) -> None:
        self._limits = settings.placement
        self._codec = codec
        self._routing = routing
        self._registry = registry
        self._flows = flows
        self._placement = placement
        self._reachability = reachability
        self._counters = counters
        self._clock = clock
        self._send = send
        self._observer: FlowObserver | None = None

    @property
    def open_flows(self) -> int:
        """Number of flows opened here that are not known to have ended."""
        return len(self._flows)

    def observe(self, observer: FlowObserver) -> None:
        """Set who takes the times of flows."""
        self._observer = observer

    def handle(self, datagram: bytes, _sender: str) -> None:
        """Forward one datagram, answer it with a reset, or drop it."""
        self._counters.packets_in += 1
        packet = self._codec.parse(datagram)
        if packet is None:
            self._counters.drops[DropReason.TRUNCATED] += 1
        elif packet.is_opening:
            self._open(packet)
        else:
            self._go_on(packet)

    def sweep(self) -> None:
        """Count missing answers and drop flows that ended unseen."""
        now = self._clock()
        for record in self._flows.unanswered(now - self._limits.failed_s):
            self._count_unanswered(record, now)
            self._flows.settle(record)
        self._flows.drop_idle(now - self._limits.idle_s)

    def _open(self, packet: FlowPacket) -> None:
        services = self._routing.services_of(packet.endpoint)
        if not services:
            self._refuse(packet, RefusalReason.NO_ROUTE)
            return
        now = self._clock()
        record = self._flows.get(packet.flow)
        tried: tuple[str, ...] = ()
        if record is not None:
            if record.is_answered:
                self._forward(packet, record.upstream)
                return
            if now - record.placed_at < self._limits.copy_gap_s:
                # Copies that waited here together tell nothing.
                return
            self._count_unanswered(record, now)
            tried = (*record.tried, record.upstream.name)
            self._counters.retries[RetryReason.CONNECT_UNANSWERED] += 1
        upstream = self._placement.choose(services, tried)
        if upstream is None:
            self._flows.remove(packet.flow)
            self._refuse(packet, RefusalReason.NO_UPSTREAM)
            return
        self._flows.place(packet.flow, upstream, now)
        self._counters.flows_placed += 1
        self._log_placed(packet, upstream, tried)
        self._forward(packet, upstream)

    def _go_on(self, packet: FlowPacket) -> None:
        upstream = self._registry.by_token(packet.token)
        record = self._flows.get(packet.flow)
        if record is not None:
            upstream = self._note_packet(packet, record, upstream)
        if upstream is None:
            self._counters.drops[DropReason.UNKNOWN_TOKEN] += 1
            _log.info(
                'packet dropped',
                extra={
                    'flow': self._codec.describe(packet.flow),
                    'reason': DropReason.UNKNOWN_TOKEN.value,
                    'token': packet.token,
                },
            )
            return
        self._forward(packet, upstream)

    def _note_packet(
        self,
        packet: FlowPacket,
        record: FlowRecord,
        upstream: Upstream | None,
    ) -> Upstream | None:
        now = self._clock()
        record.last_at = now
        if not record.is_answered and upstream is not None:
            record.is_answered = True
            if upstream.name != record.upstream.name:
                # An earlier upstream answered after all.
                self._flows.place(packet.flow, upstream, record.placed_at)
                record.last_at = now
            answer_s = now - record.placed_at
            self._reachability.answered(upstream, answer_s, now)
            if self._observer is not None:
                self._observer.answered(answer_s)
        if packet.is_last:
            if self._observer is not None:
                self._observer.ended(now - record.placed_at)
            self._flows.remove(packet.flow)
        # A late answer of another upstream may have changed the token.
        return record.upstream if record.is_answered else upstream

    def _count_unanswered(self, record: FlowRecord, now: float) -> None:
        if not record.is_overdue:
            record.is_overdue = True
            _log.info(
                'flow unanswered',
                extra={
                    'flow': self._codec.describe(record.flow),
                    'upstream': record.upstream.name,
                    'waited_s': round(now - record.placed_at, 3),
                },
            )
            self._reachability.unanswered(record.upstream, now)

    def _forward(self, packet: FlowPacket, upstream: Upstream) -> None:
        datagram = self._codec.encapsulate(packet, upstream)
        try:
            self._send(datagram, upstream.address)
        except OSError:
            self._counters.drops[DropReason.SEND_FAILED] += 1
            return
        self._counters.packets_to_upstreams += 1

    def _refuse(self, packet: FlowPacket, reason: RefusalReason) -> None:
        self._counters.refusals[reason] += 1
        _log.info(
            'flow refused',
            extra={
                'flow': self._codec.describe(packet.flow),
                'reason': reason.value,
                'config': self._routing.config.version,
            },
        )
        reset = self._codec.reset(packet)
        try:
            self._send(reset.datagram, reset.target)
        except OSError:
            self._counters.drops[DropReason.SEND_FAILED] += 1

    def _log_placed(
        self, packet: FlowPacket, upstream: Upstream, tried: tuple[str, ...]
    ) -> None:
        _log.info(
            'flow placed',
            extra={
                'flow': self._codec.describe(packet.flow),
                'copy': packet.copy,
                'upstream': upstream.name,
                'domain': upstream.domain,
                'outstanding': self._flows.outstanding(upstream.name),
                'tried': ','.join(tried),
                'config': self._routing.config.version,
            },
        )
