"""What callers got of a load that was played."""

import collections
import dataclasses
import statistics
from collections.abc import Iterable, Sequence

from hibiscushatch_tools.load_model import Load, RequestKind


@dataclasses.dataclass(slots=True)
class PlayedRequest:
    """One request and its attempts.

    Attributes:
        number: Numbers requests from zero.
        kind: What it asks for.
        domain: Where its caller is.
        came_at: When it was first asked, in seconds.
        attempt: The present attempt, from zero.
        upstream: Who accepted the present attempt; None so far.
        refusals: How often an entry VM refused it.
        settled_at: When it was served or given up; None so far.
        is_served: Whether it was answered with success in its time limit.
    """

    number: int
    kind: RequestKind
    domain: str
    came_at: float
    attempt: int = 0
    upstream: str | None = None
    refusals: int = 0
    settled_at: float | None = None
    is_served: bool = False

    @property
    def is_settled(self) -> bool:
        """Whether its caller waits no longer."""
        return self.settled_at is not None

    @property
    def is_in_aim(self) -> bool:
        """Whether it was served within its aim."""
        return self.is_served and self._took_s <= self.kind.aim_s

    @property
    def earned(self) -> float:
        """What it was worth to its caller."""
        if not self.is_served:
            return 0
        return self.kind.worth if self.is_in_aim else self.kind.late_worth

    @property
    def _took_s(self) -> float:
        return (self.settled_at or self.came_at) - self.came_at

    def settle(self, now: float, is_served: bool) -> None:
        """Note the end of a request; one beyond its time limit has failed."""
        self.settled_at = now
        in_time = self._took_s <= self.kind.timeout_s
        self.is_served = is_served and in_time


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What callers got in some time.

    Attributes:
        asked: Requests.
        worth: Earned part of what they were worth.
        least_second: The same in the worst second.
        in_aim: Part that was served within its aim.
        late: Part that was served later.
        failed: Part that was not served.
        refused: Part that an entry VM refused at least once.
        urgent_served: Served part of the most urgent kind.
    """

    asked: int
    worth: float
    least_second: float
    in_aim: float
    late: float
    failed: float
    refused: float
    urgent_served: float


def judge(load: Load, requests: Iterable[PlayedRequest]) -> Outcome:
    """Count the requests of the judged time of a load."""
    begin_s, end_s = load.judged
    return outcome_of(
        [one for one in requests if begin_s <= one.came_at < end_s]
    )


def outcome_of(requests: Sequence[PlayedRequest]) -> Outcome:
    """Count requests.

    Args:
        requests: At least one.
    """
    seconds: dict[int, list[PlayedRequest]] = collections.defaultdict(list)
    for request in requests:
        seconds[int(request.came_at)].append(request)
    first = min(one.kind.priority for one in requests)
    urgent = [one for one in requests if one.kind.priority == first]
    count = len(requests)
    in_aim = sum(one.is_in_aim for one in requests) / count
    served = sum(one.is_served for one in requests) / count
    return Outcome(
        asked=count,
        worth=worth_of(requests),
        least_second=min(worth_of(one) for one in seconds.values()),
        in_aim=in_aim,
        late=served - in_aim,
        failed=1 - served,
        refused=sum(one.refusals > 0 for one in requests) / count,
        urgent_served=sum(one.is_served for one in urgent) / len(urgent),
    )


def worth_of(requests: Sequence[PlayedRequest]) -> float:
    """Return the earned part of what requests were worth."""
    owed = sum(one.kind.worth for one in requests)
    return sum(one.earned for one in requests) / owed


def mean_of(outcomes: Sequence[Outcome]) -> Outcome:
    """Average the outcomes of several seeds."""
    columns = zip(*map(dataclasses.astuple, outcomes), strict=True)
    return Outcome(*(statistics.fmean(column) for column in columns))


def spread_of(outcomes: Sequence[Outcome]) -> float:
    """Return the largest difference of worth among several seeds."""
    worths = [one.worth for one in outcomes]
    return max(worths) - min(worths)
