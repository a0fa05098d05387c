"""Schedules calls in virtual time and simulates upstreams in it."""

import collections
import dataclasses
import functools
import heapq
import itertools
from collections.abc import Callable


class VirtualClock:
    """A clock that only advances when its time is set."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        """Return the current time in seconds."""
        return self.now


class EventScheduler:
    """Runs scheduled calls in the order of their times and sets the clock."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self._started_at = self.clock.now
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    @property
    def now(self) -> float:
        """Seconds since the scheduler was created."""
        return self.clock.now - self._started_at

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a call after a delay."""
        call = (self.clock.now + delay_s, next(self._order), callback)
        heapq.heappush(self._calls, call)

    def call_repeatedly(
        self, interval_s: float, callback: Callable[[], None]
    ) -> None:
        """Schedule a call at a fixed interval, first after one interval."""

        def call_and_reschedule() -> None:
            callback()
            self.call_later(interval_s, call_and_reschedule)

        self.call_later(interval_s, call_and_reschedule)

    def run(self, until_s: float) -> None:
        """Run scheduled calls until ``now`` has reached a time."""
        while self._calls and self.now < until_s:
            due_at, _, callback = heapq.heappop(self._calls)
            self.clock.now = due_at
            callback()


class SimulatedUpstreams:
    """Simulated upstreams that work on one request per slot at a time.

    Further requests wait in a queue for each upstream; a request that finds
    the queue full is rejected at once.

    Args:
        scheduler: Schedules the ends of the work.
        slots: Slots of each upstream.
        queue_max: Number of requests that can wait at each upstream.
    """

    def __init__(
        self, scheduler: EventScheduler, slots: int, queue_max: int
    ) -> None:
        self._scheduler = scheduler
        self._slots = slots
        self._queue_max = queue_max
        self._busy_slots: collections.Counter[str] = collections.Counter()
        self._queues: dict[str, collections.deque[_SubmittedRequest]] = {}

    def submit(
        self, name: str, work_s: float, on_done: Callable[[bool], None]
    ) -> None:
        """Submit a request to an upstream.

        Args:
            name: Name of the upstream.
            work_s: Time that a slot works on the request.
            on_done: Called with True when the work is done, or at once with
                False if the request is rejected.
        """
        queue = self._queues.setdefault(name, collections.deque())
        if len(queue) >= self._queue_max:
            on_done(False)
            return
        queue.append(_SubmittedRequest(work_s, on_done))
        self._start_waiting_requests(name)

    def _start_waiting_requests(self, name: str) -> None:
        queue = self._queues[name]
        while queue and self._busy_slots[name] < self._slots:
            self._busy_slots[name] += 1
            request = queue.popleft()
            self._scheduler.call_later(
                request.work_s, functools.partial(self._finish, name, request)
            )

    def _finish(self, name: str, request: '_SubmittedRequest') -> None:
        self._busy_slots[name] -= 1
        request.on_done(True)
        self._start_waiting_requests(name)


@dataclasses.dataclass(slots=True)
class _SubmittedRequest:
    """A request that waits at an upstream or is worked on."""

    work_s: float
    on_done: Callable[[bool], None]
