"""Header of packets that are relayed from one entry VM to another.

It contains the number of hops so far, the direction of the packet and, for a
reply, the address of the upstream that sent it. The inner packet follows
unchanged.
"""

import enum
import socket
import struct
from typing import NamedTuple

HOPS_MAX = 3

_HEADER = struct.Struct('!BB4s')


class Direction(enum.IntEnum):
    """Direction of a relayed packet."""

    FROM_CALLER = 0
    FROM_UPSTREAM = 1
    FROM_CALLER_TO_PREVIOUS_OWNER = 2
    FROM_UPSTREAM_TO_PREVIOUS_OWNER = 3


_DIRECTIONS = tuple(Direction)


class RelayedPacket(NamedTuple):
    """A packet and the fields of its relay header.

    Attributes:
        hops: How often the packet has been relayed, this time included.
        direction: Direction of the packet.
        sender_address: Address of the upstream that sent it, in dotted form;
            the unspecified address for packets from callers.
        packet: The inner packet.
    """

    hops: int
    direction: Direction
    sender_address: str
    packet: bytes


def encode_relayed(relayed: RelayedPacket) -> bytes:
    """Build the datagram: relay header, then inner packet."""
    header = _HEADER.pack(
        relayed.hops,
        relayed.direction,
        socket.inet_aton(relayed.sender_address),
    )
    return header + relayed.packet


def decode_relayed(datagram: bytes) -> RelayedPacket | None:
    """Parse a datagram; None if it has no valid relay header."""
    if len(datagram) < _HEADER.size:
        return None
    hops, direction, address = _HEADER.unpack_from(datagram)
    if direction >= len(_DIRECTIONS):
        return None
    return RelayedPacket(
        hops,
        _DIRECTIONS[direction],
        socket.inet_ntoa(address),
        datagram[_HEADER.size :],
    )
