"""Tests of hibiscushatch_token.health.outlier_detector."""

from collections.abc import Iterable

from token_fixtures import FakeClock, upstream

from hibiscushatch_token.health.outlier_detector import OutlierDetector
from hibiscushatch_token.knowledge.known_state import KnownState
from hibiscushatch_token.knowledge.registry import Registry
from hibiscushatch_token.knowledge.routing import Routing
from hibiscushatch_token.model import Upstream
from hibiscushatch_token.settings import OutlierSettings

NAMES = [f'a{index:02}' for index in range(12)]
SPREAD = [
    upstream(name, f'domain-{index % 3}') for index, name in enumerate(NAMES)
]


def detector_of(
    clock: FakeClock, upstreams: Iterable[Upstream] = SPREAD
) -> OutlierDetector:
    """Build a detector that knows some upstreams."""
    registry = Registry(clock, 60, lambda _upstream: None)
    for one in upstreams:
        registry.apply(one.name, one, 1)
    known = KnownState(Routing(), registry, lambda: 1)
    return OutlierDetector(OutlierSettings(), known, clock)


def ejected(detector: OutlierDetector) -> list[str]:
    """Return the names of ejected upstreams, sorted."""
    return sorted(name for name, _ in detector.ejected())


def test_an_upstream_that_fails_alone_is_ejected_at_a_second_failure() -> None:
    detector = detector_of(FakeClock())
    assert not detector.count({'a03': 1})
    assert detector.count({'a03': 1})
    assert ejected(detector) == ['a03']


def test_who_is_ejected_by_which_failures() -> None:
    table = (
        ('alike everywhere', dict.fromkeys(NAMES, 5), []),
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
        ('unknown ones', {'nobody': 50}, []),
    )
    for case, failures, expected in table:
        detector = detector_of(FakeClock())
        detector.count(failures)
        assert ejected(detector) == expected, (case, ejected(detector))


def test_no_more_than_a_third_of_a_service_is_ejected() -> None:
    detector = detector_of(FakeClock())
    for name in NAMES[:7]:
        detector.count({name: 20})
    assert len(ejected(detector)) == 4


def test_most_of_a_domain_is_not_ejected() -> None:
    near = [upstream(f'near{index}', 'near') for index in range(4)]
    far = [upstream(f'far{index}', 'far') for index in range(20)]
    detector = detector_of(FakeClock(), [*near, *far])
    for one in near:
        detector.count({one.name: 20})
    assert len(ejected(detector)) == 2


def test_failures_of_long_ago_do_not_add_up() -> None:
    clock = FakeClock()
    detector = detector_of(clock)
    for _ in range(20):
        detector.count({'a03': 1})
        clock.now += 2
    assert ejected(detector) == []


def test_ejections_end_and_last_longer_each_time() -> None:
    clock = FakeClock()
    detector = detector_of(clock)
    for lasts_s in (4, 8, 16, 30, 30):
        detector.count({'a03': 3})
        clock.now += lasts_s - 0.1
        assert detector.is_ejected('a03'), lasts_s
        clock.now += 0.2
        assert not detector.is_ejected('a03'), lasts_s
    clock.now += 31
    detector.expire()
    detector.count({'a03': 3})
    clock.now += 4.1
    assert not detector.is_ejected('a03')


def test_one_failure_right_after_an_ejection_is_enough() -> None:
    clock = FakeClock()
    detector = detector_of(clock)
    detector.count({'a03': 3})
    clock.now += 5
    assert detector.count({'a03': 1})
    clock.now += 8 + 2.1
    assert not detector.count({'a03': 1})


def test_an_announced_ejection_is_taken_over_for_what_is_left_of_it() -> None:
    clock = FakeClock()
    detector = detector_of(clock)
    detector.take_over('a03', 2, 'publisher')
    detector.take_over('unknown', 2, 'publisher')
    assert ejected(detector) == ['a03']
    clock.now += 2.1
    assert ejected(detector) == []


def test_a_new_process_of_an_upstream_begins_anew() -> None:
    detector = detector_of(FakeClock())
    detector.count({'a03': 5})
    detector.forget(upstream('a03'))
    assert ejected(detector) == []
    assert not detector.count({'a03': 1})


def test_draining_upstreams_do_not_count_among_the_others() -> None:
    leaving = [upstream(f'l{index}', is_draining=True) for index in range(8)]
    staying = [upstream('s0', 'x'), upstream('s1', 'y')]
    detector = detector_of(FakeClock(), [*leaving, *staying])
    assert not detector.count({'s0': 9})
