"""An event loop whose clock jumps to the next timer instead of waiting.

Scenarios and tests run the code of entry VMs in this loop: minutes of virtual
time take milliseconds, and runs with the same random seed are identical.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

ITERATIONS_AT_SAME_TIME_MAX = 100
FORCED_STEP_S = 1e-9
ResultT = TypeVar('ResultT')


class _VirtualTimeSelector(selectors.SelectSelector):
    """A selector that advances a virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self._iterations_at_same_time = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError('deadlock: all tasks wait and no timer is set')
        self._advance(max(timeout, 0))
        return ready

    def _advance(self, delay_s: float) -> None:
        """Advance the clock by the time until the next timer.

        If rounding keeps the clock from advancing, it is advanced by
        FORCED_STEP_S after several iterations at the same time.
        """
        before_s = self.now_s
        self.now_s += delay_s
        if self.now_s > before_s:
            self._iterations_at_same_time = 0
            return
        self._iterations_at_same_time += 1
        if self._iterations_at_same_time >= ITERATIONS_AT_SAME_TIME_MAX:
            self.now_s += FORCED_STEP_S


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An asyncio event loop in virtual time, which cannot wait for sockets."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s


def run_in_virtual_time(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine to its end in virtual time.

    Args:
        main: The coroutine.

    Returns:
        The result of the coroutine.
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
