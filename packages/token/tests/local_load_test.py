"""Tests of hibiscushatch_token.traffic.local_load and fleet_load."""

from token_fixtures import LAST, PAYLOAD, FakeClock, upstream, vm_harness

from hibiscushatch_token.knowledge.fleet_load import (
    FleetLoad,
    LoadKey,
    LoadSum,
)

KEY = LoadKey('booking', 'here', 0)
REMOTE_KEY = LoadKey('booking', 'there', 0)
WORK_S = 0.05


def test_a_flow_with_several_requests_is_demand_for_each() -> None:
    vm = vm_harness(upstream('a1'))
    for index in range(40):
        flow = f'f{index:03}'
        token = upstream(vm.open(flow)).token
        for flags in (PAYLOAD, 0, PAYLOAD, LAST):
            vm.clock.now += WORK_S
            vm.send(flow, token, flags)
    load = vm.local_load.rows()[KEY]
    # Two requests in 0.2 s.
    assert 8 < load.demand_per_s < 12
    assert 8 < load.answered_per_s < 12
    assert load.rejected_per_s == load.refused_per_s == load.under_way == 0


def test_requests_under_way_count_for_the_domain_of_their_upstream() -> None:
    vm = vm_harness(upstream('r1', 'there'))
    vm.open('f001')
    rows = vm.local_load.rows()
    assert rows[REMOTE_KEY].under_way == 1
    assert rows[KEY].under_way == 0
    assert rows[KEY].demand_per_s > 0
    assert rows[REMOTE_KEY].demand_per_s == 0


def test_keys_without_recent_events_are_dropped() -> None:
    vm = vm_harness(upstream('a1'))
    vm.open('f001')
    vm.end('f001', 'a1')
    assert KEY in vm.local_load.rows()
    vm.advance(10)
    assert vm.local_load.rows() == {}


def test_sums_are_scaled_to_the_fleet_but_at_most_doubled() -> None:
    clock = FakeClock()
    for covered, factor in ((10, 1), (8, 1.25), (2, 2), (20, 1)):
        fleet = FleetLoad(2, clock, lambda: 10)
        fleet.update([(KEY, LoadSum(under_way=4))], covered, 0)
        loads = [load.under_way for _, load in fleet.rows_of('booking')]
        assert loads == [4 * factor], covered


def test_sums_are_not_used_beyond_their_age() -> None:
    clock = FakeClock()
    fleet = FleetLoad(2, clock, lambda: 10)
    assert not fleet.is_fresh
    fleet.update([(KEY, LoadSum(under_way=4))], 10, 1.5)
    assert fleet.is_fresh
    clock.now += 0.6
    assert not fleet.is_fresh
