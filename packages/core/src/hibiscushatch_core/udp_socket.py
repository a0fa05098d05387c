"""Opens UDP sockets."""

import socket

from hibiscushatch_core.udp_descriptor import bind_udp_descriptor


def open_udp_socket(address: tuple[str, int]) -> socket.socket:
    """Open and bind a non-blocking socket.

    Args:
        address: IPv4 address and port.

    Returns:
        The socket, with buffers as large as the system allows. Where the
        system can, it states the arrival times of datagrams.

    Raises:
        OSError: If the address can't be bound.
    """
    return adopt_udp_descriptor(bind_udp_descriptor(address))


def adopt_udp_descriptor(descriptor: int) -> socket.socket:
    """Return a bound UDP socket of a descriptor, as a non-blocking one."""
    udp_socket = socket.socket(fileno=descriptor)
    udp_socket.setblocking(False)
    return udp_socket
