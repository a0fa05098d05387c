"""What is known of the health of upstreams, in one place for placement.

Upstreams that do not answer are left out except for single flows that try
them again; upstreams that answer late, slowly or wrongly are avoided.
"""

from collections.abc import Callable, Iterator

from hibiscushatch_core.upstream_health import Verdict
from hibiscushatch_token.health.outlier_detector import OutlierDetector
from hibiscushatch_token.health.reachability import Reachability
from hibiscushatch_token.health.response_times import ResponseTimes
from hibiscushatch_token.model import Upstream


class UpstreamVerdicts:
    """Joins the verdicts of all observers.

    Args:
        reachability: Which upstreams accept flows.
        times: Which upstreams answer slowly.
        outliers: Which upstreams are ejected.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        reachability: Reachability,
        times: ResponseTimes,
        outliers: OutlierDetector,
        clock: Callable[[], float],
    ) -> None:
        self._reachability = reachability
        self._times = times
        self._outliers = outliers
        self._clock = clock
        self._unreachable_at: float | None = None

    @property
    def unreachable_at(self) -> float | None:
        """When last no upstream of a route was known to answer."""
        return self._unreachable_at

    def note_unreachable(self) -> None:
        """Note that no upstream of a route is known to answer."""
        self._unreachable_at = self._clock()

    def without_dead(self, candidates: list[Upstream]) -> list[Upstream]:
        """Leave out the upstreams that do not answer."""
        if not self._reachability.has_dead:
            return candidates
        return [one for one in candidates if not self._is_dead(one)]

    def take_due_probe(self, candidates: list[Upstream]) -> Upstream | None:
        """Choose a dead upstream that a single flow should try again."""
        now = self._clock()
        for upstream in candidates:
            is_dead = self._is_dead(upstream)
            if is_dead and self._reachability.may_probe(upstream, now):
                self._reachability.probe_started(upstream, now)
                return upstream
        return None

    def doubtful_names(self) -> Iterator[str]:
        """Yield the upstreams that left a packet unanswered lately."""
        return self._reachability.doubtful_names(self._clock())

    def avoided_among(self, candidates: list[Upstream]) -> frozenset[str]:
        """Name those that answer slowly, and those that are ejected."""
        slow = self._times.slow_among(candidates)
        if not self._outliers.has_ejected:
            return slow
        is_ejected = self._outliers.is_ejected
        return slow.union(
            one.name for one in candidates if is_ejected(one.name)
        )

    def verdict(self, upstream: Upstream) -> Verdict:
        """Tell whether an upstream accepts flows from here."""
        return self._reachability.verdict(upstream)

    def is_slow(self, upstream: Upstream) -> bool:
        """Tell whether an upstream answered slowly a moment ago."""
        return self._times.is_slow(upstream)

    def forget(self, upstream: Upstream) -> None:
        """Drop what is known of an upstream that is gone or began anew."""
        self._reachability.forget(upstream)
        self._times.forget(upstream)
        self._outliers.forget(upstream)

    def _is_dead(self, upstream: Upstream) -> bool:
        return self._reachability.verdict(upstream) is Verdict.DEAD
