"""Tests of hibiscushatch_node.adapters.etcd beyond the shared contract."""

import contextlib
from collections.abc import AsyncIterator

import platform_fixtures
from aiohttp import web

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import PlatformUnavailableError
from hibiscushatch_node.adapters.etcd import EtcdPlatform
from hibiscushatch_tools import platform_server
from hibiscushatch_tools.platform_store import PlatformFaults, PlatformStore
from hibiscushatch_tools.testing import real_time

KEY = '/test/manifest'
EMPTY_RANGE_RESPONSE = '{"header":{"revision":"1"}}'
CANCELED_WATCH = '{"result":{"header":{"revision":"1"},"canceled":true}}\n'


@contextlib.asynccontextmanager
async def _two_endpoints(
    first: PlatformStore, second: PlatformStore
) -> AsyncIterator[EtcdPlatform]:
    async with contextlib.AsyncExitStack() as stack:
        urls = []
        for store in (first, second):
            runner = await platform_server.start_server(store, '127.0.0.1', 0)
            stack.push_async_callback(runner.cleanup)
            urls.append(f'http://127.0.0.1:{runner.addresses[0][1]}')
        settings = platform_fixtures.platform_settings(*urls)
        platform = EtcdPlatform(settings, Counters())
        stack.push_async_callback(platform.close)
        yield platform


@contextlib.asynccontextmanager
async def _endpoint_with_response(
    status: int, text: str
) -> AsyncIterator[EtcdPlatform]:
    async def answer(request: web.Request) -> web.Response:
        if request.path == '/v3/watch':
            return web.Response(text=text, status=status)
        return web.Response(text=EMPTY_RANGE_RESPONSE)

    app = web.Application()
    app.router.add_post('/{path:.*}', answer)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    url = f'http://127.0.0.1:{runner.addresses[0][1]}'
    platform = EtcdPlatform(
        platform_fixtures.platform_settings(url), Counters()
    )
    try:
        yield platform
    finally:
        await platform.close()
        await runner.cleanup()


async def _watch_error_reason(platform: EtcdPlatform) -> str:
    try:
        await anext(platform.watch_prefix(KEY))
    except PlatformUnavailableError as error:
        return error.reason
    return ''


@real_time
async def test_a_write_that_may_have_taken_effect_is_not_retried() -> None:
    store = PlatformStore(platform_fixtures.ManualClock())
    async with _two_endpoints(store, store) as platform:
        lease_id = await platform.grant_lease(10)
        store.inject(PlatformFaults(lost_answers=1))
        try:
            await platform.put_with_lease(KEY, b'one', lease_id)
        except PlatformUnavailableError:
            assert store.revision == 1
        else:
            raise AssertionError('the write with a lost answer did not fail')
        assert (await platform.get(KEY)).value == b'one'


@real_time
async def test_reads_switch_from_a_failing_endpoint_to_the_next() -> None:
    clock = platform_fixtures.ManualClock()
    for faults in (PlatformFaults(outage=True), PlatformFaults(delay_s=60)):
        first = PlatformStore(clock)
        second = PlatformStore(clock)
        first.inject(faults)
        second.put(KEY, b'one')
        async with _two_endpoints(first, second) as platform:
            with contextlib.suppress(PlatformUnavailableError):
                await platform.get(KEY)
            assert (await platform.get(KEY)).value == b'one'
            assert first.calls == 1


@real_time
async def test_an_invalid_watch_response_fails_with_its_reason() -> None:
    cases = (
        (200, 'nothing\n', 'not an answer'),
        (200, '{"error":{"grpc_code":14}}\n', 'not an answer'),
        (200, '', 'the watch ended'),
        (200, CANCELED_WATCH, 'canceled'),
        (500, '', 'HTTP status 500'),
        (404, '', 'HTTP status 404'),
    )
    for status, text, reason in cases:
        async with _endpoint_with_response(status, text) as platform:
            assert reason in await _watch_error_reason(platform), (status, text)
