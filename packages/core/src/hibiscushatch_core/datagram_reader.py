"""Reads datagrams from a UDP socket in batches.

The size of a batch is limited so that the control plane also runs under full
load. An error that a datagram causes is contained, and reading goes on.

A module of its own, without asyncio, so that packets can be handled before the
event loop is imported.
"""

import socket
from collections.abc import Callable, Iterator

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.unexpected_errors import UnexpectedErrors

BATCH_DATAGRAMS_MAX = 64
# A packet has at most 9000 bytes. The rest is for the relay header and lets an
# oversized packet be recognized.
DATAGRAM_BYTES_MAX = 9256

_STEP = 'handling a datagram'

DatagramHandler = Callable[[bytes, str], None]


class DatagramReader:
    """Reads a socket in batches and calls a handler for each datagram.

    Args:
        udp_socket: A bound, non-blocking socket.
        handler: Called with each datagram and the address of its sender, in
            dotted form.
        counters: Counters of the process; unexpected errors are counted there.
    """

    def __init__(
        self,
        udp_socket: socket.socket,
        handler: DatagramHandler,
        counters: Counters,
    ) -> None:
        self._socket = udp_socket
        self._handler = handler
        self._errors = UnexpectedErrors(counters)

    def take_waiting(self) -> Iterator[bytes]:
        """Read and yield the datagrams that are waiting, without a handler."""
        while True:
            try:
                yield self._socket.recv(DATAGRAM_BYTES_MAX)
            except BlockingIOError:
                return
            except OSError as error:
                self._errors.record(_STEP, error)
                return

    def read_waiting(self) -> bool:
        """Read and handle a batch of waiting datagrams.

        Returns:
            Whether there was nothing left to read.
        """
        for _ in range(BATCH_DATAGRAMS_MAX):
            try:
                datagram, sender = self._socket.recvfrom(DATAGRAM_BYTES_MAX)
            except BlockingIOError:
                return True
            except OSError as error:
                self._errors.record(_STEP, error)
                return True
            self.call_guarded(self._handler, datagram, sender[0])
        return False

    def call_guarded(
        self, handler: Callable[..., None], *arguments: object
    ) -> None:
        """Call a handler of one datagram; record what it raises."""
        self._errors.guard(_STEP, handler, *arguments)
