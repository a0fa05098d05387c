"""Routes each packet that arrives at an entry VM.

When the state of a packet's bucket is enough to route it, the packet is sent
directly to its upstream or caller. Control packets, and all packets of a
bucket in motion, go through the bucket's owner. So do some packets of a stable
bucket, from which the owner learns which flows are alive.
"""

from typing import NamedTuple

from hibiscushatch_core import packets
from hibiscushatch_core.hashing import flow_key, hash_flow
from hibiscushatch_core.manifest import Service, Upstream
from hibiscushatch_core.reasons import DropReason
from hibiscushatch_core.relay import (
    Direction,
    RelayedPacket,
    decode_relayed,
)
from hibiscushatch_node.flow_owner import FlowOwner
from hibiscushatch_node.located_packet import LocatedPacket
from hibiscushatch_node.membership import MemberState
from hibiscushatch_node.node_state import NodeState
from hibiscushatch_node.packet_exit import PacketExit, wrap_for_relay

SAMPLE_SLOTS = 16
SAMPLE_SLOT_S = 1.0

_PREVIOUS_OWNER_DIRECTIONS = frozenset(
    (
        Direction.FROM_CALLER_TO_PREVIOUS_OWNER,
        Direction.FROM_UPSTREAM_TO_PREVIOUS_OWNER,
    )
)


class _ServiceLocation(NamedTuple):
    """The service of a packet, and whether a caller sent the packet."""

    service: Service
    from_caller: bool


class Forwarder:
    """Routes packets from the edge and relay sockets."""

    def __init__(
        self, state: NodeState, exit_: PacketExit, owner: FlowOwner
    ) -> None:
        self._state = state
        self._exit = exit_
        self._owner = owner

    def handle_edge(self, packet: bytes, sender_address: str) -> None:
        """Route a packet that came from the fabric or an upstream.

        Args:
            packet: The inner packet.
            sender_address: Source IPv4 address of the outer datagram, dotted.
        """
        self._state.counters.packets_in += 1
        headers = packets.read_headers(packet)
        if isinstance(headers, DropReason):
            self._exit.drop(headers)
            return
        if self._state.manifest is None or self._is_joining():
            self._pass_to_any_peer(packet, headers, sender_address)
            return
        location = self._locate_service(headers)
        if location is None:
            self._exit.drop(DropReason.UNKNOWN_SERVICE)
        elif location.from_caller:
            self._handle_caller_packet(packet, headers, location.service)
        else:
            self._handle_reply(
                packet, headers, location.service, sender_address
            )

    def handle_relay(self, datagram: bytes, sender_address: str) -> None:
        """Route a packet that another entry VM relayed.

        Args:
            datagram: A relay header and an inner packet.
            sender_address: Source IPv4 address of the datagram, dotted.
        """
        if sender_address not in self._state.membership.relay_hosts:
            self._exit.drop(DropReason.UNKNOWN_PEER)
            return
        relayed = decode_relayed(datagram)
        if relayed is None:
            self._exit.drop(DropReason.TRUNCATED)
            return
        headers = packets.read_headers(relayed.packet)
        if isinstance(headers, DropReason):
            self._exit.drop(headers)
            return
        if self._state.manifest is None:
            self._exit.drop(DropReason.NO_MANIFEST)
            return
        location = self._locate_service(headers)
        if location is None:
            self._exit.drop(DropReason.UNKNOWN_SERVICE)
            return
        if not self._state.table.has_bucket(location.service.name, 0):
            self._exit.drop(DropReason.NO_MANIFEST)
            return
        self._handle_relayed(relayed, headers, location)

    def _is_joining(self) -> bool:
        return self._state.membership.own.state is MemberState.JOINING

    def _locate_service(
        self, headers: packets.PacketHeaders
    ) -> _ServiceLocation | None:
        services = self._state.manifest.services_by_key
        service_key = (
            headers.destination,
            headers.destination_port,
            headers.protocol,
        )
        service = services.get(service_key)
        if service is not None:
            return _ServiceLocation(service, from_caller=True)
        service = services.get(
            (headers.source, headers.source_port, headers.protocol)
        )
        if service is not None:
            return _ServiceLocation(service, from_caller=False)
        return None

    def _handle_caller_packet(
        self, packet: bytes, headers: packets.PacketHeaders, service: Service
    ) -> None:
        located = _locate_caller_packet(packet, headers, service)
        bucket = self._state.table.state(service.name, located.index)
        bucket_suffices = bucket.is_stable and not self._must_pass_owner(
            located
        )
        if bucket_suffices and self._exit.to_upstream(
            service, bucket.bases[0], packet
        ):
            return
        relayed = wrap_for_relay(Direction.FROM_CALLER, packet)
        self._pass_to_owner(located, relayed, None)

    def _handle_reply(
        self,
        packet: bytes,
        headers: packets.PacketHeaders,
        service: Service,
        sender_address: str,
    ) -> None:
        sender = self._state.directory.find_by_address(sender_address)
        if sender is None or sender.service != service.name:
            self._exit.drop(DropReason.WRONG_SENDER)
            return
        located = _locate_reply(packet, headers, service)
        bucket = self._state.table.state(service.name, located.index)
        bucket_suffices = bucket.is_stable and bucket.bases[0] == sender.name
        if bucket_suffices and not self._must_pass_owner(located):
            self._exit.to_caller(packet)
            return
        relayed = wrap_for_relay(
            Direction.FROM_UPSTREAM, packet, sender_address
        )
        self._pass_to_owner(located, relayed, sender)

    def _must_pass_owner(self, located: LocatedPacket) -> bool:
        """Return whether a packet of a stable bucket goes through its owner.

        Control packets always do. Other packets of a flow do so during one of
        SAMPLE_SLOTS time slots, so that the owner knows which flows are alive.
        """
        if located.headers.tcp_flags & packets.TCP_CONTROL:
            return True
        slot = int(self._state.now() / SAMPLE_SLOT_S) % SAMPLE_SLOTS
        return located.key % SAMPLE_SLOTS == slot

    def _pass_to_owner(
        self,
        located: LocatedPacket,
        relayed: RelayedPacket,
        sender: Upstream | None,
    ) -> None:
        owners = self._state.ownership.owners(
            located.service.name, located.index
        )
        if owners.owner == self._state.name:
            self._handle_as_owner(located, relayed, sender)
        elif owners.owner:
            self._exit.relay(owners.owner, relayed)
        else:
            self._exit.drop(DropReason.NO_OWNER)

    def _handle_as_owner(
        self,
        located: LocatedPacket,
        relayed: RelayedPacket,
        sender: Upstream | None,
    ) -> None:
        if sender is None:
            self._owner.handle_caller_packet(located, relayed)
        else:
            self._owner.handle_reply(located, relayed, sender)

    def _handle_relayed(
        self,
        relayed: RelayedPacket,
        headers: packets.PacketHeaders,
        location: _ServiceLocation,
    ) -> None:
        service = location.service
        sender = None
        if location.from_caller:
            located = _locate_caller_packet(relayed.packet, headers, service)
        else:
            located = _locate_reply(relayed.packet, headers, service)
            sender = self._state.directory.find_by_address(
                relayed.sender_address
            )
            if sender is None or sender.service != service.name:
                self._exit.drop(DropReason.WRONG_SENDER)
                return
        if relayed.direction in _PREVIOUS_OWNER_DIRECTIONS:
            self._handle_as_owner(located, relayed, sender)
        else:
            self._pass_to_owner(located, relayed, sender)

    def _pass_to_any_peer(
        self, packet: bytes, headers: packets.PacketHeaders, sender_address: str
    ) -> None:
        membership = self._state.membership
        serving = sorted(
            member.name
            for member in membership.serving()
            if member.name != self._state.name
        )
        if not serving:
            self._exit.drop(DropReason.NO_MANIFEST)
            return
        key = headers.source ^ headers.destination
        peer = serving[key % len(serving)]
        relayed = wrap_for_relay(Direction.FROM_CALLER, packet, sender_address)
        self._exit.relay(peer, relayed)


def _locate_caller_packet(
    packet: bytes, headers: packets.PacketHeaders, service: Service
) -> LocatedPacket:
    key = flow_key(headers.source, headers.source_port)
    index = hash_flow(key, service.key.port) % service.buckets
    return LocatedPacket(packet, headers, service, index, key)


def _locate_reply(
    packet: bytes, headers: packets.PacketHeaders, service: Service
) -> LocatedPacket:
    key = flow_key(headers.destination, headers.destination_port)
    index = hash_flow(key, service.key.port) % service.buckets
    return LocatedPacket(packet, headers, service, index, key)
