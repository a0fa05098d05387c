"""Keeps the upstreams of a service that may get new flows, in turn.

Each choice considers a bounded window of upstreams, so it costs the same with
ten upstreams and with thousands. In a large fleet each entry VM has few flows
open and most upstreams have none from it, so counting flows does not spread the
load; giving upstreams flows in turn does. The order of turns is random, since
all entry VMs learn of an upstream at the same moment.
"""

import random
from collections.abc import Iterable

from hibiscushatch_token.model import Upstream

# How many upstreams a choice considers. With some tens of them it is hardly
# worse than with all of them (power of k choices).
_WINDOW_SIZE = 32
# How many of them are in the own failure domain, if it has that many.
_LOCAL_MAX = 24


class UpstreamPool:
    """Two rings of upstreams: the own failure domain and all others.

    Args:
        domain: The own failure domain.
        randomness: Draws positions in the order of turns.
    """

    def __init__(self, domain: str, randomness: random.Random) -> None:
        self._domain = domain
        self._local = _Ring(randomness)
        self._remote = _Ring(randomness)
        self._latest_window: list[Upstream] = []
        self._slots = 0

    @property
    def slots(self) -> int:
        """Slots of all upstreams."""
        return self._slots

    @property
    def upstreams(self) -> list[Upstream]:
        """All upstreams, those of the own failure domain first."""
        return self._local.upstreams + self._remote.upstreams

    def update(self, eligible: Iterable[Upstream]) -> None:
        """Replace the upstreams; those that stay keep their order."""
        local = {}
        remote = {}
        for upstream in eligible:
            is_local = upstream.domain == self._domain
            (local if is_local else remote)[upstream.name] = upstream
        self._local.update(local)
        self._remote.update(remote)
        self._latest_window = []
        self._slots = sum(listed.slots for listed in self.upstreams)

    def next_window(self) -> list[Upstream]:
        """Return the upstreams whose turn is next, own failure domain first."""
        local = self._local.next(_LOCAL_MAX)
        self._latest_window = local + self._remote.next(
            _WINDOW_SIZE - len(local)
        )
        return self._latest_window

    def record_choice(self, chosen: Upstream) -> None:
        """Record that an upstream was chosen.

        The upstreams before it in the latest window were passed over, and have
        had their turn too. Otherwise, when the reason to avoid such an upstream
        ends at all entry VMs at once, all of them would choose it next. An
        upstream outside the latest window uses no turn.
        """
        is_local = chosen.domain == self._domain
        turns = 0
        for upstream in self._latest_window:
            if (upstream.domain == self._domain) is is_local:
                turns += 1
            if upstream is chosen:
                (self._local if is_local else self._remote).advance(turns)
                return


class _Ring:
    """Upstreams in the order of their turns."""

    def __init__(self, randomness: random.Random) -> None:
        self.upstreams: list[Upstream] = []
        self._randomness = randomness
        self._position = 0

    def update(self, eligible: dict[str, Upstream]) -> None:
        """Replace the upstreams; new ones get a random position."""
        self.upstreams = [
            eligible.pop(current.name)
            for current in self.upstreams
            if current.name in eligible
        ]
        for upstream in eligible.values():
            index = self._randomness.randint(0, len(self.upstreams))
            self.upstreams.insert(index, upstream)
        self._position %= max(1, len(self.upstreams))

    def next(self, count_max: int) -> list[Upstream]:
        """Return the upstreams whose turn is next.

        Args:
            count_max: How many upstreams to return at most.
        """
        start = self._position
        end = start + min(count_max, len(self.upstreams))
        wrapped = max(0, end - len(self.upstreams))
        return self.upstreams[start:end] + self.upstreams[:wrapped]

    def advance(self, steps: int) -> None:
        """Advance by a number of turns."""
        self._position = (self._position + steps) % len(self.upstreams)
