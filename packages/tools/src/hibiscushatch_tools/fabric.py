"""An in-memory fabric that sprays packets over the entry VMs.

The fabric sends each packet of a caller and each reply of an upstream to a
random entry VM of its list. The list is only as recent as the last refresh:
until the next one, an entry VM that has died or left still gets packets, and
these are lost.
"""

import dataclasses
import random
from collections.abc import Callable, Iterable

from hibiscushatch_core.ports import PacketSender
from hibiscushatch_node.entry_vm import EntryVm
from hibiscushatch_tools.host_loop import Host
from hibiscushatch_tools.memory_network import (
    CLIENTS,
    ExternalEndpoint,
    MemoryNetwork,
)
from hibiscushatch_tools.upstream_standin import UpstreamStandIn

CALLERS = ExternalEndpoint('callers', CLIENTS)


@dataclasses.dataclass(frozen=True, slots=True)
class FabricMember:
    """An entry VM with its simulated machine and its addresses.

    Attributes:
        host: The simulated machine that runs the entry VM.
        vm: The entry VM.
        edge: Edge address of the entry VM, in dotted notation.
        relay: Relay address and port of the entry VM.
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
        """Whether the machine is neither dead nor paused."""
        return self.host.running

    @property
    def is_healthy(self) -> bool:
        """Whether the machine is running and the entry VM is ready."""
        return self.host.running and self.vm.report().ready


@dataclasses.dataclass(frozen=True, slots=True)
class AttachedUpstream:
    """An upstream stand-in and its endpoint in the network."""

    endpoint: ExternalEndpoint
    standin: UpstreamStandIn


class MemoryFabric:
    """Sprays packets over entry VMs and carries the packets that they send.

    Attributes:
        sprayed: Packets that were sent to an entry VM.
        unroutable: Packets that were dropped because no entry VM was listed.
    """

    def __init__(
        self,
        network: MemoryNetwork,
        randomness: random.Random,
        address: str,
        deliver_to_callers: Callable[[bytes], None],
    ) -> None:
        self.sprayed = 0
        self.unroutable = 0
        self._network = network
        self._randomness = randomness
        self._address = address
        self._deliver_to_callers = deliver_to_callers
        self._members: dict[str, FabricMember] = {}
        self._by_relay: dict[tuple[str, int], FabricMember] = {}
        self._listed: list[FabricMember] = []
        self._listed_by_domain: dict[str, list[FabricMember]] = {}
        self._upstreams: dict[tuple[str, int], AttachedUpstream] = {}

    @property
    def members(self) -> tuple[FabricMember, ...]:
        """The last added entry VM of each name, listed or not."""
        return tuple(self._members.values())

    def add_member(self, member: FabricMember) -> None:
        """Add an entry VM, replacing any of the same name."""
        self._members[member.host.name] = member
        self._by_relay[member.relay] = member

    def add_upstream(
        self, target: tuple[str, int], upstream: AttachedUpstream
    ) -> None:
        """Register an upstream at its tunnel address."""
        self._upstreams[target] = upstream

    def refresh(self, domains: Iterable[str]) -> None:
        """Rebuild the lists of healthy entry VMs.

        Callers use the list of all healthy entry VMs. Each upstream uses the
        healthy entry VMs that its failure domain can reach.

        Args:
            domains: Failure domains of the upstreams.
        """
        self._listed = [
            member for member in self._members.values() if member.is_healthy
        ]
        self._listed_by_domain = {
            domain: [
                member
                for member in self._listed
                if self._network.are_connected(domain, member.host.domain)
            ]
            for domain in domains
        }

    def spray_from_caller(self, packet: bytes) -> None:
        """Send a caller's packet to a random entry VM."""
        self._spray(self._listed, CALLERS, packet, self._address)

    def spray_from_upstream(
        self, endpoint: ExternalEndpoint, address: str, packet: bytes
    ) -> None:
        """Send an upstream's reply to a random entry VM that it can reach."""
        listed = self._listed_by_domain.get(endpoint.domain, [])
        self._spray(listed, endpoint, packet, address)

    def carry_to_upstream(
        self, source: Host, packet: bytes, target: tuple[str, int]
    ) -> None:
        """Carry a packet from an entry VM to an upstream."""
        upstream = self._upstreams.get(target)
        if upstream is not None:
            self._network.carry(
                source, upstream.endpoint, upstream.standin.receive, packet
            )

    def carry_to_caller(self, source: Host, packet: bytes) -> None:
        """Carry a packet from an entry VM to the callers' endpoint."""
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
        source: ExternalEndpoint,
        packet: bytes,
        address: str,
    ) -> None:
        if not listed:
            self.unroutable += 1
            return
        self.sprayed += 1
        member = listed[int(self._randomness.random() * len(listed))]
        self._network.carry(
            source, member.host, member.vm.handle_edge, packet, address
        )


class MemoryPacketSender(PacketSender):
    """Sends the packets of one entry VM through the fabric."""

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
        """Send a packet to its caller through the fabric."""
        self._fabric.carry_to_caller(self._host, packet)

    def send_to_peer(self, datagram: bytes, target: tuple[str, int]) -> None:
        """Send a relay datagram to another entry VM's relay address."""
        self._fabric.carry_to_relay(
            self._host, self._relay[0], datagram, target
        )
