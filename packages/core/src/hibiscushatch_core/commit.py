"""Commits a manifest to the platform, also when answers get lost.

A commit is one compare-and-swap against the manifest that was read first, its
base. The write may be sent again with the same base and the same commit id:
at most one of the copies can take effect. A commit that may have taken effect
is looked for in the stored manifest, which names its predecessors too, since
another operator may have committed on top of it.
"""

import asyncio
import dataclasses

from hibiscushatch_core.documents import parse_document
from hibiscushatch_core.errors import (
    CommitConflictError,
    CommitUnknownError,
    HibiscushatchError,
    PlatformUnavailableError,
)
from hibiscushatch_core.manifest_blob import (
    MANIFEST_KEY,
    PREVIOUS_COMMIT_IDS_MAX,
    CommittedManifest,
    StoredManifest,
    decode_manifest,
    encode_manifest,
)
from hibiscushatch_core.manifest_document import ManifestDocument
from hibiscushatch_core.ports import Platform, StoredValue

_STEP = 'commit manifest'


@dataclasses.dataclass(frozen=True, slots=True)
class CommitLimits:
    """How long a commit is tried.

    Attributes:
        deadline_s: Seconds for the whole commit.
        retry_s: Seconds between two attempts.
    """

    deadline_s: float = 20.0
    retry_s: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class CommitOutcome:
    """A commit that took effect.

    Attributes:
        commit_id: Its identifier.
        generation: Its generation.
        stored_generation: The generation found last, higher when another
            operator has committed since.
        base: The stored form of the manifest it replaced; None when it was
            the first.
        retries: Attempts made again.
    """

    commit_id: str
    generation: int
    stored_generation: int
    base: bytes | None
    retries: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Found:
    """What was read under the manifest key.

    Attributes:
        revision: Its mod_revision; 0 when the key is absent.
        generation: Its generation; 0 when the key is absent.
        commit_ids: Its commit id, then those of its predecessors.
        blob: Its bytes; None when the key is absent.
    """

    revision: int = 0
    generation: int = 0
    commit_ids: tuple[str, ...] = ()
    blob: bytes | None = None


async def commit_manifest(
    platform: Platform,
    key_prefix: str,
    document: ManifestDocument,
    commit_id: str,
    limits: CommitLimits | None = None,
) -> CommitOutcome:
    """Commit a manifest and settle whether it took effect.

    Args:
        platform: The platform's key-value service.
        key_prefix: What leads all keys.
        document: The manifest.
        commit_id: Unique to this commit; the same one may be given again to
            settle a commit whose outcome stayed unknown.
        limits: How long it is tried.

    Returns:
        The commit, which took effect.

    Raises:
        InvalidDocumentError: When it does not fit a value of the platform,
            or what is stored is no manifest.
        CommitConflictError: When the generation does not rise, or another
            commit came first; nothing was written.
        PlatformUnavailableError: When no answer came; nothing was written.
        CommitUnknownError: When it could not be settled.
    """
    commit = _Commit(
        platform,
        key_prefix + MANIFEST_KEY,
        document,
        commit_id,
        limits or CommitLimits(),
    )
    return await commit.run()


async def read_committed(
    platform: Platform, key_prefix: str
) -> CommittedManifest | None:
    """Read the manifest that is committed.

    Args:
        platform: The platform's key-value service.
        key_prefix: What leads all keys.

    Returns:
        The manifest; None when there is none yet.

    Raises:
        InvalidDocumentError: When what is stored is no manifest.
        PlatformUnavailableError: When no answer came.
    """
    key = key_prefix + MANIFEST_KEY
    stored = await platform.get(key)
    return None if stored is None else decode_manifest(stored.value, key)


class _Commit:
    """One commit on its way."""

    def __init__(
        self,
        platform: Platform,
        key: str,
        document: ManifestDocument,
        commit_id: str,
        limits: CommitLimits,
    ) -> None:
        self._platform = platform
        self._key = key
        self._document = document
        self._commit_id = commit_id
        self._limits = limits
        self._base: _Found | None = None
        self._may_have_run = False
        self._retries = 0
        self._last_failure: HibiscushatchError | None = None
        encode_manifest(document, commit_id)

    async def run(self) -> CommitOutcome:
        """Try until the outcome is settled or the time is up."""
        try:
            async with asyncio.timeout(self._limits.deadline_s):
                return await self._run_without_deadline()
        except TimeoutError as error:
            raise self._out_of_time() from error

    async def _run_without_deadline(self) -> CommitOutcome:
        while True:
            try:
                outcome = await self._try_once()
            except PlatformUnavailableError as error:
                self._last_failure = error
                outcome = None
            if outcome is not None:
                return outcome
            self._retries += 1
            await asyncio.sleep(self._limits.retry_s)

    async def _try_once(self) -> CommitOutcome | None:
        found = _read_found(self._key, await self._platform.get(self._key))
        if self._commit_id in found.commit_ids:
            return self._outcome(found.generation)
        base = self._accept_as_base(found)
        if found.revision > base.revision:
            raise self._overtaken(base, found)
        if await self._swap(base):
            return self._outcome(self._document.generation)
        self._last_failure = PlatformUnavailableError(
            _STEP, self._key, 'it holds a newer manifest than it shows'
        )
        return None

    def _accept_as_base(self, found: _Found) -> _Found:
        if self._base is None:
            if found.generation >= self._document.generation:
                raise CommitConflictError(_STEP, self._key, found.generation)
            self._base = found
        return self._base

    async def _swap(self, base: _Found) -> bool:
        blob = encode_manifest(self._document, self._commit_id, base.commit_ids)
        may_have_run_before = self._may_have_run
        self._may_have_run = True
        swapped = await self._platform.compare_and_swap(
            self._key, base.revision, blob
        )
        self._may_have_run = may_have_run_before
        return swapped

    def _overtaken(self, base: _Found, found: _Found) -> HibiscushatchError:
        if self._may_have_run and not _shows_what_followed(base, found):
            return CommitUnknownError(
                _STEP,
                self._key,
                f'generation {found.generation} no longer names the commits '
                f'after generation {base.generation}',
            )
        return CommitConflictError(_STEP, self._key, found.generation)

    def _out_of_time(self) -> HibiscushatchError:
        reason = f'not settled within {self._limits.deadline_s} s'
        if self._last_failure is not None:
            reason = f'{reason}; {self._last_failure}'
        if self._may_have_run:
            return CommitUnknownError(_STEP, self._key, reason)
        return PlatformUnavailableError(_STEP, self._key, reason)

    def _outcome(self, stored_generation: int) -> CommitOutcome:
        return CommitOutcome(
            commit_id=self._commit_id,
            generation=self._document.generation,
            stored_generation=stored_generation,
            base=self._base.blob if self._base else None,
            retries=self._retries,
        )


def _read_found(key: str, stored: StoredValue | None) -> _Found:
    if stored is None:
        return _Found()
    manifest = parse_document(StoredManifest, stored.value, key)
    return _Found(
        revision=stored.mod_revision,
        generation=manifest.generation,
        commit_ids=(manifest.commit_id, *manifest.previous_commit_ids),
        blob=stored.value,
    )


def _shows_what_followed(base: _Found, found: _Found) -> bool:
    if base.commit_ids:
        return base.commit_ids[0] in found.commit_ids
    return len(found.commit_ids) <= PREVIOUS_COMMIT_IDS_MAX
