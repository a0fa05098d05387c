"""An event count that decays exponentially."""


class DecayingCount:
    """A count of events in which the weight of an event decays with its age.

    Args:
        half_life_s: Seconds after which an event counts for half as much.
    """

    __slots__ = ('_half_life_s', '_count', '_updated_at')

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._count = 0.0
        self._updated_at = 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        """Add events that happened now."""
        self._count = self.value_at(now) + amount
        self._updated_at = now

    def value_at(self, now: float) -> float:
        """Return the decayed count at a time."""
        half_lives = (now - self._updated_at) / self._half_life_s
        return self._count * 0.5**half_lives
