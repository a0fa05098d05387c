"""Reads the platform's store, where this entry VM has to.

Whose turn it is to read is in reading_turn. Reading means a listing at first
and after lost history, and watches from then on, which go on from the replica's
revision wherever that came from. The first listing may be some seconds old: a
process that has just started learns what came after it from a publisher or by
its first watch, and the whole fleet may start at once.
"""

import asyncio
import logging
from collections.abc import Callable

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import PlatformError
from hibiscushatch_core.reasons import RetryReason
from hibiscushatch_token.knowledge.reading_turn import ReadingTurn
from hibiscushatch_token.knowledge.replica import StoreReplica
from hibiscushatch_token.ports import Changes, HistoryLostError, Store
from hibiscushatch_token.settings import StoreSettings

_RETRY_GROWTH = 2.0
_IDLE_S = 0.05
# Changes that come in this time are read with one call and told together.
_GATHER_S = 0.05

_log = logging.getLogger(__name__)


class StoreReader:
    """The task that reads the store.

    Args:
        settings: How the store is read.
        store: The store.
        replica: What is kept up to date.
        counters: Counts of this process.
        turn: Tells when to read.
        changed: Called with the revision before changes and the changes.
        proved: Called likewise when that has shown that the replica is up to
            date.
    """

    def __init__(
        self,
        settings: StoreSettings,
        store: Store,
        replica: StoreReplica,
        counters: Counters,
        turn: ReadingTurn,
        changed: Callable[[int, Changes], None],
        proved: Callable[[int, Changes], None],
    ) -> None:
        self._settings = settings
        self._store = store
        self._replica = replica
        self._counters = counters
        self._turn = turn
        self._changed = changed
        self._proved = proved
        self._pause_s = settings.retry_min_s
        self._is_lost = False
        self._has_history = True

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if not self._turn.has_come():
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

    async def _read(self) -> None:
        before = self._replica.revision
        self._counters.platform_calls += 1
        if before and self._has_history:
            changes = await self._store.watch(
                before, self._settings.watch_wait_s
            )
            news = self._replica.merge_changes(before, changes)
            self._note_read(before, news, is_proof=True)
            if changes.events:
                await asyncio.sleep(_GATHER_S)
            return
        is_first = before == 0
        listing = await self._store.read_all(allow_stale=is_first)
        news = self._replica.merge_listing(listing)
        # Without a configuration the first one is from before it was written.
        self._has_history = not is_first or self._replica.has_config
        self._note_read(before, news, is_proof=not is_first)

    def _note_read(
        self, before: int, news: Changes | None, is_proof: bool
    ) -> None:
        self._note_regained()
        if is_proof:
            self._replica.prove(0)
        if news is None:
            return
        self._changed(before, news)
        if is_proof:
            self._proved(before, news)

    async def _pause(self) -> None:
        await asyncio.sleep(self._turn.next_try_s(self._pause_s))
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
