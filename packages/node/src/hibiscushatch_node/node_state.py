"""What the parts of one entry VM share: settings, ports and tables."""

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


class NodeState:
    """The tables of one entry VM."""

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
        """This VM's name."""
        return self.settings.name

    @property
    def generation(self) -> int:
        """The manifest generation in force; 0 when there is none."""
        return self.manifest.generation if self.manifest else 0

    def now(self) -> float:
        """Return the time in seconds."""
        return self.ports.clock()

    def owns(self, service: str, index: int) -> bool:
        """Tell whether this VM owns a bucket."""
        return self.ownership.owners(service, index).owner == self.name
