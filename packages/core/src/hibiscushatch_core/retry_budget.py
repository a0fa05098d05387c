"""A limit on the connection attempts of a service that may be retries.

Without a limit, retries multiply the load just when upstreams fail. Every new
flow adds a fraction of a retry to the budget. The budget also grows with time,
so that a service with few flows can retry too.
"""

import msgspec


class RetryBudgetSettings(msgspec.Struct, frozen=True):
    """Size of the retry budget of one service on one entry VM.

    Attributes:
        ratio: Retries that each new flow adds.
        floor_per_s: Retries that each second adds, with or without new flows.
        burst: Most retries that can accumulate.
    """

    ratio: float = 0.1
    floor_per_s: float = 0.5
    burst: float = 50


class RetryBudget:
    """A token bucket that new flows and time fill and that retries empty.

    Args:
        settings: Its size.
        now: Time of creation, in seconds.
    """

    def __init__(self, settings: RetryBudgetSettings, now: float) -> None:
        self._settings = settings
        self._tokens = 1.0
        self._filled_at = now

    @property
    def tokens(self) -> float:
        """Retries left after the last update."""
        return self._tokens

    def record_flow(self, now: float) -> None:
        """Add the retries that a new flow earns; not to be called for retries.

        Args:
            now: Current time in seconds.
        """
        self._fill(self._settings.ratio, now)

    def take(self, now: float) -> bool:
        """Spend one retry if there is one.

        Args:
            now: Current time in seconds.

        Returns:
            False when no retry is left; the attempt must not be made then.
        """
        self._fill(0, now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _fill(self, tokens: float, now: float) -> None:
        elapsed_s = max(0.0, now - self._filled_at)
        self._filled_at = now
        earned = tokens + elapsed_s * self._settings.floor_per_s
        self._tokens = min(self._settings.burst, self._tokens + earned)
