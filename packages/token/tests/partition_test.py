"""Tests of hibiscushatch_token.health.partition, in virtual time."""

import asyncio

import token_fixtures as fixtures

from hibiscushatch_token.health.partition import PartitionDetector


async def is_cut_off(has_sign: bool, store_answers: bool) -> bool:
    """Tell what the detector finds with the two signs as given."""
    scene = fixtures.vm_harness(fixtures.upstream('b1', 'there'))
    if has_sign:
        scene.verdicts.note_unreachable()
    store = fixtures.FakeStore()
    store.is_store_reachable = store_answers
    detector = PartitionDetector(store, scene.verdicts, scene.clock)
    task = asyncio.create_task(detector.run())
    await asyncio.sleep(1)
    task.cancel()
    return detector.is_cut_off


async def test_only_both_signs_together_mean_a_cut() -> None:
    assert await is_cut_off(has_sign=True, store_answers=False)
    assert not await is_cut_off(has_sign=True, store_answers=True)
    assert not await is_cut_off(has_sign=False, store_answers=False)


async def test_a_cut_ends_when_the_store_answers_again() -> None:
    scene = fixtures.vm_harness(fixtures.upstream('b1', 'there'))
    scene.verdicts.note_unreachable()
    store = fixtures.FakeStore()
    store.is_store_reachable = False
    detector = PartitionDetector(store, scene.verdicts, scene.clock)
    task = asyncio.create_task(detector.run())
    await asyncio.sleep(1)
    scene.clock.now += 1
    assert detector.is_cut_off
    store.is_store_reachable = True
    await asyncio.sleep(1)
    assert not detector.is_cut_off
    task.cancel()


async def test_readiness_fails_while_the_store_is_asked() -> None:
    scene = fixtures.vm_harness(fixtures.upstream('b1', 'there'))
    scene.verdicts.note_unreachable()
    store = fixtures.SlowStore(answer_s=0.25)
    detector = PartitionDetector(store, scene.verdicts, scene.clock)
    task = asyncio.create_task(detector.run())
    await asyncio.sleep(0.1)
    assert detector.is_suspected
    assert not detector.is_cut_off
    await asyncio.sleep(0.25)
    assert not detector.is_suspected
    task.cancel()
