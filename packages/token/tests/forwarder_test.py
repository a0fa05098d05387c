"""Tests of hibiscushatch_token.traffic.forwarder."""

import msgspec
import token_fixtures as fixtures
from token_fixtures import upstream, vm_harness

from hibiscushatch_core.reasons import DropReason, RefusalReason


def test_packets_follow_their_token_without_a_record_of_the_flow() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    assert vm.send_after_answer('f001', 'a2') == 'a2'
    assert vm.send_after_answer('f001', 'a1') == 'a1'


def test_packets_follow_their_token_after_the_upstream_was_removed() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    vm.registry.apply('a1', None, fixtures.at(2))
    assert vm.send_after_answer('f001', 'a1') == 'a1'
    assert vm.open('f002') == 'a2'
    vm.clock.now += 61
    vm.registry.expire()
    assert vm.send_after_answer('f001', 'a1') == ''
    assert vm.counters.drops[DropReason.UNKNOWN_TOKEN] == 1


def test_a_flow_without_a_route_is_refused_at_once() -> None:
    vm = vm_harness(upstream('a1'))
    vm.routing.apply_config(
        fixtures.RoutingConfig(version=2, routes={}, services={}),
        fixtures.at(2),
    )
    assert vm.open('f001') == 'caller'
    assert vm.counters.refusals[RefusalReason.NO_ROUTE] == 1
    assert vm.send_after_answer('f002', 'a1') == 'a1'


def test_a_late_answer_of_another_upstream_does_not_move_an_open_flow() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    first = vm.open('f001')
    assert vm.advance(0.06) == first
    vm.clock.now += 0.14
    second = vm.open('f001', copy=1)
    assert second != first
    assert vm.send_after_answer('f001', second) == second
    late = 'a1' if second == 'a2' else 'a2'
    assert vm.send_after_answer('f001', late) == second


# Guards against an entry VM that was paused for 4 s: the copies of its packets
# have opened flows at other entry VMs, whose tokens a late answer would change.
def test_opening_packets_that_waited_until_the_next_copy_are_dropped() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    for copy, waited_s, is_placed in (
        (0, 0.19, True),
        (0, 0.21, False),
        (1, 0.39, True),
        (1, 0.41, False),
        (2, 0.79, True),
        (2, 0.81, False),
        (2, 4.0, False),
    ):
        flow = f'{copy}{waited_s:.1f}'[:4]
        before = len(vm.sent)
        datagram = fixtures.opening_packet(flow, copy)
        vm.forwarder.handle_waited(datagram, waited_s)
        assert (len(vm.sent) > before) is is_placed, (copy, waited_s)
        vm.flows.remove(flow.encode())
    assert vm.counters.drops[DropReason.SUPERSEDED] == 4


def test_ended_and_idle_flows_are_no_longer_outstanding() -> None:
    vm = vm_harness(upstream('a1'))
    vm.open('f001')
    vm.send_after_answer('f001', 'a1')
    assert vm.flows.outstanding('a1') == 1
    vm.send('f001', upstream('a1').token, fixtures.LAST)
    assert vm.flows.outstanding('a1') == 0
    vm.open('f002')
    vm.send_after_answer('f002', 'a1')
    vm.advance(4)
    assert len(vm.flows) == 0
    assert vm.flows.outstanding('a1') == 0


def test_an_unanswered_flow_is_soon_no_longer_outstanding() -> None:
    vm = vm_harness(upstream('a1'))
    vm.open('f001')
    vm.advance(0.06)
    vm.advance(0.07)
    assert vm.flows.outstanding('a1') == 0
    vm.clock.now += 0.07
    vm.open('f001', copy=1)
    assert vm.flows.outstanding('a1') == 1
    vm.send('f001', upstream('a1').token, fixtures.LAST)
    assert vm.flows.outstanding('a1') == 0


def test_a_short_datagram_is_dropped() -> None:
    vm = vm_harness(upstream('a1'))
    vm.forwarder.handle(b'x', 'caller')
    assert vm.counters.drops[DropReason.TRUNCATED] == 1


def test_state_of_upstreams_removed_long_ago_is_dropped() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    vm.open('f001')
    vm.advance(0.2)
    vm.registry.apply('a1', None, fixtures.at(2))
    vm.registry.apply('a2', None, fixtures.at(2))
    vm.clock.now += 61
    vm.registry.expire()
    assert not vm.reachability._health_by_upstream
    assert not vm.registry._by_token
    assert not vm.registry._cold_until


def test_an_upstream_restarted_under_its_name_gets_a_new_verdict() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    for index in range(4):
        flow = f'f{index:03}'
        if vm.open(flow) == 'a2':
            vm.send_after_answer(flow, 'a2')
        vm.advance(0.2)
    assert vm.reachability.verdict(upstream('a1')).value != 'usable'
    restarted = upstream('a1', incarnation=2)
    vm.registry.apply('a1', restarted, fixtures.at(3))
    assert vm.reachability.verdict(restarted).value == 'usable'


def test_of_two_upstreams_with_one_token_always_the_same_gets_flows() -> None:
    first = upstream('a1')
    second = msgspec.structs.replace(upstream('a2'), token=first.token)
    for order in ((first, second), (second, first)):
        vm = vm_harness(*order)
        chosen = {vm.open(f'f00{index}') for index in range(4)}
        assert chosen == {'a1'}, order
        assert vm.send_after_answer('f000', 'a1') == 'a1'
        assert set(vm.registry.names) == {'a1', 'a2'}


def test_an_upstream_gets_flows_when_another_with_its_token_is_removed() -> (
    None
):
    first = upstream('a1')
    second = msgspec.structs.replace(upstream('a2'), token=first.token)
    for order in ((first, second), (second, first)):
        vm = vm_harness(*order)
        vm.registry.apply('a1', None, fixtures.at(2))
        assert vm.open('f001') == 'a2', order
        vm.registry.apply('a2', None, fixtures.at(3))
        assert vm.open('f002') == '' or vm.sent[-1][0] == b'reset'
