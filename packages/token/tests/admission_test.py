"""Tests of hibiscushatch_token.traffic.admission and concurrency_limit."""

import unittest

from token_fixtures import (
    LAST,
    PAYLOAD,
    FakeClock,
    FakeCodec,
    VmHarness,
    opening_packet,
    upstream,
    vm_harness,
)

from hibiscushatch_core.reasons import RefusalReason
from hibiscushatch_token.settings import AdmissionSettings
from hibiscushatch_token.traffic.concurrency_limit import ConcurrencyLimit

NAMES = ('u0', 'u1')
WORK_S = 0.04
# More than half of the aim of the fixtures' route, which is 0.2 s.
SLOW_S = 0.15
# Two upstreams with three slots, and three flows for each.
OPEN_MAX = 18


def limit_at(clock: FakeClock, rate_per_s: float) -> ConcurrencyLimit:
    """Build a limit after some seconds of requests at a rate."""
    limit = ConcurrencyLimit(AdmissionSettings(), clock)
    for _ in range(round(4 * rate_per_s)):
        clock.now += 1 / rate_per_s
        limit.served(WORK_S, is_overloaded=False)
    return limit


def pile_up(scene: VmHarness, flows: int) -> None:
    """Open flows that stay open for some seconds."""
    for index in range(flows):
        flow = f'p{index:03}'
        token = upstream(scene.open(flow) or NAMES[0]).token
        scene.clock.now += 0.001
        scene.send(flow, token, PAYLOAD)


def warm(fleet: int = 1, response_s: float = WORK_S) -> VmHarness:
    """Build an entry VM that has served requests for some seconds."""
    scene = vm_harness(*(upstream(name) for name in NAMES), fleet=fleet)
    for index in range(60):
        flow = f'w{index:03}'
        token = upstream(scene.open(flow)).token
        scene.clock.now += 0.01
        scene.send(flow, token, PAYLOAD)
        scene.clock.now += response_s
        scene.requests.note_overdue()
        scene.send(flow, token, LAST)
    return scene


def refused(scene: VmHarness) -> int:
    """Return how many flows were refused as overload."""
    return scene.counters.refusals[RefusalReason.OVERLOAD]


def test_the_limit_is_the_rate_times_the_time_of_a_flow() -> None:
    clock = FakeClock()
    limit = limit_at(clock, rate_per_s=100)
    assert 95 < limit.rate_per_s < 105
    # Three times what a response usually takes.
    assert round(limit.flows_max(slots=1, aim_s=10)) == 12
    # Seven tenths of the aim, where that is less.
    assert round(limit.flows_max(slots=1, aim_s=0.1)) == 7
    clock.now += 0.35
    assert 47 < limit.rate_per_s < 53


def test_responses_of_an_overload_hardly_change_what_is_usual() -> None:
    limit = limit_at(FakeClock(), rate_per_s=100)
    for _ in range(500):
        limit.served(SLOW_S, is_overloaded=True)
    assert limit.is_slow(aim_s=10)
    assert limit.usual_s < 1.5 * WORK_S
    for _ in range(500):
        limit.served(SLOW_S, is_overloaded=False)
    assert not limit.is_slow(aim_s=10)


def test_some_flows_for_each_slot_may_always_be_open() -> None:
    limit = limit_at(FakeClock(), rate_per_s=10)
    assert limit.flows_max(slots=6, aim_s=0.1) == OPEN_MAX
    assert limit.flows_max(slots=0.1, aim_s=0.01) == 1


def test_flows_beyond_the_limit_are_refused_while_responses_are_slow() -> None:
    scene = warm(response_s=SLOW_S)
    pile_up(scene, 40)
    assert refused(scene) == 40 - OPEN_MAX
    assert scene.sent[-1][1][0] == 'caller'


def test_flows_beyond_the_limit_are_placed_while_responses_are_fast() -> None:
    scene = warm()
    pile_up(scene, 2 * OPEN_MAX)
    assert refused(scene) == 0


def test_flows_far_beyond_the_limit_are_always_refused() -> None:
    scene = warm()
    pile_up(scene, 4 * OPEN_MAX)
    assert refused(scene) == OPEN_MAX


def test_nothing_is_refused_before_the_fleet_is_known() -> None:
    scene = warm(fleet=0, response_s=SLOW_S)
    pile_up(scene, 40)
    assert refused(scene) == 0


def test_nothing_is_refused_just_after_a_start() -> None:
    scene = vm_harness(*(upstream(name) for name in NAMES))
    pile_up(scene, 100)
    assert refused(scene) == 0


def test_flows_that_hang_on_an_ejected_upstream_are_not_the_load() -> None:
    for is_ejected in (False, True):
        scene = warm(response_s=SLOW_S)
        for index in range(3 * OPEN_MAX):
            hanging = FakeCodec().parse(opening_packet(f'h{index:03}'))
            scene.flows.place(hanging, upstream(NAMES[0]), scene.clock.now)
        if is_ejected:
            scene.outliers.take_over(NAMES[0], 20, 'publisher')
        scene.open('next')
        assert bool(refused(scene)) is not is_ejected


def test_lines_tell_what_decided_a_refusal_and_when_it_ended() -> None:
    scene = warm(response_s=SLOW_S)
    case = unittest.TestCase()
    with case.assertLogs('hibiscushatch_token') as logged:
        pile_up(scene, OPEN_MAX + 1)
        scene.clock.now += 2
        for index in range(OPEN_MAX):
            scene.end(f'p{index:03}', NAMES[0])
        scene.open('next')
        records = list(logged.records)
    by_message = {one.getMessage(): one for one in records}
    line = by_message['flow refused']
    assert line.reason == 'overload'
    assert line.load >= line.limit
    assert line.response_s > WORK_S
    assert by_message['service overloaded'].served_per_s > 0
    assert by_message['service no longer overloaded'].refused == 1
