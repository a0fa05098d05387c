"""Tests of hibiscushatch_token.health.response_times and request_watch."""

import collections

from token_fixtures import (
    LAST,
    PAYLOAD,
    FakeClock,
    VmHarness,
    upstream,
    vm_harness,
)

from hibiscushatch_token.health.request_signals import (
    OverdueSignal,
    RequestTimes,
)
from hibiscushatch_token.health.response_times import ResponseTimes

BASELINE_S = 0.05
SLOW_S = 0.4


def answered(seconds: float) -> RequestTimes:
    """Build the times of a request that was answered."""
    return RequestTimes(seconds, 0, is_answered=True)


def record(times: ResponseTimes, name: str, seconds: float) -> None:
    """Record a request that an upstream answered."""
    times.record_response(upstream(name), answered(seconds))


def times_with_baseline(clock: FakeClock, *names: str) -> ResponseTimes:
    """Build response times with a baseline of BASELINE_S."""
    times = ResponseTimes(clock)
    for _ in range(10):
        for name in names:
            record(times, name, BASELINE_S)
    return times


def play_request(
    entry_vm: VmHarness, flow: str, times_s: dict[str, float]
) -> str:
    """Play one request and return the upstream that it went to."""
    chosen = entry_vm.open(flow)
    token = upstream(chosen).token
    entry_vm.clock.now += 0.01
    entry_vm.send(flow, token, PAYLOAD)
    entry_vm.clock.now += times_s.get(chosen, BASELINE_S)
    entry_vm.request_watch.record_overdue()
    entry_vm.send(flow, token, LAST)
    return chosen


def test_a_slow_upstream_is_avoided_longer_each_time() -> None:
    clock = FakeClock()
    times = times_with_baseline(clock, 'a1', 'a2', 'a3')
    slow = upstream('a1')
    for duration_s in (3, 6, 12, 12):
        record(times, 'a1', SLOW_S)
        assert times.is_slow(slow)
        clock.now += duration_s - 0.1
        assert times.is_slow(slow)
        clock.now += 0.2
        assert not times.is_slow(slow)
    record(times, 'a1', SLOW_S)
    record(times, 'a1', BASELINE_S)
    assert not times.is_slow(slow)


def test_nothing_is_slow_before_the_baseline_is_known() -> None:
    times = ResponseTimes(FakeClock())
    record(times, 'a1', BASELINE_S)
    record(times, 'a1', SLOW_S)
    assert not times.is_slow(upstream('a1'))


def test_where_many_are_slow_none_is_avoided() -> None:
    names = ('a1', 'a2', 'a3')
    times = times_with_baseline(FakeClock(), *names)
    upstreams = [upstream(name) for name in names]
    record(times, 'a1', SLOW_S)
    assert times.slow_names(upstreams) == {'a1'}
    record(times, 'a2', SLOW_S)
    assert times.slow_names(upstreams) == frozenset()


def test_a_slow_upstream_hardly_changes_the_baseline() -> None:
    times = times_with_baseline(FakeClock(), 'a1', 'a2')
    for index in range(100):
        slow = index % 5 == 0
        record(times, 'a1', SLOW_S if slow else BASELINE_S)
    assert OverdueSignal().threshold_s(times.baseline('booking')) < SLOW_S


def test_few_requests_go_to_an_upstream_that_became_slow() -> None:
    names = [f'a{index}' for index in range(6)]
    entry_vm = vm_harness(*(upstream(name) for name in names))
    for index in range(60):
        play_request(entry_vm, f'{index:04}', {})
    chosen = collections.Counter(
        play_request(entry_vm, f's{turn:03}', {'a1': SLOW_S})
        for turn in range(120)
    )
    # Without avoidance, it would get a sixth of the requests, which is 20. It
    # may get one each time it is tried again, after 3, 6 and 12 s.
    assert chosen['a1'] <= 3, chosen


def test_an_upstream_that_hangs_is_slow_before_it_answers() -> None:
    names = [f'a{index}' for index in range(6)]
    entry_vm = vm_harness(*(upstream(name) for name in names))
    for index in range(60):
        play_request(entry_vm, f'{index:04}', {})
    hanging = entry_vm.open('f001')
    entry_vm.clock.now += 0.01
    entry_vm.send('f001', upstream(hanging).token, PAYLOAD)
    entry_vm.clock.now += SLOW_S
    entry_vm.request_watch.record_overdue()
    assert entry_vm.verdicts.is_slow(upstream(hanging))


def test_a_pause_of_the_caller_does_not_make_its_upstream_slow() -> None:
    entry_vm = vm_harness(upstream('a1'), upstream('a2'), upstream('a3'))
    for index in range(60):
        play_request(entry_vm, f'{index:04}', {})
    chosen = entry_vm.open('f001')
    token = upstream(chosen).token
    for _ in range(3):
        entry_vm.clock.now += 5
        entry_vm.send('f001', token, PAYLOAD)
        entry_vm.clock.now += BASELINE_S
        entry_vm.send('f001', token)
    assert not entry_vm.verdicts.is_slow(upstream(chosen))


# Guards against refusals for an overload, and against avoided upstreams, after
# a pause of the process: responses that came meanwhile seemed to take as long.
def test_a_pause_of_the_process_does_not_make_responses_slow() -> None:
    entry_vm = vm_harness(upstream('a1'), upstream('a2'), upstream('a3'))
    for index in range(60):
        play_request(entry_vm, f'{index:04}', {})
    chosen = entry_vm.open('f001')
    token = upstream(chosen).token
    entry_vm.clock.now += 0.01
    entry_vm.send('f001', token, PAYLOAD)
    served: list[float] = []
    entry_vm.request_watch._on_served = lambda _service, waited_s: (
        served.append(waited_s)
    )
    entry_vm.clock.now += 4
    entry_vm.send('f001', token, waited_s=4 - BASELINE_S)
    assert abs(served.pop() - BASELINE_S) <= BASELINE_S / 100
    assert not entry_vm.verdicts.is_slow(upstream(chosen))


def test_rejections_under_overload_do_not_change_the_baseline_times() -> None:
    times = times_with_baseline(FakeClock(), 'a1', 'a2', 'a3')
    before = times.baseline('booking')
    for _ in range(300):
        for _ in range(8):
            record(times, 'a1', 0.001)
        record(times, 'a2', BASELINE_S)
    after = times.baseline('booking')
    assert round(after.work_s, 3) == round(before.work_s, 3)
    assert round(after.response_s, 3) == round(before.response_s, 3)
    assert round(after.early_share, 1) == round(8 / 9, 1)


def test_the_baseline_follows_a_service_that_became_faster() -> None:
    times = times_with_baseline(FakeClock(), 'a1', 'a2', 'a3')
    for _ in range(1200):
        record(times, 'a1', 0.005)
    assert times.baseline('booking').response_s < BASELINE_S / 5
