"""Events in order of time, for tests that play a load."""

import heapq
import itertools
from collections.abc import Callable

from token_fixtures import FakeClock


class Events:
    """Plays what was planned, and sets the clock to its times."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self._started_at = self.clock.now
        self._planned: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return self.clock.now - self._started_at

    def after(self, delay_s: float, act: Callable[[], None]) -> None:
        """Plan an event."""
        event = (self.clock.now + delay_s, next(self._order), act)
        heapq.heappush(self._planned, event)

    def every(self, gap_s: float, act: Callable[[], None]) -> None:
        """Plan an event again and again."""

        def act_and_go_on() -> None:
            act()
            self.after(gap_s, act_and_go_on)

        self.after(gap_s, act_and_go_on)

    def play(self, until_s: float) -> None:
        """Play all events up to a time."""
        while self._planned and self.now < until_s:
            happens_at, _, act = heapq.heappop(self._planned)
            self.clock.now = happens_at
            act()
