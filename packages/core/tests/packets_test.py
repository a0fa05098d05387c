"""Tests of hibiscushatch_core.packets."""

import core_fixtures
import dpkt

from hibiscushatch_core import packets
from hibiscushatch_core.reasons import DropReason


def test_reads_ports_flags_and_payload_size() -> None:
    packet = core_fixtures.tcp_packet(packets.TCP_ACK, b'hello')
    headers = packets.read_headers(packet)
    assert isinstance(headers, packets.PacketHeaders)
    assert headers.source_port == 40000
    assert headers.destination_port == 443
    assert headers.tcp_flags == packets.TCP_ACK
    assert headers.payload_bytes == 5


def test_returns_the_drop_reason_of_each_invalid_packet() -> None:
    valid = core_fixtures.tcp_packet(packets.TCP_SYN)
    cases = (
        (b'', DropReason.TRUNCATED),
        (valid[:24], DropReason.TRUNCATED),
        (valid[:-1], DropReason.TRUNCATED),
        (b'\x60' + valid[1:], DropReason.NOT_IPV4),
        (valid[:6] + b'\x20\x00' + valid[8:], DropReason.FRAGMENTED),
        (valid[:9] + b'\x2f' + valid[10:], DropReason.UNSUPPORTED_PROTOCOL),
        (valid + bytes(packets.PACKET_BYTES_MAX), DropReason.OVERSIZED),
        (valid[:32] + b'\x10' + valid[33:], DropReason.TRUNCATED),
        (valid[:32] + b'\xf0' + valid[33:], DropReason.TRUNCATED),
    )
    for packet, reason in cases:
        assert packets.read_headers(packet) is reason, (packet, reason)


def test_reset_to_sender_has_the_acknowledged_sequence_number() -> None:
    packet = core_fixtures.tcp_packet(packets.TCP_ACK, b'hello')
    reset = dpkt.ip.IP(packets.build_reset_to_sender(packet))
    assert reset.dst == core_fixtures.CALLER
    assert reset.data.flags == packets.TCP_RST
    assert reset.data.seq == 200


def test_reset_to_sender_of_a_syn_acknowledges_it() -> None:
    packet = core_fixtures.tcp_packet(packets.TCP_SYN)
    reset = dpkt.ip.IP(packets.build_reset_to_sender(packet))
    assert reset.data.flags == packets.TCP_RST | packets.TCP_ACK
    assert reset.data.ack == 101
