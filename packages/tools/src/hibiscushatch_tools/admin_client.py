"""Client of the administration API of entry VMs, for the tools."""

import asyncio
import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any

import aiohttp

from hibiscushatch_core.settings import NodeSettings
from hibiscushatch_node.adapters import admin_api, keys

CALL_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class EntryCounters:
    """The counters of one entry VM.

    Attributes:
        by_reason: Counts by reason, for each counter that has reasons.
        totals: The counters that have no reasons.
    """

    by_reason: Mapping[str, Mapping[str, int]]
    totals: Mapping[str, int]


class AdminClient:
    """Calls the administration API of entry VMs."""

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def is_ready(self, settings: NodeSettings) -> bool:
        """Return whether an entry VM is ready; False if it is unreachable."""
        url = _url(settings, admin_api.READY_PATH)
        try:
            async with self._session.get(url) as response:
                return response.ok
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def fetch_generation(self, settings: NodeSettings) -> int:
        """Return the manifest generation in force; 0 if unreachable."""
        try:
            report = await self._get(settings, admin_api.REPORT_PATH)
        except (aiohttp.ClientError, TimeoutError):
            return 0
        return report['generation']

    async def fetch_counters(self, settings: NodeSettings) -> EntryCounters:
        """Fetch the counters of an entry VM."""
        fields = await self._get(settings, admin_api.COUNTERS_PATH)
        return EntryCounters(
            by_reason={
                name: counts
                for name, counts in fields.items()
                if isinstance(counts, dict)
            },
            totals={
                name: count
                for name, count in fields.items()
                if isinstance(count, int)
            },
        )

    async def wait_until_ready(self, fleet: Iterable[NodeSettings]) -> None:
        """Wait until all entry VMs of a fleet are ready."""
        for settings in fleet:
            while not await self.is_ready(settings):
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_for_generation(
        self, fleet: Iterable[NodeSettings], generation: int
    ) -> None:
        """Wait until all entry VMs of a fleet use a manifest generation.

        A later generation than the given one counts too.
        """
        for settings in fleet:
            while await self.fetch_generation(settings) < generation:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _get(self, settings: NodeSettings, path: str) -> Any:
        headers = keys.authorization_headers(settings.admin_keys)
        url = _url(settings, path)
        async with self._session.get(url, headers=headers) as response:
            response.raise_for_status()
            return await response.json()


def _url(settings: NodeSettings, path: str) -> str:
    admin = settings.admin
    return f'http://{admin.address}:{admin.port}{path}'
