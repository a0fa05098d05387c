"""Tests of hibiscushatch_token.caller_socket."""

import socket
import time

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
    CallerReader,
    CallerSocket,
    bind_caller_socket,
    limit_waits,
)

SLEEP_S = 0.05


@given(strategies.integers(0, 200), strategies.floats(0, 10))
def test_earlier_packets_have_waited_longer(
    count: int, waited_max_s: float
) -> None:
    datagrams = [b'%d' % number for number in range(count)]
    packets = [(datagram, None) for datagram in datagrams]
    estimates = list(limit_waits(packets, waited_max_s))
    assert [datagram for datagram, _ in estimates] == datagrams
    waits = [waited_s for _, waited_s in estimates]
    assert waits == sorted(waits, reverse=True)
    assert all(0 <= waited_s <= waited_max_s for waited_s in waits)


# A step of the system's clock makes stated times wrong.
def test_no_packet_has_waited_longer_than_the_pause_or_less_than_nothing() -> (
    None
):
    packets = [(b'a', 30.0), (b'b', 1), (b'c', -5.0)]
    assert list(limit_waits(packets, 4)) == [(b'a', 4), (b'b', 1), (b'c', 0)]


def bind_free() -> CallerSocket:
    """Bind a socket for callers' packets to a free port."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
    return bind_caller_socket(fixtures.settings(packets=f'127.0.0.1:{port}'))


def send_to(bound: CallerSocket, *datagrams: bytes) -> None:
    """Send datagrams to a bound socket."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for datagram in datagrams:
            sender.sendto(datagram, bound.udp_socket.getsockname())


def test_packets_wait_in_the_socket_until_they_are_taken() -> None:
    bound = bind_free()
    receiver = UdpReceiver(bound.udp_socket, print, Counters())
    send_to(bound, b'first', b'second')
    taken = list(receiver.take_waiting())
    assert [datagram for datagram, _ in taken] == [b'first', b'second']
    assert not list(receiver.take_waiting())
    bound.udp_socket.close()


# Guards against taking all packets that are read after a pause for old ones:
# few come at its end, as the fabric has taken this entry VM out of rotation.
def test_after_a_pause_packets_come_with_the_time_that_they_waited() -> None:
    bound = bind_free()
    clock = FakeClock()
    handled: list[tuple[bytes, float]] = []
    receiver = CallerReader(
        bound,
        lambda datagram, _sender: handled.append((datagram, 0)),
        handled.extend,
        Counters(),
        clock,
    )
    assert receiver.read_backlog() == 0
    send_to(bound, b'first')
    assert receiver.read_waiting()
    assert handled.pop() == (b'first', 0)
    send_to(bound, b'paused')
    time.sleep(SLEEP_S)
    send_to(bound, b'recent')
    clock.now += 4
    assert receiver.read_waiting()
    (paused, paused_s), (recent, recent_s) = handled
    assert (paused, recent) == (b'paused', b'recent')
    assert SLEEP_S <= paused_s <= 4
    assert 0 <= recent_s <= paused_s - SLEEP_S
    bound.udp_socket.close()


def placed_flows(vm: VmHarness) -> list[bytes]:
    """Return the names of the flows of the packets that were sent."""
    name = slice(8, 12)
    return [datagram[name] for datagram, _ in vm.sent]


def test_flows_that_are_late_from_waiting_go_after_those_in_time() -> None:
    # One slot, which the first flow takes; the aim is 0.15 s.
    vm = vm_harness(upstream('a1', slots=1), clock=FakeClock())
    datagrams = [opening_packet(flow) for flow in ('f000', 'late', 'new0')]
    for datagram, waited_s in zip(datagrams, (0.19, 0.15, 0.01), strict=True):
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
