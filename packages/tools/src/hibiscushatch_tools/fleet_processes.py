"""Runs a fleet of entry VM processes and the platform stand-in."""

import asyncio
import contextlib
import uuid
from collections.abc import Sequence

import yarl

from hibiscushatch_core.commit import CommitLimits, commit_manifest
from hibiscushatch_core.counters import Counters
from hibiscushatch_core.manifest_document import ManifestDocument
from hibiscushatch_core.settings import NodeSettings
from hibiscushatch_node.adapters.etcd import EtcdPlatform
from hibiscushatch_tools.admin_client import AdminClient
from hibiscushatch_tools.entry_processes import ManagedProcess, ProcessGroup

PLATFORM_MODULE = 'hibiscushatch_tools.platform_server'
POLL_INTERVAL_S = 0.05
START_TIMEOUT_S = 30.0


class FleetProcesses:
    """Entry VMs that run as processes.

    Args:
        group: Starts and stops the processes.
        settings: Settings of the entry VMs.
        admin: Queries the state of the entry VMs.
    """

    def __init__(
        self,
        group: ProcessGroup,
        settings: Sequence[NodeSettings],
        admin: AdminClient,
    ) -> None:
        self._group = group
        self._settings = settings
        self._admin = admin
        self._platform = EtcdPlatform(settings[0].platform, Counters())
        self._processes: list[ManagedProcess] = []

    @property
    def settings(self) -> Sequence[NodeSettings]:
        """The settings of the entry VMs."""
        return self._settings

    async def start(self, manifest: ManifestDocument) -> None:
        """Start the platform and all entry VMs, and wait until they are ready.

        Args:
            manifest: The manifest that is committed first.
        """
        await self._start_platform()
        await self.commit(manifest)
        for settings in self._settings:
            process = await self._group.start_entry_vm(settings)
            self._processes.append(process)
        async with asyncio.timeout(START_TIMEOUT_S):
            await self._admin.wait_until_ready(self._settings)

    async def commit(self, manifest: ManifestDocument) -> None:
        """Commit a manifest to the platform."""
        await commit_manifest(
            self._platform,
            self._settings[0].platform.key_prefix,
            manifest,
            uuid.uuid4().hex,
            CommitLimits(deadline_s=START_TIMEOUT_S),
        )

    async def stop_vm(self, index: int) -> int:
        """Stop an entry VM gracefully.

        Args:
            index: Index of the entry VM in the settings.

        Returns:
            The exit code.
        """
        return await self._processes[index].stop()

    async def start_vm(self, index: int) -> None:
        """Start a stopped entry VM again and wait until it is ready.

        Args:
            index: Index of the entry VM in the settings.
        """
        settings = self._settings[index]
        self._processes[index] = await self._group.start_entry_vm(settings)
        await self._admin.wait_until_ready([settings])

    async def close(self) -> None:
        """Close connections; the process group stops the processes."""
        await self._platform.close()

    async def _start_platform(self) -> None:
        platform = self._settings[0].platform
        endpoint = yarl.URL(platform.endpoints[0])
        await self._group.start_module(
            'platform',
            PLATFORM_MODULE,
            ['--address', endpoint.host, '--port', str(endpoint.port)],
        )
        await _wait_until_listening(endpoint.host, endpoint.port)


async def _wait_until_listening(address: str, port: int) -> None:
    while True:
        with contextlib.suppress(ConnectionError):
            _, writer = await asyncio.open_connection(address, port)
            writer.close()
            return
        await asyncio.sleep(POLL_INTERVAL_S)
