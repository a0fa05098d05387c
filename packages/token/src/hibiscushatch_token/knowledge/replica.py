"""A replica of the items in the platform's store.

Listings and changes come from the store itself or from another entry VM, in
any order and possibly repeated. Each carries a position in the history of the
store, which claims that all changes up to there are known. What is older than
the replica is ignored, and changes are refused when the replica is missing
earlier ones. What is new is applied to the routes and the registry.

The store may come back from an older copy of itself, which starts a new era. A
listing of a later era replaces all items, whatever their revisions. As an older
copy is not news, the modules registrations and evacuations decide what of it is
obeyed.
"""

import logging
from collections.abc import Callable, Iterable, Iterator

import msgspec

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import InvalidItemError
from hibiscushatch_core.ports import StoredValue, WatchEvent
from hibiscushatch_core.unexpected_errors import UnexpectedErrors
from hibiscushatch_token.knowledge.evacuations import Evacuations
from hibiscushatch_token.knowledge.registrations import (
    Entry,
    Registrations,
    RollbackCounts,
)
from hibiscushatch_token.knowledge.registry import Registry
from hibiscushatch_token.knowledge.routing import Routing
from hibiscushatch_token.knowledge.unreadable_entries import (
    UnreadableEntries,
)
from hibiscushatch_token.model import EntryVersion, Upstream
from hibiscushatch_token.ports import (
    NO_POSITION,
    Changes,
    Documents,
    Listing,
    Position,
    StoreRead,
)
from hibiscushatch_token.settings import StoreSettings

# Processes whose reads are remembered: more than read the store at one time.
_READERS_MAX = 1000

_log = logging.getLogger(__name__)


class EarlierState(msgspec.Struct, frozen=True):
    """What was known before a rollback and is not in the store's copy.

    Attributes:
        items: The configuration in force, and the entries of listed upstreams
            that the copy lacks or has older.
        evacuated: Evacuated failure domains that the copy lacks.
        evacuated_s: How much longer they stay in force unless they are
            requested again.
        removed: Latest statements of upstreams that left, by name.
    """

    items: tuple[StoredValue, ...]
    evacuated: frozenset[str]
    evacuated_s: float
    removed: dict[str, EntryVersion]


class StoreReplica:
    """The items by key, their position, and when they were last up to date.

    Args:
        documents: Parses the items.
        routing: Receives configurations and evacuations.
        registry: Receives changes of upstreams.
        clock: Returns monotonic seconds.
        settings: Settings for reading the store.
        counters: Counters of this process.
    """

    def __init__(
        self,
        documents: Documents,
        routing: Routing,
        registry: Registry,
        clock: Callable[[], float],
        settings: StoreSettings,
        counters: Counters,
    ) -> None:
        self._documents = documents
        self._routing = routing
        self._registry = registry
        self._clock = clock
        self._settings = settings
        self._registrations = Registrations(registry, clock, settings)
        self._evacuations = Evacuations(routing, clock, settings)
        self._items: dict[str, StoredValue] = {}
        self._position = NO_POSITION
        self._confirmed_at = clock()
        self._latest_read: StoreRead | None = None
        # Number of the latest known read of each process, by the reader's
        # address and process; the one heard of last comes last.
        self._read_numbers: dict[tuple[str, int], int] = {}
        self._counters = counters
        self._earlier_items: dict[str, StoredValue] = {}
        self._config_item: StoredValue | None = None
        self._unreadable = UnreadableEntries(clock, counters)
        self._errors = UnexpectedErrors(counters, clock)

    @property
    def position(self) -> Position:
        """Position of the store that the items reflect."""
        return self._position

    @property
    def is_empty(self) -> bool:
        """Whether there has been no listing yet."""
        return self._position == NO_POSITION

    @property
    def has_config(self) -> bool:
        """Whether a configuration is in force."""
        return self._routing.config.version > 0

    @property
    def items(self) -> Iterable[StoredValue]:
        """All items."""
        return self._items.values()

    @property
    def age_s(self) -> float:
        """Age of the replica: seconds since it was known to be up to date."""
        return self._clock() - self._confirmed_at

    @property
    def latest_read(self) -> StoreRead | None:
        """The read of the store that determines the age, if it is known."""
        return self._latest_read

    @property
    def is_reconciling(self) -> bool:
        """Whether writers may still have to write again after a rollback."""
        return (
            self._registrations.is_reconciling
            or self._evacuations.is_reconciling
        )

    @property
    def withheld(self) -> Iterable[str]:
        """Names of upstreams whose entries are outdated and not obeyed."""
        return self._registrations.withheld

    def earlier_state(self) -> EarlierState:
        """Return what is in force although the store's copy lacks it."""
        prefix = self._documents.registry_prefix
        names = {*self._registrations.missing, *self._registrations.withheld}
        entries = (self._earlier_items.get(prefix + name) for name in names)
        candidates = (self._config_item, *entries)
        return EarlierState(
            tuple(filter(None, candidates)),
            frozenset(self._evacuations.kept),
            self._evacuations.kept_s,
            self._registry.removed(),
        )

    def merge_earlier_state(self, earlier: EarlierState) -> None:
        """Apply what another entry VM knew before a rollback.

        Args:
            earlier: What the other entry VM knew.
        """
        self._apply_config(map(_event_of, earlier.items))
        for item in earlier.items:
            for entry in self._entries((_event_of(item),)):
                if self._is_later_statement(entry):
                    self._earlier_items[item.key] = item
                    self._registry.apply(
                        entry.name, entry.upstream, self._position
                    )
        for name, version in earlier.removed.items():
            latest = self._registry.latest_version(name)
            if latest is None or latest <= version:
                self._registry.apply(name, None, self._position)
                self._registry.record_removal(name, version)
        self._reconcile_registrations()
        self._evacuations.keep(
            earlier.evacuated, earlier.evacuated_s, self._position
        )

    def merge_listing(self, listing: Listing) -> Changes:
        """Apply a complete listing unless it is older than the replica.

        Args:
            listing: All items of the store at one position.

        Returns:
            All changes after the replica's position, as far as the listing
            shows them, and older ones that the replica did not know.
        """
        position = listing.position
        if position < self._position:
            return Changes((), self._position)
        if position.era > self._position.era and not self.is_empty:
            return self._roll_back(listing)
        listed = {item.key for item in listing.items}
        events = [
            _event_of(item)
            for item in listing.items
            if item.mod_revision > self._position.revision
            or self._is_newer(item.key, item.mod_revision)
        ]
        events.extend(
            WatchEvent(key, None, position.revision)
            for key in self._items.keys() - listed
        )
        return msgspec.structs.replace(
            self._apply(events, position), is_from_listing=True
        )

    def merge_changes(
        self, before: Position, changes: Changes
    ) -> Changes | None:
        """Apply all changes between two positions of one era of the store.

        Args:
            before: Position of the store before the changes.
            changes: The changes and the position after them.

        Returns:
            All changes after the replica's position, also those that a listing
            has shown before; None when the replica has not yet reached the
            position before the changes.
        """
        if before > self._position:
            return None
        if changes.position.era < self._position.era:
            return Changes((), self._position)
        events = [
            event
            for event in changes.events
            if event.mod_revision > self._position.revision
        ]
        return self._apply(events, max(changes.position, self._position))

    def confirm_newest(
        self, age_s: float, read: StoreRead | None = None
    ) -> None:
        """Record that the replica was up to date ``age_s`` seconds ago.

        Each read of the store counts once, when it is heard of first. Otherwise
        a heartbeat that goes round among entry VMs would keep their replicas as
        fresh as they are, since the time that it takes on its way is not known.

        Args:
            age_s: Seconds since the replica was up to date.
            read: The read of the store that showed it; None if an entry VM of
                an earlier version did not state it.
        """
        if read is not None and not self._count_read(read):
            return
        now = self._clock()
        was_outage = not self.is_empty and self._is_outage()
        if was_outage and age_s <= self._settings.outage_s:
            self._registrations.start_grace()
            _log.info(
                'up to date again',
                extra={
                    'era': self._position.era,
                    'revision': self._position.revision,
                    'outage_s': round(self.age_s, 3),
                },
            )
        if now - age_s >= self._confirmed_at:
            self._confirmed_at = now - age_s
            self._latest_read = read

    def expire(self) -> None:
        """Drop what was not written again in time after an outage."""
        self._registrations.expire()
        self._evacuations.expire()
        if self._earlier_items and not self.is_reconciling:
            self._earlier_items = {}

    def _count_read(self, read: StoreRead) -> bool:
        """Return whether a read is newer than those known of its process."""
        process = (read.reader, read.process)
        known = self._read_numbers.pop(process, 0)
        self._read_numbers[process] = max(known, read.number)
        if len(self._read_numbers) > _READERS_MAX:
            self._read_numbers.pop(next(iter(self._read_numbers)))
        return read.number > known

    def _is_outage(self) -> bool:
        return self.age_s > self._settings.outage_s

    def _is_newer(self, key: str, revision: int) -> bool:
        known = self._items.get(key)
        return known is None or known.mod_revision < revision

    def _is_later_statement(self, entry: Entry) -> bool:
        latest = self._registry.latest_version(entry.name)
        return entry.upstream is not None and (
            latest is None or entry.upstream.version > latest
        )

    def _roll_back(self, listing: Listing) -> Changes:
        before = self._position
        self._keep_earlier_items()
        self._position = listing.position
        self._items = {item.key: item for item in listing.items}
        self._counters.store_rollbacks += 1
        events = tuple(map(_event_of, listing.items))
        self._apply_config(events)
        self._evacuations.reconcile(
            {
                domain: item
                for item in listing.items
                for domain in self._evacuated_by(item)
            },
            listing.position,
        )
        counts = self._reconcile_registrations()
        _log.warning(
            'store came back from an older copy',
            extra={
                'era_before': before.era,
                'revision_before': before.revision,
                'era': listing.position.era,
                'revision': listing.position.revision,
                'config_version': self._routing.config.version,
                'evacuations_kept': len(tuple(self._evacuations.kept)),
                'entries_taken': counts.taken,
                'entries_unchanged': counts.unchanged,
                'entries_withheld': counts.withheld,
                'entries_missing': counts.missing,
            },
        )
        return Changes(events, listing.position, is_from_listing=True)

    def _keep_earlier_items(self) -> None:
        # Where the items are outdated already since an earlier rollback, those
        # from before it are kept.
        prefix = self._documents.registry_prefix
        outdated = {
            prefix + name
            for name in (
                *self._registrations.missing,
                *self._registrations.withheld,
            )
        }
        still_in_force = {
            key: item
            for key, item in self._earlier_items.items()
            if key in outdated
        }
        self._earlier_items = {**self._items, **still_in_force}

    def _reconcile_registrations(self) -> RollbackCounts:
        events = map(_event_of, self._items.values())
        return self._registrations.reconcile(
            self._entries(events), self._position
        )

    def _apply(self, changes: list[WatchEvent], position: Position) -> Changes:
        # The pages of a listing are read one after the other, so the replica
        # may know items that are newer than its position. Changes before theirs
        # are not applied, but have to be announced like all others.
        events = [
            event
            for event in changes
            if self._is_newer(event.key, event.mod_revision)
        ]
        for event in events:
            if event.value is None:
                self._items.pop(event.key, None)
            else:
                self._items[event.key] = StoredValue(
                    event.key, event.value, event.mod_revision
                )
        is_first = self.is_empty
        self._position = position
        self._apply_config(events)
        self._apply_evacuations(events)
        entries = self._entries(events)
        if is_first:
            self._registrations.load(entries, position)
        else:
            is_outage = self._is_outage()
            for entry in entries:
                self._errors.guard(
                    'applying an entry',
                    self._registrations.change,
                    entry,
                    position,
                    is_outage,
                )
        return Changes(tuple(changes), position)

    def _entries(self, events: Iterable[WatchEvent]) -> Iterator[Entry]:
        for event in events:
            name = self._documents.upstream_name(event.key)
            if name is not None:
                upstream = self._read_upstream(name, event)
                is_deleted = event.value is None
                yield Entry(name, upstream, event.mod_revision, is_deleted)

    def _read_upstream(self, name: str, event: WatchEvent) -> Upstream | None:
        if event.value is None:
            return None
        try:
            return self._documents.read_upstream(name, event.value)
        except InvalidItemError as error:
            # An entry of another writer names no upstream; the others hold.
            self._unreadable.record(event, self._position, error)
            return None

    def _apply_config(self, events: Iterable[WatchEvent]) -> None:
        key = self._documents.config_key
        for event in events:
            if event.key == key and event.value is not None:
                self._apply_config_item(
                    StoredValue(key, event.value, event.mod_revision)
                )

    def _apply_config_item(self, item: StoredValue) -> None:
        try:
            config = self._documents.read_config((_event_of(item),))
        except InvalidItemError as error:
            # The configuration in force stays. The store accepts only valid
            # ones, so this one is in a format that this version can't read.
            _log.error(
                'configuration unreadable',
                extra={
                    'era': self._position.era,
                    'revision': self._position.revision,
                    'error': str(error),
                },
            )
            return
        if config is not None:
            self._routing.apply_config(config, self._position)
            if self._routing.config is config:
                self._config_item = item

    def _apply_evacuations(self, events: Iterable[WatchEvent]) -> None:
        for event in events:
            for domain, is_evacuated in self._documents.read_evacuations(
                (event,)
            ):
                item = self._items.get(event.key) if is_evacuated else None
                self._evacuations.change(domain, item, self._position)

    def _evacuated_by(self, item: StoredValue) -> Iterator[str]:
        evacuations = self._documents.read_evacuations((_event_of(item),))
        for domain, _is_evacuated in evacuations:
            yield domain


def _event_of(item: StoredValue) -> WatchEvent:
    return WatchEvent(item.key, item.value, item.mod_revision)
