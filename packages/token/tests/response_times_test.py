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

USUAL_S = 0.05
SLOW_S = 0.4


def response(seconds: float) -> RequestTimes:
    """Build the times of a request that was answered."""
    return RequestTimes(seconds, 0, is_answered=True)


def respond(times: ResponseTimes, name: str, seconds: float) -> None:
    """Count a request of an upstream."""
    times.responded(upstream(name), response(seconds))


def warm_times(clock: FakeClock, *names: str) -> ResponseTimes:
    """Build times with usual requests of each upstream."""
    times = ResponseTimes(clock)
    for _ in range(10):
        for name in names:
            respond(times, name, USUAL_S)
    return times


def request(scene: VmHarness, flow: str, times_s: dict[str, float]) -> str:
    """Play one request and return the upstream that it went to."""
    chosen = scene.open(flow)
    token = upstream(chosen).token
    scene.clock.now += 0.01
    scene.send(flow, token, PAYLOAD)
    scene.clock.now += times_s.get(chosen, USUAL_S)
    scene.requests.note_overdue()
    scene.send(flow, token, LAST)
    return chosen


def test_a_slow_upstream_is_avoided_and_tried_again_ever_later() -> None:
    clock = FakeClock()
    times = warm_times(clock, 'a1', 'a2', 'a3')
    slow = upstream('a1')
    for pause_s in (3, 6, 12, 12):
        respond(times, 'a1', SLOW_S)
        assert times.is_slow(slow)
        clock.now += pause_s - 0.1
        assert times.is_slow(slow)
        clock.now += 0.2
        assert not times.is_slow(slow)
    respond(times, 'a1', SLOW_S)
    respond(times, 'a1', USUAL_S)
    assert not times.is_slow(slow)


def test_nothing_is_slow_before_it_is_known_what_is_usual() -> None:
    times = ResponseTimes(FakeClock())
    respond(times, 'a1', USUAL_S)
    respond(times, 'a1', SLOW_S)
    assert not times.is_slow(upstream('a1'))


def test_where_many_are_slow_none_is_avoided() -> None:
    names = ('a1', 'a2', 'a3')
    times = warm_times(FakeClock(), *names)
    upstreams = [upstream(name) for name in names]
    respond(times, 'a1', SLOW_S)
    assert times.slow_among(upstreams) == {'a1'}
    respond(times, 'a2', SLOW_S)
    assert times.slow_among(upstreams) == frozenset()


def test_a_slow_upstream_hardly_changes_what_is_usual() -> None:
    times = warm_times(FakeClock(), 'a1', 'a2')
    for index in range(100):
        slow = index % 5 == 0
        respond(times, 'a1', SLOW_S if slow else USUAL_S)
    assert OverdueSignal().after_s(times.usual('booking')) < SLOW_S


def test_callers_are_spared_an_upstream_that_turned_slow() -> None:
    names = [f'a{index}' for index in range(6)]
    scene = vm_harness(*(upstream(name) for name in names))
    for index in range(60):
        request(scene, f'{index:04}', {})
    chosen = collections.Counter(
        request(scene, f's{turn:03}', {'a1': SLOW_S}) for turn in range(120)
    )
    # A sixth of them would be 20; once each in 3, 6 and 12 s is allowed.
    assert chosen['a1'] <= 3, chosen


def test_an_upstream_that_hangs_is_noticed_before_it_answers() -> None:
    names = [f'a{index}' for index in range(6)]
    scene = vm_harness(*(upstream(name) for name in names))
    for index in range(60):
        request(scene, f'{index:04}', {})
    hanging = scene.open('f001')
    scene.clock.now += 0.01
    scene.send('f001', upstream(hanging).token, PAYLOAD)
    scene.clock.now += SLOW_S
    scene.requests.note_overdue()
    assert scene.verdicts.is_slow(upstream(hanging))


def test_a_caller_that_pauses_says_nothing_of_the_upstream() -> None:
    scene = vm_harness(upstream('a1'), upstream('a2'), upstream('a3'))
    for index in range(60):
        request(scene, f'{index:04}', {})
    chosen = scene.open('f001')
    token = upstream(chosen).token
    for _ in range(3):
        scene.clock.now += 5
        scene.send('f001', token, PAYLOAD)
        scene.clock.now += USUAL_S
        scene.send('f001', token)
    assert not scene.verdicts.is_slow(upstream(chosen))


def test_rejections_of_an_overload_do_not_change_what_is_usual() -> None:
    times = warm_times(FakeClock(), 'a1', 'a2', 'a3')
    before = times.usual('booking')
    for _ in range(300):
        for _ in range(8):
            respond(times, 'a1', 0.001)
        respond(times, 'a2', USUAL_S)
    after = times.usual('booking')
    assert round(after.work_s, 3) == round(before.work_s, 3)
    assert round(after.response_s, 3) == round(before.response_s, 3)
    assert round(after.early_share, 1) == round(8 / 9, 1)


def test_a_service_that_became_faster_is_learnt() -> None:
    times = warm_times(FakeClock(), 'a1', 'a2', 'a3')
    for _ in range(1200):
        respond(times, 'a1', 0.005)
    assert times.usual('booking').response_s < USUAL_S / 5
