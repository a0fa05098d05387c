"""A fleet of entry VM processes with the platform stand-in beside it."""

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
START_LIMIT_S = 30.0


class FleetProcesses:
    """Entry VMs that run as processes.

    Args:
        group: Starts and stops the processes.
        fleet: Settings of the entry VMs.
        admin: Asks them for their state.
    """

    def __init__(
        self,
        group: ProcessGroup,
        fleet: Sequence[NodeSettings],
        admin: AdminClient,
    ) -> None:
        self._group = group
        self._fleet = fleet
        self._admin = admin
        self._platform = EtcdPlatform(fleet[0].platform, Counters())
        self._processes: list[ManagedProcess] = []

    @property
    def settings(self) -> Sequence[NodeSettings]:
        """The settings of the entry VMs."""
        return self._fleet

    async def start(self, manifest: ManifestDocument) -> None:
        """Start the platform and all entry VMs, and wait until they serve.

        Args:
            manifest: The manifest to begin with.
        """
        await self._start_platform()
        await self.commit(manifest)
        for settings in self._fleet:
            process = await self._group.start_entry_vm(settings)
            self._processes.append(process)
        async with asyncio.timeout(START_LIMIT_S):
            await self._admin.wait_until_ready(self._fleet)

    async def commit(self, manifest: ManifestDocument) -> None:
        """Write a manifest to the platform."""
        await commit_manifest(
            self._platform,
            self._fleet[0].platform.key_prefix,
            manifest,
            uuid.uuid4().hex,
            CommitLimits(deadline_s=START_LIMIT_S),
        )

    async def stop_one(self, index: int) -> int:
        """Stop an entry VM gracefully.

        Args:
            index: Its place in the settings.

        Returns:
            Its exit code.
        """
        return await self._processes[index].stop()

    async def start_one(self, index: int) -> None:
        """Start an entry VM again and wait until it serves.

        Args:
            index: Its place in the settings.
        """
        settings = self._fleet[index]
        self._processes[index] = await self._group.start_entry_vm(settings)
        await self._admin.wait_until_ready([settings])

    async def close(self) -> None:
        """Release connections; the group stops the processes."""
        await self._platform.close()

    async def _start_platform(self) -> None:
        platform = self._fleet[0].platform
        endpoint = yarl.URL(platform.endpoints[0])
        await self._group.start_module(
            'platform',
            PLATFORM_MODULE,
            ['--address', endpoint.host, '--port', str(endpoint.port)],
        )
        await _wait_listening(endpoint.host, endpoint.port)


async def _wait_listening(address: str, port: int) -> None:
    while True:
        with contextlib.suppress(ConnectionError):
            _, writer = await asyncio.open_connection(address, port)
            writer.close()
            return
        await asyncio.sleep(POLL_INTERVAL_S)
