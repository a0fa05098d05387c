"""The UDP socket over which entry VMs exchange messages."""

import logging
import socket
from collections.abc import Callable
from typing import TypeVar

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import PeerError
from hibiscushatch_core.log_throttle import LogThrottle
from hibiscushatch_core.reasons import DropReason
from hibiscushatch_token.knowledge import peer_messages
from hibiscushatch_token.knowledge.publisher import Address

# Any process can send bytes that are no message, at any rate.
_LINES_MAX = 5
_LINES_INTERVAL_S = 10.0

_log = logging.getLogger(__name__)

Message = TypeVar('Message', bound=peer_messages.Datagram)


class PeerSocket:
    """Sends datagrams to other entry VMs and dispatches theirs to handlers.

    Args:
        udp_socket: Bound to the control address of this entry VM.
        counters: Counters of this process.
    """

    def __init__(self, udp_socket: socket.socket, counters: Counters) -> None:
        self._socket = udp_socket
        self._counters = counters
        self._handlers: dict[type, Callable[..., None]] = {}
        self._throttle = LogThrottle(_LINES_MAX, _LINES_INTERVAL_S)

    def add_handler(
        self, message_type: type[Message], handler: Callable[[Message], None]
    ) -> None:
        """Set the handler of a type of messages."""
        self._handlers[message_type] = handler

    def send(self, datagram: bytes, address: Address) -> None:
        """Send a datagram; count it as dropped when that fails."""
        try:
            self._socket.sendto(datagram, address)
        except OSError:
            self._counters.drops[DropReason.SEND_FAILED] += 1
            return
        self._counters.control_bytes_sent += len(datagram)

    def handle(self, datagram: bytes, sender: str) -> None:
        """Decode a datagram and call the handler of its message type."""
        self._counters.control_bytes_received += len(datagram)
        try:
            message = peer_messages.decode_datagram(datagram, sender)
        except PeerError as error:
            self._counters.drops[DropReason.TRUNCATED] += 1
            omitted = self._throttle.admit()
            if omitted is not None:
                _log.warning(
                    'datagram unreadable',
                    extra={'error': str(error), 'omitted': omitted},
                )
            return
        self._handlers[type(message)](message)
