"""How many connection attempts of a service may be retries.

Without a bound, retries multiply the load just when upstreams fail. Every new
flow adds a fraction of a retry to the budget, and time adds a little, so that
a service with few flows can retry too.
"""

import msgspec


class RetryBudgetSettings(msgspec.Struct, frozen=True):
    """Size of the budget of one service at one entry VM.

    Attributes:
        ratio: Retries allowed for each new flow.
        floor_per_s: Retries allowed in each second besides.
        burst: Most retries that can be saved up.
    """

    ratio: float = 0.1
    floor_per_s: float = 0.5
    burst: float = 50


class RetryBudget:
    """A token bucket that new flows and time fill and retries empty.

    Args:
        settings: Its size.
        now: Seconds.
    """

    def __init__(self, settings: RetryBudgetSettings, now: float) -> None:
        self._settings = settings
        self._tokens = 1.0
        self._filled_at = now

    @property
    def tokens(self) -> float:
        """What was left after the last change."""
        return self._tokens

    def flow_opened(self, now: float) -> None:
        """Count a new flow, not a retry of one.

        Args:
            now: Seconds.
        """
        self._fill(self._settings.ratio, now)

    def take(self, now: float) -> bool:
        """Spend one retry.

        Args:
            now: Seconds.

        Returns:
            False when none is left; the attempt must not be made then.
        """
        self._fill(0, now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _fill(self, tokens: float, now: float) -> None:
        passed_s = max(0.0, now - self._filled_at)
        self._filled_at = now
        earned = tokens + passed_s * self._settings.floor_per_s
        self._tokens = min(self._settings.burst, self._tokens + earned)
