"""Keeps the newest manifest in force, received from the platform or from peers.

A manifest is applied only if its generation is higher than the generation in
force, whichever source it comes from, so the configuration never reverts.
"""

import asyncio
import logging
from collections.abc import Callable

from hibiscushatch_core.documents import parse_document
from hibiscushatch_core.errors import InvalidDocumentError, PlatformError
from hibiscushatch_core.hashing import rank_by_rendezvous
from hibiscushatch_core.manifest import Manifest, build_manifest
from hibiscushatch_core.manifest_blob import (
    MANIFEST_KEY,
    VM_LIST_KEY,
    decode_manifest,
)
from hibiscushatch_core.ports import WatchEvent
from hibiscushatch_core.reasons import RetryReason
from hibiscushatch_core.vm_list import VmListEntry, build_list_entry
from hibiscushatch_node.membership import MemberState
from hibiscushatch_node.node_state import NodeState

READERS_PER_DOMAIN = 2
READER_CHECK_INTERVAL_S = 1.0

_log = logging.getLogger(__name__)


class ManifestKeeper:
    """Watches the platform, applies newer manifests and registers this VM."""

    def __init__(
        self,
        state: NodeState,
        on_manifest_applied: Callable[[Manifest], None],
        on_vm_listed: Callable[[VmListEntry], None],
    ) -> None:
        self._state = state
        self._settings = state.settings.platform
        self._platform = state.ports.platform
        self._on_manifest_applied = on_manifest_applied
        self._on_vm_listed = on_vm_listed

    def apply_if_newer(self, blob: bytes, source: str) -> bool:
        """Apply a manifest if it is newer than the manifest in force.

        Args:
            blob: The manifest as the platform stores it.
            source: Name of the peer or platform key that it comes from.

        Returns:
            True when the manifest was applied.
        """
        try:
            committed = decode_manifest(blob, source)
        except InvalidDocumentError as error:
            _log.warning('manifest refused: %s', error)
            return False
        if committed.document.generation <= self._state.generation:
            return False
        manifest = build_manifest(committed.document)
        self._state.committed = committed
        self._on_manifest_applied(manifest)
        return True

    async def run(self) -> None:
        """Watch the platform while this VM is a reader, until cancelled.

        In each failure domain READERS_PER_DOMAIN of the serving VMs are
        readers, and so is each VM that is joining or has no manifest yet. The
        other VMs receive new generations from their peers.
        """
        while True:
            if self._is_reader():
                await self._watch_while_reader()
            await asyncio.sleep(READER_CHECK_INTERVAL_S)

    def _is_reader(self) -> bool:
        membership = self._state.membership
        own = membership.own
        if self._state.manifest is None or own.state is MemberState.JOINING:
            return True
        names = [
            member.name
            for member in membership.serving()
            if member.domain == own.domain
        ]
        ranked = rank_by_rendezvous(names, 'platform readers')
        return own.name in ranked[:READERS_PER_DOMAIN]

    async def _watch_while_reader(self) -> None:
        watch = asyncio.create_task(self._watch())
        try:
            while self._is_reader():
                await asyncio.sleep(READER_CHECK_INTERVAL_S)
        finally:
            watch.cancel()
            await asyncio.gather(watch, return_exceptions=True)

    async def _watch(self) -> None:
        """Watch the manifest and the VM list until cancelled."""
        retry_delay_s = self._settings.retry_min_s
        while True:
            try:
                async for event in self._platform.watch_prefix(
                    self._settings.key_prefix
                ):
                    retry_delay_s = self._settings.retry_min_s
                    self._apply_event(event)
            except PlatformError:
                self._count_unavailable()
            jitter = self._state.ports.randomness.uniform(0.5, 1.5)
            await asyncio.sleep(retry_delay_s * jitter)
            retry_delay_s = min(retry_delay_s * 2, self._settings.retry_max_s)

    async def register(self) -> None:
        """Keep this VM on the platform's VM list under a lease."""
        ttl_s = self._settings.registration_ttl_s
        while True:
            try:
                await self._keep_registered(ttl_s)
            except PlatformError:
                self._count_unavailable()
            jitter = self._state.ports.randomness.uniform(0.5, 1.5)
            await asyncio.sleep(self._settings.retry_max_s * jitter)

    def _count_unavailable(self) -> None:
        reason = RetryReason.PLATFORM_UNAVAILABLE
        self._state.counters.retries[reason] += 1

    async def _keep_registered(self, ttl_s: float) -> None:
        lease_id = await self._platform.grant_lease(ttl_s)
        entry = build_list_entry(self._state.settings)
        key = f'{self._settings.key_prefix}{VM_LIST_KEY}{entry.name}'
        await self._platform.put_with_lease(
            key, entry.model_dump_json().encode(), lease_id
        )
        alive = True
        while alive:
            await asyncio.sleep(ttl_s / 3)
            alive = await self._platform.keep_lease_alive(lease_id)

    def _apply_event(self, event: WatchEvent) -> None:
        relative_key = event.key.removeprefix(self._settings.key_prefix)
        if event.value is None:
            return
        if relative_key == MANIFEST_KEY:
            self.apply_if_newer(event.value, event.key)
        elif relative_key.startswith(VM_LIST_KEY):
            self._apply_vm_list_entry(event.key, event.value)

    def _apply_vm_list_entry(self, key: str, text: bytes) -> None:
        try:
            entry = parse_document(VmListEntry, text, key)
        except InvalidDocumentError as error:
            _log.warning('VM list entry refused: %s', error)
            return
        self._on_vm_listed(entry)
