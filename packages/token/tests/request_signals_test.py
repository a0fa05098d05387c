"""Tests of hibiscushatch_token.health.request_signals and request_watch."""

import random

from token_fixtures import LAST, PAYLOAD, SEED, VmHarness, upstream, vm_harness

from hibiscushatch_core.reasons import FailureSignal
from hibiscushatch_token.health.request_signals import (
    EarlyEndSignal,
    OverdueSignal,
    RequestTimes,
    UsualTimes,
)

ROUND_TRIP_S = 0.01
WORK_S = 0.04
USUAL = UsualTimes(WORK_S + ROUND_TRIP_S, WORK_S)
NAMES = tuple(f'u{index}' for index in range(6))


def times(work_s: float, is_answered: bool = True) -> RequestTimes:
    """Build the times of a request that took some work."""
    return RequestTimes(work_s + ROUND_TRIP_S, ROUND_TRIP_S, is_answered)


def request(scene: VmHarness, flow: str, work_s: float) -> str:
    """Play one request and return the upstream that it went to."""
    chosen = scene.open(flow)
    token = upstream(chosen).token
    scene.clock.now += ROUND_TRIP_S
    scene.send(flow, token, PAYLOAD)
    scene.clock.now += ROUND_TRIP_S + work_s
    scene.send(flow, token, LAST)
    return chosen


def test_which_times_are_signs_of_failure() -> None:
    overdue = OverdueSignal()
    early = EarlyEndSignal()
    table = (
        ('usual', times(WORK_S), USUAL, ()),
        ('late', times(0.3), USUAL, (overdue,)),
        ('no answer yet', times(0.3, is_answered=False), USUAL, (overdue,)),
        ('error at once', times(0.001), USUAL, (early,)),
        ('waits for a moment', times(0.001, False), USUAL, ()),
        ('nothing known', times(0.3), UsualTimes(), ()),
        ('nothing known, early', times(0.001), UsualTimes(), ()),
        ('often early', times(0.001), UsualTimes(0.05, 0.04, 0.3), ()),
        ('short work', times(0), UsualTimes(0.015, 0.005), ()),
        ('late, below the floor', times(0.08), UsualTimes(0.015, 0.005), ()),
    )
    for case, one, usual, expected in table:
        given = tuple(
            signal for signal in (overdue, early) if signal.is_given(one, usual)
        )
        assert given == expected, case


def test_a_request_counts_once() -> None:
    scene = vm_harness(*(upstream(name) for name in NAMES))
    for index in range(60):
        request(scene, f'{index:04}', WORK_S)
    scene.requests.note_overdue()
    chosen = scene.open('late')
    token = upstream(chosen).token
    scene.clock.now += ROUND_TRIP_S
    scene.send('late', token, PAYLOAD)
    for _ in range(10):
        scene.clock.now += 0.1
        scene.requests.note_overdue()
    scene.send('late', token, LAST)
    assert scene.requests.take_failures() == {chosen: 1}
    assert scene.requests.take_failures() == {}
    assert scene.counters.failure_signals == {FailureSignal.OVERDUE: 1}


def test_what_a_paused_process_missed_says_nothing() -> None:
    scene = vm_harness(*(upstream(name) for name in NAMES))
    for index in range(60):
        request(scene, f'{index:04}', WORK_S)
    scene.requests.note_overdue()
    chosen = scene.open('late')
    scene.clock.now += ROUND_TRIP_S
    scene.send('late', upstream(chosen).token, PAYLOAD)
    scene.clock.now += 3
    scene.requests.note_overdue()
    assert scene.requests.take_failures() == {}


def test_requests_that_differ_widely_fail_nowhere_more_than_elsewhere() -> None:
    # A third of the requests is answered from a cache, and some take long.
    randomness = random.Random(SEED)
    scene = vm_harness(*(upstream(name) for name in NAMES))
    for index in range(3000):
        work_s = 0.001
        if randomness.random() > 1 / 3:
            work_s = randomness.lognormvariate(-3.2, 0.8)
        request(scene, f'{index:04}', work_s)
        scene.requests.note_overdue()
        scene.outliers.count(scene.requests.take_failures())
        assert not list(scene.outliers.ejected()), index
    assert scene.counters.failure_signals[FailureSignal.EARLY_END] < 50
