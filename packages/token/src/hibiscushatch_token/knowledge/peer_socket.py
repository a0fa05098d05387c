"""The UDP socket by which entry VMs talk to each other."""

import logging
import socket
from collections.abc import Callable
from typing import TypeVar

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import PeerError
from hibiscushatch_core.reasons import DropReason
from hibiscushatch_token.knowledge import peer_messages
from hibiscushatch_token.knowledge.publisher import Address

_log = logging.getLogger(__name__)


Message = TypeVar('Message', bound=peer_messages.Datagram)


class PeerSocket:
    """Sends and dispatches messages of entry VMs.

    Args:
        udp_socket: Bound to the control address of this entry VM.
        counters: Counts of this process.
    """

    def __init__(self, udp_socket: socket.socket, counters: Counters) -> None:
        self._socket = udp_socket
        self._counters = counters
        self._takers: dict[type, Callable[..., None]] = {}

    def connect(
        self, kind: type[Message], taker: Callable[[Message], None]
    ) -> None:
        """Set who takes the messages of a kind."""
        self._takers[kind] = taker

    def send(self, datagram: bytes, address: Address) -> None:
        """Send a datagram; one that can't be sent counts as dropped."""
        try:
            self._socket.sendto(datagram, address)
        except OSError:
            self._counters.drops[DropReason.SEND_FAILED] += 1
            return
        self._counters.control_bytes_sent += len(datagram)

    def handle(self, datagram: bytes, sender: str) -> None:
        """Pass on a message to whom it is for."""
        self._counters.control_bytes_received += len(datagram)
        try:
            message = peer_messages.decode_datagram(datagram, sender)
        except PeerError as error:
            self._counters.drops[DropReason.TRUNCATED] += 1
            _log.warning('datagram unreadable', extra={'error': str(error)})
            return
        self._takers[type(message)](message)
