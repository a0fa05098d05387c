"""Decides which entry VM reads the store, and how often it retries.

The store counts each call, refused ones too, and answers a fixed number of
calls a second for all entry VMs together. One reader is enough as long as the
others receive its announcements. The publisher that no other one precedes
always reads. When a replica has not been confirmed as up to date for too long,
first the other publishers, one after the other, and then all other entry VMs
start reading.

Precedence is by address, so that no two publishers wait for each other, and
only a read of the store that was not counted before confirms a replica. So
there is always a reader, whatever publishers the settings of an entry VM name.

When publishers are heard from but can't read the store, most likely nobody can.
The other entry VMs then try at random times, at a fixed rate for the whole
fleet, and the one that succeeds notifies the publishers.
"""

import itertools
import random
from collections.abc import Callable

from hibiscushatch_token.knowledge.replica import StoreReplica
from hibiscushatch_token.ports import StoreRead
from hibiscushatch_token.settings import TokenNodeSettings

# How much earlier one publisher starts reading than the next.
_RANK_GAP_S = 0.25
_PROCESS_BITS = 32


class ReadingTurn:
    """Decides whether this entry VM should read the store now.

    Args:
        settings: Settings of this entry VM.
        replica: The replica, whose age decides.
        has_live_source: Returns whether a publisher or relay was heard from
            within the peer timeout.
        count_fleet: Returns the number of entry VMs; 0 when unknown.
        randomness: Draws random delays.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        replica: StoreReplica,
        has_live_source: Callable[[], bool],
        count_fleet: Callable[[], int],
        randomness: random.Random,
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._has_live_source = has_live_source
        self._count_fleet = count_fleet
        self._randomness = randomness
        self._read_after_s = self._stale_after_s()
        self._is_delay_drawn = False
        self._is_reader = False
        # Tells the reads of this process from those of earlier ones.
        self._process = randomness.getrandbits(_PROCESS_BITS)
        self._read_numbers = itertools.count(1)

    def should_read(self) -> bool:
        """Return whether this entry VM should read the store now."""
        if not self._replica.has_config or self._is_first_publisher():
            return True
        if self._is_reader:
            return True
        age_s = self._replica.age_s
        stale_after_s = self._stale_after_s()
        if age_s <= stale_after_s:
            self._is_delay_drawn = False
            return False
        if not self._is_delay_drawn:
            self._is_delay_drawn = True
            self._read_after_s = stale_after_s + self._draw_delay_s()
        # A publisher goes on reading until an earlier one is up to date again.
        is_due = age_s > self._read_after_s
        self._is_reader = is_due and self._settings.is_publisher
        return is_due

    def on_fresh_announcement(self, control: str) -> None:
        """Stop reading when a publisher with precedence reads the store.

        Args:
            control: Control address of an entry VM whose announcement showed
                that it is up to date by its own read of the store.
        """
        if control in self._settings.preceding_publishers:
            self._is_reader = False

    def number_read(self) -> StoreRead:
        """Identify a read of the store that this process has just made."""
        return StoreRead(
            self._settings.control, self._process, next(self._read_numbers)
        )

    def retry_delay_s(self, base_delay_s: float) -> float:
        """Return how long to wait after a failed call.

        Args:
            base_delay_s: Least delay, before it is varied at random by up to a
                half.
        """
        return max(base_delay_s, self._spread_s()) * (
            0.5 + self._randomness.random()
        )

    def _is_first_publisher(self) -> bool:
        settings = self._settings
        return settings.is_publisher and not settings.preceding_publishers

    def _stale_after_s(self) -> float:
        # Publishers start to read before other entry VMs, earlier ones first.
        settings = self._settings
        stale_after_s = settings.store.fresh_s
        if settings.is_publisher:
            rank = len(settings.preceding_publishers)
            gaps = len(settings.publishers) - rank
            stale_after_s = max(0.0, stale_after_s - gaps * _RANK_GAP_S)
        return stale_after_s

    def _draw_delay_s(self) -> float:
        return self._spread_s() * self._randomness.random()

    def _spread_s(self) -> float:
        settings = self._settings
        if settings.is_publisher or not self._has_live_source():
            return 0
        # The time in which each entry VM gets one try at the rate of the fleet.
        return self._count_fleet() / settings.store.tries_per_s
