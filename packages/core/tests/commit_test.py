"""Tests of hibiscushatch_core.commit with the platform stand-in."""

import asyncio
import dataclasses
from collections.abc import Awaitable

import core_fixtures
from hypothesis import given, settings, strategies

from hibiscushatch_core import commit, manifest_blob
from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import (
    CommitConflictError,
    CommitUnknownError,
    HibiscushatchError,
    PlatformUnavailableError,
)
from hibiscushatch_core.manifest_document import ManifestDocument
from hibiscushatch_core.settings import PlatformSettings
from hibiscushatch_tools.memory_platform import MemoryPlatform
from hibiscushatch_tools.platform_store import PlatformFaults, PlatformStore
from hibiscushatch_tools.virtual_time import run_in_virtual_time

PREFIX = '/test/'
KEY = '/test/manifest'
LIMITS = commit.CommitLimits(deadline_s=20, retry_s=0.5)
SETTINGS = PlatformSettings(endpoints=['http://127.0.0.1:1'])


class _WriteLosingClient(MemoryPlatform):
    """A client whose first write never reaches the platform."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self._loses_next_write = True

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes
    ) -> bool:
        """Fail if this is the first write, otherwise pass it on."""
        if not self._loses_next_write:
            return await super().compare_and_swap(key, expected_revision, value)
        self._loses_next_write = False
        raise PlatformUnavailableError('compare and swap', 'test', 'lost')


def _new_store() -> PlatformStore:
    return PlatformStore(lambda: asyncio.get_running_loop().time())


def _new_client(
    store: PlatformStore, client_class: type[MemoryPlatform] = MemoryPlatform
) -> MemoryPlatform:
    return client_class(store, SETTINGS, Counters())


def _build_document(generation: int) -> ManifestDocument:
    fields = core_fixtures.manifest_fields()
    return ManifestDocument.model_validate(dict(fields, generation=generation))


async def _commit(
    store: PlatformStore,
    generation: int,
    commit_id: str,
    client: MemoryPlatform | None = None,
) -> commit.CommitOutcome:
    return await commit.commit_manifest(
        client or _new_client(store),
        PREFIX,
        _build_document(generation),
        commit_id,
        LIMITS,
    )


async def _result_of(attempt: Awaitable[commit.CommitOutcome]) -> object:
    try:
        return await attempt
    except HibiscushatchError as error:
        return type(error)


def _read_stored(store: PlatformStore) -> manifest_blob.StoredManifest:
    value = store.read_key(KEY).stored[0].value
    return manifest_blob.StoredManifest.model_validate_json(value)


async def test_only_a_higher_generation_is_committed() -> None:
    store = _new_store()
    await _commit(store, 2, 'first')
    assert await _result_of(_commit(store, 2, 'same')) is CommitConflictError
    assert await _result_of(_commit(store, 1, 'lower')) is CommitConflictError
    await _commit(store, 5, 'higher')
    committed = await commit.read_committed(_new_client(store), PREFIX)
    assert committed.commit_id == 'higher'
    assert committed.document == _build_document(5)
    assert _read_stored(store).previous_commit_ids == ('first',)


async def test_one_of_two_racing_commits_wins() -> None:
    store = _new_store()
    await _commit(store, 1, 'base')
    store.inject(PlatformFaults(delay_s=0.1))
    results = await asyncio.gather(
        _result_of(_commit(store, 2, 'one')),
        _result_of(_commit(store, 3, 'other')),
    )
    assert results.count(CommitConflictError) == 1
    winner = next(
        result for result in results if result is not CommitConflictError
    )
    assert _read_stored(store).commit_id == winner.commit_id
    assert store.revision == 2


async def test_lost_answer_is_settled_by_reading_back() -> None:
    for generations_after in range(manifest_blob.PREVIOUS_COMMIT_IDS_MAX + 1):
        store = _new_store()
        store.inject(PlatformFaults(lost_answers=1))
        attempt = asyncio.create_task(_commit(store, 1, 'lost'))
        await asyncio.sleep(LIMITS.retry_s / 2)
        for generation in range(2, 2 + generations_after):
            await _commit(store, generation, f'after-{generation}')
        outcome = await attempt
        assert outcome.commit_id == 'lost'
        assert outcome.stored_generation == 1 + generations_after
        assert store.revision == 1 + generations_after


async def test_lost_answer_is_unknown_when_too_many_commits_follow() -> None:
    store = _new_store()
    store.inject(PlatformFaults(lost_answers=1))
    attempt = asyncio.create_task(_result_of(_commit(store, 1, 'lost')))
    await asyncio.sleep(LIMITS.retry_s / 2)
    for generation in range(2, 4 + manifest_blob.PREVIOUS_COMMIT_IDS_MAX):
        await _commit(store, generation, f'after-{generation}')
    assert await attempt is CommitUnknownError


async def test_lost_write_is_sent_again_with_the_same_base() -> None:
    store = _new_store()
    await _commit(store, 1, 'base')
    outcome = await _commit(
        store, 3, 'lost', _new_client(store, _WriteLosingClient)
    )
    assert outcome.retries == 1
    assert store.revision == 2


async def test_lost_write_is_a_conflict_after_another_commit() -> None:
    for base_generation in (0, 1):
        store = _new_store()
        if base_generation:
            await _commit(store, base_generation, 'base')
        client = _new_client(store, _WriteLosingClient)
        attempt = asyncio.create_task(
            _result_of(_commit(store, 9, 'lost', client))
        )
        await asyncio.sleep(LIMITS.retry_s / 2)
        await _commit(store, 2, 'other')
        assert await attempt is CommitConflictError
        assert _read_stored(store).commit_id == 'other'


async def test_lasting_faults_end_in_a_specific_error() -> None:
    unavailable = PlatformUnavailableError
    lost_and_stale = PlatformFaults(lost_answers=99, stale_revision=1)
    cases = (
        (PlatformFaults(outage=True), unavailable, 1),
        (PlatformFaults(delay_s=60), unavailable, 1),
        (PlatformFaults(stale_revision=0), unavailable, 1),
        (lost_and_stale, CommitUnknownError, 2),
    )
    for faults, expected, revision in cases:
        store = _new_store()
        await _commit(store, 1, 'base')
        store.inject(faults)
        result = await _result_of(_commit(store, 2, 'next'))
        assert result is expected, (faults, result)
        assert store.revision == revision, faults


async def test_stale_read_after_a_lost_answer_is_retried() -> None:
    store = _new_store()
    await _commit(store, 1, 'base')
    await _commit(store, 2, 'next')
    store.inject(PlatformFaults(lost_answers=1))
    attempt = asyncio.create_task(_commit(store, 3, 'lost'))
    await asyncio.sleep(LIMITS.retry_s / 2)
    for stale_revision in (1, 2):
        store.inject(PlatformFaults(stale_revision=stale_revision))
        await asyncio.sleep(LIMITS.retry_s * 2)
    store.inject(PlatformFaults())
    outcome = await attempt
    assert outcome.stored_generation == 3
    assert store.revision == 3


@dataclasses.dataclass(frozen=True, slots=True)
class _Step:
    """A commit at a time in seconds, or a change of faults if they are set."""

    at: float
    generation: int
    faults: PlatformFaults | None


_TIMES = strategies.integers(0, 40).map(lambda tick: tick / 4)
_FAULTS = strategies.builds(
    PlatformFaults,
    outage=strategies.booleans(),
    delay_s=strategies.sampled_from((0, 0.3, 5)),
    stale_revision=strategies.sampled_from((None, None, 0, 1, 2)),
    lost_answers=strategies.integers(0, 2),
)
_STEPS = strategies.builds(
    _Step,
    at=_TIMES,
    generation=strategies.integers(1, 9),
    faults=strategies.none() | _FAULTS,
)


async def _run_step(store: PlatformStore, step: _Step, name: str) -> object:
    await asyncio.sleep(step.at)
    if step.faults is None:
        return await _result_of(_commit(store, step.generation, name))
    store.inject(step.faults)
    return None


async def _check_steps(steps: list[_Step]) -> None:
    store = _new_store()
    names = [f'commit-{index}' for index, _ in enumerate(steps)]
    results = await asyncio.gather(
        *(_run_step(store, *item) for item in zip(steps, names, strict=True))
    )
    store.inject(PlatformFaults())
    written = []
    async for batch in store.watch(KEY, 1):
        written = [
            manifest_blob.StoredManifest.model_validate_json(event.value)
            for event in batch
        ]
        break
    generations = [item.generation for item in written]
    assert generations == sorted(set(generations))
    commit_ids = {item.commit_id for item in written}
    for name, result in zip(names, results, strict=True):
        if isinstance(result, commit.CommitOutcome):
            assert name in commit_ids, (name, result)
        elif result is not CommitUnknownError:
            assert name not in commit_ids, (name, result)


@settings(derandomize=True, deadline=None, database=None)
@given(strategies.lists(_STEPS, min_size=2, max_size=8))
def test_every_outcome_agrees_with_the_store_whatever_fails(
    steps: list[_Step],
) -> None:
    run_in_virtual_time(_check_steps(steps))
