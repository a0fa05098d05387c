"""Tests of hibiscushatch_token.traffic.flow_table: requests as unit of load."""

from token_fixtures import LAST, PAYLOAD, VmHarness, upstream, vm_harness

ROUND_TRIP_S = 0.01


def open_kept(entry_vm: VmHarness, flow: str) -> int:
    """Open a flow, play its first request, and return its token."""
    token = upstream(entry_vm.open(flow)).token
    entry_vm.clock.now += ROUND_TRIP_S
    entry_vm.send(flow, token, PAYLOAD)
    entry_vm.clock.now += ROUND_TRIP_S
    entry_vm.send(flow, token)
    return token


def test_an_open_flow_is_outstanding_only_while_a_request_is_under_way() -> (
    None
):
    vm = vm_harness(upstream('a1'))
    vm.open('f001')
    assert vm.flows.outstanding('a1') == 1
    token = upstream('a1').token
    vm.send('f001', token, PAYLOAD)
    assert vm.flows.outstanding('a1') == 1
    vm.send('f001', token)
    assert vm.flows.outstanding('a1') == 0
    vm.send('f001', token, PAYLOAD)
    vm.send('f001', token, PAYLOAD)
    assert vm.flows.outstanding('a1') == 1
    vm.send('f001', token, LAST)
    assert vm.flows.outstanding('a1') == 0


def test_a_request_on_a_flow_that_resumes_counts_as_load() -> None:
    vm = vm_harness(upstream('a1'))
    token = open_kept(vm, 'f001')
    vm.advance(4)
    assert len(vm.flows) == 0
    vm.send('f001', token, PAYLOAD)
    assert vm.flows.outstanding('a1') == 1
    assert vm.flows.outstanding_of_service('booking') == 1
    vm.send('f001', token)
    assert vm.flows.outstanding_of_service('booking') == 0


def test_a_request_on_a_flow_of_another_entry_vm_counts_as_load() -> None:
    vm = vm_harness(upstream('a1'), upstream('a2'))
    vm.send('f001', upstream('a2').token, PAYLOAD)
    assert vm.flows.outstanding('a2') == 1
    assert vm.flows.outstanding('a1') == 0
    vm.advance(2)
    assert vm.flows.outstanding('a2') == 0


def test_acknowledgements_of_an_unknown_flow_are_no_load() -> None:
    vm = vm_harness(upstream('a1'))
    vm.send('f001', upstream('a1').token)
    assert len(vm.flows) == 0
    assert vm.flows.outstanding('a1') == 0


def test_outstanding_flows_are_counted_by_priority_of_their_route() -> None:
    vm = vm_harness(upstream('a1'))
    vm.open('f001')
    assert vm.flows.outstanding_of_priority('booking', 0) == 1
    assert vm.flows.outstanding_of_priority('booking', 1) == 0
    vm.end('f001', 'a1')
    assert vm.flows.outstanding_of_priority('booking', 0) == 0


def test_a_new_flow_goes_where_no_request_is_under_way() -> None:
    # Both upstreams hold an open flow; only the one with a request is loaded.
    vm = vm_harness(upstream('a1'), upstream('a2'))
    tokens = {open_kept(vm, flow) for flow in ('f001', 'f002')}
    assert tokens == {upstream('a1').token, upstream('a2').token}
    vm.send('f001', upstream('a1').token, PAYLOAD)
    busy = {'f001': 'a1'}
    for index in range(3, 7):
        flow = f'f00{index}'
        chosen = vm.open(flow)
        assert chosen == 'a2', (busy, index)
        vm.end(flow, chosen)
