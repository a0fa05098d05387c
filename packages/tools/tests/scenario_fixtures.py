"""Fixtures for the tests of scenarios: an entry VM of the simplest kind."""

import asyncio
import contextlib
import pathlib
import tempfile
from collections.abc import Iterator

from hibiscushatch_core import hashing, manifest_blob, packets
from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import PlatformUnavailableError
from hibiscushatch_core.manifest import Manifest, build_manifest
from hibiscushatch_core.report import NodeReport
from hibiscushatch_core.settings import NodeSettings
from hibiscushatch_node.entry_vm import EntryVmPorts

REPOSITORY = pathlib.Path(__file__).parents[3]
SCENARIOS = REPOSITORY / 'scenarios'
RETRY_S = 0.5


class HashingVm:
    """Places each flow by rendezvous hashing and keeps no state."""

    def __init__(self, settings: NodeSettings, ports: EntryVmPorts) -> None:
        self.counters = Counters()
        self._settings = settings
        self._ports = ports
        self._manifest: Manifest | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Watch the manifest."""
        self._task = asyncio.create_task(self._watch())

    async def stop(self) -> None:
        """Stop watching."""
        self._task.cancel()

    def handle_edge(self, packet: bytes, sender_address: str) -> None:
        """Send a caller's packet to its upstream, a reply to its caller."""
        self.counters.packets_in += 1
        headers = packets.read_headers(packet)
        if sender_address != str(self._settings.fabric.address):
            self._ports.sender.send_to_caller(packet)
            return
        key = (headers.destination, headers.destination_port, headers.protocol)
        service = self._manifest.services_by_key[key]
        upstreams = {
            one.name: one
            for one in service.upstreams
            if self._manifest.accepts_new_flows(one.name)
        }
        flow = f'{headers.source}:{headers.source_port}'
        first = hashing.rank_by_rendezvous(upstreams, flow)[0]
        self._ports.sender.send_to_upstream(
            packet, upstreams[first].tunnel_address
        )

    def handle_relay(self, datagram: bytes, sender_address: str) -> None:
        """Get nothing from other entry VMs."""

    def report(self) -> NodeReport:
        """Describe the state of this entry VM."""
        generation = self._manifest.generation if self._manifest else 0
        return NodeReport(
            name=self._settings.name,
            domain=self._settings.domain,
            state='serving',
            ready=bool(generation),
            generation=generation,
            commit_id='',
            members=(),
            services=(),
        )

    async def _watch(self) -> None:
        prefix = self._settings.platform.key_prefix
        while True:
            with contextlib.suppress(PlatformUnavailableError):
                async for event in self._ports.platform.watch_prefix(prefix):
                    self._apply(event.value)
            await asyncio.sleep(RETRY_S)

    def _apply(self, blob: bytes | None) -> None:
        committed = manifest_blob.decode_manifest(blob, 'test')
        self._manifest = build_manifest(committed.document)


@contextlib.contextmanager
def scenario_file(*lines: str) -> Iterator[pathlib.Path]:
    """Write a scenario file beside the committed topologies."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, 'case.scenario')
        included = (f'include {SCENARIOS}/tobago.topology', *lines)
        path.write_text('\n'.join(included))
        yield path
