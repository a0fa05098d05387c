"""Tests of hibiscushatch_token.caller_socket."""

import socket

import token_fixtures as fixtures
from hypothesis import given, strategies
from token_fixtures import (
    FakeClock,
    VmHarness,
    opening_packet,
    upstream,
    vm_harness,
)

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.udp_receiver import UdpReceiver
from hibiscushatch_token.caller_socket import (
    bind_caller_socket,
    estimate_waits,
)


@given(strategies.integers(0, 200), strategies.floats(0, 10))
def test_earlier_packets_have_waited_longer(
    count: int, waited_max_s: float
) -> None:
    datagrams = [b'%d' % number for number in range(count)]
    estimates = list(estimate_waits(datagrams, waited_max_s))
    assert [datagram for datagram, _ in estimates] == datagrams
    waits = [waited_s for _, waited_s in estimates]
    assert waits == sorted(waits, reverse=True)
    assert all(0 <= waited_s <= waited_max_s for waited_s in waits)


def test_packets_wait_in_the_socket_until_they_are_taken() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
    bound = bind_caller_socket(fixtures.settings(packets=f'127.0.0.1:{port}'))
    receiver = UdpReceiver(bound.udp_socket, print, Counters())
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for datagram in (b'first', b'second'):
            sender.sendto(datagram, ('127.0.0.1', port))
    assert list(receiver.take_waiting()) == [b'first', b'second']
    assert not list(receiver.take_waiting())
    bound.udp_socket.close()


def placed_flows(vm: VmHarness) -> list[bytes]:
    """Return the names of the flows of the packets that were sent."""
    name = slice(8, 12)
    return [datagram[name] for datagram, _ in vm.sent]


def test_flows_that_are_late_from_waiting_go_after_those_in_time() -> None:
    # One slot, which the first flow takes; the aim is 0.15 s.
    vm = vm_harness(upstream('a1', slots=1), clock=FakeClock())
    datagrams = [opening_packet(flow) for flow in ('f000', 'late', 'new0')]
    for datagram, waited_s in zip(datagrams, (0.4, 0.3, 0.01), strict=True):
        vm.forwarder.handle_waited(datagram, waited_s)
    assert placed_flows(vm) == [b'f000', b'new0']
    vm.end('f000', 'a1')
    vm.end('new0', 'a1')
    vm.opener.place_late_flows()
    assert b'late' in placed_flows(vm)


def test_an_early_packet_that_cannot_be_handled_does_not_stop_the_start() -> (
    None
):
    counters = Counters()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
        receiver = UdpReceiver(udp_socket, print, counters)
        receiver.call_guarded(fixtures.FakeCodec().parse, None)
    assert counters.unexpected_errors == 1
