"""Keeps what this process believes in step with the platform's store.

One task reads what operators write, one the registry of upstreams. Both read
a complete list first and then wait for changes; after any trouble they begin
again with the list. Answers in order of the store's revision are applied, and
nothing that is older than what is known.
"""

import asyncio
import logging
import random
from collections.abc import Callable

import msgspec

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import PlatformError
from hibiscushatch_core.ports import WatchEvent
from hibiscushatch_core.reasons import RetryReason
from hibiscushatch_token.knowledge import Registry, Routing
from hibiscushatch_token.ports import (
    Documents,
    HistoryLostError,
    Listing,
    Store,
)
from hibiscushatch_token.settings import StoreSettings

_RETRY_GROWTH = 2.0

_log = logging.getLogger(__name__)


class StoreFollower:
    """Follows one prefix of the store.

    Args:
        settings: How the store is read.
        store: The store.
        prefix: What is followed.
        counters: Counts of this process.
        randomness: Source of jitter.
        apply_list: Takes a complete list.
        apply_events: Takes changes in order, and the revision of the last.
    """

    def __init__(
        self,
        settings: StoreSettings,
        store: Store,
        prefix: str,
        counters: Counters,
        randomness: random.Random,
        apply_list: Callable[[Listing], None],
        apply_events: Callable[[tuple[WatchEvent, ...], int], None],
    ) -> None:
        self._settings = settings
        self._store = store
        self._prefix = prefix
        self._counters = counters
        self._randomness = randomness
        self._apply_list = apply_list
        self._apply_events = apply_events
        self._pause_s = settings.retry_min_s
        self._is_lost = False
        self.has_list = asyncio.Event()

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        while True:
            try:
                await self._follow()
            except HistoryLostError as error:
                self._note(error, RetryReason.PLATFORM_HISTORY)
            except PlatformError as error:
                self._note(error, RetryReason.PLATFORM_UNAVAILABLE)
                await self._pause()
            except msgspec.MsgspecError as error:
                self._note(error, RetryReason.PLATFORM_UNAVAILABLE)
                await self._pause()

    async def _follow(self) -> None:
        self._counters.platform_calls += 1
        listing = await self._store.read_prefix(self._prefix, False)
        self._note_regained(listing.revision)
        self._apply_list(listing)
        self.has_list.set()
        revision = listing.revision
        while True:
            self._counters.platform_calls += 1
            changes = await self._store.watch(
                self._prefix, revision, self._settings.watch_wait_s
            )
            self._apply_events(changes.events, changes.revision)
            revision = max(revision, changes.revision)

    async def _pause(self) -> None:
        jitter = 0.5 + self._randomness.random()
        await asyncio.sleep(self._pause_s * jitter)
        longer = self._pause_s * _RETRY_GROWTH
        self._pause_s = min(self._settings.retry_max_s, longer)

    def _note(self, error: Exception, reason: RetryReason) -> None:
        self._counters.retries[reason] += 1
        if not self._is_lost:
            self._is_lost = True
            _log.warning(
                'store lost',
                extra={
                    'prefix': self._prefix,
                    'reason': reason.value,
                    'error': str(error),
                },
            )

    def _note_regained(self, revision: int) -> None:
        self._pause_s = self._settings.retry_min_s
        if self._is_lost:
            self._is_lost = False
            _log.info(
                'store regained',
                extra={'prefix': self._prefix, 'revision': revision},
            )


def operator_follower(
    settings: StoreSettings,
    store: Store,
    documents: Documents,
    routing: Routing,
    counters: Counters,
    randomness: random.Random,
) -> StoreFollower:
    """Build the follower of configuration and evacuations.

    Args:
        settings: How the store is read.
        store: The store.
        documents: Reads the items.
        routing: What is kept up to date.
        counters: Counts of this process.
        randomness: Source of jitter.

    Returns:
        The follower.
    """

    def apply_list(listing: Listing) -> None:
        events = _as_events(listing)
        config = documents.read_config(events)
        if config is not None:
            routing.apply_config(config, listing.revision)
        domains = frozenset(
            domain for domain, is_out in documents.evacuations(events) if is_out
        )
        routing.set_evacuated(domains, listing.revision)

    def apply_events(events: tuple[WatchEvent, ...], revision: int) -> None:
        config = documents.read_config(events)
        if config is not None:
            routing.apply_config(config, revision)
        domains = set(routing.evacuated)
        for domain, is_out in documents.evacuations(events):
            if is_out:
                domains.add(domain)
            else:
                domains.discard(domain)
        routing.set_evacuated(frozenset(domains), revision)

    return StoreFollower(
        settings,
        store,
        documents.operator_prefix,
        counters,
        randomness,
        apply_list,
        apply_events,
    )


def registry_follower(
    settings: StoreSettings,
    store: Store,
    documents: Documents,
    registry: Registry,
    counters: Counters,
    randomness: random.Random,
) -> StoreFollower:
    """Build the follower of the registry of upstreams.

    Args:
        settings: How the store is read.
        store: The store.
        documents: Reads the items.
        registry: What is kept up to date.
        counters: Counts of this process.
        randomness: Source of jitter.

    Returns:
        The follower.
    """

    def apply_list(listing: Listing) -> None:
        entries = documents.registered(_as_events(listing))
        registry.replace_all(entries, frozenset(), listing.revision)

    def apply_events(events: tuple[WatchEvent, ...], revision: int) -> None:
        for name, upstream in documents.registered(events):
            registry.apply(name, upstream, revision)

    return StoreFollower(
        settings,
        store,
        documents.registry_prefix,
        counters,
        randomness,
        apply_list,
        apply_events,
    )


def _as_events(listing: Listing) -> tuple[WatchEvent, ...]:
    return tuple(
        WatchEvent(item.key, item.value, item.mod_revision)
        for item in listing.items
    )
