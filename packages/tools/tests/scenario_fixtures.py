"""Fixtures for the tests of scenarios: a stateless entry VM."""

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
WATCH_RETRY_INTERVAL_S = 0.5


class HashingVm:
    """A stateless entry VM that places flows by rendezvous hashing."""

    def __init__(self, settings: NodeSettings, ports: EntryVmPorts) -> None:
        self.counters = Counters()
        self._settings = settings
        self._ports = ports
        self._manifest: Manifest | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start watching the manifest."""
        self._task = asyncio.create_task(self._watch_manifest())

    async def stop(self) -> None:
        """Stop watching the manifest."""
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
            upstream.name: upstream
            for upstream in service.upstreams
            if self._manifest.accepts_new_flows(upstream.name)
        }
        flow = f'{headers.source}:{headers.source_port}'
        chosen = hashing.rank_by_rendezvous(upstreams, flow)[0]
        self._ports.sender.send_to_upstream(
            packet, upstreams[chosen].tunnel_address
        )

    def handle_relay(self, datagram: bytes, sender_address: str) -> None:
        """Do nothing; entry VMs of this kind relay no packets."""

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

    async def _watch_manifest(self) -> None:
        prefix = self._settings.platform.key_prefix
        while True:
            with contextlib.suppress(PlatformUnavailableError):
                async for event in self._ports.platform.watch_prefix(prefix):
                    self._apply_manifest(event.value)
            await asyncio.sleep(WATCH_RETRY_INTERVAL_S)

    def _apply_manifest(self, blob: bytes | None) -> None:
        committed = manifest_blob.decode_manifest(blob, 'test')
        self._manifest = build_manifest(committed.document)


@contextlib.contextmanager
def scenario_file(*lines: str) -> Iterator[pathlib.Path]:
    """Write a temporary scenario file that includes the tobago topology."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, 'case.scenario')
        content = (f'include {SCENARIOS}/tobago.topology', *lines)
        path.write_text('\n'.join(content))
        yield path
