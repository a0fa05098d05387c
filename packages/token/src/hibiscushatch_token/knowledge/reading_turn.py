"""Which entry VM reads the store, and how often it tries when that fails.

The store counts each call, refused ones too, and serves all entry VMs at a
fixed rate. One reader is enough as long as the others hear from it. The first
publisher reads always; the next ones and then everybody else take over when
they were not told for long enough that they are up to date. Where publishers
are heard that can't read the store, most likely nobody can: the others take
turns at trying, at a rate for all of them together, and the one that succeeds
tells the publishers.
"""

import random
from collections.abc import Callable

from hibiscushatch_token.knowledge.replica import StoreReplica
from hibiscushatch_token.settings import TokenNodeSettings

# How much earlier one publisher takes over than the next.
_RANK_GAP_S = 0.25


class ReadingTurn:
    """Tells whether it is this entry VM's turn to read the store.

    Args:
        settings: Settings of this entry VM.
        replica: Tells how old this entry VM's knowledge is.
        hears_source: Tells whether a publisher or a relay is heard.
        count_fleet: Counts the entry VMs; 0 when that is not known.
        randomness: Draws turns.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        replica: StoreReplica,
        hears_source: Callable[[], bool],
        count_fleet: Callable[[], int],
        randomness: random.Random,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._hears_source = hears_source
        self._count_fleet = count_fleet
        self._randomness = randomness
        self._patience_s = self._fresh_s()
        self._is_drawn = False
        self._is_reader = False

    def has_come(self) -> bool:
        """Tell whether to read the store now."""
        if not self._replica.has_config or self._is_first_publisher():
            return True
        if self._is_reader:
            return True
        age_s = self._replica.age_s
        fresh_s = self._fresh_s()
        if age_s <= fresh_s:
            self._is_drawn = False
            return False
        if not self._is_drawn:
            self._is_drawn = True
            self._patience_s = fresh_s + self._draw_s()
        # A publisher goes on until an earlier one is heard again.
        has_come = age_s > self._patience_s
        self._is_reader = has_come and self._settings.is_publisher
        return has_come

    def told(self, control: str) -> None:
        """Note that an entry VM that is up to date was heard.

        Args:
            control: Its control address.
        """
        publishers = self._settings.publishers
        if self._is_reader and control in publishers[: self._rank()]:
            self._is_reader = False

    def next_try_s(self, retry_s: float) -> float:
        """Return the pause after a failed call.

        Args:
            retry_s: The pause of an entry VM that is alone.
        """
        return max(retry_s, self._spread_s()) * (
            0.5 + self._randomness.random()
        )

    def _is_first_publisher(self) -> bool:
        return self._settings.is_publisher and self._rank() == 0

    def _rank(self) -> int:
        return self._settings.publishers.index(self._settings.control)

    def _fresh_s(self) -> float:
        settings = self._settings
        fresh_s = settings.store.fresh_s
        if settings.is_publisher:
            later = len(settings.publishers) - self._rank()
            fresh_s = max(0.0, fresh_s - later * _RANK_GAP_S)
        return fresh_s

    def _draw_s(self) -> float:
        return self._spread_s() * self._randomness.random()

    def _spread_s(self) -> float:
        settings = self._settings
        if settings.is_publisher or not self._hears_source():
            return 0
        return self._count_fleet() / settings.store.tries_per_s
