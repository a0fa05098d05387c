"""Tests of hibiscushatch_node.adapters.udp over loopback sockets."""

import asyncio
import socket

import adapter_fixtures

from hibiscushatch_core import (
    datagram_reader,
    packets,
    udp_receiver,
    udp_socket,
)
from hibiscushatch_core.counters import Counters
from hibiscushatch_core.reasons import DropReason
from hibiscushatch_node.adapters import udp
from hibiscushatch_tools.testing import real_time

DATAGRAMS = (
    b'',
    b'\x45',
    bytes(20),
    b'\x60' + bytes(60),
    bytes(packets.PACKET_BYTES_MAX + 1),
    bytes(datagram_reader.DATAGRAM_BYTES_MAX * 2),
)


def _address(kind: socket.SocketKind = socket.SOCK_DGRAM) -> tuple[str, int]:
    fields = adapter_fixtures.free_address(kind)
    return (fields['address'], fields['port'])


@real_time
async def test_handler_errors_and_bad_datagrams_do_not_stop_receiving() -> None:
    received_datagrams: asyncio.Queue[bytes] = asyncio.Queue()

    def handler(datagram: bytes, _sender: str) -> None:
        received_datagrams.put_nowait(datagram)
        raise ValueError(len(datagram))

    counters = Counters()
    with (
        adapter_fixtures.captured_log('hibiscushatch_core') as records,
        udp_socket.open_udp_socket(_address()) as receiving_socket,
    ):
        receiver = udp_receiver.UdpReceiver(receiving_socket, handler, counters)
        receiver.start()
        with udp_socket.open_udp_socket(_address()) as sending_socket:
            for datagram in DATAGRAMS:
                sending_socket.sendto(datagram, receiving_socket.getsockname())
                received = await asyncio.wait_for(received_datagrams.get(), 5)
                assert (
                    received == datagram[: datagram_reader.DATAGRAM_BYTES_MAX]
                )
        receiver.stop()
    assert counters.unexpected_errors == len(DATAGRAMS)
    assert len(records) == 1


@real_time
async def test_truncated_datagrams_are_detected_as_oversized() -> None:
    received_datagrams: asyncio.Queue[bytes] = asyncio.Queue()
    with udp_socket.open_udp_socket(_address()) as receiving_socket:
        receiver = udp_receiver.UdpReceiver(
            receiving_socket,
            lambda datagram, _: received_datagrams.put_nowait(datagram),
            Counters(),
        )
        receiver.start()
        with udp_socket.open_udp_socket(_address()) as sending_socket:
            sending_socket.sendto(
                b'\x45' + bytes(20000), receiving_socket.getsockname()
            )
            received = await asyncio.wait_for(received_datagrams.get(), 5)
        receiver.stop()
    assert packets.read_headers(received) is DropReason.OVERSIZED


@real_time
async def test_a_batch_is_bounded_and_no_datagram_is_lost() -> None:
    sizes: list[int] = []
    with udp_socket.open_udp_socket(_address()) as receiving_socket:
        receiver = udp_receiver.UdpReceiver(
            receiving_socket,
            lambda datagram, _: sizes.append(len(datagram)),
            Counters(),
        )
        with udp_socket.open_udp_socket(_address()) as sending_socket:
            for size in range(datagram_reader.BATCH_DATAGRAMS_MAX * 2 + 1):
                sending_socket.sendto(
                    bytes(size), receiving_socket.getsockname()
                )
        receiver.start()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert len(sizes) <= datagram_reader.BATCH_DATAGRAMS_MAX * 2
        while len(sizes) <= datagram_reader.BATCH_DATAGRAMS_MAX * 2:
            await asyncio.sleep(0)
        receiver.stop()
    assert sizes == list(range(datagram_reader.BATCH_DATAGRAMS_MAX * 2 + 1))


def test_only_packets_to_peers_use_the_relay_socket() -> None:
    target = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    target.bind(_address())
    target.settimeout(5)
    host, port = target.getsockname()
    settings = adapter_fixtures.node_settings(
        fabric={'address': host, 'port': port}
    )
    with (
        target,
        udp_socket.open_udp_socket(settings.edge.pair) as edge,
        udp_socket.open_udp_socket(settings.relay.pair) as relay,
    ):
        sender = udp.UdpPacketSender(settings, edge, relay, Counters())
        sender.send_to_caller(b'caller')
        assert target.recvfrom(16) == (b'caller', settings.edge.pair)
        sender.send_to_upstream(b'upstream', (host, port))
        assert target.recvfrom(16) == (b'upstream', settings.edge.pair)
        sender.send_to_peer(b'peer', (host, port))
        assert target.recvfrom(16) == (b'peer', settings.relay.pair)


class _FullSocket:
    """A socket whose send buffer is full."""

    def sendto(self, _datagram: bytes, _target: tuple[str, int]) -> int:
        raise BlockingIOError


def test_failed_sends_are_counted_without_an_error() -> None:
    counters = Counters()
    sender = udp.UdpPacketSender(
        adapter_fixtures.node_settings(),
        _FullSocket(),
        _FullSocket(),
        counters,
    )
    sender.send_to_caller(b'')
    sender.send_to_upstream(b'', ('127.0.0.1', 9))
    sender.send_to_peer(b'', ('127.0.0.1', 9))
    assert counters.drops == {DropReason.SEND_FAILED: 3}
