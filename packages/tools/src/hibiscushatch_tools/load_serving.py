"""How the upstreams of a load serve requests, with its faults."""

import enum
import functools
import random
from collections.abc import Callable

from hibiscushatch_tools.load_events import EventScheduler, SimulatedUpstreams
from hibiscushatch_tools.load_fleet import build_upstreams
from hibiscushatch_tools.load_model import Fault, Load, RequestKind

# Time until an upstream answers with an error; that takes hardly any work.
ERROR_DELAY_S = 0.001
_SLOW_KINDS = ('slow', 'cold')
# Faults that affect no upstream.
_ENTRY_VM_KINDS = ('power', 'frozen')


class Answer(enum.Enum):
    """How an upstream answers a request.

    Attributes:
        SERVED: The work is done.
        REJECTED: Its queue is full; the request has not run.
        ERROR: The request failed.
    """

    SERVED = enum.auto()
    REJECTED = enum.auto()
    ERROR = enum.auto()


class FaultyUpstreams:
    """Upstreams that are affected by the faults of a load.

    Args:
        load: The load.
        scheduler: Schedules the ends of the work.
        randomness: Draws the work, and which requests a fault affects.
    """

    def __init__(
        self,
        load: Load,
        scheduler: EventScheduler,
        randomness: random.Random,
    ) -> None:
        self._load = load
        self._scheduler = scheduler
        self._randomness = randomness
        self._upstreams = SimulatedUpstreams(scheduler, load.slots, load.queue)
        self._names = [upstream.name for upstream in build_upstreams(load)]

    def accepts(self, name: str) -> bool:
        """Return whether an upstream answers an opening packet."""
        fault = self._pick_fault(name)
        return fault is None or fault.kind != 'gone'

    def serve(
        self, name: str, kind: RequestKind, on_answer: Callable[[Answer], None]
    ) -> None:
        """Serve a request.

        Args:
            name: Name of the upstream.
            kind: Kind of the request.
            on_answer: Called with the answer; never if the upstream is mute.
        """
        spread = self._load.work_spread
        work_s = kind.work_s * self._randomness.lognormvariate(
            -spread * spread / 2, spread
        )
        fault = self._pick_fault(name)
        if fault is None or fault.kind in _SLOW_KINDS:
            factor = 1 if fault is None else fault.factor
            self._upstreams.submit(
                name, work_s * factor, functools.partial(_answer, on_answer)
            )
        elif fault.kind == 'errors':
            self._scheduler.call_later(
                ERROR_DELAY_S, functools.partial(on_answer, Answer.ERROR)
            )

    def _pick_fault(self, name: str) -> Fault | None:
        now = self._scheduler.now
        for fault in self._load.faults:
            names = self._names[: fault.upstreams]
            is_affected = fault.kind not in _ENTRY_VM_KINDS and name in names
            if is_affected and fault.from_s <= now < fault.until_s:
                is_picked = fault.share >= self._randomness.random()
                return fault if is_picked else None
        return None


def _answer(on_answer: Callable[[Answer], None], was_run: bool) -> None:
    on_answer(Answer.SERVED if was_run else Answer.REJECTED)
