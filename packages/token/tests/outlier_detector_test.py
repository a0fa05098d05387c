"""Tests of hibiscushatch_token.health.outlier_detector."""

from collections.abc import Iterable, Mapping

from token_fixtures import FakeClock, at, upstream

from hibiscushatch_core.reasons import FailureSignal
from hibiscushatch_token.health.outlier_detector import OutlierDetector
from hibiscushatch_token.health.request_signals import Failure
from hibiscushatch_token.knowledge.known_state import KnownState
from hibiscushatch_token.knowledge.registry import Registry
from hibiscushatch_token.knowledge.routing import Routing
from hibiscushatch_token.model import Upstream
from hibiscushatch_token.settings import OutlierSettings

NAMES = [f'a{index:02}' for index in range(12)]
UPSTREAMS = [
    upstream(name, f'domain-{index % 3}') for index, name in enumerate(NAMES)
]


def detector_of(
    clock: FakeClock, upstreams: Iterable[Upstream] = UPSTREAMS
) -> OutlierDetector:
    """Build a detector that knows the upstreams."""
    registry = Registry(clock, 60, lambda _upstream: None)
    for listed in upstreams:
        registry.apply(listed.name, listed, at(1))
    known = KnownState(Routing(), registry, lambda: 1)
    return OutlierDetector(OutlierSettings(), known, clock)


def overdue(counts: Mapping[str, int]) -> dict[Failure, int]:
    """Build counts of overdue requests by name of the upstream."""
    return {
        Failure(name, FailureSignal.OVERDUE): count
        for name, count in counts.items()
    }


def early_ends(counts: Mapping[str, int]) -> dict[Failure, int]:
    """Build counts of early ends by name of the upstream."""
    return {
        Failure(name, FailureSignal.EARLY_END): count
        for name, count in counts.items()
    }


def ejected_names(detector: OutlierDetector) -> list[str]:
    """Return the names of ejected upstreams, sorted."""
    return sorted(name for name, _ in detector.active_ejections())


def test_an_upstream_failing_alone_is_ejected_at_its_second_failure() -> None:
    detector = detector_of(FakeClock())
    assert not detector.record_failures(overdue({'a03': 1}))
    assert detector.record_failures(overdue({'a03': 1}))
    assert ejected_names(detector) == ['a03']


def test_which_upstreams_are_ejected() -> None:
    table = (
        ('the same everywhere', dict.fromkeys(NAMES, 5), []),
        (
            'many more than the others',
            {**dict.fromkeys(NAMES, 2), 'a05': 12},
            ['a05'],
        ),
        (
            'somewhat more than the others',
            {**dict.fromkeys(NAMES, 2), 'a05': 9},
            [],
        ),
        ('a third of all', dict.fromkeys(NAMES[:4], 5), NAMES[:4]),
        ('half of all', dict.fromkeys(NAMES[:6], 9), []),
        ('most of all', dict.fromkeys(NAMES[:9], 9), []),
        ('an unknown upstream', {'nobody': 50}, []),
    )
    for case, failures, expected in table:
        detector = detector_of(FakeClock())
        detector.record_failures(overdue(failures))
        assert ejected_names(detector) == expected, (
            case,
            ejected_names(detector),
        )


def test_no_more_than_a_third_of_a_service_is_ejected() -> None:
    detector = detector_of(FakeClock())
    for name in NAMES[:7]:
        detector.record_failures(overdue({name: 20}))
    assert len(ejected_names(detector)) == 4


def test_no_more_than_half_of_a_domain_is_ejected() -> None:
    near = [upstream(f'near{index}', 'near') for index in range(4)]
    far = [upstream(f'far{index}', 'far') for index in range(20)]
    detector = detector_of(FakeClock(), [*near, *far])
    for failing in near:
        detector.record_failures(overdue({failing.name: 20}))
    assert len(ejected_names(detector)) == 2


def test_old_failures_do_not_add_up() -> None:
    clock = FakeClock()
    detector = detector_of(clock)
    for _ in range(20):
        detector.record_failures(overdue({'a03': 1}))
        clock.now += 2
    assert ejected_names(detector) == []


def test_ejections_end_and_last_longer_each_time() -> None:
    clock = FakeClock()
    detector = detector_of(clock)
    for duration_s in (4, 8, 16, 30, 30):
        detector.record_failures(overdue({'a03': 3}))
        clock.now += duration_s - 0.1
        assert detector.is_ejected('a03'), duration_s
        clock.now += 0.2
        assert not detector.is_ejected('a03'), duration_s
    clock.now += 31
    detector.expire()
    detector.record_failures(overdue({'a03': 3}))
    clock.now += 4.1
    assert not detector.is_ejected('a03')


def test_one_failure_right_after_an_ejection_ejects_again() -> None:
    clock = FakeClock()
    detector = detector_of(clock)
    detector.record_failures(overdue({'a03': 3}))
    clock.now += 5
    assert detector.record_failures(overdue({'a03': 1}))
    clock.now += 8 + 2.1
    assert not detector.record_failures(overdue({'a03': 1}))


def test_an_announced_ejection_is_adopted_for_its_remaining_time() -> None:
    clock = FakeClock()
    detector = detector_of(clock)
    detector.adopt_ejection('a03', 2, 'publisher')
    detector.adopt_ejection('unknown', 2, 'publisher')
    assert ejected_names(detector) == ['a03']
    clock.now += 2.1
    assert ejected_names(detector) == []


def test_a_restarted_upstream_has_no_failures() -> None:
    detector = detector_of(FakeClock())
    detector.record_failures(overdue({'a03': 5}))
    detector.forget(upstream('a03'))
    assert ejected_names(detector) == []
    assert not detector.record_failures(overdue({'a03': 1}))


def test_draining_upstreams_do_not_raise_the_ejection_limit() -> None:
    leaving = [upstream(f'l{index}', is_draining=True) for index in range(8)]
    staying = [upstream('s0', 'x'), upstream('s1', 'y')]
    detector = detector_of(FakeClock(), [*leaving, *staying])
    assert not detector.record_failures(overdue({'s0': 9}))


def test_errors_stand_out_where_many_requests_are_overdue() -> None:
    # A busy service: requests are overdue on all upstreams.
    busy = overdue(dict.fromkeys(NAMES, 2))
    table = (
        ('errors', early_ends({'a05': 3}), ['a05']),
        ('as many more that are overdue', overdue({'a05': 3}), []),
        ('one error and more overdue', early_ends({'a05': 1}), []),
        ('errors everywhere', early_ends(dict.fromkeys(NAMES, 3)), []),
    )
    for case, failures, expected in table:
        detector = detector_of(FakeClock())
        detector.record_failures(busy)
        detector.record_failures(failures)
        assert ejected_names(detector) == expected, case
