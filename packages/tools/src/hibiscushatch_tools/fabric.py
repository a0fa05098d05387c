"""A fabric in memory that sprays packets over the entry VMs.

Each packet of a caller and each reply of an upstream goes to a random entry VM
among those that the fabric lists. The list lags: a VM that died or left
still gets packets until the next refresh, and they are lost.
"""

import dataclasses
import random
from collections.abc import Callable, Iterable

from hibiscushatch_core.ports import PacketSender
from hibiscushatch_node.entry_vm import EntryVm
from hibiscushatch_tools.host_loop import Host
from hibiscushatch_tools.memory_network import CLIENTS, MemoryNetwork, Place
from hibiscushatch_tools.upstream_standin import UpstreamStandIn

CALLERS = Place('callers', CLIENTS)


@dataclasses.dataclass(frozen=True, slots=True)
class FabricMember:
    """An entry VM with its machine and addresses.

    Attributes:
        host: Its machine.
        vm: The entry VM.
        edge: Its edge address, dotted.
        relay: Its relay address and port.
    """

    host: Host
    vm: EntryVm
    edge: str
    relay: tuple[str, int]

    @property
    def name(self) -> str:
        """Name of the entry VM."""
        return self.host.name

    @property
    def is_running(self) -> bool:
        """Whether it is neither dead nor paused."""
        return self.host.running

    @property
    def is_healthy(self) -> bool:
        """Whether a health check finds it alive and ready."""
        return self.host.running and self.vm.report().ready


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamEnd:
    """An upstream with its place in the network."""

    place: Place
    standin: UpstreamStandIn


class MemoryFabric:
    """Sprays packets over entry VMs and carries what these send.

    Attributes:
        sprayed: Packets that were given to an entry VM.
        unserved: Packets for which no entry VM was listed.
    """

    def __init__(
        self,
        network: MemoryNetwork,
        randomness: random.Random,
        address: str,
        deliver_to_callers: Callable[[bytes], None],
    ) -> None:
        self.sprayed = 0
        self.unserved = 0
        self._network = network
        self._randomness = randomness
        self._address = address
        self._deliver_to_callers = deliver_to_callers
        self._members: dict[str, FabricMember] = {}
        self._by_relay: dict[tuple[str, int], FabricMember] = {}
        self._listed: list[FabricMember] = []
        self._listed_by_domain: dict[str, list[FabricMember]] = {}
        self._upstreams: dict[tuple[str, int], UpstreamEnd] = {}

    @property
    def members(self) -> tuple[FabricMember, ...]:
        """All entry VMs that were added and not removed."""
        return tuple(self._members.values())

    def add_member(self, member: FabricMember) -> None:
        """Know an entry VM, in place of one of the same name."""
        self._members[member.host.name] = member
        self._by_relay[member.relay] = member

    def add_upstream(self, target: tuple[str, int], end: UpstreamEnd) -> None:
        """Know the tunnel address of an upstream."""
        self._upstreams[target] = end

    def refresh(self, domains: Iterable[str]) -> None:
        """List the healthy entry VMs anew, as each domain reaches them."""
        self._listed = [one for one in self._members.values() if one.is_healthy]
        self._listed_by_domain = {
            domain: [
                one
                for one in self._listed
                if self._network.joins(domain, one.host.domain)
            ]
            for domain in domains
        }

    def spray_from_caller(self, packet: bytes) -> None:
        """Give a caller's packet to a random entry VM."""
        self._spray(self._listed, CALLERS, packet, self._address)

    def spray_from_upstream(
        self, place: Place, address: str, packet: bytes
    ) -> None:
        """Give an upstream's reply to a random entry VM it can reach."""
        listed = self._listed_by_domain.get(place.domain, [])
        self._spray(listed, place, packet, address)

    def carry_to_upstream(
        self, source: Host, packet: bytes, target: tuple[str, int]
    ) -> None:
        """Carry a packet from an entry VM to an upstream."""
        end = self._upstreams.get(target)
        if end is not None:
            self._network.carry(source, end.place, end.standin.receive, packet)

    def carry_to_caller(self, source: Host, packet: bytes) -> None:
        """Carry a packet from an entry VM to its caller."""
        self._network.carry(source, CALLERS, self._deliver_to_callers, packet)

    def carry_to_relay(
        self,
        source: Host,
        source_address: str,
        datagram: bytes,
        target: tuple[str, int],
    ) -> None:
        """Carry a relay datagram between entry VMs."""
        member = self._by_relay.get(target)
        if member is not None:
            self._network.carry(
                source,
                member.host,
                member.vm.handle_relay,
                datagram,
                source_address,
            )

    def _spray(
        self,
        listed: list[FabricMember],
        source: Place,
        packet: bytes,
        address: str,
    ) -> None:
        if not listed:
            self.unserved += 1
            return
        self.sprayed += 1
        member = listed[int(self._randomness.random() * len(listed))]
        self._network.carry(
            source, member.host, member.vm.handle_edge, packet, address
        )


class MemoryPacketSender(PacketSender):
    """Sends the packets of one entry VM into the fabric."""

    def __init__(
        self, fabric: MemoryFabric, host: Host, relay: tuple[str, int]
    ) -> None:
        self._fabric = fabric
        self._host = host
        self._relay = relay

    def send_to_upstream(self, packet: bytes, target: tuple[str, int]) -> None:
        """Send a packet to the tunnel address of an upstream."""
        self._fabric.carry_to_upstream(self._host, packet, target)

    def send_to_caller(self, packet: bytes) -> None:
        """Send a packet to its caller by way of the fabric."""
        self._fabric.carry_to_caller(self._host, packet)

    def send_to_peer(self, datagram: bytes, target: tuple[str, int]) -> None:
        """Send a relay datagram to another entry VM's relay address."""
        self._fabric.carry_to_relay(
            self._host, self._relay[0], datagram, target
        )
