"""Decides which entries of the store's registry are obeyed.

As a rule the newest entry is. After an outage of the store, entries may be
missing although their upstreams live. After a rollback, when the store has come
back from an older copy of itself, entries may also be older than what was known
before. Each upstream then writes its entry again. Until it has done so:

- An upstream whose entry is missing stays listed for a grace time.
- An upstream whose entry is older than its latest known statement stays as it
  was, so that one that was draining gets no new flows.
- An upstream that had left stays away, since its address may belong to another
  service by now. Its entry lapses unless its process renews it, so an entry
  that outlives the time to lapse is obeyed.
"""

import logging
from collections.abc import Callable, Iterable

import msgspec

from hibiscushatch_token.knowledge.registry import Registry
from hibiscushatch_token.model import EntryVersion, Upstream
from hibiscushatch_token.ports import NO_POSITION, Position
from hibiscushatch_token.settings import StoreSettings

_log = logging.getLogger(__name__)


class Entry(msgspec.Struct, frozen=True):
    """An entry of the registry as the store has it.

    Attributes:
        name: Name of the upstream.
        upstream: The upstream; None for a deleted or unreadable entry.
        revision: Revision of the store at its latest change.
        is_deleted: Whether the store has deleted it.
    """

    name: str
    upstream: Upstream | None
    revision: int
    is_deleted: bool


class _Withheld(msgspec.Struct):
    """An entry that is older than the latest statement of its upstream.

    Attributes:
        entry: The entry.
        latest: The latest known statement of the upstream.
    """

    entry: Entry
    latest: EntryVersion


class RollbackCounts(msgspec.Struct):
    """How many entries of an older copy were treated in which way.

    Attributes:
        taken: Entries that are newer than what was known, or new.
        unchanged: Entries that are the latest known statement.
        withheld: Entries that are older than the latest known statement.
        missing: Listed upstreams without a readable entry.
    """

    taken: int = 0
    unchanged: int = 0
    withheld: int = 0
    missing: int = 0


class Registrations:
    """Applies entries of the registry, except those that are outdated.

    Args:
        registry: Receives the changes of upstreams.
        clock: Returns monotonic seconds.
        settings: Settings for reading the store.
    """

    def __init__(
        self,
        registry: Registry,
        clock: Callable[[], float],
        settings: StoreSettings,
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._settings = settings
        self._missing: dict[str, Position] = {}
        self._missing_until = 0.0
        # Names of upstreams that wrote since the store returned, so that their
        # entries do not lapse for its absence.
        self._written_since: set[str] = set()
        self._withheld: dict[str, _Withheld] = {}
        self._withheld_until = 0.0
        self._reconciled_at = NO_POSITION

    @property
    def is_reconciling(self) -> bool:
        """Whether upstreams may still have to write entries again."""
        return self._clock() < self._withheld_until

    @property
    def missing(self) -> Iterable[str]:
        """Names of listed upstreams whose entries are missing."""
        return self._missing

    @property
    def withheld(self) -> Iterable[str]:
        """Names of the entries that are not obeyed."""
        return self._withheld

    def start_grace(self) -> None:
        """Keep upstreams without an entry for the grace time from now on."""
        self._missing_until = self._clock() + self._settings.lapse_grace_s
        self._written_since.clear()

    def load(self, entries: Iterable[Entry], position: Position) -> None:
        """Apply the first listing."""
        listed = (entry.upstream for entry in entries)
        self._registry.load(filter(None, listed), position)

    def change(self, entry: Entry, position: Position, is_outage: bool) -> None:
        """Apply a changed entry.

        Args:
            entry: The entry.
            position: Position of the store at the change.
            is_outage: Whether the store has been away until now, so that
                entries may have lapsed although their upstreams live.
        """
        name = entry.name
        if entry.upstream is None:
            self._withheld.pop(name, None)
            if entry.is_deleted and (is_outage or self._may_lapse(name)):
                self._missing[name] = position
                return
        elif self._is_outdated(entry, entry.upstream):
            return
        else:
            self._written_since.add(name)
        self._missing.pop(name, None)
        self._registry.apply(name, entry.upstream, position)

    def reconcile(
        self, entries: Iterable[Entry], position: Position
    ) -> RollbackCounts:
        """Compare all entries of an older copy with what was known.

        Args:
            entries: All entries of the copy.
            position: Position of the store at the listing.

        Returns:
            How many entries were treated in which way.
        """
        self.start_grace()
        self._withheld_until = (
            self._clock() + self._settings.registration_lapse_s
        )
        self._reconciled_at = position
        self._withheld.clear()
        self._missing.clear()
        counts = RollbackCounts()
        readable = set()
        for entry in entries:
            if entry.upstream is not None:
                readable.add(entry.name)
                self._reconcile_entry(entry, entry.upstream, position, counts)
        for name in self._registry.names - readable:
            self._missing[name] = position
        counts.missing = len(self._missing)
        return counts

    def expire(self) -> None:
        """Remove upstreams and obey entries that were not written again."""
        now = self._clock()
        if self._missing and now >= self._missing_until:
            missing = self._missing
            self._missing = {}
            for name, position in missing.items():
                self._registry.apply(name, None, position)
        if self._withheld and now >= self._withheld_until:
            self._release_withheld()

    def _may_lapse(self, name: str) -> bool:
        is_in_grace = self._clock() < self._missing_until
        return is_in_grace and name not in self._written_since

    def _is_outdated(self, entry: Entry, upstream: Upstream) -> bool:
        withheld = self._withheld.get(entry.name)
        if withheld is None:
            return False
        latest = withheld.latest
        is_newer = upstream.version > latest or self._is_known(upstream)
        # The time of day of an upstream's VM may have been set back between two
        # starts of its process.
        is_other_process = upstream.incarnation != latest.incarnation
        is_new = entry.revision > self._reconciled_at.revision
        if is_newer or (is_other_process and is_new):
            self._withheld.pop(entry.name)
            return False
        withheld.entry = entry
        return True

    def _reconcile_entry(
        self,
        entry: Entry,
        upstream: Upstream,
        position: Position,
        counts: RollbackCounts,
    ) -> None:
        latest = self._registry.latest_version(entry.name)
        if latest is None or upstream.version > latest:
            self._registry.apply(entry.name, upstream, position)
            counts.taken += 1
            return
        if self._is_known(upstream):
            counts.unchanged += 1
            return
        self._withheld[entry.name] = _Withheld(entry, latest)
        counts.withheld += 1
        _log.info(
            'outdated entry not obeyed',
            extra={
                'upstream': entry.name,
                'listed': self._registry.find(entry.name) is not None,
                'known_sequence': latest.sequence,
                'sequence': upstream.version.sequence,
                'era': position.era,
                'revision': entry.revision,
            },
        )

    def _is_known(self, upstream: Upstream) -> bool:
        """Return whether a statement is the known one of a listed upstream."""
        known = self._registry.find(upstream.name)
        return known is not None and (
            upstream.version == known.version
            and upstream.is_draining == known.is_draining
        )

    def _release_withheld(self) -> None:
        withheld = self._withheld
        self._withheld = {}
        for name, outdated in withheld.items():
            # A drain is taken back only by a newer statement, so a listed
            # upstream stays as it is.
            is_listed = self._registry.find(name) is not None
            _log.info(
                'entry not written again',
                extra={
                    'upstream': name,
                    'obeyed': not is_listed,
                    'era': self._reconciled_at.era,
                    'revision': outdated.entry.revision,
                },
            )
            if not is_listed:
                self._registry.apply(
                    name, outdated.entry.upstream, self._reconciled_at
                )
