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


def parse_opening_packet(flow: str, copy: int) -> FlowPacket:
    """Build an opening packet."""
    return FakeCodec().parse(opening_packet(flow, copy))


def take_ready(late: LateFlows, free_slots: int) -> list[str]:
    """Take the flows that are ready with a number of free slots."""
    remaining = iter(range(free_slots))
    ready = late.take_ready(lambda _service: next(remaining, None) is not None)
    return [ready_flow.packet.flow.decode() for ready_flow in ready]


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
        assert is_late(parse_opening_packet('f001', copy), route) is expected, (
            aim_s
        )


def test_urgent_flows_go_first_and_others_in_the_order_they_came() -> None:
    late = LateFlows(FakeClock())
    normal = Route(SERVICES, priority=2, timeout_s=2)
    urgent = Route(SERVICES, priority=0, timeout_s=2)
    late.add(parse_opening_packet('f001', 1), 'booking', normal)
    late.add(parse_opening_packet('f002', 1), 'booking', normal)
    late.add(parse_opening_packet('f003', 1), 'booking', urgent)
    assert take_ready(late, free_slots=2) == ['f003', 'f001']
    assert take_ready(late, free_slots=0) == []
    assert len(late) == 1


def test_no_flow_waits_until_its_caller_is_about_to_give_up() -> None:
    clock = FakeClock()
    late = LateFlows(clock)
    late.add(
        parse_opening_packet('f001', 1),
        'booking',
        Route(SERVICES, timeout_s=1.2),
    )
    late.add(
        parse_opening_packet('f002', 1), 'booking', Route(SERVICES, timeout_s=9)
    )
    clock.now += 0.21
    assert take_ready(late, free_slots=0) == ['f001']
    clock.now += 0.4
    assert take_ready(late, free_slots=0) == ['f002']


def test_a_late_flow_waits_for_free_slots_and_copies_do_not_place_it() -> None:
    vm = vm_harness(upstream('a1'))
    for index in range(3):
        assert vm.open(f'f00{index}') == 'a1'
        vm.send_after_answer(f'f00{index}', 'a1')
    assert vm.open('g001', copy=1) == ''
    vm.clock.now += 0.4
    assert vm.open('g001', copy=2) == ''
    assert vm.counters.flows_deferred == 1
    before = len(vm.sent)
    vm.end('f000', 'a1')
    assert vm.sent[before + 1][1][0] == 'a1'
    assert vm.flows.outstanding('a1') == 3


def test_a_flow_that_continued_elsewhere_is_no_longer_deferred() -> None:
    vm = vm_harness(upstream('a1'))
    for index in range(3):
        vm.open(f'f00{index}')
        vm.send_after_answer(f'f00{index}', 'a1')
    vm.open('g001', copy=1)
    vm.send_after_answer('g001', 'a1')
    vm.end('f000', 'a1')
    assert vm.flows.outstanding('a1') == 2


def test_a_missing_answer_of_a_deferred_flow_is_not_counted() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    for index in range(6):
        chosen = vm.open(f'f00{index}')
        vm.send_after_answer(f'f00{index}', chosen)
    vm.open('g001', copy=1)
    vm.clock.now += 0.7
    vm.opener.place_late_flows()
    vm.advance(0.06)
    for name in ('a1', 'a2'):
        assert vm.reachability.verdict(upstream(name)).value == 'usable'
