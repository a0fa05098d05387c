"""Passes failures of requests on to the publishers, which add them up.

An entry VM reports to whom it follows what it saw and what was reported to it.
Publishers report to each other what comes from entry VMs, and no more, so that
each failure is counted once at each publisher.
"""

import collections
from collections.abc import Callable, Mapping

from hibiscushatch_token.health.outlier_detector import OutlierDetector
from hibiscushatch_token.knowledge import peer_messages
from hibiscushatch_token.knowledge.publisher import SendDatagram
from hibiscushatch_token.settings import TokenNodeSettings, socket_address

# What comes in this time goes out in one datagram.
_GAP_S = 0.1
# Some 20 bytes each, in one datagram.
_UPSTREAMS_MAX = 50


class FailureReporter:
    """Collects failures and sends them on.

    Args:
        settings: Settings of this entry VM.
        detector: Judges upstreams by the failures.
        clock: Monotonic seconds.
        send: Sends a datagram.
        followed: Returns the control addresses of those to report to.
        ejected: Called when an upstream was ejected.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        detector: OutlierDetector,
        clock: Callable[[], float],
        send: SendDatagram,
        followed: Callable[[], list[str]],
        ejected: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._detector = detector
        self._clock = clock
        self._send = send
        self._followed = followed
        self._ejected = ejected
        self._unsent: collections.Counter[str] = collections.Counter()
        self._sent_at = clock()

    def saw(self, failures: Mapping[str, int]) -> None:
        """Count failures that this entry VM saw, and report when it is time.

        Args:
            failures: Failures by name of the upstream; none is fine.
        """
        if failures:
            self._count(failures)
            self._unsent.update(failures)
        if self._unsent and self._clock() - self._sent_at >= _GAP_S:
            self._report()

    def received(self, message: peer_messages.FailureReport) -> None:
        """Count failures that another entry VM reported."""
        failures = {one.upstream: one.failures for one in message.counts}
        self._count(failures)
        if message.control not in self._settings.publishers:
            self._unsent.update(failures)

    def _count(self, failures: Mapping[str, int]) -> None:
        if self._detector.record_failures(failures):
            self._ejected()

    def _report(self) -> None:
        settings = self._settings
        counts = [
            peer_messages.FailureCount(name, failed)
            for name, failed in self._unsent.most_common(_UPSTREAMS_MAX)
        ]
        self._unsent.clear()
        self._sent_at = self._clock()
        report = peer_messages.encode(
            peer_messages.FailureReport(settings.name, settings.control, counts)
        )
        followed = self._followed()
        targets = followed if settings.is_publisher else followed[:1]
        for target in targets:
            self._send(report, socket_address(target))
