"""Tests of hibiscushatch_node.adapters.admin_api over loopback HTTP."""

import contextlib
import dataclasses
from collections.abc import AsyncIterator
from typing import Self

import adapter_fixtures
import aiohttp

from hibiscushatch_core import reasons
from hibiscushatch_core.counters import Counters
from hibiscushatch_core.manifest_blob import CommittedManifest
from hibiscushatch_core.manifest_document import ManifestDocument
from hibiscushatch_core.report import (
    BucketReport,
    MemberReport,
    NodeReport,
    ServiceReport,
    UpstreamReport,
)
from hibiscushatch_node.adapters import admin_api
from hibiscushatch_node.loop_lag import LoopLagMeter
from hibiscushatch_tools.testing import real_time

FIRST_KEY, SECOND_KEY = adapter_fixtures.ADMIN_KEYS
REPORT = NodeReport(
    name='entry-1',
    domain='pos-a',
    state='serving',
    ready=True,
    generation=7,
    commit_id='commit-7',
    members=(MemberReport('entry-2', 'pos-b', 'serving', True, 7),),
    services=(
        ServiceReport(
            name='booking',
            buckets=256,
            buckets_in_motion=3,
            buckets_owned=128,
            entries=11,
            upstreams=(
                UpstreamReport('b-1', 'pos-a', True, 256, 9, 40, 'warm'),
            ),
        ),
    ),
)
COMMITTED = CommittedManifest(
    'c-7',
    ManifestDocument.model_validate(
        {
            'generation': 7,
            'failure_domains': [{'name': 'pos-a'}],
            'services': [
                {
                    'name': 'booking',
                    'address': '10.0.0.1',
                    'port': 443,
                    'upstreams': [
                        {
                            'name': 'b-1',
                            'domain': 'pos-a',
                            'address': '127.2.0.1',
                            'connections': 100,
                            'cold_allowance': 10,
                        }
                    ],
                }
            ],
        }
    ),
    b'',
)
BUCKET = BucketReport(0, 4, False, ('b-1',), 'b-1', 'entry-1')


class _FakeEntryVm:
    """The part of an entry VM that the API uses, with fixed reports."""

    def __init__(self) -> None:
        self.counters = Counters()
        self.current_report = REPORT
        self.committed = COMMITTED

    @property
    def state(self) -> Self:
        return self

    def report(self) -> NodeReport:
        if self.current_report is None:
            raise RuntimeError('no report')
        return self.current_report

    def bucket_reports(self, service_name: str) -> tuple[BucketReport, ...]:
        return (BUCKET,) if service_name == 'booking' else ()


@dataclasses.dataclass(frozen=True)
class _RunningApi:
    """A running API with its entry VM and a client session."""

    entry_vm: _FakeEntryVm
    session: aiohttp.ClientSession

    async def get(self, path: str, key: str | None) -> tuple[int, object]:
        headers = {} if key is None else {'Authorization': f'Bearer {key}'}
        async with self.session.get(path, headers=headers) as response:
            if path == admin_api.METRICS_PATH and response.ok:
                return response.status, await response.text()
            return response.status, await response.json()


@contextlib.asynccontextmanager
async def _running_api() -> AsyncIterator[_RunningApi]:
    settings = adapter_fixtures.node_settings()
    entry_vm = _FakeEntryVm()
    api = admin_api.AdminApi(settings, entry_vm, LoopLagMeter())
    await api.start()
    host, port = settings.admin.pair
    async with aiohttp.ClientSession(f'http://{host}:{port}') as session:
        yield _RunningApi(entry_vm, session)
    await api.stop()


@real_time
async def test_only_health_and_readiness_need_no_key() -> None:
    public_paths = ('/v1/health', '/v1/ready')
    guarded_paths = (
        '/v1/report',
        '/v1/manifest',
        '/v1/buckets/booking',
        '/v1/upstreams',
        '/v1/counters',
        '/metrics',
    )
    keys = (
        (None, 401),
        ('wrong-admin-key-0123456789', 401),
        (adapter_fixtures.PEER_KEYS[0], 401),
        (FIRST_KEY, 200),
        (SECOND_KEY, 200),
    )
    async with _running_api() as running_api:
        for path in public_paths:
            assert (await running_api.get(path, None))[0] == 200, path
        for path in guarded_paths:
            for key, expected in keys:
                status, body = await running_api.get(path, key)
                assert status == expected, (path, key)
                if status == 401:
                    assert body['error']['code'] == 'unauthorized'


@real_time
async def test_errors_have_json_bodies_with_a_code() -> None:
    async with _running_api() as running_api:
        table = (
            ('/v1/nothing', 404, 'not_found'),
            ('/v1/buckets/nothing', 404, 'unknown_service'),
        )
        for path, expected, code in table:
            status, body = await running_api.get(path, FIRST_KEY)
            assert (status, body['error']['code']) == (expected, code), path
        running_api.entry_vm.committed = None
        status, body = await running_api.get('/v1/manifest', FIRST_KEY)
        assert (status, body['error']['code']) == (404, 'no_manifest')
        running_api.entry_vm.current_report = None
        with adapter_fixtures.captured_log('hibiscushatch_node') as records:
            status, body = await running_api.get('/v1/report', FIRST_KEY)
        assert len(records) == 1
        assert (status, body['error']['code']) == (500, 'internal_error')


@real_time
async def test_readiness_is_taken_from_the_report() -> None:
    async with _running_api() as running_api:
        running_api.entry_vm.current_report = dataclasses.replace(
            REPORT, ready=False, state='leaving'
        )
        status, body = await running_api.get('/v1/ready', None)
        assert (status, body['state']) == (503, 'leaving')
        assert (await running_api.get('/v1/health', None))[0] == 200


@real_time
async def test_responses_contain_the_report() -> None:
    async with _running_api() as running_api:
        _, report = await running_api.get('/v1/report', FIRST_KEY)
        assert report['members'][0]['name'] == 'entry-2'
        _, manifest = await running_api.get('/v1/manifest', FIRST_KEY)
        assert (manifest['generation'], manifest['commit_id']) == (7, 'c-7')
        assert manifest['manifest']['services'][0]['name'] == 'booking'
        _, buckets = await running_api.get('/v1/buckets/booking', FIRST_KEY)
        assert buckets == [{**dataclasses.asdict(BUCKET), 'bases': ['b-1']}]
        _, upstreams = await running_api.get('/v1/upstreams', FIRST_KEY)
        assert upstreams['booking'][0]['phase'] == 'warm'


@real_time
async def test_metrics_and_counters_contain_every_reason() -> None:
    families = (
        ('drops', reasons.DropReason),
        ('refusals', reasons.RefusalReason),
        ('retries', reasons.RetryReason),
    )
    async with _running_api() as running_api:
        counters = running_api.entry_vm.counters
        counters.drops[reasons.DropReason.LOOPED] = 5
        counters.flows_placed = 3
        _, text = await running_api.get('/metrics', FIRST_KEY)
        _, counted = await running_api.get('/v1/counters', FIRST_KEY)
    lines = text.splitlines()
    for name, members in families:
        for reason in members:
            count = 5 if reason is reasons.DropReason.LOOPED else 0
            line = f'hibiscushatch_{name}_total{{reason="{reason}"}} {count}'
            assert line in lines, line
            assert counted[name][reason] == count
    assert 'hibiscushatch_flows_placed_total 3' in lines
    assert 'hibiscushatch_manifest_generation 7' in lines
    assert 'hibiscushatch_buckets_in_motion 3' in lines
    assert counted['flows_placed'] == 3
