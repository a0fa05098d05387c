"""One entry VM: its decisions wired together behind the ports.

The adapters call ``handle_edge`` and ``handle_relay`` with each datagram; all
that leaves goes through the ports it was given.
"""

import dataclasses
import random
from collections.abc import Callable

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.ports import PacketSender, PeerTransport, Platform
from hibiscushatch_core.report import BucketReport, NodeReport
from hibiscushatch_core.settings import NodeSettings


@dataclasses.dataclass(frozen=True, slots=True)
class EntryVmPorts:
    """Everything that an entry VM reaches the outside through.

    Attributes:
        sender: Sends inner packets.
        platform: The platform's key-value service.
        transport: Connections to other entry VMs.
        clock: Monotonic time in seconds.
        randomness: Source of jitter.
        counters: What is counted; the adapters count into it too.
        incarnation: Higher than at any earlier start under this name.
    """

    sender: PacketSender
    platform: Platform
    transport: PeerTransport
    clock: Callable[[], float]
    randomness: random.Random
    counters: Counters
    incarnation: int


class EntryVm:
    """One entry VM."""

    def __init__(self, settings: NodeSettings, ports: EntryVmPorts) -> None:
        self._settings = settings
        self._ports = ports
        self.counters = ports.counters

    async def start(self) -> None:
        """Begin to watch the manifest and to talk to peers."""

    async def stop(self) -> None:
        """Hand over what is owned, then stop all tasks."""

    def handle_edge(self, packet: bytes, sender_address: str) -> None:
        """Route a packet from the fabric or an upstream.

        Args:
            packet: The inner packet.
            sender_address: Source IPv4 address of the datagram, dotted.
        """

    def handle_relay(self, datagram: bytes, sender_address: str) -> None:
        """Route a datagram from another entry VM's relay socket.

        Args:
            datagram: A relay header and an inner packet.
            sender_address: Source IPv4 address of the datagram, dotted.
        """

    def report(self) -> NodeReport:
        """Describe the state of this entry VM."""
        raise NotImplementedError

    def bucket_reports(self, service_name: str) -> tuple[BucketReport, ...]:
        """Describe the buckets of a service; empty when it is unknown."""
        raise NotImplementedError
