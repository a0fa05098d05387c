"""Contract of core ports.Platform, for each adapter and each fault."""

import contextlib
from collections.abc import AsyncIterator

import platform_fixtures

from hibiscushatch_core.errors import (
    LeaseLapsedError,
    PlatformError,
    PlatformUnavailableError,
)
from hibiscushatch_core.ports import WatchEvent
from hibiscushatch_tools.platform_store import PlatformFaults
from hibiscushatch_tools.testing import real_time

KEY = '/test/manifest'
LIST = '/test/vms/'


@contextlib.asynccontextmanager
async def _fails(
    step: str, error_type: type[PlatformError] = PlatformUnavailableError
) -> AsyncIterator[None]:
    try:
        yield
    except error_type as error:
        assert error.step == step, error.step
        assert error.peer
        return
    raise AssertionError(f'{step} did not fail')


async def _swaps_only_at_the_expected_revision(
    bench: platform_fixtures.Bench,
) -> None:
    platform = bench.platform
    assert await platform.get(KEY) is None
    assert await platform.compare_and_swap(KEY, 0, b'one')
    assert not await platform.compare_and_swap(KEY, 0, b'two')
    stored = await platform.get(KEY)
    assert stored.value == b'one'
    assert await platform.compare_and_swap(KEY, stored.mod_revision, b'\xff\0')
    stored = await platform.get(KEY)
    assert (stored.key, stored.value) == (KEY, b'\xff\0')


async def _lists_exactly_the_prefix(bench: platform_fixtures.Bench) -> None:
    for key in (f'{LIST}a', f'{LIST}b', '/test/vmst', '/test/vms'):
        bench.store.put(key, key.encode())
    listed = await bench.platform.list_prefix(LIST)
    assert [one.key for one in listed] == [f'{LIST}a', f'{LIST}b']


async def _watch_begins_with_what_is_there(
    bench: platform_fixtures.Bench,
) -> None:
    bench.store.put(f'{LIST}a', b'1')
    bench.store.put('/test/other', b'-')
    watch = bench.platform.watch_prefix(LIST)
    assert await anext(watch) == WatchEvent(f'{LIST}a', b'1', 1)
    bench.store.put(f'{LIST}a', b'2')
    bench.store.put(f'{LIST}b', b'3')
    assert await anext(watch) == WatchEvent(f'{LIST}a', b'2', 3)
    assert await anext(watch) == WatchEvent(f'{LIST}b', b'3', 4)
    await watch.aclose()


async def _lease_keeps_its_key_until_it_lapses(
    bench: platform_fixtures.Bench,
) -> None:
    platform = bench.platform
    lease_id = await platform.grant_lease(10)
    await platform.put_with_lease(f'{LIST}a', b'1', lease_id)
    bench.clock.now = 9
    assert await platform.keep_lease_alive(lease_id)
    bench.clock.now = 18
    assert await platform.get(f'{LIST}a')
    watch = platform.watch_prefix(LIST)
    await anext(watch)
    bench.clock.now = 20
    assert not await platform.keep_lease_alive(lease_id)
    assert (await anext(watch)).value is None
    await watch.aclose()
    async with _fails('write key', LeaseLapsedError):
        await platform.put_with_lease(f'{LIST}a', b'2', lease_id)
    assert await platform.get(f'{LIST}a') is None
    await platform.revoke_lease(lease_id)


async def _revoking_a_lease_deletes_its_keys(
    bench: platform_fixtures.Bench,
) -> None:
    lease_id = await bench.platform.grant_lease(10)
    await bench.platform.put_with_lease(f'{LIST}a', b'1', lease_id)
    await bench.platform.revoke_lease(lease_id)
    assert not await bench.platform.list_prefix(LIST)


async def _outage_fails_calls_and_watches(
    bench: platform_fixtures.Bench,
) -> None:
    platform = bench.platform
    lease_id = await platform.grant_lease(10)
    bench.store.put(f'{LIST}a', b'1')
    watch = platform.watch_prefix(LIST)
    await anext(watch)
    bench.store.inject(PlatformFaults(outage=True))
    async with _fails('watch keys'):
        await anext(watch)
    async with _fails('read key'):
        await platform.get(KEY)
    async with _fails('list keys'):
        await platform.list_prefix(LIST)
    async with _fails('compare and swap'):
        await platform.compare_and_swap(KEY, 0, b'one')
    async with _fails('renew lease'):
        await platform.keep_lease_alive(lease_id)
    bench.store.inject(PlatformFaults())
    assert await platform.get(KEY) is None
    assert await platform.keep_lease_alive(lease_id)


async def _slowness_beyond_the_deadline_fails(
    bench: platform_fixtures.Bench,
) -> None:
    bench.store.inject(PlatformFaults(delay_s=60))
    async with _fails('read key'):
        await bench.platform.get(KEY)
    async with _fails('compare and swap'):
        await bench.platform.compare_and_swap(KEY, 0, b'one')
    bench.store.inject(PlatformFaults())
    assert (await bench.platform.get(KEY)).value == b'one'


async def _lost_answer_is_an_error_of_a_write_done_once(
    bench: platform_fixtures.Bench,
) -> None:
    assert await bench.platform.get(KEY) is None
    bench.store.inject(PlatformFaults(lost_answers=1))
    async with _fails('compare and swap'):
        await bench.platform.compare_and_swap(KEY, 0, b'one')
    assert bench.store.revision == 1
    assert (await bench.platform.get(KEY)).value == b'one'


async def _stale_reads_answer_but_do_not_swap(
    bench: platform_fixtures.Bench,
) -> None:
    bench.store.put(KEY, b'old')
    bench.store.put(KEY, b'new')
    bench.store.inject(PlatformFaults(stale_revision=1))
    stored = await bench.platform.get(KEY)
    assert stored.value == b'old'
    watch = bench.platform.watch_prefix(KEY)
    assert (await anext(watch)).value == b'old'
    assert not await bench.platform.compare_and_swap(
        KEY, stored.mod_revision, b'newer'
    )
    bench.store.inject(PlatformFaults())
    assert (await anext(watch)).value == b'new'
    await watch.aclose()


async def _silent_watch_is_ended(bench: platform_fixtures.Bench) -> None:
    bench.store.put(KEY, b'one')
    watch = bench.platform.watch_prefix(KEY)
    await anext(watch)
    bench.store.inject(PlatformFaults(silent_watches=True))
    bench.store.put(KEY, b'two')
    async with _fails('watch keys'):
        await anext(watch)
    watch = bench.platform.watch_prefix(KEY)
    assert (await anext(watch)).value == b'two'
    await watch.aclose()


async def _each_call_is_counted(bench: platform_fixtures.Bench) -> None:
    await bench.platform.get(KEY)
    counted = bench.counters.platform_calls
    watch = bench.platform.watch_prefix(KEY)
    bench.store.put(KEY, b'one')
    await anext(watch)
    await bench.platform.get(KEY)
    bench.store.put(KEY, b'two')
    await anext(watch)
    assert bench.counters.platform_calls - counted == 3
    assert bench.store.calls == 4
    await watch.aclose()


CASES = (
    _swaps_only_at_the_expected_revision,
    _lists_exactly_the_prefix,
    _watch_begins_with_what_is_there,
    _lease_keeps_its_key_until_it_lapses,
    _revoking_a_lease_deletes_its_keys,
    _outage_fails_calls_and_watches,
    _slowness_beyond_the_deadline_fails,
    _lost_answer_is_an_error_of_a_write_done_once,
    _stale_reads_answer_but_do_not_swap,
    _silent_watch_is_ended,
    _each_call_is_counted,
)


async def test_memory_platform_keeps_the_contract() -> None:
    for case in CASES:
        async with platform_fixtures.memory_bench() as bench:
            await case(bench)


@real_time
async def test_etcd_platform_keeps_the_contract() -> None:
    for case in CASES:
        async with platform_fixtures.etcd_bench() as bench:
            await case(bench)
