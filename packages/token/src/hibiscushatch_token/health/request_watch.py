"""Measures how long requests take, by the packets of callers.

A caller's packet with payload begins a request. The caller's next packet
without payload, or its last packet, follows the first bytes of the response.
"""

import collections
import enum
from collections.abc import Callable

import msgspec

from hibiscushatch_core.counters import Counters
from hibiscushatch_token.health.request_signals import (
    EarlyEndSignal,
    Failure,
    OverdueSignal,
    RequestSignal,
    RequestTimes,
)
from hibiscushatch_token.health.response_times import ResponseTimes
from hibiscushatch_token.model import Upstream
from hibiscushatch_token.ports import FlowPacket

# Requests are dropped after this time: the caller has given up, or its flow
# continues at another entry VM.
_WAIT_MAX_S = 10.0
# After a longer gap between checks, this process was paused and may have missed
# packets, so the waiting requests show nothing about their upstreams.
_CHECK_GAP_MAX_S = 0.5
_OVERDUE = OverdueSignal()
_EARLY_END = EarlyEndSignal()
_SIGNALS: tuple[RequestSignal, ...] = (_OVERDUE, _EARLY_END)


class _Request(msgspec.Struct):
    """A request that waits for its response.

    Attributes:
        upstream: The upstream of its flow.
        began_at: When the caller sent it.
        handshake_s: How long the upstream took to accept the flow.
        overdue_at: When its wait becomes a failure.
        is_failed: Whether it is already counted as a failure.
    """

    upstream: Upstream
    began_at: float
    handshake_s: float
    overdue_at: float
    is_failed: bool = False


class RequestEnd(enum.Enum):
    """How a request ended, as far as its times show.

    Attributes:
        ANSWERED: Its response began.
        REJECTED: Its response came too early for any work.
    """

    ANSWERED = enum.auto()
    REJECTED = enum.auto()


class RequestWatch:
    """The requests that wait for a response, by flow.

    Args:
        response_times: Receives how long requests took.
        counters: Counts signals of failure.
        clock: Monotonic seconds.
        on_served: Called with the service and the response time of each
            request that was answered and did not end early.
    """

    def __init__(
        self,
        response_times: ResponseTimes,
        counters: Counters,
        clock: Callable[[], float],
        on_served: Callable[[str, float], None],
    ) -> None:
        self._response_times = response_times
        self._counters = counters
        self._clock = clock
        self._on_served = on_served
        self._waiting: dict[bytes, _Request] = {}
        self._failures: collections.Counter[Failure] = collections.Counter()
        self._checked_at = clock()

    def observe_packet(
        self, packet: FlowPacket, upstream: Upstream, handshake_s: float
    ) -> RequestEnd | None:
        """Begin or end a request, by a packet of an accepted flow.

        Args:
            packet: The caller's packet.
            upstream: The upstream of its flow.
            handshake_s: How long the upstream took to accept the flow.

        Returns:
            How a request ended; None if none did.
        """
        now = self._clock()
        # When it arrived here. A pause of this process is no response time.
        arrived_at = now - packet.waited_s
        request = self._waiting.get(packet.flow)
        if packet.has_payload and not packet.is_last:
            if request is None:
                self._waiting[packet.flow] = self._begin(
                    upstream, now, handshake_s
                )
            return None
        if request is None:
            return None
        del self._waiting[packet.flow]
        return self._end(request, max(arrived_at, request.began_at))

    def record_overdue(self) -> None:
        """Count overdue requests as failures, and drop abandoned ones."""
        now = self._clock()
        if now - self._checked_at > _CHECK_GAP_MAX_S:
            self._waiting.clear()
        self._checked_at = now
        for request in self._waiting.values():
            if now > request.overdue_at and not request.is_failed:
                waited_s = now - request.began_at
                self._response_times.record_slow(request.upstream, waited_s)
                self._record_failure(request, _OVERDUE)
        abandoned = [
            flow
            for flow, waiting in self._waiting.items()
            if now > waiting.began_at + _WAIT_MAX_S
        ]
        for flow in abandoned:
            del self._waiting[flow]

    def take_failures(self) -> collections.Counter[Failure]:
        """Return the failures since the last call."""
        failures = self._failures
        if failures:
            self._failures = collections.Counter()
        return failures

    def _begin(
        self, upstream: Upstream, now: float, handshake_s: float
    ) -> _Request:
        baseline = self._response_times.baseline(upstream.service)
        overdue_at = now + _OVERDUE.threshold_s(baseline)
        return _Request(upstream, now, handshake_s, overdue_at)

    def _end(self, request: _Request, now: float) -> RequestEnd:
        times = RequestTimes(
            now - request.began_at, request.handshake_s, is_answered=True
        )
        baseline = self._response_times.baseline(request.upstream.service)
        for signal in _SIGNALS:
            if signal.matches(times, baseline):
                self._record_failure(request, signal)
        is_early = _EARLY_END.is_early(times, baseline)
        if not is_early:
            self._on_served(request.upstream.service, times.waited_s)
        self._response_times.record_response(request.upstream, times)
        return RequestEnd.REJECTED if is_early else RequestEnd.ANSWERED

    def _record_failure(self, request: _Request, signal: RequestSignal) -> None:
        if not request.is_failed:
            request.is_failed = True
            self._failures[Failure(request.upstream.name, signal.name)] += 1
            self._counters.failure_signals[signal.name] += 1
