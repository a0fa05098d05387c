"""The platform port over a store in the same process, for virtual time.

Each client has its own adapter, so that one client can be cut off from the
platform while others still reach it.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Coroutine
from functools import partial
from typing import Any, TypeVar

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import (
    LeaseLapsedError,
    PlatformUnavailableError,
)
from hibiscushatch_core.ports import Platform, StoredValue, WatchEvent
from hibiscushatch_core.settings import PlatformSettings
from hibiscushatch_tools.platform_store import (
    LeaseNotFoundError,
    NoAnswerError,
    PlatformStore,
)

ResultT = TypeVar('ResultT')
PEER_NAME = 'memory platform'


class MemoryPlatform(Platform):
    """One client of a shared store.

    Args:
        store: The shared store.
        settings: Deadlines; the endpoints are not used.
        counters: Counts each call.

    Attributes:
        cut_off: Whether this client is disconnected from the store. Its calls
            and watches then time out.
    """

    def __init__(
        self,
        store: PlatformStore,
        settings: PlatformSettings,
        counters: Counters,
    ) -> None:
        self.cut_off = False
        self._store = store
        self._settings = settings
        self._counters = counters

    async def get(self, key: str) -> StoredValue | None:
        """Read one key."""
        snapshot = await self._read('read key', self._store.read_key, key)
        return next(iter(snapshot.stored), None)

    async def list_prefix(self, prefix: str) -> tuple[StoredValue, ...]:
        """Read all keys with a prefix."""
        step = 'list keys'
        snapshot = await self._read(step, self._store.read_prefix, prefix)
        return snapshot.stored

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes
    ) -> bool:
        """Write a key if its mod_revision is as expected; 0 means absent."""
        swap = partial(self._store.swap, key, expected_revision, value)
        return await self._write('compare and swap', swap)

    async def watch_prefix(self, prefix: str) -> AsyncIterator[WatchEvent]:
        """Yield the current keys with a prefix, then their changes."""
        step = 'read watched keys'
        snapshot = await self._read(step, self._store.read_prefix, prefix)
        for stored in snapshot.stored:
            yield WatchEvent(stored.key, stored.value, stored.mod_revision)
        self._counters.platform_calls += 1
        batches = self._store.watch(prefix, snapshot.revision + 1)
        async with contextlib.aclosing(batches):
            while True:
                for event in await self._next_batch(batches):
                    yield event

    async def grant_lease(self, ttl_s: float) -> int:
        """Ask for a lease and return its identifier."""
        return await self._write(
            'grant lease', partial(self._store.grant, ttl_s)
        )

    async def keep_lease_alive(self, lease_id: int) -> bool:
        """Renew a lease; return False when it has lapsed."""
        renew = partial(self._store.renew, lease_id)
        return await self._write('renew lease', renew) > 0

    async def put_with_lease(
        self, key: str, value: bytes, lease_id: int
    ) -> None:
        """Write a key that vanishes when the lease lapses."""
        step = 'write key'
        put = partial(self._store.put, key, value, lease_id)
        try:
            await self._write(step, put)
        except LeaseNotFoundError as error:
            raise LeaseLapsedError(step, PEER_NAME, error.reason) from error

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        await self._write('revoke lease', partial(self._store.revoke, lease_id))

    async def close(self) -> None:
        """Do nothing: the client holds no connections."""

    async def _read(
        self, step: str, operation: Callable[[str], ResultT], argument: str
    ) -> ResultT:
        answer = self._store.answer_read(partial(operation, argument))
        return await self._within_deadline(step, answer)

    async def _write(
        self, step: str, operation: Callable[[], ResultT]
    ) -> ResultT:
        answer = self._store.answer_write(operation)
        return await self._within_deadline(step, answer)

    async def _within_deadline(
        self, step: str, answer: Coroutine[Any, Any, ResultT]
    ) -> ResultT:
        self._counters.platform_calls += 1
        timeout_s = self._settings.call_timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                return await self._answer_unless_cut_off(answer, timeout_s)
        except (TimeoutError, NoAnswerError) as error:
            raise PlatformUnavailableError(
                step, PEER_NAME, str(error)
            ) from error

    async def _answer_unless_cut_off(
        self, answer: Coroutine[Any, Any, ResultT], timeout_s: float
    ) -> ResultT:
        if self.cut_off:
            answer.close()
            await asyncio.sleep(timeout_s * 2)
        return await answer

    async def _next_batch(
        self, batches: AsyncIterator[tuple[WatchEvent, ...]]
    ) -> tuple[WatchEvent, ...]:
        silent_s = self._settings.watch_silent_s
        try:
            async with asyncio.timeout(silent_s):
                batch = await anext(batches)
                if self.cut_off:
                    await asyncio.sleep(silent_s * 2)
                return batch
        except (TimeoutError, NoAnswerError) as error:
            raise PlatformUnavailableError(
                'watch keys', PEER_NAME, str(error) or 'silent'
            ) from error
