"""A replica of the items in the platform's store.

Listings and changes come from the store itself or from another entry VM, in
any order and possibly repeated. Each carries a revision of the store. What is
older than the replica is ignored, and changes are refused when the replica is
missing earlier ones. What is new is applied to the routes and the registry.
"""

import logging
from collections.abc import Callable, Iterable, Iterator

import msgspec

from hibiscushatch_core.ports import StoredValue, WatchEvent
from hibiscushatch_token.knowledge.registry import Registry
from hibiscushatch_token.knowledge.routing import Routing
from hibiscushatch_token.ports import Changes, Documents, Listing

_log = logging.getLogger(__name__)


class StoreReplica:
    """The items by key, their revision, and when they were last up to date.

    Args:
        documents: Parses the items.
        routing: Receives configurations and evacuations.
        registry: Receives changes of upstreams.
        clock: Returns monotonic seconds.
        lapse_grace_s: How long upstreams without an entry are kept after an
            outage of the store.
        outage_s: The store counts as unavailable when the replica is older
            than this.
    """

    def __init__(
        self,
        documents: Documents,
        routing: Routing,
        registry: Registry,
        clock: Callable[[], float],
        lapse_grace_s: float,
        outage_s: float,
    ) -> None:
        self._documents = documents
        self._routing = routing
        self._registry = registry
        self._clock = clock
        self._lapse_grace_s = lapse_grace_s
        self._outage_s = outage_s
        self._items: dict[str, StoredValue] = {}
        self._revision = 0
        self._confirmed_at = clock()
        self._grace_until = 0.0
        self._missing: dict[str, int] = {}

    @property
    def revision(self) -> int:
        """Store revision that the items reflect; 0 before the first listing."""
        return self._revision

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

    def merge_listing(self, listing: Listing) -> Changes:
        """Apply a complete listing unless it is older than the replica.

        Args:
            listing: All items of the store at one revision.

        Returns:
            The changes that it made to the replica.
        """
        if listing.revision < self._revision:
            return Changes((), self._revision)
        listed = {item.key for item in listing.items}
        events = [
            WatchEvent(item.key, item.value, item.mod_revision)
            for item in listing.items
            if self._is_newer(item.key, item.mod_revision)
        ]
        events.extend(
            WatchEvent(key, None, listing.revision)
            for key in self._items.keys() - listed
        )
        return self._apply(events, listing.revision)

    def merge_changes(self, before: int, changes: Changes) -> Changes | None:
        """Apply all changes between two revisions of the store.

        Args:
            before: Revision of the store before the changes.
            changes: The changes and the revision after them.

        Returns:
            Those that were new to the replica; None when the replica has not
            yet reached the revision before the changes.
        """
        if before > self._revision:
            return None
        events = [
            event
            for event in changes.events
            if event.mod_revision > self._revision
            and self._is_newer(event.key, event.mod_revision)
        ]
        return self._apply(events, max(changes.revision, self._revision))

    def confirm_newest(self, age_s: float) -> None:
        """Record that the replica was up to date ``age_s`` seconds ago."""
        now = self._clock()
        was_outage = self._revision > 0 and self.age_s > self._outage_s
        if was_outage and age_s <= self._outage_s:
            self._grace_until = now + self._lapse_grace_s
            _log.info(
                'up to date again',
                extra={
                    'revision': self._revision,
                    'outage_s': round(self.age_s, 3),
                },
            )
        self._confirmed_at = max(self._confirmed_at, now - age_s)

    def expire(self) -> None:
        """Remove upstreams whose entries did not return after an outage."""
        if self._missing and self._clock() >= self._grace_until:
            missing = self._missing
            self._missing = {}
            for name, revision in missing.items():
                self._registry.apply(name, None, revision)

    def _is_newer(self, key: str, revision: int) -> bool:
        known = self._items.get(key)
        return known is None or known.mod_revision < revision

    def _apply(self, events: list[WatchEvent], revision: int) -> Changes:
        for event in events:
            if event.value is None:
                self._items.pop(event.key, None)
            else:
                self._items[event.key] = StoredValue(
                    event.key, event.value, event.mod_revision
                )
        is_first = not self._revision
        self._revision = revision
        self._apply_operator_changes(events, revision)
        registered = self._documents.read_upstreams(events)
        if is_first:
            listed = (upstream for _, upstream in registered)
            self._registry.load(filter(None, listed), revision)
            return Changes(tuple(events), revision)
        for name, upstream in registered:
            if upstream is None and self._may_have_lapsed(name):
                self._missing[name] = revision
            else:
                self._missing.pop(name, None)
                self._registry.apply(name, upstream, revision)
        return Changes(tuple(events), revision)

    def _may_have_lapsed(self, name: str) -> bool:
        key = self._documents.registry_prefix + name
        is_missing = key not in self._items
        is_outage = self.age_s > self._outage_s
        return is_missing and (is_outage or self._clock() < self._grace_until)

    def _apply_operator_changes(
        self, events: list[WatchEvent], revision: int
    ) -> None:
        try:
            config = self._documents.read_config(events)
        except (msgspec.MsgspecError, ValueError, OSError) as error:
            # The configuration in force stays. The store accepts only valid
            # ones, so this one is in a format that this version can't read.
            _log.error(
                'configuration unreadable',
                extra={'revision': revision, 'error': str(error)},
            )
            config = None
        if config is not None:
            self._routing.apply_config(config, revision)
        if any(self._documents.read_evacuations(events)):
            evacuated = frozenset(self._evacuated_domains())
            self._routing.set_evacuated(evacuated, revision)

    def _evacuated_domains(self) -> Iterator[str]:
        events = (
            WatchEvent(item.key, item.value, item.mod_revision)
            for item in self._items.values()
        )
        for domain, is_evacuated in self._documents.read_evacuations(events):
            if is_evacuated:
                yield domain
