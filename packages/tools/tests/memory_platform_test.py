"""Tests of hibiscushatch_tools.memory_platform beyond the shared contract."""

import asyncio

import platform_fixtures

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import PlatformUnavailableError
from hibiscushatch_core.ports import Platform
from hibiscushatch_tools.memory_platform import MemoryPlatform

KEY = '/test/manifest'


async def _times_out_at_deadline(platform: Platform) -> bool:
    started_at = asyncio.get_running_loop().time()
    try:
        await platform.get(KEY)
    except PlatformUnavailableError:
        duration_s = asyncio.get_running_loop().time() - started_at
        return duration_s == platform_fixtures.CALL_TIMEOUT_S
    return False


async def test_one_client_is_cut_off_while_another_is_not() -> None:
    async with platform_fixtures.memory_harness() as harness:
        settings = platform_fixtures.platform_settings()
        other = MemoryPlatform(harness.store, settings, Counters())
        harness.store.put(KEY, b'one')
        watch = harness.platform.watch_prefix(KEY)
        await anext(watch)
        harness.platform.cut_off = True
        harness.store.put(KEY, b'two')
        assert await _times_out_at_deadline(harness.platform)
        assert (await other.get(KEY)).value == b'two'
        try:
            await anext(watch)
        except PlatformUnavailableError as error:
            assert error.step == 'watch keys'
        else:
            raise AssertionError(
                'the watch of a disconnected client still works'
            )
        harness.platform.cut_off = False
        watch = harness.platform.watch_prefix(KEY)
        assert (await anext(watch)).value == b'two'
        await watch.aclose()
