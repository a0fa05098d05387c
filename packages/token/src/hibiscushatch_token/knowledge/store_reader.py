"""Reads the platform's store when it is this entry VM's turn.

The module reading_turn decides whose turn it is. The reader lists all items at
its start and whenever the store has lost the history that a watch needs.
Otherwise it watches for changes after the replica's position, whether that came
from the store or from a peer.

A store that has come back from an older copy of itself answers a watch as if
its history were lost. An answer from an earlier era, as a part of the platform
that is cut off may give, counts as a failed call.

The first listing may be some seconds old, which costs the platform less, as the
whole fleet may start at once. The process then gets the changes after it from a
publisher or by its first watch.
"""

import asyncio
import logging
from collections.abc import Callable

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import (
    PlatformError,
    PlatformUnavailableError,
)
from hibiscushatch_core.reasons import RetryReason
from hibiscushatch_core.unexpected_errors import UnexpectedErrors
from hibiscushatch_token.knowledge.reading_turn import ReadingTurn
from hibiscushatch_token.knowledge.replica import StoreReplica
from hibiscushatch_token.ports import (
    Changes,
    HistoryLostError,
    Position,
    Store,
)
from hibiscushatch_token.settings import StoreSettings

_RETRY_GROWTH = 2.0
_TURN_CHECK_INTERVAL_S = 0.05
# Changes that come in this time are read with one call and announced together.
_BATCH_WAIT_S = 0.05

_log = logging.getLogger(__name__)


class StoreReader:
    """Reads the store and applies what it read to the replica.

    Args:
        settings: Settings for reading the store.
        store: The platform's store.
        replica: The replica to keep up to date.
        counters: Counters of this process.
        turn: Decides when to read.
        on_changes: Called after each read with the replica's position before it
            and the changes that were new, of which there may be none.
        on_confirmed: Called after on_changes, with the same arguments, when the
            read has shown that the replica is up to date.
    """

    def __init__(
        self,
        settings: StoreSettings,
        store: Store,
        replica: StoreReplica,
        counters: Counters,
        turn: ReadingTurn,
        on_changes: Callable[[Position, Changes], None],
        on_confirmed: Callable[[Position, Changes], None],
    ) -> None:
        self._settings = settings
        self._store = store
        self._replica = replica
        self._counters = counters
        self._turn = turn
        self._on_changes = on_changes
        self._on_confirmed = on_confirmed
        self._errors = UnexpectedErrors(counters)
        self._retry_delay_s = settings.retry_min_s
        self._is_store_lost = False
        self._has_history = True
        # Whether the latest read was a listing that replaced lost history.
        self._is_listing_latest = False

    def list_next(self) -> None:
        """Read all items next, as the replica may lack some."""
        self._has_history = False

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if not self._turn.should_read():
                await asyncio.sleep(_TURN_CHECK_INTERVAL_S)
                continue
            try:
                await self._read()
            except HistoryLostError as error:
                self._has_history = False
                self._record_failure(error, RetryReason.PLATFORM_HISTORY)
                if self._is_listing_latest:
                    # The watch and the listing contradict each other.
                    await self._wait_before_retry()
            except PlatformError as error:
                self._record_failure(error, RetryReason.PLATFORM_UNAVAILABLE)
                await self._wait_before_retry()
            except Exception as error:
                # What was read may be merged in part only.
                self._has_history = False
                self._errors.record('reading the store', error)
                await self._wait_before_retry()

    async def _read(self) -> None:
        is_first = self._replica.is_empty
        self._counters.platform_calls += 1
        if not is_first and self._has_history:
            after = self._replica.position
            changes = await self._store.watch(
                after, self._settings.watch_wait_s
            )
            self._check_era(changes.position)
            # A peer may have told of changes during the call.
            before = self._replica.position
            merged = self._replica.merge_changes(after, changes)
            self._is_listing_latest = False
            self._on_read(before, merged, is_confirmed=True)
            if changes.events:
                await asyncio.sleep(_BATCH_WAIT_S)
            return
        listing = await self._store.read_all(allow_stale=is_first)
        self._check_era(listing.position)
        before = self._replica.position
        merged = self._replica.merge_listing(listing)
        # A first listing without a configuration is from before the operators
        # wrote one; the next read is another listing.
        self._is_listing_latest = not is_first
        self._has_history = not is_first or self._replica.has_config
        self._on_read(before, merged, is_confirmed=not is_first)

    def _check_era(self, position: Position) -> None:
        # A peer may have told of a later era during the call.
        known = self._replica.position.era
        if position.era < known:
            raise PlatformUnavailableError(
                'reading',
                self._settings.address,
                f'era {position.era}, known is {known}',
            )

    def _on_read(
        self, before: Position, merged: Changes | None, is_confirmed: bool
    ) -> None:
        self._record_success()
        if is_confirmed:
            self._replica.confirm_newest(0, self._turn.number_read())
        if merged is None:
            return
        self._on_changes(before, merged)
        if is_confirmed:
            self._on_confirmed(before, merged)

    async def _wait_before_retry(self) -> None:
        await asyncio.sleep(self._turn.retry_delay_s(self._retry_delay_s))
        longer = self._retry_delay_s * _RETRY_GROWTH
        self._retry_delay_s = min(self._settings.retry_max_s, longer)

    def _record_failure(self, error: Exception, reason: RetryReason) -> None:
        self._counters.retries[reason] += 1
        if not self._is_store_lost:
            self._is_store_lost = True
            _log.warning(
                'store lost',
                extra={
                    'reason': reason.value,
                    'era': self._replica.position.era,
                    'revision': self._replica.position.revision,
                    'age_s': round(self._replica.age_s, 3),
                    'error': str(error),
                },
            )

    def _record_success(self) -> None:
        self._retry_delay_s = self._settings.retry_min_s
        if self._is_store_lost:
            self._is_store_lost = False
            _log.info(
                'store regained',
                extra={
                    'era': self._replica.position.era,
                    'revision': self._replica.position.revision,
                },
            )
