"""Fixtures: fake entry VMs, a platform stand-in and a way to run commands."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import tempfile
import time
from collections.abc import AsyncIterator

from aiohttp import web
from click.testing import CliRunner, Result

from hibiscushatch_core import report
from hibiscushatch_core.ports import StoredValue
from hibiscushatch_ops.main import main
from hibiscushatch_tools import platform_server
from hibiscushatch_tools.platform_store import PlatformStore

ADMIN_KEY = 'an-admin-key-of-tests'
PREFIX = '/hibiscushatch/'
MANIFEST_KEY = '/hibiscushatch/manifest'
EXAMPLES = pathlib.Path('examples')
# Nothing listens on this address.
CLOSED_ADDRESS = ('127.0.0.1', 1)


def node_report(
    name: str,
    domain: str,
    generation: int,
    members: tuple[report.MemberReport, ...] = (),
) -> report.NodeReport:
    """Build the report of an entry VM that serves one service."""
    upstream = report.UpstreamReport(
        'booking-1', domain, True, 256, 10, 100, 'warm'
    )
    service = report.ServiceReport('booking', 256, 2, 28, 5, (upstream,))
    return report.NodeReport(
        name, domain, 'serving', True, generation, 'id', members, (service,)
    )


def member(name: str, domain: str, generation: int) -> report.MemberReport:
    """Build the report that an entry VM gives of a live member."""
    return report.MemberReport(name, domain, 'serving', True, generation)


@dataclasses.dataclass(slots=True)
class FakeEntryVm:
    """An admin API that answers with a report set by the test.

    Attributes:
        report: The report that it gives.
        address: The address that it listens on.
    """

    report: report.NodeReport
    address: tuple[str, int] = CLOSED_ADDRESS

    async def handle_report(self, request: web.Request) -> web.Response:
        """Answer GET /v1/report."""
        _require_key(request)
        return web.json_response(dataclasses.asdict(self.report))

    async def handle_counters(self, request: web.Request) -> web.Response:
        """Answer GET /v1/counters."""
        _require_key(request)
        counters = {
            'drops': {'looped': 1},
            'refusals': {'no_room': 2},
            'retries': {},
            'packets_in': 7,
        }
        return web.json_response(counters)


def _require_key(request: web.Request) -> None:
    if request.headers.get('Authorization') != f'Bearer {ADMIN_KEY}':
        raise web.HTTPUnauthorized


@dataclasses.dataclass(frozen=True, slots=True)
class OpsHarness:
    """A platform stand-in, operator settings, and fake entry VMs.

    Attributes:
        store: The store of the platform stand-in.
        folder: A temporary folder, which holds the settings.
        stack: Stops the fake entry VMs at the end of the test.
    """

    store: PlatformStore
    folder: pathlib.Path
    stack: contextlib.AsyncExitStack

    @property
    def settings_file(self) -> str:
        """The path of the settings file to give to commands."""
        return str(self.folder / 'settings.json')

    def write(self, name: str, document: object) -> str:
        """Write a JSON file and return its path."""
        path = self.folder / name
        path.write_text(json.dumps(document))
        return str(path)

    def write_manifest(self, generation: int) -> str:
        """Write an example manifest with a generation and return its path."""
        example = json.loads((EXAMPLES / 'port-of-spain.json').read_text())
        example['generation'] = generation
        return self.write(f'manifest-{generation}.json', example)

    def committed_manifest(self) -> StoredValue | None:
        """Read the committed manifest from the platform stand-in."""
        return next(iter(self.store.read_key(MANIFEST_KEY).stored), None)

    async def add_entry_vm(self, vm_report: report.NodeReport) -> FakeEntryVm:
        """Start a fake entry VM and add it to the platform's list."""
        fake = FakeEntryVm(vm_report)
        app = web.Application()
        app.router.add_get('/v1/report', fake.handle_report)
        app.router.add_get('/v1/counters', fake.handle_counters)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        self.stack.push_async_callback(runner.cleanup)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        fake.address = runner.addresses[0][:2]
        self.add_to_vm_list(vm_report.name, vm_report.domain, fake.address)
        return fake

    def add_to_vm_list(
        self, name: str, domain: str, admin: tuple[str, int] = CLOSED_ADDRESS
    ) -> None:
        """Add an entry VM to the platform's list."""
        addresses = {
            field: dict(zip(('address', 'port'), admin, strict=True))
            for field in ('control', 'relay', 'admin')
        }
        entry = {'name': name, 'domain': domain, **addresses}
        self.store.put(f'{PREFIX}vms/{name}', json.dumps(entry).encode())

    async def run(self, *arguments: str) -> Result:
        """Run the command with the settings, in a thread."""
        return await run_command(*arguments, '--settings', self.settings_file)


async def run_command(*arguments: str) -> Result:
    """Run the command in a thread."""
    return await asyncio.to_thread(
        CliRunner().invoke, main, arguments, catch_exceptions=False
    )


@contextlib.asynccontextmanager
async def ops_harness() -> AsyncIterator[OpsHarness]:
    """Start a platform stand-in and write settings with its address."""
    store = PlatformStore(time.monotonic)
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        runner = await platform_server.start_server(store, '127.0.0.1', 0)
        stack.push_async_callback(runner.cleanup)
        harness = OpsHarness(store, folder, stack)
        port = runner.addresses[0][1]
        platform = {'endpoints': [f'http://127.0.0.1:{port}']}
        settings = {'platform': platform, 'admin_key': ADMIN_KEY}
        harness.write('settings.json', settings)
        yield harness
