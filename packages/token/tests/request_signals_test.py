"""Tests of hibiscushatch_token.health.request_signals and request_watch."""

import random

from token_fixtures import LAST, PAYLOAD, SEED, VmHarness, upstream, vm_harness

from hibiscushatch_core.reasons import FailureSignal
from hibiscushatch_token.health.request_signals import (
    EarlyEndSignal,
    Failure,
    OverdueSignal,
    RequestTimes,
    ServiceBaseline,
)

ROUND_TRIP_S = 0.01
WORK_S = 0.04
BASELINE = ServiceBaseline(WORK_S + ROUND_TRIP_S, WORK_S)
NAMES = tuple(f'u{index}' for index in range(6))


def request_times(work_s: float, is_answered: bool = True) -> RequestTimes:
    """Build the times of a request that took work_s of work."""
    return RequestTimes(work_s + ROUND_TRIP_S, ROUND_TRIP_S, is_answered)


def play_request(entry_vm: VmHarness, flow: str, work_s: float) -> str:
    """Play one request and return the upstream that it went to."""
    chosen = entry_vm.open(flow)
    token = upstream(chosen).token
    entry_vm.clock.now += ROUND_TRIP_S
    entry_vm.send(flow, token, PAYLOAD)
    entry_vm.clock.now += ROUND_TRIP_S + work_s
    entry_vm.send(flow, token, LAST)
    return chosen


def test_which_times_are_signals_of_failure() -> None:
    overdue = OverdueSignal()
    early = EarlyEndSignal()
    table = (
        ('baseline', request_times(WORK_S), BASELINE, ()),
        ('late', request_times(0.3), BASELINE, (overdue,)),
        (
            'no answer yet',
            request_times(0.3, is_answered=False),
            BASELINE,
            (overdue,),
        ),
        ('error at once', request_times(0.001), BASELINE, (early,)),
        ('no answer yet, early', request_times(0.001, False), BASELINE, ()),
        ('unknown baseline', request_times(0.3), ServiceBaseline(), ()),
        (
            'unknown baseline, early',
            request_times(0.001),
            ServiceBaseline(),
            (),
        ),
        (
            'often early',
            request_times(0.001),
            ServiceBaseline(0.05, 0.04, 0.3),
            (),
        ),
        (
            'errors of half of the upstreams of a domain',
            request_times(0.001),
            ServiceBaseline(0.05, 0.04, 0.2),
            (early,),
        ),
        ('short work', request_times(0), ServiceBaseline(0.015, 0.005), ()),
        (
            'late, below the floor',
            request_times(0.08),
            ServiceBaseline(0.015, 0.005),
            (),
        ),
    )
    for case, given_times, baseline, expected in table:
        matching = tuple(
            signal
            for signal in (overdue, early)
            if signal.matches(given_times, baseline)
        )
        assert matching == expected, case


def test_a_request_is_counted_as_failed_once() -> None:
    entry_vm = vm_harness(*(upstream(name) for name in NAMES))
    for index in range(60):
        play_request(entry_vm, f'{index:04}', WORK_S)
    entry_vm.request_watch.record_overdue()
    chosen = entry_vm.open('late')
    token = upstream(chosen).token
    entry_vm.clock.now += ROUND_TRIP_S
    entry_vm.send('late', token, PAYLOAD)
    for _ in range(10):
        entry_vm.clock.now += 0.1
        entry_vm.request_watch.record_overdue()
    entry_vm.send('late', token, LAST)
    assert entry_vm.request_watch.take_failures() == {
        Failure(chosen, FailureSignal.OVERDUE): 1
    }
    assert entry_vm.request_watch.take_failures() == {}
    assert entry_vm.counters.failure_signals == {FailureSignal.OVERDUE: 1}


def test_requests_that_waited_during_a_pause_are_not_counted() -> None:
    entry_vm = vm_harness(*(upstream(name) for name in NAMES))
    for index in range(60):
        play_request(entry_vm, f'{index:04}', WORK_S)
    entry_vm.request_watch.record_overdue()
    chosen = entry_vm.open('late')
    entry_vm.clock.now += ROUND_TRIP_S
    entry_vm.send('late', upstream(chosen).token, PAYLOAD)
    entry_vm.clock.now += 3
    entry_vm.request_watch.record_overdue()
    assert entry_vm.request_watch.take_failures() == {}


def test_widely_differing_requests_eject_no_upstream() -> None:
    # A third of the requests is answered from a cache; a few take long.
    randomness = random.Random(SEED)
    entry_vm = vm_harness(*(upstream(name) for name in NAMES))
    for index in range(3000):
        work_s = 0.001
        if randomness.random() > 1 / 3:
            work_s = randomness.lognormvariate(-3.2, 0.8)
        play_request(entry_vm, f'{index:04}', work_s)
        entry_vm.request_watch.record_overdue()
        entry_vm.outliers.record_failures(
            entry_vm.request_watch.take_failures()
        )
        assert not list(entry_vm.outliers.active_ejections()), index
    assert entry_vm.counters.failure_signals[FailureSignal.EARLY_END] < 50
