"""Tests of hibiscushatch_core.log_format."""

import logging

from hibiscushatch_core import log_format


def test_extra_fields_follow_the_event_and_are_quoted_where_needed() -> None:
    record = logging.makeLogRecord(
        {
            'name': 'hibiscushatch',
            'levelname': 'INFO',
            'msg': 'peer %s lost',
            'args': ('entry-2',),
            'peer': 'entry-2',
            'reason': 'a "b"\nc',
        }
    )
    line = log_format.KeyValueFormatter().format(record)
    assert line.startswith('time=')
    assert line.endswith(
        'level=info logger=hibiscushatch event="peer entry-2 lost" '
        r'peer=entry-2 reason="a \"b\"\nc"'
    )
