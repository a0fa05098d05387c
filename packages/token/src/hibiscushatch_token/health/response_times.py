"""How long requests take, and which upstreams take much longer than others.

The load answered is a service whose upstreams are alike, of which a few turn
slow or hang while they still accept flows. A request is not parsed: its time
runs from a caller's packet with payload to the caller's next packet, which
follows the first bytes of the response. An upstream that took several times
what is usual for its service is the last choice for some seconds, longer each
time. Where many are slow it is the load, and none is avoided.
"""

import logging
from collections.abc import Callable, Collection

import msgspec

from hibiscushatch_token.health.request_signals import (
    EarlyEndSignal,
    OverdueSignal,
    RequestTimes,
    UsualTimes,
)
from hibiscushatch_token.model import Upstream

_USUAL_WEIGHT = 0.05
# A single slow request moves what is usual no more than one of this many times.
_USUAL_CLIP = 2.0
# So many requests tell how often they end early.
_EARLY_MEMORY = 200
# Where nearly all end early, the service has become faster. Where fewer do,
# overloaded upstreams reject them, which says nothing of the work.
_FASTER_SHARE = 0.98
# Requests of a service before anything is called slow.
_SAMPLES_MIN = 20
_AVOID_MIN_S = 3.0
_AVOID_MAX_S = 12.0
_AVOID_GROWTH = 2.0
# The part of a service's upstreams that may be avoided as slow.
_SLOW_SHARE_MAX = 1 / 3
_UNKNOWN = UsualTimes()

_log = logging.getLogger(__name__)


class _MovingAverage(msgspec.Struct):
    """Moving average of times, in seconds, in which none weighs much."""

    seconds: float

    def add(self, seconds: float) -> None:
        """Add one time."""
        clipped = min(seconds, self.seconds * _USUAL_CLIP)
        self.seconds += (clipped - self.seconds) * _USUAL_WEIGHT


class _ServiceTimes(msgspec.Struct):
    """Times of the requests of one service."""

    response: _MovingAverage
    work: _MovingAverage
    usual: UsualTimes
    samples: int = 1
    early_share: float = 0


class _Avoided(msgspec.Struct):
    """An upstream that was slow.

    Attributes:
        until: When it is tried again.
        pause_s: How long it was avoided the last time.
    """

    until: float
    pause_s: float


class ResponseTimes:
    """Times of requests, by service, and the upstreams that were slow.

    Args:
        clock: Monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._services: dict[str, _ServiceTimes] = {}
        self._avoided: dict[str, _Avoided] = {}
        self._overdue = OverdueSignal()
        self._early_end = EarlyEndSignal()

    def usual(self, service: str) -> UsualTimes:
        """Return what is usual for a service."""
        known = self._services.get(service)
        if known is None or known.samples < _SAMPLES_MIN:
            return _UNKNOWN
        return known.usual

    def responded(self, upstream: Upstream, times: RequestTimes) -> None:
        """Count a request that was answered."""
        if self._overdue.is_given(times, self.usual(upstream.service)):
            self.note_slow(upstream, times.waited_s)
        elif self._avoided.pop(upstream.name, None) is not None:
            _log.info(
                'upstream no longer slow',
                extra={
                    'upstream': upstream.name,
                    'response_s': round(times.waited_s, 3),
                },
            )
        self._note_usual(upstream.service, times)

    def note_slow(self, upstream: Upstream, seconds: float) -> None:
        """Avoid an upstream that has left a request waiting for long."""
        now = self._clock()
        before = self._avoided.get(upstream.name)
        if before is not None and now < before.until:
            return
        pause_s = _AVOID_MIN_S
        if before is not None:
            pause_s = min(_AVOID_MAX_S, before.pause_s * _AVOID_GROWTH)
        self._avoided[upstream.name] = _Avoided(now + pause_s, pause_s)
        slow_after_s = self._overdue.after_s(self.usual(upstream.service))
        _log.info(
            'upstream slow',
            extra={
                'upstream': upstream.name,
                'waited_s': round(seconds, 3),
                'slow_after_s': round(slow_after_s, 3),
                'avoided_s': pause_s,
            },
        )

    def is_slow(self, upstream: Upstream) -> bool:
        """Tell whether an upstream was slow a moment ago."""
        avoided = self._avoided.get(upstream.name)
        return avoided is not None and self._clock() < avoided.until

    def slow_among(self, upstreams: Collection[Upstream]) -> frozenset[str]:
        """Name the upstreams of a service to avoid; none where many are slow.

        Args:
            upstreams: The upstreams that may get a flow.
        """
        if not self._avoided:
            return frozenset()
        slow = frozenset(one.name for one in upstreams if self.is_slow(one))
        is_load = len(slow) > len(upstreams) * _SLOW_SHARE_MAX
        return frozenset() if is_load else slow

    def forget(self, upstream: Upstream) -> None:
        """Drop what is known of an upstream that is gone or began anew."""
        self._avoided.pop(upstream.name, None)

    def _note_usual(self, service: str, times: RequestTimes) -> None:
        known = self._services.get(service)
        if known is None:
            self._services[service] = _ServiceTimes(
                _MovingAverage(times.waited_s),
                _MovingAverage(times.work_s),
                UsualTimes(times.waited_s, times.work_s),
            )
            return
        known.samples += 1
        is_early = self._early_end.is_early(times, known.usual)
        change = is_early - known.early_share
        known.early_share += change / min(known.samples, _EARLY_MEMORY)
        if not is_early or known.early_share > _FASTER_SHARE:
            known.response.add(times.waited_s)
            known.work.add(times.work_s)
        known.usual = UsualTimes(
            known.response.seconds, known.work.seconds, known.early_share
        )
