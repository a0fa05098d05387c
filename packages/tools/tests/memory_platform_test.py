"""Tests of hibiscushatch_tools.memory_platform beyond the contract."""

import asyncio

import platform_fixtures

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import PlatformUnavailableError
from hibiscushatch_core.ports import Platform
from hibiscushatch_tools.memory_platform import MemoryPlatform

KEY = '/test/manifest'


async def _is_unavailable_at_its_deadline(platform: Platform) -> bool:
    begun_at = asyncio.get_running_loop().time()
    try:
        await platform.get(KEY)
    except PlatformUnavailableError:
        took_s = asyncio.get_running_loop().time() - begun_at
        return took_s == platform_fixtures.CALL_TIMEOUT_S
    return False


async def test_one_client_is_cut_off_while_another_is_not() -> None:
    async with platform_fixtures.memory_bench() as bench:
        settings = platform_fixtures.platform_settings()
        other = MemoryPlatform(bench.store, settings, Counters())
        bench.store.put(KEY, b'one')
        watch = bench.platform.watch_prefix(KEY)
        await anext(watch)
        bench.platform.cut_off = True
        bench.store.put(KEY, b'two')
        assert await _is_unavailable_at_its_deadline(bench.platform)
        assert (await other.get(KEY)).value == b'two'
        try:
            await anext(watch)
        except PlatformUnavailableError as error:
            assert error.step == 'watch keys'
        else:
            raise AssertionError('the watch of a client cut off goes on')
        bench.platform.cut_off = False
        watch = bench.platform.watch_prefix(KEY)
        assert (await anext(watch)).value == b'two'
        await watch.aclose()
