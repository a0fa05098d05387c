"""Parses socket addresses that come from other processes."""

import socket

_PORT_MAX = 65535


def parse_socket_address(text: str) -> tuple[str, int]:
    """Split an address such as ``10.0.0.1:443`` to which datagrams can be sent.

    Raises:
        ValueError: The host is not four decimal numbers, as sending to anything
            else would look a name up, or the port is out of range.
    """
    host, _, port = text.rpartition(':')
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError as error:
        raise ValueError(f'not an IPv4 address: {host}') from error
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= _PORT_MAX):
        raise ValueError(f'port out of range: {port}')
    return host, int(port)
