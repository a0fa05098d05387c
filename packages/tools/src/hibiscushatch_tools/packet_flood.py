"""Sending and counting datagrams as fast as one process each can.

The functions run in processes of their own, so that they take no processor
time from what is measured.
"""

import itertools
import selectors
import socket
import time
from collections.abc import Sequence

from hibiscushatch_core.udp_receiver import open_udp_socket

SENDS_BETWEEN_CLOCK_READS = 256
POLL_INTERVAL_S = 0.05
DATAGRAM_BYTES_MAX = 2048


def send_packets(
    source: tuple[str, int],
    target: tuple[str, int],
    packets: Sequence[bytes],
    duration_s: float,
) -> int:
    """Send packets in turn, as fast as possible.

    Args:
        source: Address and port to send from.
        target: Where to send them.
        packets: The packets to repeat.
        duration_s: How long, in seconds.

    Returns:
        How many were sent.
    """
    sent = 0
    endless = itertools.cycle(packets)
    end_s = time.monotonic() + duration_s
    with open_udp_socket(source) as sender:
        sender.setblocking(True)
        while time.monotonic() < end_s:
            for packet in itertools.islice(endless, SENDS_BETWEEN_CLOCK_READS):
                sender.sendto(packet, target)
            sent += SENDS_BETWEEN_CLOCK_READS
    return sent


def count_packets(
    addresses: Sequence[tuple[str, int]], duration_s: float
) -> int:
    """Count the datagrams that arrive at some addresses.

    Args:
        addresses: Where to receive.
        duration_s: How long, in seconds.

    Returns:
        How many came.
    """
    counted = 0
    end_s = time.monotonic() + duration_s
    with selectors.DefaultSelector() as selector:
        for address in addresses:
            selector.register(open_udp_socket(address), selectors.EVENT_READ)
        while time.monotonic() < end_s:
            for key, _ in selector.select(POLL_INTERVAL_S):
                counted += _drain(key.fileobj)
        for key in tuple(selector.get_map().values()):
            key.fileobj.close()
    return counted


def _drain(udp_socket: socket.socket) -> int:
    buffer = bytearray(DATAGRAM_BYTES_MAX)
    for count in range(SENDS_BETWEEN_CLOCK_READS):
        try:
            udp_socket.recv_into(buffer)
        except BlockingIOError:
            return count
    return SENDS_BETWEEN_CLOCK_READS
