"""Waits for an address that another process still occupies.

A process may be started before its predecessor has ended, or before the address
of its VM is set up. If it ended for that reason, it would be started again and
end again until the predecessor is gone.
"""

import errno
import logging
import time
from collections.abc import Callable
from typing import TypeVar

# Longer than the 6 s in which a predecessor has to stop.
ADDRESS_WAIT_S = 10.0
RETRY_INTERVAL_S = 0.05
_WAITED_FOR = frozenset((errno.EADDRINUSE, errno.EADDRNOTAVAIL))

_log = logging.getLogger(__name__)

Bound = TypeVar('Bound')


class AddressWait:
    """Decides whether to try again, and logs the first failure.

    Args:
        address: The address, for log lines.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._began_at = time.monotonic()
        self._is_logged = False

    def check(self, error: OSError) -> None:
        """Raise an error that is not worth another try."""
        waited_s = time.monotonic() - self._began_at
        if error.errno not in _WAITED_FOR or waited_s > ADDRESS_WAIT_S:
            raise error
        if not self._is_logged:
            self._is_logged = True
            _log.warning(
                'waiting for an address',
                extra={'address': self._address, 'error': str(error)},
            )


def bind_when_free(address: str, bind: Callable[[], Bound]) -> Bound:
    """Bind a socket; block until the address is free.

    Args:
        address: The address, for log lines.
        bind: Binds the socket.

    Returns:
        What ``bind`` returns.

    Raises:
        OSError: The address stays occupied, or can't be bound at all.
    """
    wait = AddressWait(address)
    while True:
        try:
            return bind()
        except OSError as error:
            wait.check(error)
        time.sleep(RETRY_INTERVAL_S)
