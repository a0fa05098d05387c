"""Events in virtual time, and upstreams that work on requests in it."""

import collections
import dataclasses
import functools
import heapq
import itertools
from collections.abc import Callable


class VirtualClock:
    """A clock that stands still until it is set."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        """Return the present time in seconds."""
        return self.now


class Events:
    """Plays what was planned, and sets the clock to its times."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
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


class Upstreams:
    """Upstreams that work on as many requests as they have slots.

    Further requests wait in order; those beyond the longest queue are rejected
    at once.

    Args:
        events: Plays the ends of the work.
        slots: Slots of each upstream.
        queue_max: Longest queue.
    """

    def __init__(self, events: Events, slots: int, queue_max: int) -> None:
        self._events = events
        self._slots = slots
        self._queue_max = queue_max
        self._busy: collections.Counter[str] = collections.Counter()
        self._queues: dict[str, collections.deque[_Work]] = {}

    def begin(
        self, name: str, work_s: float, answered: Callable[[bool], None]
    ) -> None:
        """Take a request.

        Args:
            name: The upstream.
            work_s: How long it takes.
            answered: Called at the end, with whether it was worked on.
        """
        queue = self._queues.setdefault(name, collections.deque())
        if len(queue) >= self._queue_max:
            answered(False)
            return
        queue.append(_Work(work_s, answered))
        self._work(name)

    def _work(self, name: str) -> None:
        queue = self._queues[name]
        while queue and self._busy[name] < self._slots:
            self._busy[name] += 1
            work = queue.popleft()
            self._events.after(
                work.seconds, functools.partial(self._end, name, work)
            )

    def _end(self, name: str, work: '_Work') -> None:
        self._busy[name] -= 1
        work.answered(True)
        self._work(name)


@dataclasses.dataclass(slots=True)
class _Work:
    """A request at an upstream."""

    seconds: float
    answered: Callable[[bool], None]
