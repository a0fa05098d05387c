"""Log lines as key=value pairs, for people and for machines."""

import json
import logging
import time
from typing import TextIO

_STANDARD_FIELDS = frozenset(
    vars(logging.LogRecord('', 0, '', 0, '', None, None))
) | {'message', 'asctime', 'taskName'}


class KeyValueFormatter(logging.Formatter):
    """Formats a record and its ``extra`` fields on one line."""

    converter = time.gmtime
    default_time_format = '%Y-%m-%dT%H:%M:%S'
    default_msec_format = '%s.%03dZ'

    def format(self, record: logging.LogRecord) -> str:
        """Render one record.

        Args:
            record: The record; its exception comes last, as one value.

        Returns:
            A line such as ``time=… level=info logger=… event="…"``.
        """
        fields = {
            'time': self.formatTime(record),
            'level': record.levelname.lower(),
            'logger': record.name,
            'event': record.getMessage(),
        }
        for name, given in vars(record).items():
            if name not in _STANDARD_FIELDS:
                fields[name] = str(given)
        if record.exc_info:
            fields['exception'] = self.formatException(record.exc_info)
        return ' '.join(
            f'{field}={_quote(text)}' for field, text in fields.items()
        )


def set_up_logging(level: str, stream: TextIO | None = None) -> None:
    """Send all log lines of a level and above to a stream.

    Args:
        level: Name of a level, such as ``INFO``.
        stream: Where they go; standard error when None.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)


def _quote(text: str) -> str:
    plain = text and not any(one in text for one in ' "=\n\t')
    return text if plain else json.dumps(text, ensure_ascii=False)
