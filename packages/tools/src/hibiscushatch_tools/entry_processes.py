"""Starting entry VMs and their helpers as real processes on loopback.

Only processes that were started here are ever signalled, by their process id.
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
    """One process that was started here.

    Args:
        name: What the process is, for messages.
        process: The running process.
    """

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self._process = process

    @property
    def pid(self) -> int:
        """Its process id."""
        return self._process.pid

    async def stop(self) -> int:
        """Send SIGTERM and wait; SIGKILL when that takes too long.

        Returns:
            The exit code.
        """
        self._signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self._process.wait()
        except TimeoutError:
            self._signal(signal.SIGKILL)
        return await self._process.wait()

    def _signal(self, number: signal.Signals) -> None:
        if self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)


class ProcessGroup:
    """All processes of one run.

    Attributes:
        folder: Where their settings and logs are written.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self._processes: list[ManagedProcess] = []

    async def start_module(
        self, name: str, module: str, arguments: Sequence[str]
    ) -> ManagedProcess:
        """Run a Python module as a process.

        Args:
            name: What it is; its log file is named after it.
            module: The module's full name.
            arguments: Its command line.

        Returns:
            The process.
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
        """Run an entry VM.

        Args:
            settings: Its settings.

        Returns:
            The process.
        """
        return await self.start_module(
            settings.name, ENTRY_VM_MODULE, self.write_settings(settings)
        )

    def write_settings(self, settings: NodeSettings) -> Sequence[str]:
        """Write the settings file of an entry VM.

        Args:
            settings: Its settings.

        Returns:
            The command line arguments that name the file.
        """
        path = self.folder / f'{settings.name}.json'
        path.write_text(settings.model_dump_json())
        return ('--settings', str(path))

    def log_path(self, name: str) -> pathlib.Path:
        """Name the file that a process logs to."""
        return self.folder / f'{name}.log'

    async def stop_all(self) -> None:
        """Stop whatever still runs."""
        await asyncio.gather(*(one.stop() for one in self._processes))


@contextlib.asynccontextmanager
async def process_group() -> AsyncIterator[ProcessGroup]:
    """Provide a process group that is stopped at the end of the block."""
    with tempfile.TemporaryDirectory(prefix='hibiscushatch-') as folder:
        group = ProcessGroup(pathlib.Path(folder))
        try:
            yield group
        finally:
            await asyncio.shield(group.stop_all())


def fleet_settings(
    net: LoopbackNet, domains: Sequence[str], count: int
) -> list[NodeSettings]:
    """Write the settings of a fleet that spans failure domains evenly.

    Args:
        net: Where the addresses come from.
        domains: Names of the failure domains.
        count: Number of entry VMs.

    Returns:
        Settings in which each VM knows all others.
    """
    peers = [
        _peer(net, index, domains[index % len(domains)])
        for index in range(count)
    ]
    return [_settings(net, peer, peers) for peer in peers]


def _peer(net: LoopbackNet, index: int, domain: str) -> PeerSettings:
    address = net.entry_address(index)
    return PeerSettings.model_validate(
        {
            'name': f'entry-{index + 1}',
            'domain': domain,
            'control': {'address': address, 'port': CONTROL_PORT},
            'relay': {'address': address, 'port': RELAY_PORT},
        }
    )


def _settings(
    net: LoopbackNet, own: PeerSettings, peers: Iterable[PeerSettings]
) -> NodeSettings:
    address = own.control.address
    endpoint = f'http://{net.platform_address}:{PLATFORM_PORT}'
    return NodeSettings.model_validate(
        {
            'name': own.name,
            'domain': own.domain,
            'edge': {'address': address, 'port': EDGE_PORT},
            'relay': own.relay,
            'control': own.control,
            'admin': {'address': address, 'port': ADMIN_PORT},
            'fabric': {'address': net.fabric_address, 'port': FABRIC_PORT},
            'platform': {'endpoints': [endpoint]},
            'peer_keys': [PEER_KEY],
            'admin_keys': [ADMIN_KEY],
            'seed_peers': [one for one in peers if one != own],
        }
    )
