"""Binds the descriptor of a UDP socket, as the first thing that a process does.

What arrives while the process imports its modules waits in the socket. The
module socket is not used, as importing it takes 6 ms of a core, in which
packets would be lost: 0.04 s on a sixth of a core.
"""

import _socket  # The part of the module socket that is written in C.
import contextlib

SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
# The option SO_TIMESTAMPNS of Linux, which the socket module does not name. The
# system then states when each datagram arrived.
ARRIVAL_TIMES_OPTION = 35


def bind_udp_descriptor(address: tuple[str, int]) -> int:
    """Open and bind a UDP socket.

    Args:
        address: IPv4 address and port.

    Returns:
        The descriptor of the socket, with buffers as large as the system
        allows. Where the system can, it states the arrival times of datagrams.

    Raises:
        OSError: If the address can't be bound.
    """
    udp_socket = _socket.socket(_socket.AF_INET, _socket.SOCK_DGRAM)
    try:
        udp_socket.bind(address)
    except OSError:
        udp_socket.close()
        raise
    for option in (_socket.SO_RCVBUF, _socket.SO_SNDBUF):
        udp_socket.setsockopt(_socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    with contextlib.suppress(OSError):
        udp_socket.setsockopt(_socket.SOL_SOCKET, ARRIVAL_TIMES_OPTION, 1)
    return udp_socket.detach()
