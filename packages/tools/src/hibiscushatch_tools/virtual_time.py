"""An event loop whose clock jumps to the next timer instead of waiting.

Scenarios and tests run the real entry VM code under it: minutes pass in
milliseconds and, with seeded randomness, every run is the same.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

TURNS_AT_ONE_TIME_MAX = 100
STEP_S = 1e-9
ResultT = TypeVar('ResultT')


class _JumpingSelector(selectors.SelectSelector):
    """A selector that advances a virtual clock by the time it would wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self._turns_at_one_time = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError('every task waits and no timer is set')
        self._advance(max(timeout, 0))
        return ready

    def _advance(self, by_s: float) -> None:
        """Advance the clock, also when timers due by rounding hold it."""
        before_s = self.now_s
        self.now_s += by_s
        if self.now_s > before_s:
            self._turns_at_one_time = 0
            return
        self._turns_at_one_time += 1
        if self._turns_at_one_time >= TURNS_AT_ONE_TIME_MAX:
            self.now_s += STEP_S


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An asyncio loop over virtual time; it serves no sockets."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now_s


def run_in_virtual_time(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine to its end in virtual time.

    Args:
        main: The coroutine.

    Returns:
        What it returned.
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
