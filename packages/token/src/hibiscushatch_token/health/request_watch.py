"""Takes the times of requests from the packets of callers.

A caller's packet with payload begins a request; its next packet without
payload, or its last packet, follows the first bytes of the response.
"""

from collections.abc import Callable

import msgspec

from hibiscushatch_token.health.response_times import ResponseTimes
from hibiscushatch_token.model import Upstream
from hibiscushatch_token.ports import FlowPacket

# Callers give up before that, or the flow went on at another entry VM.
_FORGET_S = 10.0


class _Request(msgspec.Struct):
    """A request that waits for its response."""

    upstream: Upstream
    began_at: float


class RequestWatch:
    """The requests that wait for a response, by flow.

    Args:
        times: Told how long requests took.
        clock: Monotonic seconds.
    """

    def __init__(
        self, times: ResponseTimes, clock: Callable[[], float]
    ) -> None:
        self._times = times
        self._clock = clock
        self._waiting: dict[bytes, _Request] = {}

    def saw(self, packet: FlowPacket, upstream: Upstream) -> None:
        """Take over a packet of a flow that an upstream has accepted."""
        now = self._clock()
        request = self._waiting.get(packet.flow)
        if packet.has_payload and not packet.is_last:
            if request is None:
                self._waiting[packet.flow] = _Request(upstream, now)
        elif request is not None:
            del self._waiting[packet.flow]
            self._times.responded(request.upstream, now - request.began_at)

    def note_overdue(self) -> None:
        """Count the requests that wait for much longer than usual."""
        now = self._clock()
        for flow, request in tuple(self._waiting.items()):
            waited_s = now - request.began_at
            if waited_s > self._times.slow_after_s(request.upstream.service):
                self._times.note_slow(request.upstream, waited_s)
            if waited_s > _FORGET_S:
                del self._waiting[flow]
