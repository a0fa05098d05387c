"""Tests of hibiscushatch_token.knowledge.store_reader, in virtual time."""

import asyncio
import dataclasses
import itertools
import random

import token_fixtures as fixtures

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import PlatformUnavailableError
from hibiscushatch_core.reasons import RetryReason
from hibiscushatch_token.knowledge.reading_turn import ReadingTurn
from hibiscushatch_token.knowledge.store_reader import StoreReader
from hibiscushatch_token.ports import Changes

DOWN = PlatformUnavailableError('watch', 'store', 'status 503')


CONTROL = '127.0.0.1:3'
FIRST, SECOND = '127.0.0.1:31', '127.0.0.1:32'


@dataclasses.dataclass
class ReaderScene:
    """A reader of a prepared store, and what it told."""

    scene: fixtures.ReplicaHarness
    store: fixtures.FakeStore
    counters: Counters
    turn: ReadingTurn
    reader: StoreReader
    changed: list[Changes]
    proved: list[Changes]

    async def run_for(self, seconds: float) -> None:
        """Run the reader; the replica's clock goes on with the loop's."""
        task = asyncio.create_task(self.reader.run())
        for _ in range(round(seconds / 0.05)):
            await asyncio.sleep(0.05)
            self.scene.clock.now += 0.05
        task.cancel()


def reader_scene(
    publishers: tuple[str, ...] = (CONTROL,),
    hears_source: bool = True,
    fleet: int = 1,
    seed: int = fixtures.SEED,
) -> ReaderScene:
    """Build a reader of a prepared store."""
    scene = fixtures.replica_harness()
    store = fixtures.FakeStore()
    counters = Counters()
    changed: list[Changes] = []
    proved: list[Changes] = []
    settings = fixtures.settings(control=CONTROL, publishers=list(publishers))
    turn = ReadingTurn(
        settings,
        scene.replica,
        lambda: hears_source,
        lambda: fleet,
        random.Random(seed),  # noqa: S311
    )
    reader = StoreReader(
        settings.store,
        store,
        scene.replica,
        counters,
        turn,
        lambda _before, changes: changed.append(changes),
        lambda _before, changes: proved.append(changes),
    )
    return ReaderScene(scene, store, counters, turn, reader, changed, proved)


async def test_reading_goes_on_from_the_revision_of_the_listing() -> None:
    one = reader_scene()
    one.store.listing = fixtures.listing(5, op_config='1', servers_a='here')
    one.store.changes = [fixtures.change('servers/b', 'here', 7)]
    await one.run_for(0.2)
    assert one.store.calls[:2] == ['old list', 'watch 5']
    assert set(one.scene.registry.names) == {'a', 'b'}


async def test_an_old_listing_proves_nothing() -> None:
    one = reader_scene(publishers=(FIRST,))
    one.store.listing = fixtures.listing(5, op_config='1')
    one.scene.clock.now += 1
    await one.run_for(0.2)
    assert one.store.calls == ['old list']
    assert one.scene.replica.age_s >= 1
    assert len(one.changed) == 1
    assert not one.proved


async def test_an_old_listing_without_a_configuration_is_not_enough() -> None:
    one = reader_scene(publishers=(FIRST,))
    one.store.stale_listing = fixtures.listing(3, servers_a='here')
    one.store.listing = fixtures.listing(5, op_config='1', servers_a='here')
    await one.run_for(0.2)
    assert one.store.calls == ['old list', 'list']
    assert one.scene.replica.has_config


async def test_errors_are_counted_and_reading_goes_on_without_a_listing() -> (
    None
):
    one = reader_scene()
    one.store.listing = fixtures.listing(5, op_config='1')
    one.store.changes = [DOWN, DOWN, fixtures.change('servers/b', 'here', 7)]
    await one.run_for(1)
    assert one.store.calls[:4] == ['old list', 'watch 5', 'watch 5', 'watch 5']
    assert one.counters.retries[RetryReason.PLATFORM_UNAVAILABLE] == 2


async def test_lost_history_is_followed_by_a_listing() -> None:
    one = reader_scene()
    one.store.listing = fixtures.listing(5, op_config='1')
    lost = fixtures.HistoryLostError('watch', 'store', 'gone')
    one.store.changes = [lost, fixtures.change('servers/b', 'here', 7)]
    await one.run_for(0.2)
    assert one.store.calls[:4] == ['old list', 'watch 5', 'list', 'watch 5']
    assert one.counters.retries[RetryReason.PLATFORM_HISTORY] >= 1


async def test_whoever_is_told_by_a_publisher_makes_no_calls() -> None:
    one = reader_scene(publishers=(FIRST,))
    one.scene.replica.merge_listing(fixtures.listing(5, op_config='1'))
    task = asyncio.create_task(one.reader.run())
    for _ in range(20):
        one.scene.clock.now += 0.5
        one.scene.replica.prove(0)
        await asyncio.sleep(0.5)
    assert one.store.calls == []
    task.cancel()


async def test_who_reads_when_nobody_tells() -> None:
    # Publishers and whether one is heard, and seconds without and with a call.
    table = (
        ('first publisher', (CONTROL, FIRST), True, 0, 0.1),
        ('second publisher', (FIRST, CONTROL, SECOND), True, 1.45, 0.15),
        ('third publisher', (FIRST, SECOND, CONTROL), True, 1.7, 0.15),
        ('no publisher is heard', (FIRST,), False, 1.95, 0.15),
    )
    for case, publishers, hears_source, idle_s, reads_s in table:
        one = reader_scene(publishers, hears_source, fleet=200)
        one.scene.replica.merge_listing(fixtures.listing(5, op_config='1'))
        await one.run_for(idle_s)
        assert not one.store.calls, case
        await one.run_for(reads_s)
        assert one.store.calls, case


async def test_a_fleet_tries_a_store_that_is_away_at_a_bounded_rate() -> None:
    fleet = 200
    seconds = 8.0
    members = [
        reader_scene((FIRST,), hears_source=True, fleet=fleet, seed=seed)
        for seed in range(fleet)
    ]
    for member in members:
        member.scene.replica.merge_listing(fixtures.listing(5, op_config='1'))
        member.store.changes = list(itertools.repeat(DOWN, 1000))
    await asyncio.gather(*(one.run_for(seconds) for one in members))
    calls = sum(len(one.store.calls) for one in members)
    assert 0.5 * 20 * (seconds - 2) < calls < 1.5 * 20 * (seconds - 2), calls


async def test_whoever_has_read_for_the_publishers_tells_so() -> None:
    one = reader_scene((FIRST,), hears_source=False)
    one.scene.replica.merge_listing(fixtures.listing(5, op_config='1'))
    one.store.changes = [fixtures.change('servers/b', 'here', 7)]
    await one.run_for(2.2)
    assert [changes.revision for changes in one.proved] == [7]


async def test_a_publisher_reads_on_until_an_earlier_one_is_heard() -> None:
    one = reader_scene((FIRST, CONTROL, SECOND))
    one.scene.replica.merge_listing(fixtures.listing(5, op_config='1'))
    one.store.changes = list(itertools.repeat(Changes((), 5), 1000))
    await one.run_for(3)
    calls = len(one.store.calls)
    assert calls > 50
    one.turn.told(SECOND)
    await one.run_for(0.5)
    assert len(one.store.calls) > calls
    one.turn.told(FIRST)
    calls = len(one.store.calls)
    await one.run_for(0.5)
    assert len(one.store.calls) <= calls + 1
