"""Sends packets to upstreams, and resets to callers."""

import logging
from collections.abc import Callable

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.reasons import DropReason, RefusalReason
from hibiscushatch_token.model import Upstream
from hibiscushatch_token.ports import FlowPacket, PacketCodec

SendDatagram = Callable[[bytes, tuple[str, int]], object]

_log = logging.getLogger(__name__)


class PacketExit:
    """Sends the packets that leave the entry VM.

    Args:
        codec: The packet format.
        counters: Counters of this process.
        send: Sends a datagram; raises OSError.
    """

    def __init__(
        self, codec: PacketCodec, counters: Counters, send: SendDatagram
    ) -> None:
        self._codec = codec
        self._counters = counters
        self._send = send

    def forward(self, packet: FlowPacket, upstream: Upstream) -> None:
        """Send a packet to an upstream."""
        datagram = self._codec.encapsulate(packet, upstream)
        try:
            self._send(datagram, upstream.address)
        except OSError as error:
            self._record_send_failure(packet, upstream.name, error)
            return
        self._counters.packets_to_upstreams += 1

    def refuse(
        self,
        packet: FlowPacket,
        reason: RefusalReason,
        cause: dict[str, object],
    ) -> None:
        """Refuse a flow: send its caller a reset at once.

        Args:
            packet: The opening packet of the flow.
            reason: Why it is refused.
            cause: Log fields that show what led to the refusal.
        """
        self._counters.refusals[reason] += 1
        _log.info(
            'flow refused',
            extra={
                'flow': self._codec.describe(packet.flow),
                'reason': reason.value,
                **cause,
            },
        )
        reset = self._codec.build_reset(packet)
        try:
            self._send(reset.datagram, reset.target)
        except OSError as error:
            self._record_send_failure(packet, 'caller', error)
            return
        self._counters.packets_to_callers += 1

    def drop(self, packet: FlowPacket, reason: DropReason) -> None:
        """Drop a packet without an answer."""
        self._record_drop(packet, reason, {'token': packet.token})

    def _record_send_failure(
        self, packet: FlowPacket, target: str, error: OSError
    ) -> None:
        cause = {'target': target, 'error': str(error)}
        self._record_drop(packet, DropReason.SEND_FAILED, cause)

    def _record_drop(
        self, packet: FlowPacket, reason: DropReason, cause: dict[str, object]
    ) -> None:
        self._counters.drops[reason] += 1
        flow = self._codec.describe(packet.flow)
        _log.info(
            'packet dropped',
            extra={'flow': flow, 'reason': reason.value, **cause},
        )
