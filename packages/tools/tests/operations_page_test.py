"""Tests that docs/OPERATIONS.md and the code use the same names."""

import enum
import json
import pathlib
import re
from collections.abc import Iterator

from hibiscushatch_core import reasons
from hibiscushatch_core.counters import Counters
from hibiscushatch_core.metrics import PREFIX
from hibiscushatch_core.report import NodeReport
from hibiscushatch_node.adapters.metrics import Metrics
from hibiscushatch_ops.schema_command import MODELS
from hibiscushatch_token import settings, status
from hibiscushatch_token.metrics import TokenMetrics

PAGE = pathlib.Path('docs/OPERATIONS.md').read_text()
REASON_SECTIONS = (
    ('Drop reasons', reasons.DropReason),
    ('Refusal reasons', reasons.RefusalReason),
    ('Retry reasons', reasons.RetryReason),
    ('Failure signals', reasons.FailureSignal),
)
ROW = re.compile(r'^\| `([a-z0-9_]+)` \| (.+?) \| (.+) \|$')
LOG_FIELD = re.compile("'([a-z_]+)': ")
METRIC = re.compile(r'hibiscushatch_[a-z_]+')
SNAKE_CASE_WORD = re.compile('`([a-z]+(?:_[a-z0-9]+)+)`')


def _rows(section: str) -> Iterator[re.Match[str]]:
    """Yield the table rows of a section of the page."""
    _, _, after = PAGE.partition(f'\n## {section}\n')
    text, _, _ = after.partition('\n## ')
    assert text, f'no section {section}'
    for line in text.splitlines():
        row = ROW.match(line)
        assert row or not line.startswith('| `'), (
            f'row without meaning or action: {line}'
        )
        if row:
            yield row


def _exported_metrics() -> frozenset[str]:
    report = NodeReport('vm', 'domain', 'joining', False, 0, '', (), ())
    body, _ = Metrics().render(Counters(), report, 0, ())
    return frozenset(re.findall(r'^# TYPE (\w+)', body.decode(), re.MULTILINE))


def _field_names() -> Iterator[str]:
    """Yield the field names of all documents that operators write."""
    for model in MODELS.values():
        schema = model.model_json_schema()
        for part in (schema, *schema.get('$defs', {}).values()):
            yield from part.get('properties', ())


def _token_names() -> Iterator[str]:
    """Yield names of settings, status, metrics and log fields (token)."""
    for model in (
        settings.TokenNodeSettings,
        settings.StoreSettings,
        settings.PlacementSettings,
        settings.RelaySettings,
        settings.OutlierSettings,
        settings.AdmissionSettings,
        status.Status,
    ):
        yield from model.__struct_fields__
    yield from (name.removeprefix(PREFIX) for name in _token_metrics())
    for path in pathlib.Path('packages/token/src').rglob('*.py'):
        yield from LOG_FIELD.findall(path.read_text())
    yield 'dropped_lines'


def _token_metrics() -> frozenset[str]:
    report = status.Status(
        vm='',
        domain='',
        ready=True,
        cut_off=False,
        config_version=1,
        store_revision=1,
        store_age_s=0,
        known_entry_vms=1,
        follows=[],
        serves=0,
        open_flows=1,
        evacuated=[],
        upstreams=[],
    )
    response = TokenMetrics().respond(Counters(), report)
    text = response.body.decode()
    return frozenset(re.findall(r'^# TYPE (\w+)', text, re.MULTILINE))


def _reason_values() -> Iterator[str]:
    for _, members in REASON_SECTIONS:
        yield from (reason.value for reason in members)


def test_every_reason_has_a_row_and_every_row_a_reason() -> None:
    for section, members in REASON_SECTIONS:
        documented_names = [row.group(1) for row in _rows(section)]
        assert sorted(documented_names) == sorted(
            reason.value for reason in members
        ), section


def test_every_reason_enumeration_has_a_section() -> None:
    enumerations = {
        value
        for value in vars(reasons).values()
        if isinstance(value, type) and issubclass(value, enum.StrEnum)
    }
    assert enumerations == {members for _, members in REASON_SECTIONS}


def test_every_metric_has_a_row_and_every_row_a_metric() -> None:
    documented_names = [row.group(1) for row in _rows('Metrics')]
    assert sorted(documented_names) == sorted(_exported_metrics())
    assert set(METRIC.findall(PAGE)) == _exported_metrics()


def test_every_metric_of_token_affinity_is_on_the_page() -> None:
    for name in _token_metrics():
        assert name.removeprefix(PREFIX) in PAGE, name


def test_other_names_on_the_page_are_known() -> None:
    metric_names = {
        name.removeprefix('hibiscushatch_') for name in _exported_metrics()
    }
    known_names = {
        *_token_names(),
        *_field_names(),
        *_reason_values(),
        *metric_names,
        *_exported_metrics(),
    }
    assert set(SNAKE_CASE_WORD.findall(PAGE)) <= known_names


def test_the_manifest_of_the_readme_is_valid_and_has_ten_lines() -> None:
    text = pathlib.Path('README.md').read_text()
    _, _, after = text.partition('```json\n')
    block, _, _ = after.partition('```')
    assert len(block.splitlines()) == 10
    MODELS['manifest'].model_validate(json.loads(block))
