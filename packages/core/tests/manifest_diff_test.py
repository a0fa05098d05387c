"""Tests of hibiscushatch_core.manifest_diff."""

import core_fixtures

from hibiscushatch_core.manifest_diff import (
    ChangeKind,
    FieldChange,
    ItemChange,
    ItemKind,
    MovedAddress,
    diff_manifests,
)
from hibiscushatch_core.manifest_document import ManifestDocument


def _documents_service() -> dict[str, object]:
    return {
        'name': 'documents',
        'address': '10.0.0.2',
        'port': 443,
        'upstreams': [core_fixtures.upstream_fields(3, 'pos-a')],
    }


def test_equal_manifests_have_no_differences() -> None:
    manifest = core_fixtures.manifest_document()
    diff = diff_manifests(manifest, manifest)
    assert not diff.changes
    assert not diff.moved_addresses
    assert not diff.has_higher_generation


def test_lists_every_difference_by_kind() -> None:
    fields = core_fixtures.manifest_fields()
    fields['generation'] = 2
    fields['failure_domains'][1]['state'] = 'out'
    booking = fields['services'][0]
    booking['connect_retry_s'] = 2
    moved = booking['upstreams'].pop()
    documents = _documents_service()
    documents['upstreams'].append(moved)
    fields['services'].append(documents)
    after = ManifestDocument.model_validate(fields)
    diff = diff_manifests(core_fixtures.manifest_document(), after)
    assert diff.has_higher_generation
    assert diff.changes == (
        ItemChange(
            ItemKind.FAILURE_DOMAIN,
            'pos-b',
            ChangeKind.CHANGED,
            (FieldChange('state', 'in', 'out'),),
        ),
        ItemChange(
            ItemKind.SERVICE,
            'booking',
            ChangeKind.CHANGED,
            (FieldChange('connect_retry_s', 1.0, 2.0),),
        ),
        ItemChange(ItemKind.SERVICE, 'documents', ChangeKind.ADDED),
        ItemChange(
            ItemKind.UPSTREAM,
            'server-2',
            ChangeKind.CHANGED,
            (FieldChange('service', 'booking', 'documents'),),
        ),
        ItemChange(ItemKind.UPSTREAM, 'server-3', ChangeKind.ADDED),
    )
    assert diff.moved_addresses == (
        MovedAddress('127.2.0.2', 'booking', 'documents'),
    )


def test_lists_a_service_address_that_moved() -> None:
    fields = core_fixtures.manifest_fields()
    renamed = dict(_documents_service(), address='10.0.0.1')
    fields['services'] = [renamed]
    after = ManifestDocument.model_validate(fields)
    diff = diff_manifests(core_fixtures.manifest_document(), after)
    assert diff.moved_addresses == (
        MovedAddress('10.0.0.1:443/tcp', 'booking', 'documents'),
    )
