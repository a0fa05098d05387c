"""A UDP socket that is read in batches.

A ready socket is read in batches: asyncio's datagram protocol takes one
datagram a turn of the loop. A batch is bounded so that the control plane gets
its turn under full load, and no datagram can end the reading.
"""

import asyncio
import logging
import socket
from collections.abc import Callable

from hibiscushatch_core.counters import Counters

BATCH_DATAGRAMS_MAX = 64
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
# The largest packet is 9000 bytes; the rest leaves room for a relay header,
# and shows that a packet is oversized.
DATAGRAM_BYTES_MAX = 9256

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
        loop.add_reader(self._socket, self.read_waiting)

    def stop(self) -> None:
        """Cease to read; the socket stays open."""
        asyncio.get_running_loop().remove_reader(self._socket)

    def read_waiting(self) -> bool:
        """Read a batch of what has come.

        Returns:
            Whether nothing more waits.
        """
        for _ in range(BATCH_DATAGRAMS_MAX):
            try:
                datagram, sender = self._socket.recvfrom(DATAGRAM_BYTES_MAX)
            except BlockingIOError:
                return True
            except OSError as error:
                self._note_unexpected(error)
                return True
            try:
                self._handler(datagram, sender[0])
            except Exception as error:
                self._note_unexpected(error)
        return False

    def _note_unexpected(self, error: Exception) -> None:
        self._counters.unexpected_errors += 1
        kind = type(error)
        if kind not in self._logged_kinds:
            self._logged_kinds.add(kind)
            _log.error('unexpected error on the packet path', exc_info=error)
