"""Tests of hibiscushatch_token.traffic.admission and concurrency_limit."""

import unittest

from token_fixtures import (
    LAST,
    PAYLOAD,
    FakeClock,
    FakeCodec,
    VmHarness,
    opening_packet,
    upstream,
    vm_harness,
)

from hibiscushatch_core.reasons import RefusalReason
from hibiscushatch_token.settings import AdmissionSettings
from hibiscushatch_token.traffic.concurrency_limit import ConcurrencyLimit

UPSTREAMS = ('u0', 'u1')
WORK_S = 0.04
# More than half of the aim of the fixtures' route, which is 0.15 s.
SLOW_RESPONSE_S = 0.15
# Two upstreams with three slots each, and three flows for each slot.
OPEN_MAX = 18


def limit_after_requests(
    clock: FakeClock, rate_per_s: float
) -> ConcurrencyLimit:
    """Build a limit that has recorded 4 s of requests at a rate."""
    limit = ConcurrencyLimit(AdmissionSettings(), clock)
    for _ in range(round(4 * rate_per_s)):
        clock.now += 1 / rate_per_s
        limit.record_response(WORK_S, is_overloaded=False)
    return limit


def open_requests(vm: VmHarness, flows: int) -> None:
    """Open flows whose requests stay unanswered."""
    for index in range(flows):
        flow = f'p{index:03}'
        token = upstream(vm.open(flow) or UPSTREAMS[0]).token
        vm.clock.now += 0.001
        vm.send(flow, token, PAYLOAD)


def warmed_up_vm(fleet: int = 1, response_s: float = WORK_S) -> VmHarness:
    """Build an entry VM that has served requests for some seconds."""
    vm = vm_harness(*(upstream(name) for name in UPSTREAMS), fleet=fleet)
    for index in range(60):
        flow = f'w{index:03}'
        token = upstream(vm.open(flow)).token
        vm.clock.now += 0.01
        vm.send(flow, token, PAYLOAD)
        vm.clock.now += response_s
        vm.request_watch.record_overdue()
        vm.send(flow, token, LAST)
    return vm


def refused_flows(vm: VmHarness) -> int:
    """Return how many flows were refused as overload."""
    return vm.counters.refusals[RefusalReason.OVERLOAD]


def test_the_limit_is_the_rate_times_the_time_of_a_flow() -> None:
    clock = FakeClock()
    limit = limit_after_requests(clock, rate_per_s=100)
    assert 95 < limit.rate_per_s < 105
    # Three times the baseline of 0.04 s, at 100 requests a second.
    assert round(limit.flows_max(slots=1, aim_s=10)) == 12
    # Seven tenths of the aim, where that is shorter.
    assert round(limit.flows_max(slots=1, aim_s=0.1)) == 7
    clock.now += 0.35
    assert 47 < limit.rate_per_s < 53


def test_responses_of_an_overload_hardly_change_the_baseline() -> None:
    limit = limit_after_requests(FakeClock(), rate_per_s=100)
    for _ in range(500):
        limit.record_response(SLOW_RESPONSE_S, is_overloaded=True)
    assert limit.is_slow(aim_s=10)
    assert limit.baseline_s < 1.5 * WORK_S
    for _ in range(500):
        limit.record_response(SLOW_RESPONSE_S, is_overloaded=False)
    assert not limit.is_slow(aim_s=10)


def test_some_flows_for_each_slot_may_always_be_open() -> None:
    limit = limit_after_requests(FakeClock(), rate_per_s=10)
    assert limit.flows_max(slots=6, aim_s=0.1) == OPEN_MAX
    assert limit.flows_max(slots=0.1, aim_s=0.01) == 1


def test_flows_beyond_the_limit_are_refused_while_responses_are_slow() -> None:
    vm = warmed_up_vm(response_s=SLOW_RESPONSE_S)
    open_requests(vm, 40)
    assert refused_flows(vm) == 40 - OPEN_MAX
    assert vm.sent[-1][1][0] == 'caller'


def test_flows_beyond_the_limit_are_placed_while_responses_are_fast() -> None:
    vm = warmed_up_vm()
    open_requests(vm, 2 * OPEN_MAX)
    assert refused_flows(vm) == 0


def test_flows_far_beyond_the_limit_are_always_refused() -> None:
    vm = warmed_up_vm()
    open_requests(vm, 4 * OPEN_MAX)
    assert refused_flows(vm) == OPEN_MAX


def test_nothing_is_refused_before_the_fleet_is_known() -> None:
    vm = warmed_up_vm(fleet=0, response_s=SLOW_RESPONSE_S)
    open_requests(vm, 40)
    assert refused_flows(vm) == 0


def test_nothing_is_refused_just_after_a_start() -> None:
    vm = vm_harness(*(upstream(name) for name in UPSTREAMS))
    open_requests(vm, 100)
    assert refused_flows(vm) == 0


def test_flows_that_hang_on_an_ejected_upstream_do_not_count_as_load() -> None:
    for is_ejected in (False, True):
        vm = warmed_up_vm(response_s=SLOW_RESPONSE_S)
        for index in range(3 * OPEN_MAX):
            hanging = FakeCodec().parse(opening_packet(f'h{index:03}'))
            vm.flows.place(hanging, 0, upstream(UPSTREAMS[0]), vm.clock.now)
        if is_ejected:
            vm.outliers.adopt_ejection(UPSTREAMS[0], 20, 'publisher')
        vm.open('next')
        assert bool(refused_flows(vm)) is not is_ejected


def test_log_shows_the_cause_of_a_refusal_and_the_end_of_the_overload() -> None:
    vm = warmed_up_vm(response_s=SLOW_RESPONSE_S)
    case = unittest.TestCase()
    with case.assertLogs('hibiscushatch_token') as logged:
        open_requests(vm, OPEN_MAX + 1)
        vm.clock.now += 2
        for index in range(OPEN_MAX):
            vm.end(f'p{index:03}', UPSTREAMS[0])
        vm.open('next')
        records = list(logged.records)
    records_by_message = {record.getMessage(): record for record in records}
    refusal = records_by_message['flow refused']
    assert refusal.reason == 'overload'
    assert refusal.load >= refusal.limit
    assert refusal.response_s > WORK_S
    assert records_by_message['service overloaded'].served_per_s > 0
    assert records_by_message['service no longer overloaded'].refused == 1
