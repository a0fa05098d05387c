"""Sends packets out of an entry VM after the last checks.

Service isolation is enforced here: whatever was decided before, a packet is
sent only to an upstream of its own service.
"""

from hibiscushatch_core import packets
from hibiscushatch_core.manifest import Service
from hibiscushatch_core.reasons import DropReason, RefusalReason
from hibiscushatch_core.relay import (
    HOPS_MAX,
    Direction,
    RelayedPacket,
    encode_relayed,
)
from hibiscushatch_node.node_state import NodeState

NO_ADDRESS = '0.0.0.0'  # noqa: S104


class PacketExit:
    """Sends packets to upstreams, callers and other entry VMs."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._sender = state.ports.sender
        self._counters = state.counters

    def to_upstream(self, service: Service, name: str, packet: bytes) -> bool:
        """Send a caller's packet to an upstream of its service.

        Args:
            service: The service that the packet is addressed to.
            name: Name of the upstream.
            packet: The inner packet.

        Returns:
            False when the upstream is unknown or may not receive the packet;
            nothing was sent then.
        """
        upstream = self._state.directory.find(name)
        if upstream is None:
            return False
        if upstream.service != service.name:
            self._counters.drops[DropReason.ISOLATION] += 1
            return False
        if not self._state.directory.may_receive(upstream):
            return False
        self._counters.packets_to_upstreams += 1
        self._sender.send_to_upstream(packet, upstream.tunnel_address)
        return True

    def to_caller(self, packet: bytes) -> None:
        """Send a packet to the caller that it is addressed to."""
        self._counters.packets_to_callers += 1
        self._sender.send_to_caller(packet)

    def relay(self, name: str, relayed: RelayedPacket) -> None:
        """Send a packet to another entry VM, directly or through a third one.

        Args:
            name: Name of the VM that should get it.
            relayed: The packet with the hops that it has taken so far.
        """
        if relayed.hops >= HOPS_MAX:
            self._counters.drops[DropReason.LOOPED] += 1
            return
        hop = self._state.membership.next_hop(name)
        if hop is None:
            self._counters.drops[DropReason.NO_OWNER] += 1
            return
        onward = RelayedPacket(
            relayed.hops + 1,
            relayed.direction,
            relayed.sender_address,
            relayed.packet,
        )
        self._counters.packets_relayed += 1
        self._sender.send_to_peer(encode_relayed(onward), hop.relay)

    def refuse(
        self, service: Service, packet: bytes, reason: RefusalReason
    ) -> None:
        """Refuse a caller's packet and count the refusal.

        The caller gets a TCP reset, or an ICMP message for UDP.

        Args:
            service: The service that the packet is addressed to.
            packet: The caller's packet.
            reason: Why it is refused.
        """
        self._counters.refusals[reason] += 1
        if service.key.protocol == packets.TCP:
            self.to_caller(packets.build_reset_to_sender(packet))
        else:
            self.to_caller(packets.build_icmp_prohibited(packet))

    def reset_upstream(
        self, service: Service, name: str, packet: bytes
    ) -> None:
        """Answer an upstream's packet with a reset.

        Args:
            service: The service of the flow.
            name: Name of the upstream that sent the packet.
            packet: The inner packet.
        """
        self.to_upstream(service, name, packets.build_reset_to_sender(packet))

    def drop(self, reason: DropReason) -> None:
        """Count a packet that is dropped without an answer."""
        self._counters.drops[reason] += 1


def wrap_for_relay(
    direction: Direction, packet: bytes, sender_address: str = NO_ADDRESS
) -> RelayedPacket:
    """Wrap a packet for relaying, with a hop count of 0."""
    return RelayedPacket(0, direction, sender_address, packet)
