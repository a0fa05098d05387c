"""Tests of hibiscushatch_token.traffic.forwarder."""

import msgspec
import token_fixtures as fixtures
from token_fixtures import upstream, vm_harness

from hibiscushatch_core.reasons import DropReason, RefusalReason


def test_packets_follow_their_token_without_state_of_the_flow() -> None:
    scene = vm_harness(upstream('a1'), upstream('a2'))
    assert scene.send_after_answer('f001', 'a2') == 'a2'
    assert scene.send_after_answer('f001', 'a1') == 'a1'


def test_packets_follow_their_token_after_the_upstream_was_removed() -> None:
    scene = vm_harness(upstream('a1'), upstream('a2'))
    scene.registry.apply('a1', None, 2)
    assert scene.send_after_answer('f001', 'a1') == 'a1'
    assert scene.open('f002') == 'a2'
    scene.clock.now += 61
    scene.registry.expire()
    assert scene.send_after_answer('f001', 'a1') == ''
    assert scene.counters.drops[DropReason.UNKNOWN_TOKEN] == 1


def test_a_route_that_is_not_there_is_refused_at_once() -> None:
    scene = vm_harness(upstream('a1'))
    scene.routing.apply_config(
        fixtures.RoutingConfig(version=2, routes={}, services={}), 2
    )
    assert scene.open('f001') == 'caller'
    assert scene.counters.refusals[RefusalReason.NO_ROUTE] == 1
    assert scene.send_after_answer('f002', 'a1') == 'a1'


def test_a_late_second_answer_does_not_move_an_open_flow() -> None:
    scene = vm_harness(upstream('a1'), upstream('a2'))
    scene.open('f001')
    scene.clock.now += 0.2
    second = scene.open('f001', copy=1)
    assert scene.send_after_answer('f001', second) == second
    late = 'a1' if second == 'a2' else 'a2'
    assert scene.send_after_answer('f001', late) == second


def test_ended_and_idle_flows_cease_to_count() -> None:
    scene = vm_harness(upstream('a1'))
    scene.open('f001')
    scene.send_after_answer('f001', 'a1')
    assert scene.flows.outstanding('a1') == 1
    scene.send('f001', upstream('a1').token, fixtures.LAST)
    assert scene.flows.outstanding('a1') == 0
    scene.open('f002')
    scene.send_after_answer('f002', 'a1')
    scene.advance(4)
    assert len(scene.flows) == 0
    assert scene.flows.outstanding('a1') == 0


def test_a_flow_that_is_never_answered_ceases_to_count_soon() -> None:
    scene = vm_harness(upstream('a1'))
    scene.open('f001')
    scene.advance(0.13)
    assert scene.flows.outstanding('a1') == 0
    scene.clock.now += 0.07
    scene.open('f001', copy=1)
    assert scene.flows.outstanding('a1') == 1
    scene.send('f001', upstream('a1').token, fixtures.LAST)
    assert scene.flows.outstanding('a1') == 0


def test_a_short_datagram_is_dropped() -> None:
    scene = vm_harness(upstream('a1'))
    scene.forwarder.handle(b'x', 'caller')
    assert scene.counters.drops[DropReason.TRUNCATED] == 1


def test_nothing_is_kept_of_upstreams_that_are_gone_for_long() -> None:
    scene = vm_harness(upstream('a1'), upstream('a2'))
    scene.open('f001')
    scene.advance(0.2)
    scene.registry.apply('a1', None, 2)
    scene.registry.apply('a2', None, 2)
    scene.clock.now += 61
    scene.registry.expire()
    assert not scene.reachability._upstreams
    assert not scene.registry._by_token
    assert not scene.registry._cold_until


def test_a_restart_under_the_same_name_is_judged_anew() -> None:
    scene = vm_harness(upstream('a1'), upstream('a2'))
    for index in range(4):
        flow = f'f{index:03}'
        if scene.open(flow) == 'a2':
            scene.send_after_answer(flow, 'a2')
        scene.advance(0.2)
    assert scene.reachability.verdict(upstream('a1')).value != 'usable'
    again = upstream('a1', incarnation=2)
    scene.registry.apply('a1', again, 3)
    assert scene.reachability.verdict(again).value == 'usable'


def test_of_two_upstreams_with_one_token_the_same_one_gets_flows() -> None:
    first = upstream('a1')
    second = msgspec.structs.replace(upstream('a2'), token=first.token)
    for order in ((first, second), (second, first)):
        scene = vm_harness(*order)
        chosen = {scene.open(f'f00{index}') for index in range(4)}
        assert chosen == {'a1'}, order
        assert scene.send_after_answer('f000', 'a1') == 'a1'
        assert set(scene.registry.names) == {'a1', 'a2'}


def test_an_upstream_gets_flows_when_the_other_one_of_its_token_leaves() -> (
    None
):
    first = upstream('a1')
    second = msgspec.structs.replace(upstream('a2'), token=first.token)
    for order in ((first, second), (second, first)):
        scene = vm_harness(*order)
        scene.registry.apply('a1', None, 2)
        assert scene.open('f001') == 'a2', order
        scene.registry.apply('a2', None, 3)
        assert scene.open('f002') == '' or scene.sent[-1][0] == b'reset'
