"""Decides which failure domains are evacuated.

As a rule these are the domains for which the store has an item. After a
rollback, when the store has come back from an older copy of itself, the
operators write again what was lost. Until they have done so:

- An evacuation that the copy lacks stays in force, since sending flows to an
  evacuated domain breaks a promise, and leaving a domain out only costs
  capacity.
- An evacuation that had ended, and that the copy still has, is not obeyed for
  the grace time of registry entries, which is shorter than the time that
  operators allow for an evacuation. Requested anew, it is obeyed.
"""

import logging
from collections.abc import Callable, Iterable

import msgspec

from hibiscushatch_core.ports import StoredValue
from hibiscushatch_token.knowledge.routing import Routing
from hibiscushatch_token.ports import Position
from hibiscushatch_token.settings import StoreSettings

# Longer than the store's copies are old, which is some seconds.
_ENDED_MEMORY_S = 60.0

_log = logging.getLogger(__name__)


class _Ended(msgspec.Struct, frozen=True):
    """When an evacuation ended, and the revision of its request."""

    revision: int
    ended_at: float


class Evacuations:
    """Applies the evacuations in the store, except those that are outdated.

    Args:
        routing: Receives the evacuated domains.
        clock: Returns monotonic seconds.
        settings: Settings for reading the store.
    """

    def __init__(
        self,
        routing: Routing,
        clock: Callable[[], float],
        settings: StoreSettings,
    ) -> None:
        self._routing = routing
        self._clock = clock
        self._settings = settings
        self._stored: dict[str, StoredValue] = {}
        self._ended: dict[str, _Ended] = {}
        self._kept: set[str] = set()
        self._kept_until = 0.0
        self._ignored: set[str] = set()
        self._ignored_until = 0.0
        self._position: Position | None = None

    @property
    def kept(self) -> Iterable[str]:
        """Evacuated domains for which the store has no item."""
        return self._kept

    @property
    def kept_s(self) -> float:
        """How much longer they are kept."""
        return max(0.0, self._kept_until - self._clock())

    @property
    def is_reconciling(self) -> bool:
        """Whether operators may still have to write evacuations again."""
        return self._clock() < self._kept_until

    def change(
        self, domain: str, item: StoredValue | None, position: Position
    ) -> None:
        """Apply a changed item of the store; None ends the evacuation."""
        previous = self._stored.pop(domain, None)
        if item is not None:
            self._stored[domain] = item
        elif previous is not None:
            self._ended[domain] = _Ended(previous.mod_revision, self._clock())
        self._kept.discard(domain)
        self._ignored.discard(domain)
        self._apply(position)

    def reconcile(
        self, stored: dict[str, StoredValue], position: Position
    ) -> None:
        """Compare the items of an older copy with what was known.

        Args:
            stored: Items of the copy by failure domain.
            position: Position of the store at the listing.
        """
        now = self._clock()
        self._kept = set(self._routing.evacuated - stored.keys())
        self._kept_until = now + self._settings.operator_rewrite_s
        self._ignored = {
            domain
            for domain, item in stored.items()
            if domain not in self._routing.evacuated
            and self._has_ended(domain, item)
        }
        self._ignored_until = now + self._settings.lapse_grace_s
        self._stored = stored
        self._apply(position)

    def keep(
        self, domains: Iterable[str], duration_s: float, position: Position
    ) -> None:
        """Keep evacuations in force that another entry VM knew of.

        Args:
            domains: Evacuated domains that the store's copy lacks.
            duration_s: How much longer the other entry VM keeps them.
            position: Position of the store.
        """
        self._kept.update(domains)
        self._kept_until = max(self._kept_until, self._clock() + duration_s)
        self._apply(position)

    def expire(self) -> None:
        """Follow the store where nothing was written again in time."""
        now = self._clock()
        if self._kept and now >= self._kept_until:
            _log.warning(
                'evacuations not requested again',
                extra={'domains': ','.join(sorted(self._kept))},
            )
            self._kept.clear()
            self._apply(self._position)
        if self._ignored and now >= self._ignored_until:
            _log.warning(
                'ended evacuations are back',
                extra={'domains': ','.join(sorted(self._ignored))},
            )
            self._ignored.clear()
            self._apply(self._position)
        oldest = now - _ENDED_MEMORY_S
        for domain, ended in list(self._ended.items()):
            if ended.ended_at < oldest:
                self._ended.pop(domain)

    def _has_ended(self, domain: str, item: StoredValue) -> bool:
        # A request that was written anew may have a revision that was given out
        # before. It is then obeyed after the grace time.
        ended = self._ended.get(domain)
        return ended is not None and item.mod_revision <= ended.revision

    def _apply(self, position: Position) -> None:
        self._position = position
        in_force = (self._stored.keys() - self._ignored) | self._kept
        self._routing.set_evacuated(frozenset(in_force), position)
