"""Tests of hibiscushatch_token.knowledge.store_reader, in virtual time."""

import asyncio
import random

import token_fixtures as fixtures

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import PlatformUnavailableError
from hibiscushatch_core.reasons import RetryReason
from hibiscushatch_token.knowledge.store_reader import StoreReader

DOWN = PlatformUnavailableError('watch', 'store', 'status 503')


def reader_of(
    scene: fixtures.ReplicaStage,
    store: fixtures.FakeStore,
    is_publisher: bool = True,
) -> tuple[StoreReader, Counters]:
    """Build a reader of a prepared store."""
    counters = Counters()
    reader = StoreReader(
        fixtures.settings().store,
        store,
        scene.replica,
        counters,
        random.Random(fixtures.SEED),  # noqa: S311
        is_publisher,
        lambda _before, _changes: None,
    )
    return reader, counters


async def run_until_out_of_changes(
    reader: StoreReader, store: fixtures.FakeStore
) -> None:
    """Run a reader until the prepared changes are used up."""
    task = asyncio.create_task(reader.run())
    while store.changes:
        await asyncio.sleep(0.05)
    task.cancel()


async def test_reading_goes_on_from_the_revision_of_the_listing() -> None:
    scene = fixtures.replica_stage()
    store = fixtures.FakeStore()
    store.listing = fixtures.listing(5, servers_a='here')
    store.changes = [fixtures.change('servers/b', 'here', 7)]
    reader, _ = reader_of(scene, store)
    await run_until_out_of_changes(reader, store)
    assert store.calls[:2] == ['list', 'watch 5']
    assert set(scene.registry.names) == {'a', 'b'}


async def test_errors_are_counted_and_reading_goes_on_without_a_listing() -> (
    None
):
    scene = fixtures.replica_stage()
    store = fixtures.FakeStore()
    store.listing = fixtures.listing(5)
    store.changes = [DOWN, DOWN, fixtures.change('servers/b', 'here', 7)]
    reader, counters = reader_of(scene, store)
    await run_until_out_of_changes(reader, store)
    assert store.calls[:4] == ['list', 'watch 5', 'watch 5', 'watch 5']
    assert counters.retries[RetryReason.PLATFORM_UNAVAILABLE] == 2


async def test_lost_history_is_followed_by_a_listing() -> None:
    scene = fixtures.replica_stage()
    store = fixtures.FakeStore()
    store.listing = fixtures.listing(5)
    lost = fixtures.HistoryLostError('watch', 'store', 'gone')
    store.changes = [lost, fixtures.change('servers/b', 'here', 7)]
    reader, counters = reader_of(scene, store)
    await run_until_out_of_changes(reader, store)
    assert store.calls[:4] == ['list', 'watch 5', 'list', 'watch 5']
    assert counters.retries[RetryReason.PLATFORM_HISTORY] >= 1


async def test_whoever_is_told_by_a_publisher_makes_no_calls() -> None:
    scene = fixtures.replica_stage()
    scene.replica.merge_listing(fixtures.listing(5))
    store = fixtures.FakeStore()
    reader, _ = reader_of(scene, store, is_publisher=False)
    task = asyncio.create_task(reader.run())
    for _ in range(20):
        scene.clock.now += 0.5
        scene.replica.prove(0)
        await asyncio.sleep(0.5)
    assert store.calls == []
    scene.clock.now += 2.1
    await asyncio.sleep(0.1)
    assert store.calls
    task.cancel()
