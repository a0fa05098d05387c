"""Tests of requests on open flows that wait after an interruption.

Guards against an open flow whose packets overtake each other, are lost, or
reach another upstream because one of them waited.
"""

import token_fixtures as fixtures
from token_fixtures import (
    LAST,
    PAYLOAD,
    FakeClock,
    VmHarness,
    apply_routes,
    upstream,
    vm_harness,
)

from hibiscushatch_token.model import Route, WeightedService
from hibiscushatch_token.settings import BacklogSettings

BOOKING = (WeightedService('booking', 1),)
AIM_S = 0.4
ROUTE = Route(BOOKING, priority=2, aim_s=AIM_S, timeout_s=2)
URGENT = Route(BOOKING, priority=1, aim_s=AIM_S, timeout_s=2)
# Both routes, so that a request's priority follows from its endpoint.
ROUTES = (ROUTE, URGENT)
LATE_S = 0.5


def payload(flow: str, copy: int = 0, route: int = 0) -> bytes:
    """Build a packet with a part of a request on an open flow.

    Args:
        flow: Name of the flow, whose upstream is ``a1``.
        copy: Tells different parts from each other.
        route: Number of the route.
    """
    token = upstream('a1').token
    return fixtures._PACKET.pack(flow.encode(), token, PAYLOAD, copy, route)


def full_vm() -> VmHarness:
    """Build an entry VM whose only slot is taken by the flow ``busy``."""
    vm = vm_harness(upstream('a1', slots=1), clock=FakeClock())
    apply_routes(vm, *ROUTES)
    vm.send_after_answer('busy', vm.open('busy'))
    vm.sent.clear()
    return vm


def hold(vm: VmHarness, *datagrams: bytes, waited_s: float = LATE_S) -> None:
    """Let an entry VM find packets that have waited."""
    vm.backlog.handle([(datagram, waited_s) for datagram in datagrams])


def sent_flows(vm: VmHarness) -> list[str]:
    """Return the flows of the packets that were sent to the upstream."""
    return [
        datagram[8:12].decode()
        for datagram, target in vm.sent
        if target[0] == 'a1'
    ]


def test_a_late_request_waits_for_a_slot_at_most_a_quarter_of_its_aim() -> None:
    vm = full_vm()
    hold(vm, payload('f001'))
    assert not sent_flows(vm)
    vm.clock.now += AIM_S / 4 - 0.01
    vm.opener.place_late_flows()
    assert not sent_flows(vm)
    vm.clock.now += 0.02
    vm.opener.place_late_flows()
    assert sent_flows(vm) == ['f001']
    vm.opener.place_late_flows()
    assert sent_flows(vm) == ['f001']


def test_a_slot_that_becomes_free_goes_to_the_urgent_request() -> None:
    vm = full_vm()
    hold(vm, payload('f001'), payload('urge', route=1))
    vm.end('busy', 'a1')
    assert sent_flows(vm) == ['urge', 'busy']


def test_requests_that_have_not_waited_or_are_in_time_are_not_held() -> None:
    vm = full_vm()
    vm.send('f001', upstream('a1').token, PAYLOAD)
    hold(vm, payload('f002'), waited_s=0.1)
    assert sent_flows(vm) == ['f001', 'f002']


def test_nothing_is_held_while_slots_are_free_or_if_switched_off() -> None:
    vm = vm_harness(upstream('a1', slots=1), clock=FakeClock())
    apply_routes(vm, *ROUTES)
    hold(vm, payload('f001'))
    assert sent_flows(vm) == ['f001']
    off = full_vm()
    off.forwarder._held._settings = BacklogSettings(hold_share=0)
    hold(off, payload('f001'))
    assert sent_flows(off) == ['f001']


def test_the_end_of_a_flow_releases_its_request_first() -> None:
    vm = full_vm()
    hold(vm, payload('f001'))
    vm.end('f001', 'a1')
    sent = [datagram[8:] for datagram, _ in vm.sent]
    end = fixtures._PACKET.pack(b'f001', upstream('a1').token, LAST, 0, 0)
    assert sent == [payload('f001'), end]


def test_repeated_packets_are_dropped_and_further_parts_keep_their_order() -> (
    None
):
    vm = full_vm()
    hold(vm, payload('f001'), payload('f001'), payload('f001', copy=1))
    vm.send('f001', upstream('a1').token, PAYLOAD)
    assert not sent_flows(vm)
    vm.clock.now += AIM_S
    vm.opener.place_late_flows()
    sent = [datagram[8:] for datagram, _ in vm.sent]
    assert sent == [payload('f001'), payload('f001', copy=1)]


# A packet that arrives late, after the one that followed it, is sent as it is.
def test_packets_out_of_order_are_neither_lost_nor_held_for_good() -> None:
    vm = full_vm()
    hold(vm, payload('f001', copy=1))
    hold(vm, payload('f001', copy=0))
    vm.clock.now += AIM_S
    vm.opener.place_late_flows()
    assert sent_flows(vm) == ['f001', 'f001']


def test_a_long_upload_is_sent_in_order_without_waiting() -> None:
    vm = full_vm()
    token = upstream('a1').token
    parts = [
        fixtures._PACKET.pack(b'f001', token, PAYLOAD, part % 3, part // 3)
        for part in range(12)
    ]
    hold(vm, *parts)
    sent = [datagram[8:] for datagram, _ in vm.sent]
    assert sent == parts


def test_a_flow_keeps_its_upstream_when_its_route_goes_while_it_waits() -> None:
    vm = full_vm()
    hold(vm, payload('f001'))
    apply_routes(vm)
    vm.clock.now += AIM_S
    vm.opener.place_late_flows()
    assert [target[0] for _, target in vm.sent] == ['a1']


def test_a_flow_whose_upstream_left_is_sent_on_by_its_token() -> None:
    vm = full_vm()
    hold(vm, payload('f001'))
    draining = upstream('a1', is_draining=True, slots=1)
    vm.registry.apply('a1', draining, fixtures.at(3))
    vm.clock.now += AIM_S
    vm.opener.place_late_flows()
    assert [target[0] for _, target in vm.sent] == ['a1']


def test_the_number_of_waiting_requests_is_bounded() -> None:
    vm = full_vm()
    limit = BacklogSettings().held_max
    hold(vm, *(payload(f'{index:04}') for index in range(limit + 100)))
    assert len(vm.opener.late_flows) == limit
    assert len(sent_flows(vm)) == 100
    vm.clock.now += AIM_S
    vm.opener.place_late_flows()
    assert len(sent_flows(vm)) == limit + 100


def test_an_opening_packet_of_a_flow_with_a_waiting_request_is_placed() -> None:
    vm = full_vm()
    hold(vm, payload('f001'))
    vm.open('f001')
    vm.clock.now += AIM_S
    vm.opener.place_late_flows()
    assert sent_flows(vm).count('f001') == 2


# Guards against a request that is dropped because the process was paused while
# it held it: unlike a deferred flow, it can't have been opened elsewhere.
def test_a_request_that_is_long_overdue_is_sent() -> None:
    vm = full_vm()
    hold(vm, payload('f001'))
    vm.clock.now += 4
    vm.opener.place_late_flows()
    assert sent_flows(vm) == ['f001']
