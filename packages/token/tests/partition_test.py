"""Tests of hibiscushatch_token.health.partition, in virtual time."""

import asyncio

import token_fixtures as fixtures

from hibiscushatch_token.health.partition import PartitionDetector


async def finds_cut(is_unreachable: bool, store_answers: bool) -> bool:
    """Return whether the detector finds a cut with these two signs."""
    entry_vm = fixtures.vm_harness(fixtures.upstream('b1', 'there'))
    if is_unreachable:
        entry_vm.verdicts.record_unreachable()
    store = fixtures.FakeStore()
    store.is_store_reachable = store_answers
    detector = PartitionDetector(store, entry_vm.verdicts, entry_vm.clock)
    task = asyncio.create_task(detector.run())
    await asyncio.sleep(1)
    task.cancel()
    return detector.is_cut_off


async def test_only_both_signs_together_are_a_cut() -> None:
    assert await finds_cut(is_unreachable=True, store_answers=False)
    assert not await finds_cut(is_unreachable=True, store_answers=True)
    assert not await finds_cut(is_unreachable=False, store_answers=False)


async def test_a_cut_ends_when_the_store_answers_again() -> None:
    entry_vm = fixtures.vm_harness(fixtures.upstream('b1', 'there'))
    entry_vm.verdicts.record_unreachable()
    store = fixtures.FakeStore()
    store.is_store_reachable = False
    detector = PartitionDetector(store, entry_vm.verdicts, entry_vm.clock)
    task = asyncio.create_task(detector.run())
    await asyncio.sleep(1)
    entry_vm.clock.now += 1
    assert detector.is_cut_off
    store.is_store_reachable = True
    await asyncio.sleep(1)
    assert not detector.is_cut_off
    task.cancel()


async def test_a_cut_is_suspected_while_the_store_is_asked() -> None:
    entry_vm = fixtures.vm_harness(fixtures.upstream('b1', 'there'))
    entry_vm.verdicts.record_unreachable()
    store = fixtures.SlowStore(answer_s=0.25)
    detector = PartitionDetector(store, entry_vm.verdicts, entry_vm.clock)
    task = asyncio.create_task(detector.run())
    await asyncio.sleep(0.1)
    assert detector.is_suspected
    assert not detector.is_cut_off
    await asyncio.sleep(0.25)
    assert not detector.is_suspected
    task.cancel()
