"""Sends packets to upstreams, callers and peers over UDP sockets."""

import socket

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.ports import PacketSender
from hibiscushatch_core.reasons import DropReason
from hibiscushatch_core.settings import NodeSettings


class UdpPacketSender(PacketSender):
    """Sends inner packets as UDP payloads from the edge and relay sockets.

    Packets to upstreams are sent from the edge address, so that the replies
    go to the address that the fabric distributes over all entry VMs.

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
        """Send a packet to its caller through the fabric."""
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
