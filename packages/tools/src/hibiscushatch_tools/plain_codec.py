"""Minimal packets for measurements and simulated loads.

The packets hold only the fields that the decision code reads, so that
measurements do not depend on the packet format of a platform.
"""

import struct

from hibiscushatch_token.model import Upstream
from hibiscushatch_token.ports import FlowPacket, PacketCodec, Reset

OPENING = 1
LAST = 2
PAYLOAD = 4
# Seconds after the first opening packet at which callers send each copy.
COPY_TIMES_S = (0.0, 0.2, 0.6)
ENDPOINT_ADDRESS = bytes((198, 18, 0, 1))
FIRST_PORT = 443
# Address to which resets are sent.
CALLER = ('127.0.0.1', 1)

_PACKET = struct.Struct('>QIBBB4s')
_NO_ADDRESS = bytes(4)


def build_packet(
    flow: int,
    token: int = 0,
    flags: int = 0,
    copy: int = 0,
    route: int = 0,
    caller: bytes = _NO_ADDRESS,
) -> bytes:
    """Build a packet.

    Args:
        flow: Number of the flow.
        token: Token that the caller repeats; 0 in an opening packet.
        flags: Bits of OPENING, LAST and PAYLOAD.
        copy: Number of this copy of an opening packet; 0 is the first.
        route: Number of the endpoint to which the packet is sent.
        caller: Address of the caller, four bytes.
    """
    return _PACKET.pack(flow, token, flags, copy, route, caller)


def read_flow(datagram: bytes) -> tuple[int, int]:
    """Return the number of a packet's flow and the packet's flags."""
    flow, _, flags, _, _, _ = _PACKET.unpack(datagram)
    return flow, flags


class PlainCodec(PacketCodec):
    """Reads the packets that build_packet builds."""

    def parse(self, datagram: bytes) -> FlowPacket | None:
        """Parse a packet."""
        flow, token, flags, copy, route, caller = _PACKET.unpack(datagram)
        return FlowPacket(
            datagram=datagram,
            flow=flow.to_bytes(8, 'big'),
            caller=caller,
            endpoint=(ENDPOINT_ADDRESS, FIRST_PORT + route),
            token=token,
            is_opening=bool(flags & OPENING),
            copy=copy,
            waited_s=COPY_TIMES_S[copy],
            has_payload=bool(flags & PAYLOAD),
            is_last=bool(flags & LAST),
        )

    def describe(self, flow: bytes) -> str:
        """Return a flow's number in hexadecimal."""
        return flow.hex()

    def encapsulate(self, packet: FlowPacket, upstream: Upstream) -> bytes:
        """Return the packet unchanged; its target is passed separately."""
        return packet.datagram

    def build_reset(self, packet: FlowPacket) -> Reset:
        """Build a reset that repeats the packet, so that it names its flow."""
        return Reset(packet.datagram, CALLER)
