"""A fleet of entry VMs in memory, without callers, under virtual time.

The entry VMs are real; network, platform and clock are stand-ins, so the
processor time holds no system calls of sockets.
"""

import asyncio
import dataclasses
import ipaddress
import random
import time
from collections.abc import Callable
from typing import TypeVar

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.manifest_blob import MANIFEST_KEY, encode_manifest
from hibiscushatch_core.manifest_document import ManifestDocument
from hibiscushatch_core.ports import PacketSender
from hibiscushatch_core.settings import (
    NodeSettings,
    PlatformSettings,
    SocketAddress,
)
from hibiscushatch_node.entry_vm import EntryVm, EntryVmPorts
from hibiscushatch_tools.capacity_fixtures import domain_name, vm_name
from hibiscushatch_tools.host_loop import Host
from hibiscushatch_tools.memory_network import (
    MemoryNetwork,
    MemoryPeerTransport,
    NetworkSettings,
)
from hibiscushatch_tools.memory_platform import MemoryPlatform
from hibiscushatch_tools.platform_store import PlatformStore

ResultT = TypeVar('ResultT')
FIRST_ADDRESS = ipaddress.IPv4Address('10.1.0.1')
FABRIC_ADDRESS = '10.3.0.1'
EDGE_PORT = 6635
RELAY_PORT = 6636
CONTROL_PORT = 6637
ADMIN_PORT = 6638
KEY = 'a-key-that-all-peers-share'


class DiscardingSender(PacketSender):
    """Sends no packet anywhere."""

    def send_to_upstream(self, packet: bytes, target: tuple[str, int]) -> None:
        """Discard a packet to an upstream."""

    def send_to_caller(self, packet: bytes) -> None:
        """Discard a packet to a caller."""

    def send_to_peer(self, datagram: bytes, target: tuple[str, int]) -> None:
        """Discard a datagram to another entry VM."""


class CountingStore(PlatformStore):
    """A store that tells writes from reads.

    Attributes:
        writes: Calls that write, renewals of leases included.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__(clock)
        self.writes = 0

    @property
    def reads(self) -> int:
        """Calls that read, watches included."""
        return self.calls - self.writes

    async def answer_write(self, operation: Callable[[], ResultT]) -> ResultT:
        """Run a write with the faults that are set, and count it."""
        self.writes += 1
        return await super().answer_write(operation)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetUsage:
    """What a fleet has used so far.

    Attributes:
        at_s: Virtual time in seconds.
        cpu_s: Processor time of the whole fleet in seconds.
        sent_bytes: Control bytes sent by all.
        reads: Reads of the platform.
        writes: Writes to the platform.
    """

    at_s: float
    cpu_s: float
    sent_bytes: int
    reads: int
    writes: int

    def since(self, before: 'FleetUsage') -> 'FleetUsage':
        """Return what was used since an earlier reading."""
        return FleetUsage(
            self.at_s - before.at_s,
            self.cpu_s - before.cpu_s,
            self.sent_bytes - before.sent_bytes,
            self.reads - before.reads,
            self.writes - before.writes,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class FleetMember:
    """An entry VM with its machine."""

    host: Host
    vm: EntryVm


class MemoryFleet:
    """Entry VMs that are started, killed and replaced.

    Attributes:
        store: The platform.
        network: The network between them.
    """

    def __init__(self, seed: int = 1) -> None:
        loop = asyncio.get_running_loop()
        self.store = CountingStore(loop.time)
        self._randomness = random.Random(seed)
        self.network = MemoryNetwork(NetworkSettings(), self._randomness)
        self._clock = loop.time
        self._started: list[FleetMember] = []
        self._members: dict[int, FleetMember] = {}

    @property
    def serving(self) -> int:
        """How many entry VMs are ready."""
        return sum(one.vm.report().ready for one in self._members.values())

    def member(self, number: int) -> FleetMember:
        """Return an entry VM by its number."""
        return self._members[number]

    def commit(self, document: ManifestDocument) -> None:
        """Write a manifest to the platform."""
        prefix = PlatformSettings(endpoints=['memory']).key_prefix
        blob = encode_manifest(document, f'commit-{document.generation}')
        self.store.put(f'{prefix}{MANIFEST_KEY}', blob)

    async def start(self, number: int) -> None:
        """Start an entry VM, also one that ran before."""
        host = Host(vm_name(number), domain_name(number))
        settings = fleet_settings(number)
        counters = Counters()
        ports = EntryVmPorts(
            sender=DiscardingSender(),
            platform=MemoryPlatform(self.store, settings.platform, counters),
            transport=MemoryPeerTransport(
                self.network, host, settings.control.pair
            ),
            clock=self._clock,
            randomness=random.Random(self._randomness.getrandbits(64)),
            counters=counters,
            incarnation=len(self._started) + 1,
        )
        member = FleetMember(host, EntryVm(settings, ports))
        self._started.append(member)
        self._members[number] = member
        await host.start(member.vm.start())

    async def stop(self, number: int) -> None:
        """Stop an entry VM by plan."""
        member = self._members[number]
        await asyncio.wait((member.host.start(member.vm.stop()),))
        member.host.kill()

    async def wait_serving(self, count: int, limit_s: float) -> float:
        """Wait until so many entry VMs are ready.

        Args:
            count: How many.
            limit_s: Most seconds to wait.

        Returns:
            Seconds that it took.
        """
        began_s = self._clock()
        while self.serving < count and self._clock() - began_s < limit_s:
            await asyncio.sleep(0.1)
        return self._clock() - began_s

    def usage(self) -> FleetUsage:
        """Read what was used so far."""
        return FleetUsage(
            self._clock(),
            time.process_time(),
            self.network.control_bytes.total(),
            self.store.reads,
            self.store.writes,
        )

    def close(self) -> None:
        """End everything that runs."""
        for one in self._started:
            one.host.end()


def fleet_settings(number: int) -> NodeSettings:
    """Build the settings of an entry VM by its number."""
    address = str(FIRST_ADDRESS + number)
    return NodeSettings(
        name=vm_name(number),
        domain=domain_name(number),
        edge=_at(address, EDGE_PORT),
        relay=_at(address, RELAY_PORT),
        control=_at(address, CONTROL_PORT),
        admin=_at(address, ADMIN_PORT),
        fabric=_at(FABRIC_ADDRESS, EDGE_PORT),
        platform=PlatformSettings(endpoints=['memory']),
        peer_keys=[KEY],
        admin_keys=[KEY],
    )


def _at(address: str, port: int) -> SocketAddress:
    return SocketAddress.model_validate({'address': address, 'port': port})
