"""Reads the platform's store, where this entry VM has to.

A publisher always reads; another entry VM reads when no publisher has told it
lately that it is up to date. Reading means a listing at first and after lost
history, and watches from then on, which go on from the replica's revision
wherever that came from.
"""

import asyncio
import logging
import random
from collections.abc import Callable

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import PlatformError
from hibiscushatch_core.reasons import RetryReason
from hibiscushatch_token.knowledge.replica import StoreReplica
from hibiscushatch_token.ports import Changes, HistoryLostError, Store
from hibiscushatch_token.settings import StoreSettings

_RETRY_GROWTH = 2.0
_IDLE_S = 0.05

_log = logging.getLogger(__name__)


class StoreReader:
    """The task that reads the store.

    Args:
        settings: How the store is read.
        store: The store.
        replica: What is kept up to date.
        counters: Counts of this process.
        randomness: Source of jitter.
        is_publisher: Whether others rely on this entry VM.
        changed: Called with the revision before changes and the changes.
    """

    def __init__(
        self,
        settings: StoreSettings,
        store: Store,
        replica: StoreReplica,
        counters: Counters,
        randomness: random.Random,
        is_publisher: bool,
        changed: Callable[[int, Changes], None],
    ) -> None:
        self._settings = settings
        self._store = store
        self._replica = replica
        self._counters = counters
        self._randomness = randomness
        self._is_publisher = is_publisher
        self._changed = changed
        self._pause_s = settings.retry_min_s
        self._is_lost = False
        self._has_history = True

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if not self._has_to_read():
                await asyncio.sleep(_IDLE_S)
                continue
            try:
                await self._read()
            except HistoryLostError as error:
                self._has_history = False
                self._note_lost(error, RetryReason.PLATFORM_HISTORY)
            except PlatformError as error:
                self._note_lost(error, RetryReason.PLATFORM_UNAVAILABLE)
                await self._pause()

    def _has_to_read(self) -> bool:
        if self._is_publisher or not self._replica.revision:
            return True
        return self._replica.age_s > self._settings.fresh_s

    async def _read(self) -> None:
        before = self._replica.revision
        self._counters.platform_calls += 1
        if before and self._has_history:
            changes = await self._store.watch(
                before, self._settings.watch_wait_s
            )
            news = self._replica.merge_changes(before, changes)
        else:
            listing = await self._store.read_all()
            news = self._replica.merge_listing(listing)
            self._has_history = True
        self._note_regained()
        self._replica.prove(0)
        if news is not None:
            self._changed(before, news)

    async def _pause(self) -> None:
        jitter = 0.5 + self._randomness.random()
        await asyncio.sleep(self._pause_s * jitter)
        longer = self._pause_s * _RETRY_GROWTH
        self._pause_s = min(self._settings.retry_max_s, longer)

    def _note_lost(self, error: Exception, reason: RetryReason) -> None:
        self._counters.retries[reason] += 1
        if not self._is_lost:
            self._is_lost = True
            _log.warning(
                'store lost',
                extra={
                    'reason': reason.value,
                    'revision': self._replica.revision,
                    'age_s': round(self._replica.age_s, 3),
                    'error': str(error),
                },
            )

    def _note_regained(self) -> None:
        self._pause_s = self._settings.retry_min_s
        if self._is_lost:
            self._is_lost = False
            _log.info(
                'store regained', extra={'revision': self._replica.revision}
            )
