"""The load of the whole fleet, as far as this entry VM knows it.

In a large fleet an entry VM sees a hundredth of the traffic, too little to know
whether a service is full or which failure domain has room. Entry VMs therefore
report what they see (load_exchange), and publishers announce the sums. Sums are
soft state: they have an age, and they may cover a part of the fleet only.
"""

from collections.abc import Callable, Iterable, Iterator

import msgspec


class LoadKey(msgspec.Struct, frozen=True, order=True):
    """What a load is summed by.

    Attributes:
        service: Name of the service.
        domain: Failure domain: of the callers for demand and refusals, of the
            upstreams for requests under way and rejections.
        priority: Priority of the route; 0 is the most urgent.
    """

    service: str
    domain: str
    priority: int


class LoadSum(msgspec.Struct, frozen=True):
    """The load of one key.

    Attributes:
        demand_per_s: Requests a second that callers asked for, refused ones
            included.
        refused_per_s: Requests a second that entry VMs refused.
        rejected_per_s: Requests a second that upstreams rejected: responses
            that ended far too early for work.
        answered_per_s: Requests a second whose response began, rejected ones
            included.
        under_way: Requests that wait for their response.
    """

    demand_per_s: float = 0
    refused_per_s: float = 0
    rejected_per_s: float = 0
    answered_per_s: float = 0
    under_way: float = 0

    def plus(self, other: 'LoadSum') -> 'LoadSum':
        """Return the sum of this load and another one."""
        return LoadSum(
            self.demand_per_s + other.demand_per_s,
            self.refused_per_s + other.refused_per_s,
            self.rejected_per_s + other.rejected_per_s,
            self.answered_per_s + other.answered_per_s,
            self.under_way + other.under_way,
        )

    def scaled(self, factor: float) -> 'LoadSum':
        """Return the load multiplied by a factor."""
        return LoadSum(
            self.demand_per_s * factor,
            self.refused_per_s * factor,
            self.rejected_per_s * factor,
            self.answered_per_s * factor,
            self.under_way * factor,
        )


LoadRows = dict[LoadKey, LoadSum]

# Where the sums cover less than half of the fleet, they say too little about
# the rest to be scaled further.
_SCALE_MAX = 2.0


class FleetLoad:
    """The latest sums over the fleet.

    Args:
        fresh_s: Age from which the sums are not used any more.
        clock: Monotonic seconds.
        count_fleet: Returns the number of entry VMs; 0 when unknown.
    """

    def __init__(
        self,
        fresh_s: float,
        clock: Callable[[], float],
        count_fleet: Callable[[], int],
    ) -> None:
        self._fresh_s = fresh_s
        self._clock = clock
        self._count_fleet = count_fleet
        self._rows: LoadRows = {}
        self._covered = 0
        self._measured_at = float('-inf')
        self._version = 0

    @property
    def is_fresh(self) -> bool:
        """Whether the sums are recent enough to be used."""
        return self._covered > 0 and self.age_s < self._fresh_s

    @property
    def age_s(self) -> float:
        """Time since the oldest contribution was measured; infinite if none."""
        return self._clock() - self._measured_at

    @property
    def covered(self) -> int:
        """Number of entry VMs whose load the sums include."""
        return self._covered

    @property
    def version(self) -> int:
        """Rises with each update, so that users can tell a new one."""
        return self._version

    @property
    def scale(self) -> float:
        """Factor that makes up for entry VMs that are not covered."""
        if not self._covered:
            return 1
        missing = self._count_fleet() / self._covered
        return min(_SCALE_MAX, max(1.0, missing))

    def update(
        self,
        rows: Iterable[tuple[LoadKey, LoadSum]],
        covered: int,
        age_s: float,
    ) -> None:
        """Replace the sums by newer ones.

        Args:
            rows: The sums.
            covered: How many entry VMs they include.
            age_s: Time since the oldest contribution was measured.
        """
        self._rows = dict(rows)
        self._covered = covered
        self._measured_at = self._clock() - age_s
        self._version += 1

    def rows_of(self, service: str) -> Iterator[tuple[LoadKey, LoadSum]]:
        """Yield the sums of a service, scaled to the whole fleet."""
        scale = self.scale
        for key, load in self._rows.items():
            if key.service == service:
                yield key, load.scaled(scale)

    def all_rows(self) -> Iterator[tuple[LoadKey, LoadSum]]:
        """Yield all sums as they were announced, not scaled."""
        yield from self._rows.items()
