"""The UDP sockets that packets come in by and go out by.

A ready socket is read in batches: asyncio's datagram protocol takes one
datagram a turn of the loop. A batch is bounded so that the control plane gets
its turn under full load, and no datagram can end the reading.
"""

import asyncio
import logging
import socket
from collections.abc import Callable

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.packets import PACKET_BYTES_MAX
from hibiscushatch_core.ports import PacketSender
from hibiscushatch_core.reasons import DropReason
from hibiscushatch_core.settings import NodeSettings

BATCH_DATAGRAMS_MAX = 64
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
# Leaves room for a relay header, and shows that a packet is oversized.
DATAGRAM_BYTES_MAX = PACKET_BYTES_MAX + 256

DatagramHandler = Callable[[bytes, str], None]

_log = logging.getLogger(__name__)


def open_udp_socket(address: tuple[str, int]) -> socket.socket:
    """Open a bound socket that does not block.

    Args:
        address: IPv4 address and port.

    Returns:
        The socket, with buffers as large as the system allows.

    Raises:
        OSError: When the address can't be bound.
    """
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        udp_socket.bind(address)
    except OSError:
        udp_socket.close()
        raise
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        udp_socket.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    udp_socket.setblocking(False)
    return udp_socket


class UdpReceiver:
    """Reads a socket in batches and hands each datagram to a handler.

    Args:
        udp_socket: A bound socket that does not block.
        handler: Takes a datagram and its sender's address, dotted.
        counters: Where unexpected errors are counted.
    """

    def __init__(
        self,
        udp_socket: socket.socket,
        handler: DatagramHandler,
        counters: Counters,
    ) -> None:
        self._socket = udp_socket
        self._handler = handler
        self._counters = counters
        self._logged_kinds: set[type[Exception]] = set()

    def start(self) -> None:
        """Begin to read; needs a running event loop."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._read_batch)

    def stop(self) -> None:
        """Cease to read; the socket stays open."""
        asyncio.get_running_loop().remove_reader(self._socket)

    def _read_batch(self) -> None:
        for _ in range(BATCH_DATAGRAMS_MAX):
            try:
                datagram, sender = self._socket.recvfrom(DATAGRAM_BYTES_MAX)
            except BlockingIOError:
                return
            except OSError as error:
                self._note_unexpected(error)
                return
            try:
                self._handler(datagram, sender[0])
            except Exception as error:
                self._note_unexpected(error)

    def _note_unexpected(self, error: Exception) -> None:
        self._counters.unexpected_errors += 1
        kind = type(error)
        if kind not in self._logged_kinds:
            self._logged_kinds.add(kind)
            _log.error('unexpected error on the packet path', exc_info=error)


class UdpPacketSender(PacketSender):
    """Sends inner packets as UDP payloads from the edge and relay sockets.

    Packets to upstreams leave from the edge address, so that the replies come
    back to the address that the fabric spreads over all entry VMs.

    Args:
        settings: The settings of this entry VM.
        edge_socket: Bound to the edge address.
        relay_socket: Bound to the relay address.
        counters: Where failed sends are counted.
    """

    def __init__(
        self,
        settings: NodeSettings,
        edge_socket: socket.socket,
        relay_socket: socket.socket,
        counters: Counters,
    ) -> None:
        self._counters = counters
        self._fabric = settings.fabric.pair
        self._send_from_edge = edge_socket.sendto
        self._send_from_relay = relay_socket.sendto

    def send_to_upstream(self, packet: bytes, target: tuple[str, int]) -> None:
        """Send a packet to the tunnel address of an upstream."""
        try:
            self._send_from_edge(packet, target)
        except OSError:
            self._counters.drops[DropReason.SEND_FAILED] += 1

    def send_to_caller(self, packet: bytes) -> None:
        """Send a packet to its caller by way of the fabric."""
        try:
            self._send_from_edge(packet, self._fabric)
        except OSError:
            self._counters.drops[DropReason.SEND_FAILED] += 1

    def send_to_peer(self, datagram: bytes, target: tuple[str, int]) -> None:
        """Send a relay datagram to another entry VM's relay address."""
        try:
            self._send_from_relay(datagram, target)
        except OSError:
            self._counters.drops[DropReason.SEND_FAILED] += 1
