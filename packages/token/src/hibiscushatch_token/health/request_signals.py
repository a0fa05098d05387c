"""Signs in the packets of a request that its upstream fails it.

An entry VM does not read requests. It sees when a caller sent one and when the
caller's next packet followed the first bytes of the response. Each sign is
compared with what is usual for the service; a single one proves nothing, as
requests differ, and is only counted (outlier_detector).
"""

import abc

import msgspec

from hibiscushatch_core.reasons import FailureSignal


class RequestTimes(msgspec.Struct, frozen=True):
    """The times of one request.

    Attributes:
        waited_s: From the request to the first bytes of the response, or
            until now.
        handshake_s: From the opening packet to the answer of the upstream:
            the way there and back.
        is_answered: The response has begun.
    """

    waited_s: float
    handshake_s: float
    is_answered: bool

    @property
    def work_s(self) -> float:
        """How long the upstream took, without the way there and back."""
        return max(0.0, self.waited_s - self.handshake_s)


class UsualTimes(msgspec.Struct, frozen=True):
    """What is usual for a service; zero where that is not known yet.

    Attributes:
        response_s: Time to the first bytes of a response.
        work_s: The part of it that the upstream takes.
        early_share: The part of its requests that end early.
    """

    response_s: float = 0
    work_s: float = 0
    early_share: float = 0


class RequestSignal(abc.ABC):
    """A sign that an upstream fails a request."""

    @property
    @abc.abstractmethod
    def name(self) -> FailureSignal:
        """Name of the sign in counters."""

    @abc.abstractmethod
    def is_given(self, times: RequestTimes, usual: UsualTimes) -> bool:
        """Tell whether a request gives the sign."""


class OverdueSignal(RequestSignal):
    """The response takes several times as long as usual.

    Upstreams that hang, lose requests or reset their flows leave a caller
    without a response; slow ones answer late.
    """

    # Work of requests varies; one in some hundred takes four times the mean.
    _FACTOR = 4.0
    # No request is overdue that takes less; half of the shortest aims.
    _FLOOR_S = 0.1

    @property
    def name(self) -> FailureSignal:
        """Name of the sign."""
        return FailureSignal.OVERDUE

    def after_s(self, usual: UsualTimes) -> float:
        """Return how long a request may take; infinite when unknown."""
        if not usual.response_s:
            return float('inf')
        return max(self._FLOOR_S, usual.response_s * self._FACTOR)

    def is_given(self, times: RequestTimes, usual: UsualTimes) -> bool:
        """Tell whether a request takes too long."""
        return times.waited_s > self.after_s(usual)


class EarlyEndSignal(RequestSignal):
    """The response comes far sooner than the work takes.

    Upstreams that answer requests with errors, or reject them, do so within
    a millisecond or two. Where many requests end early, that is how the
    service works.
    """

    # Work this much shorter than usual was hardly done.
    _FACTOR = 0.15
    # Below that, the jitter of this process hides the difference.
    _USUAL_WORK_MIN_S = 0.02
    _SHARE_MAX = 0.1

    @property
    def name(self) -> FailureSignal:
        """Name of the sign."""
        return FailureSignal.EARLY_END

    def is_given(self, times: RequestTimes, usual: UsualTimes) -> bool:
        """Tell whether a request was answered too soon."""
        if usual.early_share > self._SHARE_MAX:
            return False
        return self.is_early(times, usual)

    def is_early(self, times: RequestTimes, usual: UsualTimes) -> bool:
        """Tell whether a request was answered too soon for its work."""
        if not times.is_answered or usual.work_s < self._USUAL_WORK_MIN_S:
            return False
        return times.work_s < usual.work_s * self._FACTOR
