"""Requests of a load that was played, and a summary of how they ended."""

import collections
import dataclasses
import statistics
from collections.abc import Callable, Iterable, Sequence

from hibiscushatch_tools.load_model import Load, RequestKind

WINDOW_S = 2


@dataclasses.dataclass(slots=True)
class SimulatedRequest:
    """One request of a caller, with its attempts.

    Attributes:
        number: Number of the request, from 0.
        kind: Kind of the request.
        domain: Failure domain of the caller.
        came_at: Time when the request came and its first attempt began, in
            seconds.
        address: Address of the caller.
        user: Number of the user among those of the address.
        is_heavy: Whether the address is that of a heavy caller.
        is_on_open_flow: Whether it was sent on a flow that was open already.
        attempt: Number of the current attempt, from 0.
        flow: Number of the flow of the current attempt; 0 between attempts.
        refusals: Number of attempts that an entry VM refused.
        settled_at: Time when the request was served or had failed for good;
            None before.
        is_served: Whether the request succeeded within its timeout.
    """

    number: int
    kind: RequestKind
    domain: str
    came_at: float
    address: bytes = bytes(4)
    user: int = 0
    is_heavy: bool = False
    is_on_open_flow: bool = False
    attempt: int = 0
    flow: int = 0
    refusals: int = 0
    settled_at: float | None = None
    is_served: bool = False

    @property
    def is_settled(self) -> bool:
        """Whether the request was served or has failed for good."""
        return self.settled_at is not None

    @property
    def is_in_aim(self) -> bool:
        """Whether the request was served within its latency target."""
        return self.is_served and self._duration_s <= self.kind.aim_s

    @property
    def earned_worth(self) -> float:
        """The worth that the request earned; 0 if it was not served."""
        if not self.is_served:
            return 0
        return self.kind.worth if self.is_in_aim else self.kind.late_worth

    @property
    def _duration_s(self) -> float:
        return (self.settled_at or self.came_at) - self.came_at

    def settle(self, now: float, is_served: bool) -> None:
        """Record the end of the request; after its timeout it has failed."""
        self.settled_at = now
        is_in_time = self._duration_s <= self.kind.timeout_s
        self.is_served = is_served and is_in_time


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Summary of how the requests of a period ended.

    Attributes:
        asked: Number of requests.
        worth: Earned share of the total worth of the requests.
        least_second: The lowest such share among the requests of one second.
        least_window: The lowest such share among the requests of two seconds.
        in_aim: Share of requests that were served within the latency target.
        late: Share of requests that were served later.
        failed: Share of requests that were not served.
        refused: Share of requests that an entry VM refused at least once.
        urgent_served: Share of the requests with the highest priority that
            were served.
        urgent_in_aim: Share of them that were served within the latency
            target.
    """

    asked: int
    worth: float
    least_second: float
    least_window: float
    in_aim: float
    late: float
    failed: float
    refused: float
    urgent_served: float
    urgent_in_aim: float


# Outcomes of groups are listed in this order.
GROUPINGS: dict[str, Callable[[SimulatedRequest], str]] = {
    'priority': lambda request: str(request.kind.priority),
    'kind': lambda request: request.kind.name,
    'domain': lambda request: request.domain,
    'caller': lambda request: 'heavy' if request.is_heavy else 'other',
    'flow': lambda request: 'open' if request.is_on_open_flow else 'new',
    'window': lambda request: f'{_window_of(request, WINDOW_S):02}',
}


def judged_requests(
    load: Load, requests: Iterable[SimulatedRequest]
) -> list[SimulatedRequest]:
    """Return the requests that came in the ``judged`` period of a load."""
    begin_s, end_s = load.judged
    return [
        request for request in requests if begin_s <= request.came_at < end_s
    ]


def group_by(
    requests: Iterable[SimulatedRequest], grouping: str
) -> dict[str, list[SimulatedRequest]]:
    """Return requests by the label of their group, in the order of labels.

    Args:
        requests: The requests.
        grouping: A key of GROUPINGS.
    """
    groups: dict[str, list[SimulatedRequest]] = collections.defaultdict(list)
    for request in requests:
        groups[GROUPINGS[grouping](request)].append(request)
    return dict(sorted(groups.items()))


def summarize(requests: Sequence[SimulatedRequest]) -> Outcome:
    """Summarize requests.

    Args:
        requests: The requests, at least one.
    """
    highest_priority = min(one.kind.priority for one in requests)
    urgent = [one for one in requests if one.kind.priority == highest_priority]
    count = len(requests)
    in_aim = sum(one.is_in_aim for one in requests) / count
    served = sum(one.is_served for one in requests) / count
    return Outcome(
        asked=count,
        worth=earned_share(requests),
        least_second=_least_share(requests, 1),
        least_window=_least_share(requests, WINDOW_S),
        in_aim=in_aim,
        late=served - in_aim,
        failed=1 - served,
        refused=sum(one.refusals > 0 for one in requests) / count,
        urgent_served=sum(one.is_served for one in urgent) / len(urgent),
        urgent_in_aim=sum(one.is_in_aim for one in urgent) / len(urgent),
    )


def earned_share(requests: Sequence[SimulatedRequest]) -> float:
    """Return the earned share of the total worth of requests."""
    total_worth = sum(request.kind.worth for request in requests)
    return sum(request.earned_worth for request in requests) / total_worth


def mean_outcome(outcomes: Sequence[Outcome]) -> Outcome:
    """Return the means of the outcomes of several seeds."""
    columns = zip(*map(dataclasses.astuple, outcomes), strict=True)
    return Outcome(*(statistics.fmean(column) for column in columns))


def worth_spread(outcomes: Sequence[Outcome]) -> float:
    """Return the difference between the highest and lowest worth."""
    worths = [outcome.worth for outcome in outcomes]
    return max(worths) - min(worths)


def _least_share(requests: Sequence[SimulatedRequest], length_s: int) -> float:
    windows: dict[int, list[SimulatedRequest]] = collections.defaultdict(list)
    for request in requests:
        windows[_window_of(request, length_s)].append(request)
    return min(earned_share(window) for window in windows.values())


def _window_of(request: SimulatedRequest, length_s: int) -> int:
    """Return the beginning of the period in which a request came."""
    return int(request.came_at // length_s) * length_s
