"""Formats and writes log events, one per line, as key=value pairs or JSON."""

import logging
import os
import time
from collections.abc import Iterator

import msgspec

_STANDARD_FIELDS = frozenset(
    vars(logging.LogRecord('', 0, '', 0, '', None, None))
) | {'message', 'asctime', 'taskName'}


# Further lines are dropped while more than this is waiting for the reader.
UNWRITTEN_BYTES_MAX = 65536


_UNFORMATTED_LINE = 'log line not formatted: {} {}\n'


class _UtcFormatter(logging.Formatter):
    """Formats times in UTC with milliseconds."""

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
            f'{field}={_quote(str(value))}'
            for field, value in _fields(self, record)
        )


class JsonFormatter(_UtcFormatter):
    """Formats a record and its ``extra`` fields as one JSON object.

    Takes half as long as KeyValueFormatter, which matters where a line is
    logged for each flow.
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
    """Writes lines to a file descriptor and never waits for its reader.

    Lines above the rate limit are dropped, and so are new lines while too much
    is waiting for the reader. The field ``dropped_lines`` of the next line
    says how many were dropped.

    Args:
        descriptor: Descriptor to write to; it is set to non-blocking.
        lines_per_s: Rate limit in lines per second; also the largest burst.
    """

    def __init__(self, descriptor: int, lines_per_s: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._allowance = float(lines_per_s)
        self._allowance_updated_at = time.monotonic()
        self._unwritten = b''
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop and count it."""
        if (
            self._consume_allowance()
            and len(self._unwritten) <= UNWRITTEN_BYTES_MAX
        ):
            if self._dropped:
                record.dropped_lines = self._dropped
                self._dropped = 0
            self._unwritten += self._render(record)
        else:
            self._dropped += 1
        self._write()

    def _render(self, record: logging.LogRecord) -> bytes:
        try:
            return f'{self.format(record)}\n'.encode()
        except Exception as error:
            # A field can't be encoded. The code that logs must not fail by it.
            return _UNFORMATTED_LINE.format(
                ascii(record.msg), ascii(error)
            ).encode()

    def _consume_allowance(self) -> bool:
        now = time.monotonic()
        added = (now - self._allowance_updated_at) * self._lines_per_s
        self._allowance = min(self._lines_per_s, self._allowance + added)
        self._allowance_updated_at = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _write(self) -> None:
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed its end. The lines are discarded, because
            # there is nowhere else to report this.
            written = len(self._unwritten)
        self._unwritten = self._unwritten[written:]


def set_up_bounded_logging(
    level: str, descriptor: int, lines_per_s: int
) -> None:
    """Log to a file descriptor with a rate limit and without waiting.

    Args:
        level: Lowest level that is logged, such as ``INFO``.
        descriptor: The descriptor, such as that of standard output.
        lines_per_s: Rate above which lines are dropped.
    """
    handler = BoundedHandler(descriptor, lines_per_s)
    handler.setFormatter(JsonFormatter())
    # No line contains a source file, thread or process, so they need not be
    # looked up; see "Optimization" in the logging guide of Python.
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging.basicConfig(level=level, handlers=[handler], force=True)


def set_up_logging(level: str) -> None:
    """Log to standard error.

    Args:
        level: Lowest level that is logged, such as ``INFO``.
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
    for name, value in vars(record).items():
        if name not in _STANDARD_FIELDS:
            yield name, value
    if record.exc_info:
        yield 'exception', formatter.formatException(record.exc_info)


def _quote(text: str) -> str:
    plain = text and not any(character in text for character in ' "=\n\t')
    return text if plain else msgspec.json.encode(text).decode()
