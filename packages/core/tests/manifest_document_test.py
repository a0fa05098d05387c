"""Tests of hibiscushatch_core.manifest_document."""

import json

import core_fixtures

from hibiscushatch_core import documents
from hibiscushatch_core.errors import InvalidDocumentError
from hibiscushatch_core.manifest_document import ManifestDocument


def _problems_of(fields: dict[str, object]) -> str:
    try:
        documents.parse_document(ManifestDocument, json.dumps(fields), 'test')
    except InvalidDocumentError as error:
        return str(error)
    return ''


def test_accepts_a_small_manifest() -> None:
    assert not _problems_of(core_fixtures.manifest_fields())


def test_reports_all_invalid_fields_with_their_paths() -> None:
    fields = core_fixtures.manifest_fields()
    fields['services'][0]['port'] = 0
    fields['services'][0]['upstreams'][1]['address'] = 'nowhere'
    problems = _problems_of(fields)
    assert 'services[0].port' in problems
    assert 'services[0].upstreams[1].address' in problems


def test_reports_each_conflict_between_fields() -> None:
    fields = core_fixtures.manifest_fields()
    upstreams = fields['services'][0]['upstreams']
    upstreams[1]['address'] = upstreams[0]['address']
    upstreams[1]['domain'] = 'elsewhere'
    upstreams[1]['cold_allowance'] = 101
    problems = _problems_of(fields)
    assert 'upstreams[1].address' in problems
    assert 'upstreams[1].domain' in problems
    assert 'upstreams[1].cold_allowance' in problems


def test_reports_conflicts_and_invalid_fields_together() -> None:
    fields = core_fixtures.manifest_fields()
    upstreams = fields['services'][0]['upstreams']
    upstreams.append(dict(upstreams[0]))
    upstreams[1]['connections'] = 'many'
    fields['services'].append(dict(fields['services'][0], upstreams=[7]))
    try:
        documents.parse_document(ManifestDocument, json.dumps(fields), 'test')
    except InvalidDocumentError as error:
        paths = [problem.path for problem in error.problems]
    assert paths == [
        'services[0].upstreams[1].connections',
        'services[1].upstreams[0]',
        'services[1].name',
        'services[0].upstreams[2].name',
        'services[0].upstreams[2].address',
        'services[1].address',
    ]


def test_finds_conflicts_in_values_of_any_shape() -> None:
    cases = (None, [], {'services': 7}, {'services': [None, {'upstreams': 1}]})
    for values in cases:
        assert not list(ManifestDocument.conflicts(values)), values
