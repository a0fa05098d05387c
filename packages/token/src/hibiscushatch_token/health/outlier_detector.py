"""Ejects upstreams that fail far more requests than the rest of their service.

Some upstreams of a service may accept flows and then fail part of the
requests: they hang, respond with errors, reject requests or become slow. A
single entry VM sees too few requests of each upstream to identify them. So the
entry VMs add up the failures that they see (failure_reporter), and the
ejections that this module decides are announced to all of them.

A failure signal alone proves little: the requests of a service differ, and an
overloaded service is late on all upstreams. So an upstream is ejected when its
failures exceed a multiple of the baseline of its service by several failures.
Each signal has a count and a baseline of its own: a service that is busy has
overdue requests everywhere, but none that end early, as errors do.
Placement then avoids it as long as the other upstreams have spare capacity.
Each ejection ends by itself; repeated ejections last longer.
"""

import logging
from collections.abc import Callable, Iterable, Iterator, Mapping

import msgspec

from hibiscushatch_core.decaying_count import DecayingCount
from hibiscushatch_core.reasons import FailureSignal
from hibiscushatch_token.health.request_signals import Failure
from hibiscushatch_token.knowledge.known_state import KnownState
from hibiscushatch_token.model import Upstream
from hibiscushatch_token.settings import OutlierSettings

# The baseline of a service is the mean of this share of its upstreams, those
# with the fewest failures, because the others may be failing.
_BASELINE_SHARE = 2 / 3
_EJECTION_GROWTH = 2.0
# A count that has decayed to this or less is dropped.
_COUNT_NEGLIGIBLE = 0.05

_log = logging.getLogger(__name__)


class Ejection(msgspec.Struct):
    """The latest ejection of an upstream; it may have ended.

    Attributes:
        ends_at: When the ejection ends.
        duration_s: How long it lasts.
    """

    ends_at: float
    duration_s: float


class OutlierDetector:
    """Counts failures by upstream and ejects the outliers.

    Args:
        settings: Thresholds.
        known: The upstreams and the evacuated failure domains.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        settings: OutlierSettings,
        known: KnownState,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._known = known
        self._clock = clock
        self._failures: dict[Failure, DecayingCount] = {}
        self._ejections: dict[str, Ejection] = {}

    @property
    def has_ejections(self) -> bool:
        """Whether any ejection, in force or ended, is still stored."""
        return bool(self._ejections)

    def is_ejected(self, name: str) -> bool:
        """Return whether an upstream is ejected."""
        ejection = self._ejections.get(name)
        return ejection is not None and self._clock() < ejection.ends_at

    def active_ejections(self) -> Iterator[tuple[str, float]]:
        """Yield each ejected upstream's name and its remaining seconds."""
        now = self._clock()
        for name, ejection in self._ejections.items():
            if now < ejection.ends_at:
                yield name, ejection.ends_at - now

    def record_failures(self, failures: Mapping[Failure, int]) -> bool:
        """Count failed requests, and eject the upstreams that are outliers.

        Args:
            failures: Number of failures of each kind.

        Returns:
            Whether an upstream was ejected.
        """
        now = self._clock()
        known = list(self._find_upstreams(failures))
        for failure, _ in known:
            count = self._failures.get(failure)
            if count is None:
                count = DecayingCount(self._settings.half_life_s)
                self._failures[failure] = count
            count.add(now, failures[failure])
        ejected = [
            upstream
            for kind, upstream in known
            if self._eject_outlier(upstream, kind, now)
        ]
        return bool(ejected)

    def adopt_ejection(self, name: str, remaining_s: float, peer: str) -> None:
        """Apply an ejection that a peer has announced.

        Args:
            name: The upstream.
            remaining_s: How long the ejection still lasts.
            peer: Control address of the peer.
        """
        if self._known.registry.find(name) is None:
            return
        is_new = not self.is_ejected(name)
        duration_s = min(remaining_s, self._settings.ejection_max_s)
        self._ejections[name] = Ejection(self._clock() + duration_s, duration_s)
        if is_new:
            _log.info(
                'ejection taken over',
                extra={
                    'upstream': name,
                    'ejected_s': round(duration_s, 3),
                    'peer': peer,
                },
            )

    def forget(self, upstream: Upstream) -> None:
        """Drop the state of an upstream that was removed or restarted."""
        for signal in FailureSignal:
            self._failures.pop(Failure(upstream.name, signal), None)
        self._ejections.pop(upstream.name, None)

    def expire(self) -> None:
        """Drop negligible counts, and ejections that ended long ago."""
        now = self._clock()
        self._failures = {
            failure: count
            for failure, count in self._failures.items()
            if count.value_at(now) > _COUNT_NEGLIGIBLE
        }
        memory_s = self._settings.ejection_memory_s
        self._ejections = {
            name: ejection
            for name, ejection in self._ejections.items()
            if now < ejection.ends_at + memory_s
        }

    def _find_upstreams(
        self, failures: Iterable[Failure]
    ) -> Iterator[tuple[Failure, Upstream]]:
        for failure in failures:
            upstream = self._known.registry.find(failure.upstream)
            if upstream is not None:
                yield failure, upstream

    def _eject_outlier(
        self, upstream: Upstream, failure: Failure, now: float
    ) -> bool:
        failures = self._failures[failure].value_at(now)
        threshold = self._failures_min(upstream.name, now)
        if failures < threshold or self.is_ejected(upstream.name):
            return False
        evacuated = self._known.routing.evacuated
        eligible = [
            other
            for other in self._known.registry.of_service(upstream.service)
            if not other.is_draining and other.domain not in evacuated
        ]
        baseline = self._baseline_failures(eligible, failure.signal, now)
        if failures < threshold + baseline * self._settings.failures_ratio:
            return False
        if not self._may_eject(upstream, eligible):
            return False
        self._eject(upstream, failure, failures, baseline, now)
        return True

    def _failures_min(self, name: str, now: float) -> float:
        # For a short time after an ejection, one failure is enough for the
        # next one.
        ejection = self._ejections.get(name)
        probation_s = self._settings.probation_s
        if ejection is not None and now < ejection.ends_at + probation_s:
            return 1
        return self._settings.failures_min

    def _baseline_failures(
        self, eligible: list[Upstream], signal: FailureSignal, now: float
    ) -> float:
        kinds = (Failure(upstream.name, signal) for upstream in eligible)
        counts = sorted(
            self._failures[kind].value_at(now) if kind in self._failures else 0
            for kind in kinds
        )
        fewest = counts[: int(len(counts) * _BASELINE_SHARE)]
        return sum(fewest) / len(fewest) if fewest else 0

    def _may_eject(self, upstream: Upstream, eligible: list[Upstream]) -> bool:
        settings = self._settings
        ejected = [other for other in eligible if self.is_ejected(other.name)]
        if len(ejected) + 1 > len(eligible) * settings.share_max:
            return False
        # When most upstreams of a domain fail, the cause is rather the network
        # path to that domain.
        in_domain = [
            other for other in eligible if other.domain == upstream.domain
        ]
        ejected_in_domain = [
            other for other in ejected if other.domain == upstream.domain
        ]
        max_in_domain = max(1, len(in_domain) * settings.domain_share_max)
        return len(ejected_in_domain) + 1 <= max_in_domain

    def _eject(
        self,
        upstream: Upstream,
        failure: Failure,
        failures: float,
        baseline: float,
        now: float,
    ) -> None:
        settings = self._settings
        duration_s = settings.ejection_min_s
        previous = self._ejections.get(upstream.name)
        if previous is not None:
            longer_s = previous.duration_s * _EJECTION_GROWTH
            duration_s = min(settings.ejection_max_s, longer_s)
        self._ejections[upstream.name] = Ejection(now + duration_s, duration_s)
        _log.info(
            'upstream ejected',
            extra={
                'upstream': upstream.name,
                'service': upstream.service,
                'domain': upstream.domain,
                'signal': failure.signal.value,
                'failures': round(failures, 2),
                'usual_failures': round(baseline, 2),
                'ejected_s': duration_s,
            },
        )
