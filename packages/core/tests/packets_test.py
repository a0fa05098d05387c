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


def test_names_the_reason_for_each_bad_packet() -> None:
    good = core_fixtures.tcp_packet(packets.TCP_SYN)
    table = (
        (b'', DropReason.TRUNCATED),
        (good[:24], DropReason.TRUNCATED),
        (good[:-1], DropReason.TRUNCATED),
        (b'\x60' + good[1:], DropReason.NOT_IPV4),
        (good[:6] + b'\x20\x00' + good[8:], DropReason.FRAGMENTED),
        (good[:9] + b'\x2f' + good[10:], DropReason.UNSUPPORTED_PROTOCOL),
        (good + bytes(packets.PACKET_BYTES_MAX), DropReason.OVERSIZED),
        (good[:32] + b'\x10' + good[33:], DropReason.TRUNCATED),
        (good[:32] + b'\xf0' + good[33:], DropReason.TRUNCATED),
    )
    for packet, reason in table:
        assert packets.read_headers(packet) is reason, (packet, reason)


def test_reset_to_sender_answers_with_the_acknowledged_number() -> None:
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
