"""Tests of hibiscushatch_token.traffic.placement and what it uses."""

import collections

import token_fixtures as fixtures
from token_fixtures import upstream, vm_harness


def test_flows_go_evenly_to_the_upstreams_of_the_own_domain() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'), upstream('b1', 'there'))
    chosen = collections.Counter(vm.open(f'f{index:03}') for index in range(4))
    assert chosen == {'a1': 2, 'a2': 2}


def test_flows_spill_over_before_a_queue_forms() -> None:
    vm = vm_harness(upstream('a1'), upstream('b1', 'there'))
    chosen = collections.Counter(vm.open(f'f{index:03}') for index in range(6))
    assert chosen['a1'] <= 5
    assert chosen['b1'] >= 1


def test_draining_and_evacuated_upstreams_get_no_new_flows() -> None:
    vm = vm_harness(upstream('a1', is_draining=True), upstream('b1', 'there'))
    assert vm.open('f001') == 'b1'
    vm.routing.set_evacuated(frozenset(('there',)), fixtures.at(2))
    assert vm.open('f002') == 'caller'
    assert vm.counters.refusals


def test_copies_and_later_flows_avoid_an_upstream_without_answer() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    first = vm.open('f001')
    assert vm.advance(0.06) == first
    vm.clock.now += 0.14
    second = vm.open('f001', copy=1)
    assert {first, second} == {'a1', 'a2'}
    later = {vm.open(f'g{index:03}') for index in range(2)}
    assert later == {second}


def test_copies_handled_together_are_not_retries() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    vm.open('f001')
    vm.clock.now += 0.01
    assert vm.open('f001', copy=1) == ''
    assert not vm.counters.retries


def test_new_flows_avoid_an_upstream_before_a_caller_sends_a_copy() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    unanswering = vm.open('f001')
    other = vm.open('f002')
    vm.send_after_answer('f002', other)
    assert vm.advance(0.07) == unanswering
    assert vm.open('f003') == other
    assert unanswering != other


def test_one_missing_answer_does_not_keep_an_upstream_idle() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    unanswering = vm.open('f001')
    vm.advance(0.2)
    assert vm.open('g001') != unanswering
    vm.clock.now += 1
    vm.send('g001', 1, fixtures.LAST)
    chosen = {vm.open(f'h{index:03}') for index in range(2)}
    assert unanswering in chosen


def test_an_upstream_that_answers_again_gets_flows_again() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    unanswering = vm.open('f001')
    vm.advance(0.2)
    vm.send_after_answer('f001', unanswering)
    chosen = {vm.open(f'g{index:03}') for index in range(4)}
    assert chosen == {'a1', 'a2'}


def test_a_dead_upstream_is_probed_with_single_flows() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    other = ''
    for index in range(4):
        flow = f'f{index:03}'
        chosen = vm.open(flow)
        if chosen == 'a2':
            vm.send_after_answer(flow, 'a2')
            other = chosen
        vm.advance(0.2)
        vm.send(flow, upstream('a2').token, fixtures.LAST)
    assert other == 'a2'
    probes = 0
    for index in range(100):
        vm.clock.now += 0.05
        flow = f'g{index:03}'
        if vm.open(flow) == 'a1':
            probes += 1
        else:
            vm.send_after_answer(flow, 'a2')
            vm.send(flow, upstream('a2').token, fixtures.LAST)
        vm.advance(0)
    assert 1 <= probes <= 4, probes


def test_a_cut_off_domain_is_avoided_after_three_unanswered_flows() -> None:
    remote = tuple(upstream(f'b{index}', 'there') for index in range(6))
    vm = vm_harness(*remote, upstream('c1', 'elsewhere'))
    tried = []
    for index in range(30):
        flow = f'f{index:03}'
        chosen = vm.open(flow)
        if chosen == 'c1':
            vm.send_after_answer(flow, 'c1')
            vm.send(flow, upstream('c1').token, fixtures.LAST)
        else:
            tried.append(chosen)
        vm.advance(0.13)
    assert len(tried) <= 3 + 5
    assert vm.verdicts.unreachable_at is None


def test_the_time_is_recorded_when_no_upstream_answers() -> None:
    vm = vm_harness(upstream('b1', 'there'))
    for index in range(3):
        vm.open(f'f{index:03}')
        vm.advance(0.13)
    vm.open('g001')
    assert vm.verdicts.unreachable_at == vm.clock.now


def test_a_cold_upstream_gets_its_allowance_from_the_whole_fleet() -> None:
    table = ((1, 4.0), (8, 4.0), (80, 4.0), (3, 40.0))
    for fleet, allowance in table:
        taken = 0
        for seed in range(fleet):
            vm = vm_harness(
                upstream('a1', cold_s=10),
                upstream('a2'),
                fleet=fleet,
                cold_flows_per_s=allowance,
            )
            vm.reachability._randomness.seed(seed)
            for index in range(100):
                flow = f'f{index:03}'
                chosen = vm.open(flow)
                taken += chosen == 'a1'
                vm.send(flow, upstream(chosen).token)
                vm.send(flow, upstream(chosen).token, fixtures.LAST)
                vm.clock.now += 0.01
        assert taken <= allowance * 1.5 + 5, (fleet, allowance, taken)


def test_cold_upstreams_get_no_flow_while_the_fleet_size_is_unknown() -> None:
    vm = vm_harness(upstream('a1', cold_s=10), fleet=0, cold_flows_per_s=4)
    assert vm.open('f001') == 'caller'


def test_without_a_stated_allowance_a_cold_upstream_is_the_second_choice() -> (
    None
):
    vm = vm_harness(upstream('a1', cold_s=10), upstream('a2'))
    assert vm.open('f001') == 'a2'
    assert vm.open('f002') == 'a2'
    assert vm.open('f003') == 'a1'
