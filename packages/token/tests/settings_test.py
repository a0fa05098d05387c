"""Tests of hibiscushatch_token.settings."""

import json
import pathlib
import tempfile

import token_fixtures

from hibiscushatch_core.errors import InvalidDocumentError
from hibiscushatch_token.settings import (
    changed_fields,
    read_settings,
    socket_address,
)

VALID = {
    'name': 'vm-1',
    'domain': 'pos-a',
    'packets': '10.0.0.1:1',
    'readiness': '10.0.0.1:2',
    'control': '10.0.0.1:3',
    'metrics': '10.0.0.1:4',
    'store': {'address': '10.0.0.9:5'},
}


def reading_error(document: object) -> str:
    """Read settings from a file and return the error; empty for none."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'settings.json'
        path.write_text(json.dumps(document))
        try:
            read_settings(str(path))
        except InvalidDocumentError as error:
            return str(error)
    return ''


def test_valid_settings_are_read() -> None:
    assert reading_error(VALID) == ''
    assert socket_address('10.0.0.1:443') == ('10.0.0.1', 443)


def test_the_error_names_the_invalid_field() -> None:
    table = (
        ('packets', {'packets': 'host:1'}),
        ('publishers', {'publishers': ['nowhere']}),
        ('stop_grace_s', {'stop_grace_s': 0}),
        ('rotation_s', {'rotation_s': '2'}),
        ('unknown', {'unknown': 1}),
        ('store', {'store': {'address': '10.0.0.9:5', 'fresh_s': -1}}),
    )
    for field, change in table:
        assert field in reading_error({**VALID, **change}), field
    missing = {key: VALID[key] for key in VALID if key != 'domain'}
    assert 'domain' in reading_error(missing)


def test_the_error_for_a_missing_file_names_its_path() -> None:
    try:
        read_settings('/nowhere/settings.json')
    except InvalidDocumentError as error:
        assert error.peer == '/nowhere/settings.json'
    else:
        raise AssertionError('no error')


def test_changed_fields_are_named() -> None:
    before = token_fixtures.settings()
    after = token_fixtures.settings(log_level='DEBUG', rotation_s=2)
    assert changed_fields(before, after) == ['rotation_s', 'log_level']
    assert changed_fields(before, before) == []
