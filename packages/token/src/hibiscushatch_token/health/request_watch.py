"""Takes the times of requests from the packets of callers.

A caller's packet with payload begins a request; its next packet without
payload, or its last packet, follows the first bytes of the response.
"""

import collections
from collections.abc import Callable

import msgspec

from hibiscushatch_core.counters import Counters
from hibiscushatch_token.health.request_signals import (
    EarlyEndSignal,
    OverdueSignal,
    RequestSignal,
    RequestTimes,
)
from hibiscushatch_token.health.response_times import ResponseTimes
from hibiscushatch_token.model import Upstream
from hibiscushatch_token.ports import FlowPacket

# Callers give up before that, or the flow went on at another entry VM.
_FORGET_S = 10.0
# A process that looked this long ago was paused; what it missed says nothing.
_PAUSE_S = 0.5
_OVERDUE = OverdueSignal()
_EARLY_END = EarlyEndSignal()
_SIGNALS: tuple[RequestSignal, ...] = (_OVERDUE, _EARLY_END)


class _Request(msgspec.Struct):
    """A request that waits for its response."""

    upstream: Upstream
    began_at: float
    handshake_s: float
    overdue_at: float
    is_counted: bool = False


class RequestWatch:
    """The requests that wait for a response, by flow.

    Args:
        times: Told how long requests took.
        counters: Counts signs of failure.
        clock: Monotonic seconds.
        served: Called with the service and the time of each request that was
            answered and not too early.
    """

    def __init__(
        self,
        times: ResponseTimes,
        counters: Counters,
        clock: Callable[[], float],
        served: Callable[[str, float], None],
    ) -> None:
        self._times = times
        self._counters = counters
        self._clock = clock
        self._served = served
        self._waiting: dict[bytes, _Request] = {}
        self._failures: collections.Counter[str] = collections.Counter()
        self._looked_at = clock()

    def saw(
        self, packet: FlowPacket, upstream: Upstream, handshake_s: float
    ) -> None:
        """Take over a packet of a flow that an upstream has accepted.

        Args:
            packet: The caller's packet.
            upstream: The upstream of its flow.
            handshake_s: How long the upstream took to accept the flow.
        """
        now = self._clock()
        request = self._waiting.get(packet.flow)
        if packet.has_payload and not packet.is_last:
            if request is None:
                self._waiting[packet.flow] = self._begin(
                    upstream, now, handshake_s
                )
        elif request is not None:
            del self._waiting[packet.flow]
            times = RequestTimes(
                now - request.began_at, request.handshake_s, is_answered=True
            )
            usual = self._times.usual(request.upstream.service)
            for signal in _SIGNALS:
                if signal.is_given(times, usual):
                    self._count(request, signal)
            if not _EARLY_END.is_early(times, usual):
                self._served(request.upstream.service, times.waited_s)
            self._times.responded(request.upstream, times)

    def note_overdue(self) -> None:
        """Count the requests that wait for much longer than usual."""
        now = self._clock()
        if now - self._looked_at > _PAUSE_S:
            self._waiting.clear()
        self._looked_at = now
        for request in self._waiting.values():
            if now > request.overdue_at and not request.is_counted:
                waited_s = now - request.began_at
                self._times.note_slow(request.upstream, waited_s)
                self._count(request, _OVERDUE)
        forgotten = [
            flow
            for flow, one in self._waiting.items()
            if now > one.began_at + _FORGET_S
        ]
        for flow in forgotten:
            del self._waiting[flow]

    def take_failures(self) -> collections.Counter[str]:
        """Return the failures since the last call, by upstream."""
        failures = self._failures
        if failures:
            self._failures = collections.Counter()
        return failures

    def _begin(
        self, upstream: Upstream, now: float, handshake_s: float
    ) -> _Request:
        usual = self._times.usual(upstream.service)
        overdue_at = now + _OVERDUE.after_s(usual)
        return _Request(upstream, now, handshake_s, overdue_at)

    def _count(self, request: _Request, signal: RequestSignal) -> None:
        if not request.is_counted:
            request.is_counted = True
            self._failures[request.upstream.name] += 1
            self._counters.failure_signals[signal.name] += 1
