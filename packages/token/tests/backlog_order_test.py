"""Tests of the order in which packets are handled that waited.

Guards against a backlog in which callers who can no longer be served in time
take the slots of those who can, and less urgent ones those of urgent ones.
"""

import token_fixtures as fixtures
from token_fixtures import (
    LAST,
    OPENING,
    PAYLOAD,
    FakeClock,
    FakeCodec,
    VmHarness,
    apply_routes,
    upstream,
    vm_harness,
)

from hibiscushatch_token.knowledge.routing import Routing
from hibiscushatch_token.model import Route, WeightedService
from hibiscushatch_token.ports import FlowPacket
from hibiscushatch_token.traffic.backlog import order_packets

BOOKING = (WeightedService('booking', 1),)
NORMAL = Route(BOOKING, priority=2, aim_s=0.4, timeout_s=2)
URGENT = Route(BOOKING, priority=1, aim_s=0.4, timeout_s=2)
COPY_TIMES_S = (0, 0.2, 0.6)


def routing_of(*routes: Route) -> Routing:
    """Build routes for consecutive ports of the endpoint."""
    vm = vm_harness(upstream('a1'))
    apply_routes(vm, *routes)
    return vm.routing


def copy_after(waited_s: float) -> int:
    """Return the latest copy that a caller has sent after a time."""
    return sum(waited_s >= sent_at_s for sent_at_s in COPY_TIMES_S) - 1


def datagram(
    flow: str, waited_s: float, flags: int = OPENING, route: int = 0
) -> bytes:
    """Build a packet of a caller who began some time ago."""
    copy = copy_after(waited_s)
    return fixtures._PACKET.pack(flow.encode(), 1, flags, copy, route)


def waiting(flow: str, waited_s: float, route: int = 0) -> tuple[bytes, float]:
    """Build an opening packet, and how long it has waited in the socket."""
    in_socket_s = waited_s - COPY_TIMES_S[copy_after(waited_s)]
    return datagram(flow, waited_s, OPENING, route), in_socket_s


def packet(
    flow: str, waited_s: float, flags: int = OPENING, route: int = 0
) -> FlowPacket:
    """Build a packet whose caller began some time ago."""
    parsed = FakeCodec().parse(datagram(flow, waited_s, flags, route))
    parsed.waited_s = waited_s
    return parsed


def ordered(*packets: FlowPacket) -> list[str]:
    """Return the flows of packets in their order."""
    routing = routing_of(NORMAL, URGENT)
    return [one.flow.decode() for one in order_packets(packets, routing)]


def test_those_in_time_go_first_and_of_each_the_urgent_and_the_oldest() -> None:
    assert ordered(
        packet('lt-2', 0.5),
        packet('lu-3', 0.5, route=1),
        packet('lu-4', 0.9, route=1),
        packet('new2', 0.1),
        packet('old2', 0.2),
        packet('new1', 0.1, route=1),
        packet('old1', 0.2, route=1),
    ) == ['old1', 'new1', 'old2', 'new2', 'lu-4', 'lu-3', 'lt-2']


def test_requests_on_open_flows_are_ordered_with_the_others() -> None:
    assert ordered(
        packet('f001', 0.1),
        packet('open', 0.2, PAYLOAD),
        packet('urge', 0.1, PAYLOAD, route=1),
    ) == ['urge', 'open', 'f001']


# Guards against a flow whose packets overtake each other: its end would come
# before its request.
def test_packets_of_one_flow_keep_their_order() -> None:
    sent = [
        packet('f001', 0.5),
        packet('f002', 0.1),
        packet('f001', 0.4, PAYLOAD),
        packet('f001', 0.3, LAST),
        packet('f002', 0.0, PAYLOAD),
    ]
    result = list(order_packets(sent, routing_of(NORMAL, URGENT)))
    for flow in (b'f001', b'f002'):
        of_flow = [one for one in sent if one.flow == flow]
        assert [one for one in result if one.flow == flow] == of_flow
    assert len(result) == len(sent)


def test_packets_that_ask_for_nothing_go_first() -> None:
    assert ordered(
        packet('f001', 0.1), packet('ends', 0.0, LAST), packet('acks', 0.0, 0)
    ) == ['ends', 'acks', 'f001']


def test_packets_without_a_route_go_last() -> None:
    assert ordered(packet('none', 0.1, route=7), packet('late', 1.0)) == [
        'late',
        'none',
    ]


def placed_flows(vm: VmHarness) -> list[str]:
    """Return the flows of the packets that reached upstreams."""
    return [
        sent[8:12].decode() for sent, target in vm.sent if target[0] == 'a1'
    ]


def test_a_frozen_entry_vm_places_the_urgent_flow_first() -> None:
    vm = vm_harness(upstream('a1', slots=1), clock=FakeClock())
    apply_routes(vm, NORMAL, URGENT)
    vm.backlog.handle(
        (
            waiting('late', 0.39),
            waiting('norm', 0.1),
            waiting('urge', 0.1, route=1),
        )
    )
    assert placed_flows(vm) == ['urge', 'norm']
    assert vm.counters.flows_deferred == 1


# A datagram that can't be read must not hold up the others.
def test_an_unreadable_datagram_does_not_stop_the_backlog() -> None:
    vm = vm_harness(upstream('a1'), clock=FakeClock())
    vm.backlog.handle(((None, 0.1), (b'', 0.1), waiting('f001', 0.1)))
    assert placed_flows(vm) == ['f001']
    assert vm.counters.unexpected_errors == 1


def test_doubled_packets_place_a_flow_once() -> None:
    vm = vm_harness(upstream('a1'), clock=FakeClock())
    vm.backlog.handle([waiting('f001', 0.1) for _ in range(3)])
    assert placed_flows(vm) == ['f001']


def test_many_waiting_packets_are_all_handled() -> None:
    vm = vm_harness(upstream('a1', slots=1), clock=FakeClock())
    apply_routes(vm, NORMAL, URGENT)
    flows = [f'{index:04}' for index in range(3000)]
    vm.backlog.handle([waiting(flow, 1.0) for flow in flows])
    vm.clock.now += 0.25
    vm.opener.place_late_flows()
    assert sorted(placed_flows(vm)) == flows


# Guards against a flow that is ranked by a packet which is dropped.
def test_a_superseded_packet_does_not_rank_its_flow() -> None:
    superseded = packet('f001', 0.1)
    superseded.waited_s = 0.9
    copy = packet('f001', 0.7)
    assert ordered(superseded, copy, packet('f002', 0.8)) == [
        'f002',
        'f001',
        'f001',
    ]
