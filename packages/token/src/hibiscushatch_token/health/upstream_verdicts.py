"""Combines what is known of the health of upstreams, for placement.

Upstreams that do not answer get no flows, except for single flows that probe
them. Upstreams that answer late, slowly or wrongly are avoided.
"""

from collections.abc import Callable, Iterator

from hibiscushatch_core.upstream_health import Verdict
from hibiscushatch_token.health.outlier_detector import OutlierDetector
from hibiscushatch_token.health.reachability import Reachability
from hibiscushatch_token.health.response_times import ResponseTimes
from hibiscushatch_token.model import Upstream


class UpstreamVerdicts:
    """Combines reachability, response times and ejections of upstreams.

    Args:
        reachability: Which upstreams accept flows.
        response_times: Which upstreams are slow.
        outliers: Which upstreams are ejected.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        reachability: Reachability,
        response_times: ResponseTimes,
        outliers: OutlierDetector,
        clock: Callable[[], float],
    ) -> None:
        self._reachability = reachability
        self._response_times = response_times
        self._outliers = outliers
        self._clock = clock
        self._unreachable_at: float | None = None

    @property
    def unreachable_at(self) -> float | None:
        """When all upstreams that could get a flow were last found dead."""
        return self._unreachable_at

    def record_unreachable(self) -> None:
        """Record that all upstreams that could get a flow are dead."""
        self._unreachable_at = self._clock()

    def without_dead(self, candidates: list[Upstream]) -> list[Upstream]:
        """Return the candidates that are not dead."""
        if not self._reachability.has_dead:
            return candidates
        return [
            upstream for upstream in candidates if not self._is_dead(upstream)
        ]

    def take_due_probe(self, candidates: list[Upstream]) -> Upstream | None:
        """Return a dead upstream due for a probe, and record the probe."""
        now = self._clock()
        for upstream in candidates:
            is_dead = self._is_dead(upstream)
            if is_dead and self._reachability.may_probe(upstream, now):
                self._reachability.record_probe(upstream, now)
                return upstream
        return None

    def recent_suspects(self) -> Iterator[str]:
        """Yield the names of suspect upstreams that failed recently."""
        return self._reachability.recent_suspects(self._clock())

    def avoided_names(self, candidates: list[Upstream]) -> frozenset[str]:
        """Return the names of the candidates that are slow or ejected."""
        slow = self._response_times.slow_names(candidates)
        if not self._outliers.has_ejections:
            return slow
        is_ejected = self._outliers.is_ejected
        return slow.union(
            upstream.name
            for upstream in candidates
            if is_ejected(upstream.name)
        )

    def verdict(self, upstream: Upstream) -> Verdict:
        """Return whether an upstream accepts flows of this entry VM."""
        return self._reachability.verdict(upstream)

    def is_slow(self, upstream: Upstream) -> bool:
        """Return whether an upstream is avoided as slow."""
        return self._response_times.is_slow(upstream)

    def forget(self, upstream: Upstream) -> None:
        """Drop the state of an upstream that was removed or restarted."""
        self._reachability.forget(upstream)
        self._response_times.forget(upstream)
        self._outliers.forget(upstream)

    def _is_dead(self, upstream: Upstream) -> bool:
        return self._reachability.verdict(upstream) is Verdict.DEAD
