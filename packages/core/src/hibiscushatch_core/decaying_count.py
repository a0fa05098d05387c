"""A count of events in which older events weigh less."""


class DecayingCount:
    """A count that halves in a fixed time.

    Args:
        half_life_s: That time, in seconds.
    """

    __slots__ = ('_half_life_s', '_count', '_counted_at')

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._count = 0.0
        self._counted_at = 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        """Count events that happen now."""
        self._count = self.value_at(now) + amount
        self._counted_at = now

    def value_at(self, now: float) -> float:
        """Return what is left of the count."""
        passed = (now - self._counted_at) / self._half_life_s
        return self._count * 0.5**passed
