"""The header that leads a packet sent from one entry VM to another.

It carries the number of hops so far, which way the packet travels and, for a
reply, the address of the upstream that sent it. The inner packet is unchanged.
"""

import enum
import socket
import struct
from typing import NamedTuple

HOPS_MAX = 3

_HEADER = struct.Struct('!BB4s')


class Direction(enum.IntEnum):
    """Which way a relayed packet travels."""

    FROM_CALLER = 0
    FROM_UPSTREAM = 1
    FROM_CALLER_TO_PREVIOUS_OWNER = 2
    FROM_UPSTREAM_TO_PREVIOUS_OWNER = 3


_DIRECTIONS = tuple(Direction)


class RelayedPacket(NamedTuple):
    """A packet with what its relay header says.

    Attributes:
        hops: Relays it has taken, this one included.
        direction: Which way it travels.
        sender_address: The upstream that sent it, dotted; for packets of
            callers the unspecified address.
        packet: The inner packet.
    """

    hops: int
    direction: Direction
    sender_address: str
    packet: bytes


def encode_relayed(relayed: RelayedPacket) -> bytes:
    """Put the relay header before the packet."""
    header = _HEADER.pack(
        relayed.hops,
        relayed.direction,
        socket.inet_aton(relayed.sender_address),
    )
    return header + relayed.packet


def decode_relayed(datagram: bytes) -> RelayedPacket | None:
    """Take the relay header off a datagram; None when it has no valid one."""
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
