"""Signals by which callers' packets show that an upstream failed a request.

An entry VM does not parse requests. It sees when a caller sent a request, and
when the caller's next packet followed the first bytes of the response. These
times are compared with the baseline of the service. Requests differ, so a
single signal proves nothing; it is only counted (outlier_detector).
"""

import abc

import msgspec

from hibiscushatch_core.reasons import FailureSignal


class Failure(msgspec.Struct, frozen=True):
    """A kind of failure of an upstream, by which failures are counted.

    Attributes:
        upstream: Name of the upstream.
        signal: The signal that showed it.
    """

    upstream: str
    signal: FailureSignal


class RequestTimes(msgspec.Struct, frozen=True):
    """The times of one request.

    Attributes:
        waited_s: From the request to the first bytes of the response, or
            until now while there is no response.
        handshake_s: From the opening packet to the answer of the upstream,
            which is about one round trip.
        is_answered: Whether the response has begun.
    """

    waited_s: float
    handshake_s: float
    is_answered: bool

    @property
    def work_s(self) -> float:
        """How long the upstream took, without the round trip."""
        return max(0.0, self.waited_s - self.handshake_s)


class ServiceBaseline(msgspec.Struct, frozen=True):
    """Averages over the requests of a service; zero while unknown.

    Attributes:
        response_s: Time to the first bytes of a response.
        work_s: The part of response_s that the upstream takes.
        early_share: The share of requests that end early.
    """

    response_s: float = 0
    work_s: float = 0
    early_share: float = 0


class RequestSignal(abc.ABC):
    """A signal that an upstream failed a request."""

    @property
    @abc.abstractmethod
    def name(self) -> FailureSignal:
        """Name of the signal in counters."""

    @abc.abstractmethod
    def matches(self, times: RequestTimes, baseline: ServiceBaseline) -> bool:
        """Return whether the times of a request show the signal."""


class OverdueSignal(RequestSignal):
    """The response takes several times as long as the baseline.

    Upstreams that hang, lose requests or reset their flows leave a caller
    without a response; slow ones respond late.
    """

    # The work of requests varies: one in some hundred takes four times the
    # mean.
    _BASELINE_FACTOR = 4.0
    # Requests that take less are never overdue. This is half of the shortest
    # latency targets (Route.aim_s).
    _THRESHOLD_MIN_S = 0.1

    @property
    def name(self) -> FailureSignal:
        """Name of the signal."""
        return FailureSignal.OVERDUE

    def threshold_s(self, baseline: ServiceBaseline) -> float:
        """Return how long a request may take; infinite while unknown."""
        if not baseline.response_s:
            return float('inf')
        return max(
            self._THRESHOLD_MIN_S, baseline.response_s * self._BASELINE_FACTOR
        )

    def matches(self, times: RequestTimes, baseline: ServiceBaseline) -> bool:
        """Return whether a request takes too long."""
        return times.waited_s > self.threshold_s(baseline)


class EarlyEndSignal(RequestSignal):
    """The response comes far sooner than the work of a request allows.

    Upstreams that respond to requests with errors, or reject them, do so within
    a millisecond or two. Where many requests of a service end early, that is
    how the service normally works, and an early end is no signal.
    """

    # A request that took less than this share of the baseline was hardly
    # worked on.
    _BASELINE_FACTOR = 0.15
    # Below this, the jitter of this process hides the difference.
    _BASELINE_WORK_MIN_S = 0.02
    # An entry VM places most flows in its own failure domain. Where half of the
    # upstreams there fail half of their requests, a quarter ends early.
    _EARLY_SHARE_MAX = 0.25

    @property
    def name(self) -> FailureSignal:
        """Name of the signal."""
        return FailureSignal.EARLY_END

    def matches(self, times: RequestTimes, baseline: ServiceBaseline) -> bool:
        """Return whether a request ended early, unless many requests do."""
        if baseline.early_share > self._EARLY_SHARE_MAX:
            return False
        return self.is_early(times, baseline)

    def is_early(self, times: RequestTimes, baseline: ServiceBaseline) -> bool:
        """Return whether a request was answered too soon for its work."""
        if not times.is_answered or baseline.work_s < self._BASELINE_WORK_MIN_S:
            return False
        return times.work_s < baseline.work_s * self._BASELINE_FACTOR
