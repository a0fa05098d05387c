"""Which upstreams answer requests much more slowly than others.

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

from hibiscushatch_token.model import Upstream

# Work of requests varies; one in some hundred takes four times the mean.
_SLOW_FACTOR = 4.0
# No request is slow that takes less; half of the shortest aims.
_SLOW_FLOOR_S = 0.1
_USUAL_WEIGHT = 0.05
# A single slow request moves what is usual no more than one of this many times.
_USUAL_CLIP = 2.0
# Requests of a service before anything is called slow.
_SAMPLES_MIN = 20
_AVOID_MIN_S = 3.0
_AVOID_MAX_S = 12.0
_AVOID_GROWTH = 2.0
# The part of a service's upstreams that may be avoided as slow.
_SLOW_SHARE_MAX = 1 / 3

_log = logging.getLogger(__name__)


class _Usual(msgspec.Struct):
    """Moving average of the times of one service."""

    seconds: float
    samples: int = 1


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
        self._usual: dict[str, _Usual] = {}
        self._avoided: dict[str, _Avoided] = {}

    def slow_after_s(self, service: str) -> float:
        """Return how long a request may take; infinite when unknown."""
        usual = self._usual.get(service)
        if usual is None or usual.samples < _SAMPLES_MIN:
            return float('inf')
        return max(_SLOW_FLOOR_S, usual.seconds * _SLOW_FACTOR)

    def responded(self, upstream: Upstream, seconds: float) -> None:
        """Count a request that was answered."""
        if seconds > self.slow_after_s(upstream.service):
            self.note_slow(upstream, seconds)
        elif self._avoided.pop(upstream.name, None) is not None:
            _log.info(
                'upstream no longer slow',
                extra={
                    'upstream': upstream.name,
                    'response_s': round(seconds, 3),
                },
            )
        self._note_usual(upstream.service, seconds)

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
        _log.info(
            'upstream slow',
            extra={
                'upstream': upstream.name,
                'waited_s': round(seconds, 3),
                'slow_after_s': round(self.slow_after_s(upstream.service), 3),
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

    def _note_usual(self, service: str, seconds: float) -> None:
        usual = self._usual.get(service)
        if usual is None:
            self._usual[service] = _Usual(seconds)
            return
        usual.samples += 1
        clipped = min(seconds, usual.seconds * _USUAL_CLIP)
        usual.seconds += (clipped - usual.seconds) * _USUAL_WEIGHT
