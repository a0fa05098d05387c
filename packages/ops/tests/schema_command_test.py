"""Tests of hibiscushatch_ops.schema_command and of the committed files."""

import pathlib

from click.testing import CliRunner

from hibiscushatch_core.documents import read_document
from hibiscushatch_core.manifest_document import ManifestDocument
from hibiscushatch_core.settings import NodeSettings
from hibiscushatch_ops.main import main
from hibiscushatch_ops.schema_command import MODELS
from hibiscushatch_ops.settings import OperatorSettings

EXAMPLES = pathlib.Path('examples')


def test_committed_schemas_equal_the_models() -> None:
    for document in MODELS:
        outcome = CliRunner().invoke(main, ('schema', document))
        committed = pathlib.Path('schemas', f'{document}.schema.json')
        assert committed.read_text() == outcome.stdout, committed


def test_example_settings_are_valid() -> None:
    read_document(NodeSettings, EXAMPLES / 'entry-vm-settings.json')
    read_document(OperatorSettings, EXAMPLES / 'operator-settings.json')


def test_example_manifests_have_the_sizes_of_both_users() -> None:
    table = (
        ('port-of-spain', ('pos-a', 'pos-b', 'pos-c'), 3),
        ('lochan-burgh', ('kirk-depot', 'glen-hall', 'leven-track'), 2),
    )
    for name, domains, slots in table:
        document = read_document(ManifestDocument, EXAMPLES / f'{name}.json')
        declared = tuple(one.name for one in document.failure_domains)
        assert declared == domains
        sizes = [len(one.upstreams) for one in document.services]
        assert sizes == [7, 3]
        upstreams = [
            upstream
            for service in document.services
            for upstream in service.upstreams
        ]
        assert {one.slots for one in upstreams} == {slots}
        assert {one.connections for one in upstreams} == {2000}
        assert {one.domain for one in upstreams} == set(domains)
