"""Reads inner IPv4 packets and builds the few packets that entry VMs originate.

Headers are read with a single struct call, because dpkt is ten times slower.
dpkt is only used to build resets and ICMP messages.
"""

import struct
from typing import NamedTuple

import dpkt

from hibiscushatch_core.reasons import DropReason

TCP = 6
UDP = 17
TCP_FIN = 0x01
TCP_SYN = 0x02
TCP_RST = 0x04
TCP_ACK = 0x10
TCP_CONTROL = TCP_FIN | TCP_SYN | TCP_RST

PACKET_BYTES_MAX = 9000
TTL_OF_BUILT_PACKETS = 64
ICMP_UNREACHABLE = 3
ICMP_ADMINISTRATIVELY_PROHIBITED = 13
# The headers of the refused packet: 20 bytes of IPv4 and 8 bytes of UDP.
ICMP_QUOTED_BYTES = 28

_HEADERS = struct.Struct('!BxHxxHxBxxIIHH')
_HEADERS_BYTES = _HEADERS.size
_IP_BYTES = 20
_TCP_BYTES_MIN = 20
_UDP_BYTES = 8
_VERSION_4_NO_OPTIONS = 0x45
_FRAGMENT_BITS = 0x3FFF
_TCP_OFFSET_INDEX = _IP_BYTES + 12
_TCP_FLAGS_INDEX = _IP_BYTES + 13


class PacketHeaders(NamedTuple):
    """The header fields needed for routing; addresses are 32-bit integers.

    Attributes:
        protocol: IP protocol number.
        source: Source address.
        destination: Destination address.
        source_port: Source port.
        destination_port: Destination port.
        tcp_flags: TCP flag byte; 0 for UDP.
        payload_bytes: Number of bytes after the transport header.
    """

    protocol: int
    source: int
    destination: int
    source_port: int
    destination_port: int
    tcp_flags: int
    payload_bytes: int


def read_headers(packet: bytes) -> PacketHeaders | DropReason:
    """Read the headers of an inner packet.

    Args:
        packet: A complete IPv4 packet.

    Returns:
        Its headers, or the reason to drop it.
    """
    size = len(packet)
    if size < _HEADERS_BYTES:
        return DropReason.TRUNCATED
    (
        version,
        total_bytes,
        fragment_field,
        protocol,
        source,
        destination,
        source_port,
        destination_port,
    ) = _HEADERS.unpack_from(packet)
    if version != _VERSION_4_NO_OPTIONS:
        return DropReason.NOT_IPV4
    if fragment_field & _FRAGMENT_BITS:
        return DropReason.FRAGMENTED
    if size > PACKET_BYTES_MAX:
        return DropReason.OVERSIZED
    if total_bytes != size:
        return DropReason.TRUNCATED
    if protocol == TCP:
        return _read_tcp_headers(
            packet, source, destination, source_port, destination_port
        )
    if protocol == UDP and size >= _IP_BYTES + _UDP_BYTES:
        return PacketHeaders(
            protocol,
            source,
            destination,
            source_port,
            destination_port,
            0,
            size - _IP_BYTES - _UDP_BYTES,
        )
    if protocol == UDP:
        return DropReason.TRUNCATED
    return DropReason.UNSUPPORTED_PROTOCOL


def _read_tcp_headers(
    packet: bytes,
    source: int,
    destination: int,
    source_port: int,
    destination_port: int,
) -> PacketHeaders | DropReason:
    size = len(packet)
    if size < _IP_BYTES + _TCP_BYTES_MIN:
        return DropReason.TRUNCATED
    header_bytes = (packet[_TCP_OFFSET_INDEX] >> 4) * 4
    payload_bytes = size - _IP_BYTES - header_bytes
    if header_bytes < _TCP_BYTES_MIN or payload_bytes < 0:
        return DropReason.TRUNCATED
    return PacketHeaders(
        TCP,
        source,
        destination,
        source_port,
        destination_port,
        packet[_TCP_FLAGS_INDEX],
        payload_bytes,
    )


def build_reset_to_sender(packet: bytes) -> bytes:
    """Build the TCP reset that answers a packet; it goes to the sender.

    Args:
        packet: A valid inner TCP packet without the RST flag.

    Returns:
        An inner packet with the addresses swapped, as described in RFC 9293,
        section 3.5.2.
    """
    ip = dpkt.ip.IP(packet)
    segment = ip.data
    reset = dpkt.tcp.TCP(sport=segment.dport, dport=segment.sport)
    if segment.flags & TCP_ACK:
        reset.seq = segment.ack
        reset.flags = TCP_RST
    else:
        consumed = len(segment.data)
        consumed += int(bool(segment.flags & TCP_SYN))
        reset.ack = (segment.seq + consumed) & 0xFFFFFFFF
        reset.flags = TCP_RST | TCP_ACK
    return _build_ip_packet(ip.dst, ip.src, TCP, reset)


def build_reset_as_sender(packet: bytes) -> bytes:
    """Build the TCP reset that aborts a connection on behalf of its opener.

    Args:
        packet: The SYN that opened the connection.

    Returns:
        An inner packet from the same source to the same destination.
    """
    ip = dpkt.ip.IP(packet)
    segment = ip.data
    reset = dpkt.tcp.TCP(
        sport=segment.sport,
        dport=segment.dport,
        seq=(segment.seq + 1) & 0xFFFFFFFF,
        flags=TCP_RST,
    )
    return _build_ip_packet(ip.src, ip.dst, TCP, reset)


def build_icmp_prohibited(packet: bytes) -> bytes:
    """Build the ICMP message that refuses a UDP packet.

    Args:
        packet: The inner UDP packet that is refused.

    Returns:
        An inner ICMP packet to the sender.
    """
    ip = dpkt.ip.IP(packet)
    unreachable = dpkt.icmp.ICMP.Unreach(data=packet[:ICMP_QUOTED_BYTES])
    message = dpkt.icmp.ICMP(
        type=ICMP_UNREACHABLE,
        code=ICMP_ADMINISTRATIVELY_PROHIBITED,
        data=unreachable,
    )
    return _build_ip_packet(ip.dst, ip.src, dpkt.ip.IP_PROTO_ICMP, message)


def _build_ip_packet(
    source: bytes, destination: bytes, protocol: int, payload: dpkt.Packet
) -> bytes:
    packet = dpkt.ip.IP(
        src=source,
        dst=destination,
        p=protocol,
        ttl=TTL_OF_BUILT_PACKETS,
        data=payload,
    )
    packet.len = len(packet)
    return bytes(packet)
