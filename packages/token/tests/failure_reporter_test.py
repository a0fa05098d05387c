"""Tests of hibiscushatch_token.knowledge.failure_reporter."""

import token_fixtures as fixtures
from outlier_detector_test import (
    NAMES,
    detector_of,
    early_ends,
    ejected_names,
    overdue,
)
from token_fixtures import FakeClock

from hibiscushatch_token.knowledge import peer_messages
from hibiscushatch_token.knowledge.failure_reporter import FailureReporter

PUBLISHER = '127.0.0.1:31'


def reports_of(
    *observed: dict[object, int],
) -> list[peer_messages.FailureReport]:
    """Return the reports of an entry VM that observed failures."""
    clock = FakeClock()
    sent: list[bytes] = []
    reporter = FailureReporter(
        fixtures.settings(),
        detector_of(clock),
        clock,
        lambda datagram, _address: sent.append(datagram),
        lambda: [PUBLISHER],
        lambda: None,
    )
    for failures in observed:
        clock.now += 0.2
        reporter.record_failures(failures)
    return [
        peer_messages.decode_datagram(datagram, 'vm-1') for datagram in sent
    ]


def receive(
    reports: list[peer_messages.FailureReport],
) -> list[str]:
    """Return which upstreams a publisher ejects after reports."""
    detector = detector_of(FakeClock())
    receiver = FailureReporter(
        fixtures.settings(control=PUBLISHER, publishers=[PUBLISHER]),
        detector,
        FakeClock(),
        lambda _datagram, _address: None,
        list,
        lambda: None,
    )
    for report in reports:
        receiver.on_report(report)
    return ejected_names(detector)


def test_a_publisher_tells_the_signals_of_a_report_apart() -> None:
    busy = overdue(dict.fromkeys(NAMES, 2))
    assert receive(reports_of({**busy, **early_ends({'a05': 3})})) == ['a05']
    assert receive(reports_of({**busy, **overdue({'a05': 5})})) == []


def test_a_report_without_signals_counts_as_overdue_requests() -> None:
    report = peer_messages.FailureReport(
        'vm-1', '127.0.0.1:3', [peer_messages.FailureCount('a05', 3)]
    )
    assert receive([report]) == ['a05']
    busy = reports_of(overdue(dict.fromkeys(NAMES, 2)))
    assert receive([*busy, report]) == []
