"""Times a piece of work by the processor time that it takes."""

import time
from collections.abc import Callable

MICROSECONDS_PER_S = 1_000_000
MILLISECONDS_PER_S = 1000


def cpu_s(work: Callable[[], object], repeats: int = 1) -> float:
    """Time a piece of work.

    Args:
        work: What to do.
        repeats: How often to do it.

    Returns:
        Processor seconds of the quickest repetition.
    """
    return min(_cpu_once_s(work) for _ in range(repeats))


def _cpu_once_s(work: Callable[[], object]) -> float:
    began_s = time.process_time()
    work()
    return time.process_time() - began_s
