"""Packets for measurements and played loads.

They hold what the decisions read and nothing else, so that what is measured
does not depend on the format of any platform.
"""

import struct

from hibiscushatch_token.model import Upstream
from hibiscushatch_token.ports import FlowPacket, PacketCodec, Reset

OPENING = 1
LAST = 2
PAYLOAD = 4
# Callers repeat an opening packet so long after the first one.
COPY_TIMES_S = (0.0, 0.2, 0.6)
ENDPOINT_ADDRESS = bytes((198, 18, 0, 1))
FIRST_PORT = 443
# Where resets go.
CALLER = ('127.0.0.1', 1)

_PACKET = struct.Struct('>QIBBB')


def packet_of(
    flow: int, token: int = 0, flags: int = 0, copy: int = 0, route: int = 0
) -> bytes:
    """Build a packet.

    Args:
        flow: Number of the flow.
        token: What the caller repeats; 0 in an opening packet.
        flags: OPENING, LAST and PAYLOAD.
        copy: Which copy of an opening packet it is.
        route: Number of the endpoint.
    """
    return _PACKET.pack(flow, token, flags, copy, route)


def flow_of(datagram: bytes) -> int:
    """Return the number of a packet's flow."""
    return _PACKET.unpack(datagram)[0]


class PlainCodec(PacketCodec):
    """Packets of a flow number, a token, flags, a copy and an endpoint."""

    def parse(self, datagram: bytes) -> FlowPacket | None:
        """Read a packet."""
        flow, token, flags, copy, route = _PACKET.unpack(datagram)
        return FlowPacket(
            datagram=datagram,
            flow=flow.to_bytes(8, 'big'),
            endpoint=(ENDPOINT_ADDRESS, FIRST_PORT + route),
            token=token,
            is_opening=bool(flags & OPENING),
            copy=copy,
            waited_s=COPY_TIMES_S[copy],
            has_payload=bool(flags & PAYLOAD),
            is_last=bool(flags & LAST),
        )

    def describe(self, flow: bytes) -> str:
        """Name a flow."""
        return flow.hex()

    def encapsulate(self, packet: FlowPacket, upstream: Upstream) -> bytes:
        """Address a packet to an upstream; its address is kept apart."""
        return packet.datagram

    def build_reset(self, packet: FlowPacket) -> Reset:
        """Build a reset, which names the flow as the packet does."""
        return Reset(packet.datagram, CALLER)
