"""Log lines as key=value pairs or as JSON objects, one event a line."""

import logging
import os
import time
from collections.abc import Iterator

import msgspec

_STANDARD_FIELDS = frozenset(
    vars(logging.LogRecord('', 0, '', 0, '', None, None))
) | {'message', 'asctime', 'taskName'}


# Lines that wait for a slow reader.
WAITING_BYTES_MAX = 65536


class _UtcFormatter(logging.Formatter):
    """Gives times in UTC, to the millisecond."""

    converter = time.gmtime
    default_time_format = '%Y-%m-%dT%H:%M:%S'
    default_msec_format = '%s.%03dZ'


class KeyValueFormatter(_UtcFormatter):
    """Formats a record and its ``extra`` fields on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Render one record.

        Args:
            record: The record; its exception comes last, as one value.

        Returns:
            A line such as ``time=… level=info logger=… event="…"``.
        """
        return ' '.join(
            f'{field}={_quote(str(given))}'
            for field, given in _fields(self, record)
        )


class JsonFormatter(_UtcFormatter):
    """Formats a record and its ``extra`` fields as one JSON object.

    It takes half the time of the other one, which counts where each flow is
    a line.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Render one record.

        Args:
            record: The record; its exception comes last, as one value.

        Returns:
            A line such as ``{"time": …, "level": "info", …}``.
        """
        fields = dict(_fields(self, record))
        return msgspec.json.encode(fields, enc_hook=str).decode()


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader.

    Lines beyond the rate, and lines that the reader does not take in time, are
    dropped; the next line that goes out says how many.

    Args:
        descriptor: Where lines go; it is set to non-blocking.
        lines_per_s: Lines a second on average, and in one burst.
    """

    def __init__(self, descriptor: int, lines_per_s: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._allowed = float(lines_per_s)
        self._allowed_at = time.monotonic()
        self._waiting = b''
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record or count it as dropped."""
        if self._takes_one() and len(self._waiting) <= WAITING_BYTES_MAX:
            if self._dropped:
                record.dropped_lines = self._dropped
                self._dropped = 0
            self._waiting += f'{self.format(record)}\n'.encode()
        else:
            self._dropped += 1
        self._write()

    def _takes_one(self) -> bool:
        now = time.monotonic()
        earned = (now - self._allowed_at) * self._lines_per_s
        self._allowed = min(self._lines_per_s, self._allowed + earned)
        self._allowed_at = now
        if self._allowed < 1:
            return False
        self._allowed -= 1
        return True

    def _write(self) -> None:
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more; there is no other place to say so.
            written = len(self._waiting)
        self._waiting = self._waiting[written:]


def set_up_bounded_logging(
    level: str, descriptor: int, lines_per_s: int
) -> None:
    """Send log lines to a descriptor, bounded and without waiting.

    Args:
        level: Name of a level, such as ``INFO``.
        descriptor: Such as that of standard output.
        lines_per_s: Lines a second beyond which lines are dropped.
    """
    handler = BoundedHandler(descriptor, lines_per_s)
    handler.setFormatter(JsonFormatter())
    # No line names its source file, thread or process; see "Optimization" in
    # the logging guide of Python.
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging.basicConfig(level=level, handlers=[handler], force=True)


def set_up_logging(level: str) -> None:
    """Send all log lines of a level and above to standard error.

    Args:
        level: Name of a level, such as ``INFO``.
    """
    handler = logging.StreamHandler()
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)


def _fields(
    formatter: logging.Formatter, record: logging.LogRecord
) -> Iterator[tuple[str, object]]:
    yield 'time', formatter.formatTime(record)
    yield 'level', record.levelname.lower()
    yield 'logger', record.name
    yield 'event', record.getMessage()
    for name, given in vars(record).items():
        if name not in _STANDARD_FIELDS:
            yield name, given
    if record.exc_info:
        yield 'exception', formatter.formatException(record.exc_info)


def _quote(text: str) -> str:
    plain = text and not any(one in text for one in ' "=\n\t')
    return text if plain else msgspec.json.encode(text).decode()
