"""Tests of hibiscushatch_token.traffic.placement and what it is made of."""

import collections

import token_fixtures as fixtures
from token_fixtures import upstream, vm_harness


def test_flows_go_evenly_to_the_upstreams_of_the_own_domain() -> None:
    scene = vm_harness(upstream('a1'), upstream('a2'), upstream('b1', 'there'))
    chosen = collections.Counter(
        scene.open(f'f{index:03}') for index in range(4)
    )
    assert chosen == {'a1': 2, 'a2': 2}


def test_flows_spill_over_before_a_queue_forms() -> None:
    scene = vm_harness(upstream('a1'), upstream('b1', 'there'))
    chosen = collections.Counter(
        scene.open(f'f{index:03}') for index in range(6)
    )
    assert chosen['a1'] <= 5
    assert chosen['b1'] >= 1


def test_draining_and_evacuated_upstreams_get_no_new_flows() -> None:
    scene = vm_harness(
        upstream('a1', is_draining=True), upstream('b1', 'there')
    )
    assert scene.open('f001') == 'b1'
    scene.routing.set_evacuated(frozenset(('there',)), 2)
    assert scene.open('f002') == 'caller'
    assert scene.counters.refusals


def test_a_copy_goes_to_another_upstream_and_avoids_the_silent_one() -> None:
    scene = vm_harness(upstream('a1'), upstream('a2'))
    first = scene.open('f001')
    scene.clock.now += 0.2
    second = scene.open('f001', copy=1)
    assert {first, second} == {'a1', 'a2'}
    later = {scene.open(f'g{index:03}') for index in range(2)}
    assert later == {second}


def test_copies_that_waited_together_are_one() -> None:
    scene = vm_harness(upstream('a1'), upstream('a2'))
    scene.open('f001')
    scene.clock.now += 0.01
    assert scene.open('f001', copy=1) == ''
    assert not scene.counters.retries


def test_a_missing_answer_shifts_flows_before_the_caller_repeats() -> None:
    scene = vm_harness(upstream('a1'), upstream('a2'))
    silent = scene.open('f001')
    other = scene.open('f002')
    scene.send_after_answer('f002', other)
    assert scene.advance(0.07) == other
    assert scene.open('f003') == other
    assert silent != other


def test_one_missing_answer_does_not_keep_an_upstream_idle() -> None:
    scene = vm_harness(upstream('a1'), upstream('a2'))
    silent = scene.open('f001')
    scene.advance(0.2)
    assert scene.open('g001') != silent
    scene.clock.now += 1
    scene.send('g001', 1, fixtures.LAST)
    chosen = {scene.open(f'h{index:03}') for index in range(2)}
    assert silent in chosen


def test_an_upstream_that_answers_again_gets_flows_again() -> None:
    scene = vm_harness(upstream('a1'), upstream('a2'))
    silent = scene.open('f001')
    scene.advance(0.2)
    scene.send_after_answer('f001', silent)
    chosen = {scene.open(f'g{index:03}') for index in range(4)}
    assert chosen == {'a1', 'a2'}


def test_a_dead_upstream_is_tried_with_single_flows() -> None:
    scene = vm_harness(upstream('a1'), upstream('a2'))
    other = ''
    for index in range(4):
        flow = f'f{index:03}'
        chosen = scene.open(flow)
        if chosen == 'a2':
            scene.send_after_answer(flow, 'a2')
            other = chosen
        scene.advance(0.2)
        scene.send(flow, upstream('a2').token, fixtures.LAST)
    assert other == 'a2'
    tries = 0
    for index in range(100):
        scene.clock.now += 0.05
        flow = f'g{index:03}'
        if scene.open(flow) == 'a1':
            tries += 1
        else:
            scene.send_after_answer(flow, 'a2')
            scene.send(flow, upstream('a2').token, fixtures.LAST)
        scene.advance(0)
    assert 1 <= tries <= 4, tries


def test_a_domain_that_is_cut_off_is_left_after_three_silent_flows() -> None:
    remote = tuple(upstream(f'b{index}', 'there') for index in range(6))
    scene = vm_harness(*remote, upstream('c1', 'elsewhere'))
    tried = []
    for index in range(30):
        flow = f'f{index:03}'
        chosen = scene.open(flow)
        if chosen == 'c1':
            scene.send_after_answer(flow, 'c1')
            scene.send(flow, upstream('c1').token, fixtures.LAST)
        else:
            tried.append(chosen)
        scene.advance(0.13)
    assert len(tried) <= 3 + 5
    assert scene.verdicts.unreachable_at is None


def test_flows_without_an_answering_upstream_are_a_sign_of_a_cut() -> None:
    scene = vm_harness(upstream('b1', 'there'))
    for index in range(3):
        scene.open(f'f{index:03}')
        scene.advance(0.13)
    scene.open('g001')
    assert scene.verdicts.unreachable_at == scene.clock.now


def test_a_cold_upstream_gets_its_allowance_from_the_whole_fleet() -> None:
    table = ((1, 4.0), (8, 4.0), (80, 4.0), (3, 40.0))
    for fleet, allowance in table:
        taken = 0
        for vm in range(fleet):
            scene = vm_harness(
                upstream('a1', cold_s=10),
                upstream('a2'),
                fleet=fleet,
                cold_flows_per_s=allowance,
            )
            scene.reachability._randomness.seed(vm)
            for index in range(100):
                flow = f'f{index:03}'
                chosen = scene.open(flow)
                taken += chosen == 'a1'
                scene.send(flow, upstream(chosen).token)
                scene.send(flow, upstream(chosen).token, fixtures.LAST)
                scene.clock.now += 0.01
        assert taken <= allowance * 1.5 + 5, (fleet, allowance, taken)


def test_no_flow_goes_to_a_cold_upstream_of_an_unknown_fleet() -> None:
    scene = vm_harness(upstream('a1', cold_s=10), fleet=0, cold_flows_per_s=4)
    assert scene.open('f001') == 'caller'


def test_without_a_stated_allowance_a_cold_upstream_is_the_second_choice() -> (
    None
):
    scene = vm_harness(upstream('a1', cold_s=10), upstream('a2'))
    assert scene.open('f001') == 'a2'
    assert scene.open('f002') == 'a2'
    assert scene.open('f003') == 'a1'
