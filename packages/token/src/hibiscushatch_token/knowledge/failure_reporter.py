"""Reports failed requests to the publishers, which add the failures up.

An entry VM reports the failures that it observed, and those that others
reported to it, to the entry VM that it follows. A publisher reports both to all
other publishers, except for what another publisher reported to it, so that each
publisher counts each failure once.
"""

import collections
from collections.abc import Callable, Iterable, Iterator, Mapping

from hibiscushatch_core.reasons import FailureSignal
from hibiscushatch_token.health.outlier_detector import OutlierDetector
from hibiscushatch_token.health.request_signals import Failure
from hibiscushatch_token.knowledge import peer_messages
from hibiscushatch_token.knowledge.publisher import SendDatagram
from hibiscushatch_token.settings import TokenNodeSettings, socket_address

# Failures that come within this time are sent in one datagram.
_REPORT_INTERVAL_S = 0.1
# An upstream takes some 20 bytes, and a report has to fit into one datagram. It
# leaves out the upstreams with the fewest failures beyond this number.
_REPORTED_UPSTREAMS_MAX = 50


class FailureReporter:
    """Counts failures and reports them to publishers.

    Args:
        settings: Settings of this entry VM.
        detector: Counts the failures and ejects upstreams.
        clock: Returns monotonic seconds.
        send: Sends a datagram.
        list_followed: Returns the control addresses of the entry VMs that this
            one follows.
        on_ejection: Called when an upstream was ejected.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        detector: OutlierDetector,
        clock: Callable[[], float],
        send: SendDatagram,
        list_followed: Callable[[], list[str]],
        on_ejection: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._detector = detector
        self._clock = clock
        self._send = send
        self._list_followed = list_followed
        self._on_ejection = on_ejection
        self._unsent: collections.Counter[Failure] = collections.Counter()
        self._sent_at = clock()

    def record_failures(self, failures: Mapping[Failure, int]) -> None:
        """Count failures that this entry VM observed; send a report if due.

        Args:
            failures: Number of failures of each kind; may be empty.
        """
        if failures:
            self._count_failures(failures)
            self._unsent.update(failures)
        if self._unsent and self._clock() - self._sent_at >= _REPORT_INTERVAL_S:
            self._send_report()

    def on_report(self, message: peer_messages.FailureReport) -> None:
        """Count failures that another entry VM reported."""
        failures = dict(_decode_counts(message.counts))
        self._count_failures(failures)
        if message.control not in self._settings.publishers:
            self._unsent.update(failures)

    def _count_failures(self, failures: Mapping[Failure, int]) -> None:
        if self._detector.record_failures(failures):
            self._on_ejection()

    def _send_report(self) -> None:
        settings = self._settings
        counts = _encode_counts(self._unsent)
        self._unsent.clear()
        self._sent_at = self._clock()
        report = peer_messages.encode(
            peer_messages.FailureReport(settings.name, settings.control, counts)
        )
        followed = self._list_followed()
        targets = followed if settings.is_publisher else followed[:1]
        for target in targets:
            self._send(report, socket_address(target))


def _encode_counts(
    failures: Mapping[Failure, int],
) -> list[peer_messages.FailureCount]:
    """Add up the failures of each upstream; leave out those with the fewest."""
    totals: collections.Counter[str] = collections.Counter()
    for failure, count in failures.items():
        totals[failure.upstream] += count
    return [
        peer_messages.FailureCount(
            name,
            total,
            failures.get(Failure(name, FailureSignal.EARLY_END), 0),
        )
        for name, total in totals.most_common(_REPORTED_UPSTREAMS_MAX)
    ]


def _decode_counts(
    counts: Iterable[peer_messages.FailureCount],
) -> Iterator[tuple[Failure, int]]:
    for count in counts:
        overdue = count.failures - count.early_ends
        if overdue > 0:
            yield Failure(count.upstream, FailureSignal.OVERDUE), overdue
        if count.early_ends:
            early_end = Failure(count.upstream, FailureSignal.EARLY_END)
            yield early_end, count.early_ends
