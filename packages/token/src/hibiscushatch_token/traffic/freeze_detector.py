"""Notices that the process did not run for a while, as when its VM was frozen.

What it then finds in its socket has waited, which no packet states. Nor does
anything else tell a process that it was frozen, so it compares the times at
which it runs: at least ten times a second unless something stopped it.
"""

from collections.abc import Callable


class FreezeDetector:
    """Compares the times at which the process runs.

    Args:
        freeze_s: Time without running that counts as a freeze.
        clock: Monotonic seconds.
    """

    def __init__(self, freeze_s: float, clock: Callable[[], float]) -> None:
        self._freeze_s = freeze_s
        self._clock = clock
        self._ran_at: float | None = None

    def record_running(self) -> float:
        """Record that the process runs now.

        Returns:
            How long it was frozen until now, in seconds; 0 if it was not.
        """
        now = self._clock()
        ran_at = now if self._ran_at is None else self._ran_at
        self._ran_at = now
        frozen_s = now - ran_at
        return frozen_s if frozen_s > self._freeze_s else 0
