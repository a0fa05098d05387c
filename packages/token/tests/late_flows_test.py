"""Tests of hibiscushatch_token.traffic.late_flows."""

from token_fixtures import (
    FakeClock,
    FakeCodec,
    opening_packet,
    upstream,
    vm_harness,
)

from hibiscushatch_token.model import Route, WeightedService
from hibiscushatch_token.ports import FlowPacket
from hibiscushatch_token.traffic.late_flows import LateFlows, is_late

SERVICES = (WeightedService('booking', 1),)


def packet(flow: str, copy: int) -> FlowPacket:
    """Build an opening packet."""
    return FakeCodec().parse(opening_packet(flow, copy))


def taken(late: LateFlows, rooms: int) -> list[str]:
    """Take the flows for which there is room."""
    left = iter(range(rooms))
    ready = late.take_ready(lambda _service: next(left, None) is not None)
    return [one.packet.flow.decode() for one in ready]


def test_a_flow_is_late_when_little_of_its_aim_is_left() -> None:
    table = (
        (0.15, 0, False),
        (0.15, 1, True),
        (0.25, 1, True),
        (0.33, 1, False),
        (0.33, 2, True),
        (0.0, 2, False),
    )
    for aim_s, copy, expected in table:
        route = Route(SERVICES, aim_s=aim_s, timeout_s=2)
        assert is_late(packet('f001', copy), route) is expected, aim_s


def test_urgent_flows_go_first_and_others_in_the_order_they_came() -> None:
    late = LateFlows(FakeClock())
    usual = Route(SERVICES, priority=2, timeout_s=2)
    urgent = Route(SERVICES, priority=0, timeout_s=2)
    late.add(packet('f001', 1), 'booking', usual)
    late.add(packet('f002', 1), 'booking', usual)
    late.add(packet('f003', 1), 'booking', urgent)
    assert taken(late, rooms=2) == ['f003', 'f001']
    assert taken(late, rooms=0) == []
    assert len(late) == 1


def test_no_flow_waits_until_its_caller_is_about_to_give_up() -> None:
    clock = FakeClock()
    late = LateFlows(clock)
    late.add(packet('f001', 1), 'booking', Route(SERVICES, timeout_s=1.2))
    late.add(packet('f002', 1), 'booking', Route(SERVICES, timeout_s=9))
    clock.now += 0.21
    assert taken(late, rooms=0) == ['f001']
    clock.now += 0.4
    assert taken(late, rooms=0) == ['f002']


def test_a_late_flow_waits_for_room_and_copies_do_not_place_it() -> None:
    scene = vm_harness(upstream('a1'))
    for index in range(3):
        assert scene.open(f'f00{index}') == 'a1'
        scene.send_after_answer(f'f00{index}', 'a1')
    assert scene.open('g001', copy=1) == ''
    scene.clock.now += 0.4
    assert scene.open('g001', copy=2) == ''
    assert scene.counters.flows_deferred == 1
    before = len(scene.sent)
    scene.end('f000', 'a1')
    assert scene.sent[before + 1][1][0] == 'a1'
    assert scene.flows.outstanding('a1') == 3


def test_a_flow_that_went_on_elsewhere_waits_no_longer() -> None:
    scene = vm_harness(upstream('a1'))
    for index in range(3):
        scene.open(f'f00{index}')
        scene.send_after_answer(f'f00{index}', 'a1')
    scene.open('g001', copy=1)
    scene.send_after_answer('g001', 'a1')
    scene.end('f000', 'a1')
    assert scene.flows.outstanding('a1') == 2


def test_silence_after_a_wait_is_no_evidence() -> None:
    scene = vm_harness(upstream('a1'), upstream('a2'))
    for index in range(6):
        chosen = scene.open(f'f00{index}')
        scene.send_after_answer(f'f00{index}', chosen)
    scene.open('g001', copy=1)
    scene.clock.now += 0.7
    scene.opener.place_late()
    scene.advance(0.06)
    for name in ('a1', 'a2'):
        assert scene.reachability.verdict(upstream(name)).value == 'usable'
