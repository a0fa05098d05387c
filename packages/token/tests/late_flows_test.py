"""Tests of hibiscushatch_token.traffic.late_flows."""

import token_fixtures as fixtures
from token_fixtures import (
    FakeClock,
    FakeCodec,
    VmHarness,
    apply_routes,
    opening_packet,
    upstream,
    vm_harness,
)

from hibiscushatch_core.reasons import DropReason, RefusalReason
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


def vm_with_deferred_flow(*names: str) -> VmHarness:
    """Build an entry VM that defers the flow ``g001``, as its slots are taken.

    Args:
        names: Names of its upstreams, three slots each.
    """
    vm = vm_harness(*map(upstream, names))
    for index in range(3 * len(names)):
        flow = f'f{index:03}'
        vm.send_after_answer(flow, vm.open(flow))
    assert vm.open('g001', copy=1) == ''
    vm.sent.clear()
    return vm


def targets(vm: VmHarness) -> list[str]:
    """Return where packets were sent since the flow was deferred."""
    return [target[0] for _, target in vm.sent]


# Guards against flows of a removed route that reach an upstream long after the
# removal is in force at this entry VM.
def test_a_deferred_flow_is_refused_as_soon_as_its_route_is_removed() -> None:
    vm = vm_with_deferred_flow('a1')
    apply_routes(vm)
    vm.clock.now += 0.05
    vm.opener.place_late_flows()
    assert targets(vm) == ['caller']
    assert vm.counters.refusals[RefusalReason.NO_ROUTE] == 1
    vm.clock.now += 0.6
    vm.opener.place_late_flows()
    assert targets(vm) == ['caller']


def test_a_copy_of_a_deferred_flow_without_a_route_is_refused_once() -> None:
    vm = vm_with_deferred_flow('a1')
    vm.clock.now += 0.4
    apply_routes(vm)
    assert vm.open('g001', copy=2) == 'caller'
    vm.clock.now += 0.6
    vm.opener.place_late_flows()
    assert targets(vm) == ['caller']


def test_a_deferred_flow_goes_to_the_service_that_its_route_names_now() -> None:
    vm = vm_with_deferred_flow('a1')
    vm.registry.apply('b1', upstream('b1', service='docs'), fixtures.at(2))
    docs = (WeightedService('docs', 1),)
    apply_routes(vm, Route(docs, aim_s=0.15, timeout_s=2.5))
    vm.opener.place_late_flows()
    assert targets(vm) == ['b1']


def test_a_deferred_flow_waits_by_the_priority_of_its_route_now() -> None:
    clock = FakeClock()
    late = LateFlows(clock)
    routes = {
        fixtures.ENDPOINT: Route(SERVICES, priority=2, timeout_s=2.5),
        (fixtures.ENDPOINT[0], 444): Route(SERVICES, priority=1, timeout_s=2.5),
    }
    for index, endpoint in enumerate(routes):
        packet = parse_opening_packet(f'f00{index}', 1)
        packet.endpoint = endpoint
        late.add(packet, 'booking', routes[endpoint])
    routes[fixtures.ENDPOINT] = Route(SERVICES, priority=0, timeout_s=2.5)
    assert not list(late.update_routes(routes.get, lambda _route: 'booking'))
    assert take_ready(late, free_slots=1) == ['f000']


def test_a_deferred_flow_waits_no_longer_than_its_route_allows_now() -> None:
    vm = vm_with_deferred_flow('a1')
    apply_routes(vm, Route(SERVICES, aim_s=0.15, timeout_s=1.2))
    vm.clock.now += 0.21
    vm.opener.place_late_flows()
    assert targets(vm) == ['a1']


def test_a_deferred_flow_goes_to_no_upstream_that_left_meanwhile() -> None:
    for change in ('drain', 'evacuation'):
        vm = vm_with_deferred_flow('a1', 'a2')
        vm.registry.apply('a3', upstream('a3', 'there'), fixtures.at(2))
        if change == 'drain':
            for name in ('a1', 'a2'):
                draining = upstream(name, is_draining=True)
                vm.registry.apply(name, draining, fixtures.at(3))
        else:
            vm.routing.set_evacuated(frozenset(('here',)), fixtures.at(3))
        vm.clock.now += 0.61
        vm.opener.place_late_flows()
        assert targets(vm) == ['a3'], change


# Guards against a pause of the process: the caller's last copy may have opened
# the flow at another entry VM.
def test_a_deferred_flow_that_was_not_placed_in_time_is_dropped() -> None:
    vm = vm_with_deferred_flow('a1')
    vm.clock.now += 4
    vm.end('f000', 'a1')
    vm.opener.place_late_flows()
    assert targets(vm) == ['a1']
    assert vm.sent[0][0].endswith(b'f000', 8, 12)
    assert vm.counters.drops[DropReason.SUPERSEDED] == 1
