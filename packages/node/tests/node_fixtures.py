"""Fixtures for tests with a single entry VM in virtual time."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator

import dpkt

from hibiscushatch_core import manifest_blob
from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import PeerError
from hibiscushatch_core.manifest_document import ManifestDocument
from hibiscushatch_core.ports import (
    PacketSender,
    PeerAcceptor,
    PeerChannel,
    PeerTransport,
)
from hibiscushatch_core.settings import NodeSettings
from hibiscushatch_node.entry_vm import EntryVm, EntryVmPorts
from hibiscushatch_tools.memory_platform import MemoryPlatform
from hibiscushatch_tools.platform_store import PlatformStore

FABRIC = '127.9.0.1'
CALLER = bytes((10, 9, 0, 1))
SERVICE = bytes((10, 0, 0, 1))
CALLER_PORT = 40000
SERVICE_PORT = 443
STARTUP_S = 5.0
KEY = 'k' * 16
UPSTREAMS = ('booking-1', 'booking-2', 'booking-3')


@dataclasses.dataclass
class RecordingSender(PacketSender):
    """Records the packets that the entry VM sends.

    Attributes:
        to_upstreams: Packets to upstreams, each with the upstream's address.
        to_callers: Packets to callers.
    """

    to_upstreams: list[tuple[str, dpkt.ip.IP]] = dataclasses.field(
        default_factory=list
    )
    to_callers: list[dpkt.ip.IP] = dataclasses.field(default_factory=list)

    def send_to_upstream(self, packet: bytes, target: tuple[str, int]) -> None:
        """Record a packet to an upstream."""
        self.to_upstreams.append((target[0], dpkt.ip.IP(packet)))

    def send_to_caller(self, packet: bytes) -> None:
        """Record a packet to a caller."""
        self.to_callers.append(dpkt.ip.IP(packet))

    def send_to_peer(self, datagram: bytes, target: tuple[str, int]) -> None:
        """Discard a datagram, because there are no peers."""


class IsolatedTransport(PeerTransport):
    """Reaches no other entry VM, but can accept connections from a test."""

    def __init__(self) -> None:
        self.acceptor: PeerAcceptor | None = None

    async def connect(self, target: tuple[str, int]) -> PeerChannel:
        """Raise an error, since no other entry VM listens."""
        raise PeerError('connect', str(target), 'nobody listens')

    async def listen(self, acceptor: PeerAcceptor) -> None:
        """Store the function that accepts connections."""
        self.acceptor = acceptor

    async def close(self) -> None:
        """Do nothing."""


@dataclasses.dataclass(frozen=True)
class SingleVmHarness:
    """A running entry VM, its recording sender and its transport."""

    vm: EntryVm
    sender: RecordingSender
    transport: IsolatedTransport

    async def connect_peer(self, channel: PeerChannel) -> None:
        """Connect as another VM and wait until the connection has ended."""
        assert self.transport.acceptor is not None
        await self.transport.acceptor(channel)

    def failed_tasks(self) -> list[str]:
        """Return the names of the VM's tasks that ended while it runs."""
        return [
            task.get_name()
            for task in self.vm._tasks
            if task.done() and not task.cancelled()
        ]

    def from_caller(self, flags: int, payload: bytes = b'') -> None:
        """Pass a packet from the caller to the VM."""
        packet = _packet(
            CALLER, SERVICE, (CALLER_PORT, SERVICE_PORT), flags, payload
        )
        self.vm.handle_edge(packet, FABRIC)

    def from_upstream(self, address: str, flags: int) -> None:
        """Pass a reply from an upstream to the VM."""
        packet = _packet(
            SERVICE, CALLER, (SERVICE_PORT, CALLER_PORT), flags, b''
        )
        self.vm.handle_edge(packet, address)

    def last_upstream(self) -> str:
        """Return the address of the upstream that got the last packet."""
        return self.sender.to_upstreams[-1][0]


@contextlib.asynccontextmanager
async def single_vm() -> AsyncIterator[SingleVmHarness]:
    """Run an entry VM that has a manifest but no peers."""
    loop = asyncio.get_running_loop()
    store = PlatformStore(loop.time)
    settings = _settings()
    counters = Counters()
    platform = MemoryPlatform(store, settings.platform, counters)
    key = f'{settings.platform.key_prefix}{manifest_blob.MANIFEST_KEY}'
    blob = manifest_blob.encode_manifest(_manifest(), 'commit-1')
    await platform.compare_and_swap(key, 0, blob)
    sender = RecordingSender()
    transport = IsolatedTransport()
    ports = EntryVmPorts(
        sender=sender,
        platform=platform,
        transport=transport,
        clock=loop.time,
        randomness=random.Random(1),
        counters=counters,
        incarnation=1,
    )
    vm = EntryVm(settings, ports)
    await vm.start()
    await asyncio.sleep(STARTUP_S)
    try:
        yield SingleVmHarness(vm, sender, transport)
    finally:
        await vm.stop()


async def pass_time(seconds: float) -> None:
    """Run the VM's tasks for some virtual time, in seconds."""
    await asyncio.sleep(seconds)


def _packet(
    source: bytes,
    destination: bytes,
    ports: tuple[int, int],
    flags: int,
    payload: bytes,
) -> bytes:
    segment = dpkt.tcp.TCP(
        sport=ports[0],
        dport=ports[1],
        seq=100,
        ack=200,
        flags=flags,
        data=payload,
    )
    packet = dpkt.ip.IP(src=source, dst=destination, p=6, data=segment)
    packet.len = len(packet)
    return bytes(packet)


def _settings() -> NodeSettings:
    return NodeSettings.model_validate(
        {
            'name': 'vm-1',
            'domain': 'pos-a',
            'edge': _address(1),
            'relay': _address(2),
            'control': _address(3),
            'admin': _address(4),
            'fabric': {'address': FABRIC, 'port': 1},
            'platform': {'endpoints': ['http://127.0.0.1:1']},
            'peer_keys': [KEY],
            'admin_keys': [KEY],
        }
    )


def _address(port: int) -> dict[str, object]:
    return {'address': '127.0.0.1', 'port': port}


def _manifest() -> ManifestDocument:
    upstreams = [
        {
            'name': name,
            'domain': 'pos-a',
            'address': f'127.2.0.{index}',
            'connections': 100,
            'cold_allowance': 10,
        }
        for index, name in enumerate(UPSTREAMS, start=1)
    ]
    documents = {
        'name': 'documents-1',
        'domain': 'pos-a',
        'address': '127.2.0.9',
        'connections': 100,
        'cold_allowance': 10,
    }
    return ManifestDocument.model_validate(
        {
            'generation': 1,
            'failure_domains': [{'name': 'pos-a'}],
            'services': [
                {
                    'name': 'booking',
                    'address': '10.0.0.1',
                    'port': SERVICE_PORT,
                    'connect_retry_s': 1,
                    'connect_deadline_s': 5,
                    'upstreams': upstreams,
                },
                {
                    'name': 'documents',
                    'address': '10.0.0.2',
                    'port': SERVICE_PORT,
                    'upstreams': [documents],
                },
            ],
        }
    )
