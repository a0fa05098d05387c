"""The socket of callers' packets, which is bound before the entry VM is ready.

On a fraction of a core, the imports of a process take half a second. Packets
that arrive in this time wait in the socket instead of being lost, which saves
their callers from having to repeat them.

The system states when each packet arrived. Where it does not, their rank tells,
since packets arrive at a steady rate.

Packets also wait while the process is paused. Their callers may have sent
copies to other entry VMs meanwhile, so how long they waited decides what is
still done with them.
"""

import logging
import socket
import time
from collections.abc import Callable, Iterable, Iterator, Sequence

import msgspec

from hibiscushatch_core.busy_addresses import bind_when_free
from hibiscushatch_core.counters import Counters
from hibiscushatch_core.datagram_reader import (
    DatagramHandler,
    DatagramReader,
)
from hibiscushatch_core.log_throttle import LogThrottle
from hibiscushatch_core.udp_socket import open_udp_socket
from hibiscushatch_token.settings import TokenNodeSettings, socket_address

# The socket is read at least every 50 ms, or every four usual answers of
# upstreams. Callers send the first copy of an opening packet after 200 ms.
_PAUSE_MIN_S = 0.15
# With a small part of a core, pauses may be frequent.
_LOG_INTERVAL_S = 10.0

BacklogHandler = Callable[[Iterable[tuple[bytes, float]]], None]

_log = logging.getLogger(__name__)


class CallerSocket(msgspec.Struct, frozen=True):
    """The socket that receives callers' packets.

    Attributes:
        udp_socket: The socket.
        bound_at: When it was bound, in monotonic seconds.
    """

    udp_socket: socket.socket
    bound_at: float


def bind_caller_socket(settings: TokenNodeSettings) -> CallerSocket:
    """Bind the socket of callers' packets; block until the address is free.

    Raises:
        OSError: The address can't be bound.
    """
    address = socket_address(settings.packets)
    udp_socket = bind_when_free(
        settings.packets, lambda: open_udp_socket(address)
    )
    return CallerSocket(udp_socket, time.monotonic())


class CallerReader(DatagramReader):
    """Reads callers' packets, and those of a backlog with their waits.

    Arrival times are read only for packets that came during a pause of the
    process, or before it was ready.

    Args:
        caller_socket: The bound socket.
        handler: Called with each packet that has not waited, and its sender.
        handle_backlog: Called with all packets that have waited, and how long
            each has, in seconds.
        counters: Counters of the process; unexpected errors are counted there.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        caller_socket: CallerSocket,
        handler: DatagramHandler,
        handle_backlog: BacklogHandler,
        counters: Counters,
        clock: Callable[[], float],
    ) -> None:
        super().__init__(caller_socket.udp_socket, handler, counters)
        self._handle_backlog = handle_backlog
        self._clock = clock
        self._throttle = LogThrottle(1, _LOG_INTERVAL_S, clock)
        # When there was nothing left to read, latest.
        self._drained_at = caller_socket.bound_at

    def read_waiting(self) -> bool:
        """Read and handle waiting packets: a batch, or all after a pause.

        Returns:
            Whether there was nothing left to read.
        """
        now = self._clock()
        paused_s = now - self._drained_at
        if paused_s < _PAUSE_MIN_S:
            is_drained = super().read_waiting()
            if is_drained:
                self._drained_at = now
            return is_drained
        count = self.read_backlog()
        if count:
            self._log_pause(count, paused_s)
        return True

    def read_backlog(self) -> int:
        """Read and handle all waiting packets as those of a backlog.

        Returns:
            Number of the packets.
        """
        now = self._clock()
        taken = list(self.take_waiting())
        self._handle_backlog(limit_waits(taken, now - self._drained_at))
        self._drained_at = now
        return len(taken)

    def _log_pause(self, count: int, paused_s: float) -> None:
        omitted = self._throttle.admit()
        if omitted is not None:
            _log.warning(
                'packets have waited',
                extra={
                    'packets': count,
                    'waited_max_s': round(paused_s, 3),
                    'omitted': omitted,
                },
            )


def limit_waits(
    packets: Sequence[tuple[bytes, float | None]], waited_max_s: float
) -> Iterator[tuple[bytes, float]]:
    """Yield packets and how long each has probably waited in the socket.

    Args:
        packets: The packets in the order in which they arrived, and how long
            each has waited as the system states it; None if it does not.
        waited_max_s: How long the oldest may have waited.
    """
    for rank, (datagram, stated_s) in enumerate(packets):
        waited_s = stated_s
        if waited_s is None:
            earlier_share = (rank + 0.5) / len(packets)
            waited_s = waited_max_s * (1 - earlier_share)
        yield datagram, max(0.0, min(waited_max_s, waited_s))
