"""Settings, ports and tables that the parts of an entry VM share."""

import dataclasses
import random
from collections.abc import Callable

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.manifest import Manifest
from hibiscushatch_core.manifest_blob import CommittedManifest
from hibiscushatch_core.ports import PacketSender, PeerTransport, Platform
from hibiscushatch_core.settings import NodeSettings
from hibiscushatch_node.bucket_table import BucketTable
from hibiscushatch_node.flow_table import FlowTable
from hibiscushatch_node.membership import Membership, initial_member
from hibiscushatch_node.ownership import Ownership
from hibiscushatch_node.upstream_directory import UpstreamDirectory


@dataclasses.dataclass(frozen=True, slots=True)
class EntryVmPorts:
    """The interfaces between an entry VM and its environment.

    Attributes:
        sender: Sends inner packets.
        platform: The platform's key-value service.
        transport: Connections to other entry VMs.
        clock: Returns the monotonic time in seconds.
        randomness: Source of random numbers, for example for jitter.
        counters: Counters of this entry VM, which the adapters also update.
        incarnation: Number that is higher than at any earlier start of an
            entry VM with this name.
    """

    sender: PacketSender
    platform: Platform
    transport: PeerTransport
    clock: Callable[[], float]
    randomness: random.Random
    counters: Counters
    incarnation: int


class NodeState:
    """The settings, ports and tables of one entry VM."""

    def __init__(self, settings: NodeSettings, ports: EntryVmPorts) -> None:
        self.settings = settings
        self.ports = ports
        self.counters = ports.counters
        self.table = BucketTable()
        self.flows = FlowTable()
        self.directory = UpstreamDirectory()
        self.membership = Membership(
            initial_member(settings, ports.incarnation)
        )
        self.ownership = Ownership(self.membership, self.table, self.directory)
        self.committed: CommittedManifest | None = None
        self.manifest: Manifest | None = None

    @property
    def name(self) -> str:
        """Name of this entry VM."""
        return self.settings.name

    @property
    def generation(self) -> int:
        """The manifest generation in force; 0 when there is none."""
        return self.manifest.generation if self.manifest else 0

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.ports.clock()

    def owns(self, service: str, index: int) -> bool:
        """Return whether this VM owns a bucket."""
        return self.ownership.owners(service, index).owner == self.name
