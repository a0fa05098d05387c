"""Fixtures shared by the tests of the adapters."""

import contextlib
import itertools
import logging
import socket
from collections.abc import Iterator

from hibiscushatch_core.settings import NodeSettings

PEER_KEYS = ['first-peer-key-0123456789', 'second-peer-key-0123456789']
ADMIN_KEYS = ['first-admin-key-0123456789', 'second-admin-key-0123456789']
_host_numbers = itertools.count(1)


def free_address(kind: socket.SocketKind) -> dict[str, object]:
    """Return a free port on a loopback address that no other test uses."""
    host_number = next(_host_numbers)
    address = f'127.77.{host_number // 250}.{host_number % 250 + 1}'
    with socket.socket(socket.AF_INET, kind) as test_socket:
        test_socket.bind((address, 0))
        return {'address': address, 'port': test_socket.getsockname()[1]}


def settings_fields(name: str = 'entry-1') -> dict[str, object]:
    """Build the fields of valid settings with free loopback addresses."""
    return {
        'name': name,
        'domain': 'pos-a',
        'edge': free_address(socket.SOCK_DGRAM),
        'relay': free_address(socket.SOCK_DGRAM),
        'control': free_address(socket.SOCK_STREAM),
        'admin': free_address(socket.SOCK_STREAM),
        'fabric': free_address(socket.SOCK_DGRAM),
        'platform': {'endpoints': ['http://127.77.255.1:2379']},
        'peer_keys': PEER_KEYS,
        'admin_keys': ADMIN_KEYS,
    }


def node_settings(**changes: object) -> NodeSettings:
    """Build validated settings; the keyword arguments override fields."""
    return NodeSettings.model_validate({**settings_fields(), **changes})


@contextlib.contextmanager
def captured_log(logger_name: str) -> Iterator[list[logging.LogRecord]]:
    """Collect the records of a logger instead of printing them."""
    records: list[logging.LogRecord] = []
    handler = logging.Handler()
    handler.emit = records.append
    logger = logging.getLogger(logger_name)
    logger.addHandler(handler)
    logger.propagate = False
    try:
        yield records
    finally:
        logger.propagate = True
        logger.removeHandler(handler)
