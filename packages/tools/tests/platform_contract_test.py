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
VMS_PREFIX = '/test/vms/'


@contextlib.asynccontextmanager
async def _assert_fails(
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
    harness: platform_fixtures.PlatformHarness,
) -> None:
    platform = harness.platform
    assert await platform.get(KEY) is None
    assert await platform.compare_and_swap(KEY, 0, b'one')
    assert not await platform.compare_and_swap(KEY, 0, b'two')
    stored = await platform.get(KEY)
    assert stored.value == b'one'
    assert await platform.compare_and_swap(KEY, stored.mod_revision, b'\xff\0')
    stored = await platform.get(KEY)
    assert (stored.key, stored.value) == (KEY, b'\xff\0')


async def _lists_exactly_the_prefix(
    harness: platform_fixtures.PlatformHarness,
) -> None:
    for key in (f'{VMS_PREFIX}a', f'{VMS_PREFIX}b', '/test/vmst', '/test/vms'):
        harness.store.put(key, key.encode())
    listed = await harness.platform.list_prefix(VMS_PREFIX)
    assert [stored.key for stored in listed] == [
        f'{VMS_PREFIX}a',
        f'{VMS_PREFIX}b',
    ]


async def _watch_begins_with_the_current_keys(
    harness: platform_fixtures.PlatformHarness,
) -> None:
    harness.store.put(f'{VMS_PREFIX}a', b'1')
    harness.store.put('/test/other', b'-')
    watch = harness.platform.watch_prefix(VMS_PREFIX)
    assert await anext(watch) == WatchEvent(f'{VMS_PREFIX}a', b'1', 1)
    harness.store.put(f'{VMS_PREFIX}a', b'2')
    harness.store.put(f'{VMS_PREFIX}b', b'3')
    assert await anext(watch) == WatchEvent(f'{VMS_PREFIX}a', b'2', 3)
    assert await anext(watch) == WatchEvent(f'{VMS_PREFIX}b', b'3', 4)
    await watch.aclose()


async def _lease_keeps_its_key_until_it_lapses(
    harness: platform_fixtures.PlatformHarness,
) -> None:
    platform = harness.platform
    lease_id = await platform.grant_lease(10)
    await platform.put_with_lease(f'{VMS_PREFIX}a', b'1', lease_id)
    harness.clock.now = 9
    assert await platform.keep_lease_alive(lease_id)
    harness.clock.now = 18
    assert await platform.get(f'{VMS_PREFIX}a')
    watch = platform.watch_prefix(VMS_PREFIX)
    await anext(watch)
    harness.clock.now = 20
    assert not await platform.keep_lease_alive(lease_id)
    assert (await anext(watch)).value is None
    await watch.aclose()
    async with _assert_fails('write key', LeaseLapsedError):
        await platform.put_with_lease(f'{VMS_PREFIX}a', b'2', lease_id)
    assert await platform.get(f'{VMS_PREFIX}a') is None
    await platform.revoke_lease(lease_id)


async def _revoking_a_lease_deletes_its_keys(
    harness: platform_fixtures.PlatformHarness,
) -> None:
    lease_id = await harness.platform.grant_lease(10)
    await harness.platform.put_with_lease(f'{VMS_PREFIX}a', b'1', lease_id)
    await harness.platform.revoke_lease(lease_id)
    assert not await harness.platform.list_prefix(VMS_PREFIX)


async def _outage_fails_calls_and_watches(
    harness: platform_fixtures.PlatformHarness,
) -> None:
    platform = harness.platform
    lease_id = await platform.grant_lease(10)
    harness.store.put(f'{VMS_PREFIX}a', b'1')
    watch = platform.watch_prefix(VMS_PREFIX)
    await anext(watch)
    harness.store.inject(PlatformFaults(outage=True))
    async with _assert_fails('watch keys'):
        await anext(watch)
    async with _assert_fails('read key'):
        await platform.get(KEY)
    async with _assert_fails('list keys'):
        await platform.list_prefix(VMS_PREFIX)
    async with _assert_fails('compare and swap'):
        await platform.compare_and_swap(KEY, 0, b'one')
    async with _assert_fails('renew lease'):
        await platform.keep_lease_alive(lease_id)
    harness.store.inject(PlatformFaults())
    assert await platform.get(KEY) is None
    assert await platform.keep_lease_alive(lease_id)


async def _calls_beyond_the_deadline_fail(
    harness: platform_fixtures.PlatformHarness,
) -> None:
    harness.store.inject(PlatformFaults(delay_s=60))
    async with _assert_fails('read key'):
        await harness.platform.get(KEY)
    async with _assert_fails('compare and swap'):
        await harness.platform.compare_and_swap(KEY, 0, b'one')
    harness.store.inject(PlatformFaults())
    assert (await harness.platform.get(KEY)).value == b'one'


async def _lost_answer_fails_a_write_that_ran_once(
    harness: platform_fixtures.PlatformHarness,
) -> None:
    assert await harness.platform.get(KEY) is None
    harness.store.inject(PlatformFaults(lost_answers=1))
    async with _assert_fails('compare and swap'):
        await harness.platform.compare_and_swap(KEY, 0, b'one')
    assert harness.store.revision == 1
    assert (await harness.platform.get(KEY)).value == b'one'


async def _stale_reads_succeed_but_swaps_fail(
    harness: platform_fixtures.PlatformHarness,
) -> None:
    harness.store.put(KEY, b'old')
    harness.store.put(KEY, b'new')
    harness.store.inject(PlatformFaults(stale_revision=1))
    stored = await harness.platform.get(KEY)
    assert stored.value == b'old'
    watch = harness.platform.watch_prefix(KEY)
    assert (await anext(watch)).value == b'old'
    assert not await harness.platform.compare_and_swap(
        KEY, stored.mod_revision, b'newer'
    )
    harness.store.inject(PlatformFaults())
    assert (await anext(watch)).value == b'new'
    await watch.aclose()


async def _silent_watch_fails(
    harness: platform_fixtures.PlatformHarness,
) -> None:
    harness.store.put(KEY, b'one')
    watch = harness.platform.watch_prefix(KEY)
    await anext(watch)
    harness.store.inject(PlatformFaults(silent_watches=True))
    harness.store.put(KEY, b'two')
    async with _assert_fails('watch keys'):
        await anext(watch)
    watch = harness.platform.watch_prefix(KEY)
    assert (await anext(watch)).value == b'two'
    await watch.aclose()


async def _each_call_is_counted(
    harness: platform_fixtures.PlatformHarness,
) -> None:
    await harness.platform.get(KEY)
    calls_before = harness.counters.platform_calls
    watch = harness.platform.watch_prefix(KEY)
    harness.store.put(KEY, b'one')
    await anext(watch)
    await harness.platform.get(KEY)
    harness.store.put(KEY, b'two')
    await anext(watch)
    assert harness.counters.platform_calls - calls_before == 3
    assert harness.store.calls == 4
    await watch.aclose()


CASES = (
    _swaps_only_at_the_expected_revision,
    _lists_exactly_the_prefix,
    _watch_begins_with_the_current_keys,
    _lease_keeps_its_key_until_it_lapses,
    _revoking_a_lease_deletes_its_keys,
    _outage_fails_calls_and_watches,
    _calls_beyond_the_deadline_fail,
    _lost_answer_fails_a_write_that_ran_once,
    _stale_reads_succeed_but_swaps_fail,
    _silent_watch_fails,
    _each_call_is_counted,
)


async def test_memory_platform_keeps_the_contract() -> None:
    for case in CASES:
        async with platform_fixtures.memory_harness() as harness:
            await case(harness)


@real_time
async def test_etcd_platform_keeps_the_contract() -> None:
    for case in CASES:
        async with platform_fixtures.etcd_harness() as harness:
            await case(harness)
