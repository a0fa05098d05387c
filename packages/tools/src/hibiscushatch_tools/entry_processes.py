"""Runs entry VMs and the programs that they need as processes on loopback.

Signals are sent only to processes that this module started, by process id.
"""

import asyncio
import contextlib
import pathlib
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Iterable, Sequence

from hibiscushatch_core.settings import NodeSettings, PeerSettings
from hibiscushatch_tools.loopback_net import LoopbackNet

ENTRY_VM_MODULE = 'hibiscushatch_node.main'
PEER_KEY = 'demo-peer-key-0123456789'
ADMIN_KEY = 'demo-admin-key-0123456789'
EDGE_PORT = 6635
RELAY_PORT = 6636
CONTROL_PORT = 6637
ADMIN_PORT = 6638
FABRIC_PORT = 6639
PLATFORM_PORT = 2379
STOP_TIMEOUT_S = 10.0


class ManagedProcess:
    """A process that this module started.

    Args:
        name: Name of the process, for messages.
        process: The running process.
    """

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self._process = process

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    async def stop(self) -> int:
        """Send SIGTERM and wait; send SIGKILL after STOP_TIMEOUT_S.

        Returns:
            The exit code.
        """
        self._send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self._process.wait()
        except TimeoutError:
            self._send_signal(signal.SIGKILL)
        return await self._process.wait()

    def _send_signal(self, signal_number: signal.Signals) -> None:
        if self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal_number)


class ProcessGroup:
    """All processes of one run.

    Attributes:
        folder: Folder for the settings and logs of the processes.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self._processes: list[ManagedProcess] = []

    async def start_module(
        self, name: str, module: str, arguments: Sequence[str]
    ) -> ManagedProcess:
        """Run a Python module as a process.

        Args:
            name: Name of the process; its log file is named after it.
            module: Full name of the module.
            arguments: Command line arguments.

        Returns:
            The running process.
        """
        with self.log_path(name).open('ab') as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                module,
                *arguments,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        managed = ManagedProcess(name, process)
        self._processes.append(managed)
        return managed

    async def start_entry_vm(self, settings: NodeSettings) -> ManagedProcess:
        """Run an entry VM as a process.

        Args:
            settings: Settings of the entry VM.

        Returns:
            The running process.
        """
        return await self.start_module(
            settings.name, ENTRY_VM_MODULE, self.write_settings(settings)
        )

    def write_settings(self, settings: NodeSettings) -> Sequence[str]:
        """Write the settings file of an entry VM.

        Args:
            settings: Settings of the entry VM.

        Returns:
            The command line arguments that name the file.
        """
        path = self.folder / f'{settings.name}.json'
        path.write_text(settings.model_dump_json())
        return ('--settings', str(path))

    def log_path(self, name: str) -> pathlib.Path:
        """Return the path of the log file of a process."""
        return self.folder / f'{name}.log'

    async def stop_all(self) -> None:
        """Stop all processes that are still running."""
        await asyncio.gather(*(process.stop() for process in self._processes))


@contextlib.asynccontextmanager
async def process_group() -> AsyncIterator[ProcessGroup]:
    """Provide a process group that is stopped at the end of the block."""
    with tempfile.TemporaryDirectory(prefix='hibiscushatch-') as folder:
        group = ProcessGroup(pathlib.Path(folder))
        try:
            yield group
        finally:
            await asyncio.shield(group.stop_all())


def build_fleet_settings(
    net: LoopbackNet, domains: Sequence[str], count: int
) -> list[NodeSettings]:
    """Build the settings of a fleet, spread evenly over failure domains.

    Args:
        net: Provides the loopback addresses.
        domains: Names of the failure domains.
        count: Number of entry VMs.

    Returns:
        Settings in which each entry VM has all others as seed peers.
    """
    peers = [
        _peer_settings(net, index, domains[index % len(domains)])
        for index in range(count)
    ]
    return [_node_settings(net, peer, peers) for peer in peers]


def _peer_settings(net: LoopbackNet, index: int, domain: str) -> PeerSettings:
    address = net.entry_address(index)
    return PeerSettings.model_validate(
        {
            'name': f'entry-{index + 1}',
            'domain': domain,
            'control': {'address': address, 'port': CONTROL_PORT},
            'relay': {'address': address, 'port': RELAY_PORT},
        }
    )


def _node_settings(
    net: LoopbackNet, own_peer: PeerSettings, peers: Iterable[PeerSettings]
) -> NodeSettings:
    address = own_peer.control.address
    endpoint = f'http://{net.platform_address}:{PLATFORM_PORT}'
    return NodeSettings.model_validate(
        {
            'name': own_peer.name,
            'domain': own_peer.domain,
            'edge': {'address': address, 'port': EDGE_PORT},
            'relay': own_peer.relay,
            'control': own_peer.control,
            'admin': {'address': address, 'port': ADMIN_PORT},
            'fabric': {'address': net.fabric_address, 'port': FABRIC_PORT},
            'platform': {'endpoints': [endpoint]},
            'peer_keys': [PEER_KEY],
            'admin_keys': [ADMIN_KEY],
            'seed_peers': [peer for peer in peers if peer != own_peer],
        }
    )
