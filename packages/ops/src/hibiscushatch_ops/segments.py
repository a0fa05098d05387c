"""Builds and parses the inner packets of simulated callers and upstreams.

For speed, all headers of a packet are packed by one struct call. Checksums
stay zero because nothing on an in-memory path reads them.
"""

import dataclasses
import struct
from typing import NamedTuple

from hibiscushatch_core.packets import TCP, UDP

ICMP = 1
SEQUENCE_MASK = 0xFFFFFFFF
WINDOW_BYTES = 65535

_TCP_PACKET = struct.Struct('!BBHHHBBHIIHHIIBBHHH')
_UDP_PACKET = struct.Struct('!BBHHHBBHIIHHHH')
_ADDRESSES = struct.Struct('!II')
_PORTS = struct.Struct('!HH')
_RECORD = struct.Struct('!IHHHHB')
_VERSION_4 = 0x45
_TTL = 64
_TCP_OFFSET = 0x50
_IP_BYTES = 20
_PROTOCOL_INDEX = 9
_ADDRESSES_INDEX = 12
_ICMP_BYTES = 8
_RECORD_PADDING = bytes(19)


class Segment(NamedTuple):
    """The fields of an inner packet that callers and upstreams use.

    For an ICMP message, the addresses and ports are those of the packet that
    it quotes, swapped.
    """

    protocol: int
    source: int
    destination: int
    source_port: int
    destination_port: int
    sequence: int = 0
    acknowledgement: int = 0
    flags: int = 0
    payload: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class PayloadRecord:
    """The content of a payload segment, by which the receiver checks it.

    Attributes:
        flow_id: Unique over all flows of a run.
        request: Number of the request on its flow.
        index: Number of this segment within the request or the answer.
        count: Number of segments of the request or the answer.
        answer_segments: Number of segments that the answer must have.
        service_id: Number of the service that was called.
    """

    flow_id: int
    request: int
    index: int
    count: int
    answer_segments: int
    service_id: int


RECORD_BYTES = _RECORD.size + len(_RECORD_PADDING)


def build_segment(segment: Segment) -> bytes:
    """Build the inner packet of a TCP segment or a UDP datagram."""
    if segment.protocol == UDP:
        return _build_udp(segment)
    header = _TCP_PACKET.pack(
        _VERSION_4,
        0,
        _TCP_PACKET.size + len(segment.payload),
        0,
        0,
        _TTL,
        TCP,
        0,
        segment.source,
        segment.destination,
        segment.source_port,
        segment.destination_port,
        segment.sequence,
        segment.acknowledgement,
        _TCP_OFFSET,
        segment.flags,
        WINDOW_BYTES,
        0,
        0,
    )
    return header + segment.payload


def _build_udp(segment: Segment) -> bytes:
    size = _UDP_PACKET.size + len(segment.payload)
    header = _UDP_PACKET.pack(
        _VERSION_4,
        0,
        size,
        0,
        0,
        _TTL,
        UDP,
        0,
        segment.source,
        segment.destination,
        segment.source_port,
        segment.destination_port,
        size - _IP_BYTES,
        0,
    )
    return header + segment.payload


def read_segment(packet: bytes) -> Segment:
    """Parse an inner packet that a caller or an upstream receives.

    Args:
        packet: A whole IPv4 packet without options.

    Returns:
        Its fields. For an ICMP message, the source is the destination of the
        quoted packet and the other way round, so that the message looks like
        a reply to the quoted packet.
    """
    protocol = packet[_PROTOCOL_INDEX]
    if protocol == ICMP:
        quoted = packet[_IP_BYTES + _ICMP_BYTES :]
        source, destination = _ADDRESSES.unpack_from(quoted, _ADDRESSES_INDEX)
        ports = _PORTS.unpack_from(quoted, _IP_BYTES)
        return Segment(ICMP, destination, source, ports[1], ports[0])
    if protocol == UDP:
        fields = _UDP_PACKET.unpack_from(packet)
        return Segment(UDP, *fields[8:12], payload=packet[_UDP_PACKET.size :])
    fields = _TCP_PACKET.unpack_from(packet)
    payload = packet[_TCP_PACKET.size :]
    return Segment(TCP, *fields[8:14], fields[15], payload)


def encode_record(record: PayloadRecord) -> bytes:
    """Encode a record as a payload segment of RECORD_BYTES bytes."""
    return (
        _RECORD.pack(
            record.flow_id,
            record.request,
            record.index,
            record.count,
            record.answer_segments,
            record.service_id,
        )
        + _RECORD_PADDING
    )


def decode_record(payload: bytes) -> PayloadRecord:
    """Decode the record that a payload segment carries."""
    return PayloadRecord(*_RECORD.unpack_from(payload))


def advance_sequence(sequence: int, size: int) -> int:
    """Add to a TCP sequence number, modulo 2**32."""
    return (sequence + size) & SEQUENCE_MASK


def sequence_distance(start: int, end: int) -> int:
    """Count the sequence numbers from start to end, modulo 2**32."""
    return (end - start) & SEQUENCE_MASK
