"""Reads datagrams from a UDP socket in batches.

The size of a batch is limited so that the control plane also runs under full
load. An error that a datagram causes is contained, and reading goes on.

A module of its own, without asyncio, so that packets can be handled before the
event loop is imported.
"""

import socket
import struct
import time
from collections.abc import Callable, Iterable, Iterator

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.udp_descriptor import ARRIVAL_TIMES_OPTION
from hibiscushatch_core.unexpected_errors import UnexpectedErrors

BATCH_DATAGRAMS_MAX = 64
# A packet has at most 9000 bytes. The rest is for the relay header and lets an
# oversized packet be recognized.
DATAGRAM_BYTES_MAX = 9256

# Seconds and nanoseconds of the system's clock.
_ARRIVAL_TIME = struct.Struct('@ll')
_ANCILLARY_BYTES_MAX = socket.CMSG_SPACE(_ARRIVAL_TIME.size)
_NS_PER_S = 1_000_000_000

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

    def take_waiting(self) -> Iterator[tuple[bytes, float | None]]:
        """Read the datagrams that are waiting, without a handler.

        Reading the arrival times takes longer than ``read_waiting``.

        Yields:
            Each datagram and how long it has waited in the socket, in seconds;
            None if the system does not state when it arrived. A step of the
            system's clock meanwhile makes the time wrong, even negative.
        """
        while True:
            try:
                datagram, ancillary, _, _ = self._socket.recvmsg(
                    DATAGRAM_BYTES_MAX, _ANCILLARY_BYTES_MAX
                )
            except BlockingIOError:
                return
            except OSError as error:
                self._errors.record(_STEP, error)
                return
            yield datagram, _waited_s(ancillary)

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


def _waited_s(ancillary: Iterable[tuple[int, int, bytes]]) -> float | None:
    for level, option, content in ancillary:
        if (level, option) == (socket.SOL_SOCKET, ARRIVAL_TIMES_OPTION):
            seconds, nanoseconds = _ARRIVAL_TIME.unpack(content)
            return time.time() - seconds - nanoseconds / _NS_PER_S
    return None
