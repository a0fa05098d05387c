"""Counts and logs the entries of the registry that name no upstream.

Any writer may put an entry there, and may rewrite it all the time. So the
number of log lines is limited, while each read of such an entry is counted.
"""

import logging
from collections.abc import Callable

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import InvalidItemError
from hibiscushatch_core.log_throttle import LogThrottle
from hibiscushatch_core.ports import WatchEvent
from hibiscushatch_token.ports import Position

# Enough to name each entry of a writer that leaves a few.
_LINES_MAX = 5
_LINES_INTERVAL_S = 10.0

_log = logging.getLogger(__name__)


class UnreadableEntries:
    """Counts and logs unreadable entries.

    Args:
        clock: Returns monotonic seconds.
        counters: Counters of this process.
    """

    def __init__(self, clock: Callable[[], float], counters: Counters) -> None:
        self._counters = counters
        self._throttle = LogThrottle(_LINES_MAX, _LINES_INTERVAL_S, clock)

    def record(
        self, event: WatchEvent, position: Position, error: InvalidItemError
    ) -> None:
        """Count an entry, and log it unless many were logged just now.

        Args:
            event: The change that wrote the entry.
            position: Position of the store.
            error: Why the entry names no upstream.
        """
        self._counters.unreadable_entries += 1
        omitted = self._throttle.admit()
        if omitted is None:
            return
        _log.warning(
            'entry unreadable',
            extra={
                'key': event.key,
                'bytes': len(event.value or b''),
                'reason': error.reason,
                'era': position.era,
                'revision': event.mod_revision,
                'omitted': omitted,
            },
        )
