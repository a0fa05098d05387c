"""The upstreams of a service that may get new flows, in turn.

A choice looks at a bounded number of them, so that it costs the same with ten
upstreams and with thousands. The load answered is a fleet in which each entry
VM has few flows open: most upstreams have none from here, and what keeps the
load even is that they get flows in turn. The order of turns is random, since
all entry VMs learn of upstreams at the same moment.
"""

import random
from collections.abc import Iterable

from hibiscushatch_token.model import Upstream

# How many upstreams a choice looks at. Some tens make it hardly worse than
# looking at all of them (power of k choices).
_WINDOW = 32
# Part of them in the own failure domain where it has so many.
_NEAR_MAX = 24


class UpstreamPool:
    """Two rings of upstreams: of the own failure domain and of the others.

    Args:
        domain: The own failure domain.
        randomness: Draws places in the order of turns.
    """

    def __init__(self, domain: str, randomness: random.Random) -> None:
        self._domain = domain
        self._near = _Ring(randomness)
        self._far = _Ring(randomness)
        self._shown: list[Upstream] = []
        self._slots = 0

    @property
    def slots(self) -> int:
        """Slots of all upstreams."""
        return self._slots

    @property
    def everyone(self) -> list[Upstream]:
        """All upstreams, near ones first."""
        return self._near.upstreams + self._far.upstreams

    def update(self, eligible: Iterable[Upstream]) -> None:
        """Replace the upstreams; those that stay keep their turns."""
        near = {}
        far = {}
        for upstream in eligible:
            is_near = upstream.domain == self._domain
            (near if is_near else far)[upstream.name] = upstream
        self._near.update(near)
        self._far.update(far)
        self._shown = []
        self._slots = sum(one.slots for one in self.everyone)

    def window(self) -> list[Upstream]:
        """Return the upstreams whose turn is next, near ones first."""
        near = self._near.next(_NEAR_MAX)
        self._shown = near + self._far.next(_WINDOW - len(near))
        return self._shown

    def take(self, chosen: Upstream) -> None:
        """Note that an upstream was chosen.

        Those before it in the latest window were passed over and have had
        their turn as well: when what speaks against them ends at every entry
        VM at once, they are not the first choice of all.
        """
        is_near = chosen.domain == self._domain
        turns = 0
        for upstream in self._shown:
            if (upstream.domain == self._domain) is is_near:
                turns += 1
            if upstream is chosen:
                (self._near if is_near else self._far).advance(turns)
                return


class _Ring:
    """Upstreams that get their turn one after the other."""

    def __init__(self, randomness: random.Random) -> None:
        self.upstreams: list[Upstream] = []
        self._randomness = randomness
        self._position = 0

    def update(self, eligible: dict[str, Upstream]) -> None:
        """Replace the upstreams; new ones get a random place."""
        self.upstreams = [
            eligible.pop(one.name)
            for one in self.upstreams
            if one.name in eligible
        ]
        for upstream in eligible.values():
            place = self._randomness.randint(0, len(self.upstreams))
            self.upstreams.insert(place, upstream)
        self._position %= max(1, len(self.upstreams))

    def next(self, most: int) -> list[Upstream]:
        """Return the upstreams whose turn is next."""
        start = self._position
        end = start + min(most, len(self.upstreams))
        beyond = max(0, end - len(self.upstreams))
        return self.upstreams[start:end] + self.upstreams[:beyond]

    def advance(self, steps: int) -> None:
        """Go on by so many turns."""
        self._position = (self._position + steps) % len(self.upstreams)
