"""Opens UDP sockets.

A module of its own, without asyncio, so that a process can bind its socket
before it imports the rest: what arrives meanwhile waits in the socket.
"""

import contextlib
import socket

SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
# The option SO_TIMESTAMPNS of Linux, which the socket module does not name. The
# system then states when each datagram arrived.
ARRIVAL_TIMES_OPTION = 35


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
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        udp_socket.bind(address)
    except OSError:
        udp_socket.close()
        raise
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        udp_socket.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    with contextlib.suppress(OSError):
        udp_socket.setsockopt(socket.SOL_SOCKET, ARRIVAL_TIMES_OPTION, 1)
    udp_socket.setblocking(False)
    return udp_socket
