"""Tests of hibiscushatch_token.traffic.flow_opener."""

from unittest import TestCase, mock

import token_fixtures as fixtures
from token_fixtures import (
    LAST,
    VmHarness,
    apply_routes,
    upstream,
    vm_harness,
)

from hibiscushatch_core.reasons import RefusalReason, RetryReason
from hibiscushatch_token.model import Route, Upstream, WeightedService
from hibiscushatch_token.ports import FlowPacket

RETRIES = RetryReason.CONNECT_UNANSWERED


# A lost datagram must not make two upstreams answer: the later answer changes
# the token that the caller repeats.
def test_an_unanswered_flow_is_sent_again_after_50_ms() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    first = vm.open('f001')
    assert vm.advance(0.04) == ''
    assert vm.advance(0.02) == first
    assert vm.flows.outstanding(first) == 1
    assert vm.send_after_answer('f001', first) == first
    assert vm.advance(0.2) == ''
    assert vm.counters.retries[RETRIES] == 1


# Guards against a second upstream that answers although the caller has the
# answer of the first one, because the caller's next packets were lost.
def test_a_flow_moves_when_its_caller_repeats_the_opening_packet() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    first = vm.open('f001')
    assert vm.advance(0.06) == first
    assert vm.advance(0.06) == ''
    assert vm.advance(0.06) == ''
    assert vm.flows.outstanding(first) == 0
    vm.clock.now += 0.02
    second = vm.open('f001', copy=1)
    assert {first, second} == {'a1', 'a2'}
    assert vm.flows.outstanding(first) == 0
    assert vm.send_after_answer('f001', second) == second
    assert vm.advance(0.2) == ''
    assert vm.counters.retries[RETRIES] == 2


def test_a_flow_that_could_not_be_sent_again_moves_50_ms_after_a_copy() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    with mock.patch.object(vm.opener._retry_budget, 'take', lambda _now: False):
        first = vm.open('f001')
        assert vm.advance(0.06) == ''
    vm.clock.now += 0.14
    assert vm.open('f001', copy=1) == first
    assert vm.advance(0.06) not in {first, ''}


def test_an_upstream_that_left_another_flow_unanswered_is_not_tried_again() -> (
    None
):
    vm = vm_harness(upstream('a1'), upstream('a2', 'there'))
    vm.clock.now += 5
    assert vm.open('f001') == 'a1'
    assert vm.advance(0.06) == 'a1'
    flows = ('f002', 'f003', 'f004')
    with mock.patch.object(vm.placement, 'choose', lambda *_: upstream('a1')):
        for flow in flows:
            assert vm.open(flow) == 'a1'
    before = len(vm.sent)
    vm.advance(0.06)
    moved_to = [target[0] for _, target in vm.sent[before:]]
    assert moved_to == ['a2', 'a2', 'a2']


def test_a_flow_is_not_sent_again_to_an_upstream_that_may_get_no_new_flow() -> (
    None
):
    for change in ('drain', 'evacuation', 'removal', 'restart', 'route'):
        vm = vm_harness(upstream('a1'))
        vm.open('f001')
        vm.registry.apply('a2', upstream('a2', 'there'), fixtures.at(2))
        vm.registry.apply('b1', upstream('b1', service='docs'), fixtures.at(2))
        if change == 'drain':
            draining = upstream('a1', is_draining=True)
            vm.registry.apply('a1', draining, fixtures.at(3))
        elif change == 'evacuation':
            vm.routing.set_evacuated(frozenset(('here',)), fixtures.at(3))
        elif change == 'removal':
            vm.registry.apply('a1', None, fixtures.at(3))
        elif change == 'restart':
            restarted = upstream('a1', incarnation=2)
            vm.registry.apply('a1', restarted, fixtures.at(3))
        else:
            apply_routes(vm, Route((WeightedService('docs', 1),)))
        expected = 'b1' if change == 'route' else 'a2'
        assert vm.advance(0.06) == expected, change


def test_the_upstream_that_the_caller_continues_with_keeps_the_flow() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    first = vm.open('f001')
    assert vm.advance(0.06) == first
    vm.clock.now += 0.14
    second = vm.open('f001', copy=1)
    assert second != first
    assert vm.send_after_answer('f001', first) == first
    assert vm.send_after_answer('f001', second) == first
    assert vm.flows.outstanding(first) == 1
    assert vm.flows.outstanding(second) == 0
    assert vm.reachability.verdict(upstream(first)).value == 'usable'


def test_copies_go_to_a_second_and_to_a_third_upstream() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'), upstream('a3'))
    vm.clock.now += 5
    first = vm.open('f001')
    assert vm.advance(0.06) == first
    vm.clock.now += 0.14
    second = vm.open('f001', copy=1)
    assert vm.advance(0.06) == second
    vm.clock.now += 0.34
    third = vm.open('f001', copy=2)
    assert {first, second, third} == {'a1', 'a2', 'a3'}
    assert vm.send_after_answer('f001', third) == third


def test_a_flow_is_sent_again_once_without_another_upstream() -> None:
    vm = vm_harness(upstream('a1'))
    vm.open('f001')
    assert vm.advance(0.06) == 'a1'
    assert vm.advance(0.06) == ''
    assert vm.flows.outstanding('a1') == 0


def test_retries_are_bounded_when_no_upstream_answers() -> None:
    vm = vm_harness(
        *(upstream(f'a{number}', f'domain-{number}') for number in range(40))
    )
    for index in range(200):
        vm.open(f'{index:04}')
        vm.advance(0.06)
    assert 1 < vm.counters.retries[RETRIES] <= 200 * 0.2 + 12 * 2 + 1


def test_a_pause_of_the_process_does_not_count_against_an_upstream() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    first = vm.open('f001')
    assert vm.advance(0.6) == ''
    assert vm.flows.outstanding(first) == 0
    assert vm.reachability.verdict(upstream(first)).value == 'usable'


def _run_flow(vm: VmHarness, flow: str, answer_s: float) -> None:
    chosen = vm.open(flow)
    vm.clock.now += answer_s
    vm.send_after_answer(flow, chosen)
    vm.send(flow, upstream(chosen).token, LAST)


def test_retries_come_later_when_answers_are_slow_on_average() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    for index in range(60):
        _run_flow(vm, f'{index:04}', answer_s=0.03)
    vm.open('f001')
    assert vm.advance(0.06) == ''
    assert vm.advance(0.06) != ''


# Guards against one flow whose retry fails in an unexpected way and is tried
# again forever, ahead of all others.
def test_a_retry_that_fails_does_not_keep_other_flows_from_theirs() -> None:
    names = ('a1', 'a2', 'a3', 'a4')
    vm = vm_harness(*map(upstream, names))
    # Time adds to the budget of retries.
    vm.clock.now += 5
    vm.open('f001')
    vm.open('f002')
    failed: list[bytes] = []

    def forward_or_fail(packet: FlowPacket, target: Upstream) -> None:
        if packet.flow == b'f001':
            failed.append(packet.flow)
            raise OverflowError('port must be 0-65535')
        vm.sent.append((packet.datagram, target.address))

    log = 'hibiscushatch_core.unexpected_errors'
    with (
        mock.patch.object(vm.opener._packet_exit, 'forward', forward_or_fail),
        TestCase().assertLogs(log, 'ERROR') as lines,
    ):
        for _ in range(3):
            vm.advance(0.06)
    assert len(failed) == 1
    assert vm.counters.unexpected_errors == 1
    assert lines.records[0].step == 'retrying a flow'
    assert len(vm.sent) == 3
    assert not any(map(vm.flows.outstanding, names))


# Guards against a second upstream that is chosen by what was in force when the
# opening packet came.
def test_a_second_upstream_is_chosen_by_the_routes_in_force() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    vm.registry.apply('b1', upstream('b1', service='docs'), fixtures.at(2))
    vm.open('f001')
    apply_routes(vm, Route((WeightedService('docs', 1),), priority=2))
    assert vm.advance(0.06) == 'b1'
    assert vm.flows.outstanding_of_priority('booking', 0) == 0
    assert vm.flows.outstanding_of_priority('docs', 2) == 1


def test_an_unanswered_flow_without_a_route_is_not_sent_again() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    vm.open('f001')
    apply_routes(vm)
    assert vm.advance(0.06) == ''
    vm.clock.now += 0.14
    assert vm.open('f001', copy=1) == 'caller'
    assert vm.counters.refusals[RefusalReason.NO_ROUTE] == 1
