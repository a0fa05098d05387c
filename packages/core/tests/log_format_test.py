"""Tests of hibiscushatch_core.log_format."""

import json
import logging
import os

from hibiscushatch_core import log_format, reasons


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


def log_lines(descriptor: int, lines_per_s: int, count: int) -> None:
    """Log some lines through a bounded handler."""
    handler = log_format.BoundedHandler(descriptor, lines_per_s)
    handler.setFormatter(log_format.KeyValueFormatter())
    for index in range(count):
        handler.handle(
            logging.makeLogRecord({'msg': f'line {index}', 'name': 'test'})
        )


def test_lines_above_the_rate_limit_are_dropped_and_counted() -> None:
    reader, writer = os.pipe()
    handler = log_format.BoundedHandler(writer, lines_per_s=5)
    handler.setFormatter(log_format.KeyValueFormatter())
    for index in range(20):
        handler.handle(logging.makeLogRecord({'msg': f'line {index}'}))
    lines = os.read(reader, 65536).decode().splitlines()
    assert len(lines) < 20
    handler._allowance = 5
    handler.handle(logging.makeLogRecord({'msg': 'later'}))
    later = os.read(reader, 65536).decode()
    assert f'dropped_lines={20 - len(lines)}' in later
    os.close(reader)
    os.close(writer)


def test_a_reader_that_does_not_read_does_not_block_logging() -> None:
    reader, writer = os.pipe()
    log_lines(writer, 10**6, 5000)
    os.close(reader)
    os.close(writer)


def test_a_closed_reader_causes_no_error() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    log_lines(writer, 1000, 3)
    os.close(writer)


def test_a_json_line_keeps_the_types_of_extra_fields() -> None:
    record = logging.makeLogRecord(
        {
            'name': 'hibiscushatch',
            'levelname': 'INFO',
            'msg': 'flow placed',
            'outstanding': 3,
            'peer': 'a "b"\nc',
            'reason': reasons.DropReason.UNKNOWN_TOKEN,
            'error': ValueError('not a field of JSON'),
        }
    )
    line = log_format.JsonFormatter().format(record)
    assert '\n' not in line
    fields = json.loads(line)
    assert fields.pop('time').endswith('Z')
    assert fields == {
        'level': 'info',
        'logger': 'hibiscushatch',
        'event': 'flow placed',
        'outstanding': 3,
        'peer': 'a "b"\nc',
        'reason': 'unknown_token',
        'error': 'not a field of JSON',
    }
