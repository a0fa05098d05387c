"""Response times by service, and the upstreams that are much slower.

The upstreams of a service are alike, but a few may become slow or hang while
they still accept flows. Requests are not parsed: the time of a request
runs from a caller's packet with payload to the caller's next packet, which
follows the first bytes of the response. An upstream that took several times the
baseline of its service is chosen last for some seconds, longer each time. Where
many upstreams are slow, the cause is the load, and none is avoided.
"""

import logging
from collections.abc import Callable, Collection

import msgspec

from hibiscushatch_token.health.request_signals import (
    EarlyEndSignal,
    OverdueSignal,
    RequestTimes,
    ServiceBaseline,
)
from hibiscushatch_token.model import Upstream

_AVERAGE_WEIGHT = 0.05
# Times are clipped to this multiple of the average, so that a single slow
# request hardly moves it.
_AVERAGE_CLIP = 2.0
# The share of early ends is averaged over about this many requests.
_EARLY_SHARE_SAMPLES = 200
# Early ends are left out of the average times, because a request that an
# overloaded upstream rejects does not show how long the work of requests takes.
# When more than this share ends early, the service has become faster, and early
# ends are averaged too.
_FASTER_EARLY_SHARE = 0.98
# Requests of a service before its baseline is used.
_SAMPLES_MIN = 20
_AVOID_MIN_S = 3.0
_AVOID_MAX_S = 12.0
_AVOID_GROWTH = 2.0
# The share of a service's upstreams that may be avoided as slow.
_SLOW_SHARE_MAX = 1 / 3
_UNKNOWN_BASELINE = ServiceBaseline()

_log = logging.getLogger(__name__)


class _ClippedAverage(msgspec.Struct):
    """Moving average of times, in seconds; long times are clipped."""

    seconds: float

    def add(self, seconds: float) -> None:
        """Add one time."""
        clipped = min(seconds, self.seconds * _AVERAGE_CLIP)
        self.seconds += (clipped - self.seconds) * _AVERAGE_WEIGHT


class _ServiceTimes(msgspec.Struct):
    """Averages over the requests of one service."""

    response: _ClippedAverage
    work: _ClippedAverage
    baseline: ServiceBaseline
    samples: int = 1
    early_share: float = 0


class _Avoidance(msgspec.Struct):
    """The latest avoidance of a slow upstream; it may have ended.

    Attributes:
        ends_at: When the avoidance ends.
        duration_s: How long it lasts.
    """

    ends_at: float
    duration_s: float


class ResponseTimes:
    """Times of requests, by service, and the upstreams that were slow.

    Args:
        clock: Monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._services: dict[str, _ServiceTimes] = {}
        self._avoidances: dict[str, _Avoidance] = {}
        self._overdue = OverdueSignal()
        self._early_end = EarlyEndSignal()

    def baseline(self, service: str) -> ServiceBaseline:
        """Return the baseline of a service; zeros until enough requests."""
        averages = self._services.get(service)
        if averages is None or averages.samples < _SAMPLES_MIN:
            return _UNKNOWN_BASELINE
        return averages.baseline

    def record_response(self, upstream: Upstream, times: RequestTimes) -> None:
        """Record a request that was answered."""
        if self._overdue.matches(times, self.baseline(upstream.service)):
            self.record_slow(upstream, times.waited_s)
        elif self._avoidances.pop(upstream.name, None) is not None:
            _log.info(
                'upstream no longer slow',
                extra={
                    'upstream': upstream.name,
                    'response_s': round(times.waited_s, 3),
                },
            )
        self._update_baseline(upstream.service, times)

    def record_slow(self, upstream: Upstream, waited_s: float) -> None:
        """Avoid an upstream for a while after a request waited too long."""
        now = self._clock()
        previous = self._avoidances.get(upstream.name)
        if previous is not None and now < previous.ends_at:
            return
        duration_s = _AVOID_MIN_S
        if previous is not None:
            duration_s = min(_AVOID_MAX_S, previous.duration_s * _AVOID_GROWTH)
        self._avoidances[upstream.name] = _Avoidance(
            now + duration_s, duration_s
        )
        slow_after_s = self._overdue.threshold_s(
            self.baseline(upstream.service)
        )
        _log.info(
            'upstream slow',
            extra={
                'upstream': upstream.name,
                'waited_s': round(waited_s, 3),
                'slow_after_s': round(slow_after_s, 3),
                'avoided_s': duration_s,
            },
        )

    def is_slow(self, upstream: Upstream) -> bool:
        """Return whether an upstream is avoided as slow."""
        avoidance = self._avoidances.get(upstream.name)
        return avoidance is not None and self._clock() < avoidance.ends_at

    def slow_names(self, candidates: Collection[Upstream]) -> frozenset[str]:
        """Return the names of slow candidates; none where many are slow.

        Args:
            candidates: The upstreams of a service that may get a flow.
        """
        if not self._avoidances:
            return frozenset()
        slow = frozenset(
            upstream.name for upstream in candidates if self.is_slow(upstream)
        )
        is_widespread = len(slow) > len(candidates) * _SLOW_SHARE_MAX
        return frozenset() if is_widespread else slow

    def forget(self, upstream: Upstream) -> None:
        """Drop the state of an upstream that was removed or restarted."""
        self._avoidances.pop(upstream.name, None)

    def _update_baseline(self, service: str, times: RequestTimes) -> None:
        averages = self._services.get(service)
        if averages is None:
            self._services[service] = _ServiceTimes(
                _ClippedAverage(times.waited_s),
                _ClippedAverage(times.work_s),
                ServiceBaseline(times.waited_s, times.work_s),
            )
            return
        averages.samples += 1
        is_early = self._early_end.is_early(times, averages.baseline)
        change = is_early - averages.early_share
        averages.early_share += change / min(
            averages.samples, _EARLY_SHARE_SAMPLES
        )
        if not is_early or averages.early_share > _FASTER_EARLY_SHARE:
            averages.response.add(times.waited_s)
            averages.work.add(times.work_s)
        averages.baseline = ServiceBaseline(
            averages.response.seconds,
            averages.work.seconds,
            averages.early_share,
        )
