"""Commits a manifest to the platform, even if answers of the platform are lost.

A commit is a compare-and-swap that replaces the manifest that was read first,
called the base. If no answer arrives, the write is repeated with the same base
and the same commit id, so at most one of the writes can take effect. Before
each write, the stored manifest is read to see whether an earlier write took
effect. The stored manifest also lists the commit ids of its predecessors,
because another operator may have committed a newer manifest since.
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
    """Time limits of a commit.

    Attributes:
        deadline_s: Seconds until the commit is given up.
        retry_s: Seconds from a failed attempt to the next one.
    """

    deadline_s: float = 20.0
    retry_s: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class CommitOutcome:
    """A commit that took effect.

    Attributes:
        commit_id: Its identifier.
        generation: Generation of the committed manifest.
        stored_generation: Generation that the platform stores now; higher if
            another operator has committed since.
        base: The manifest that it replaced, as stored on the platform; None
            if there was none.
        retries: Number of attempts after the first one.
    """

    commit_id: str
    generation: int
    stored_generation: int
    base: bytes | None
    retries: int


@dataclasses.dataclass(frozen=True, slots=True)
class _ManifestVersion:
    """The stored manifest as it was read at some time.

    Attributes:
        revision: The mod_revision of its key; 0 if the key is absent.
        generation: Generation of the manifest; 0 if the key is absent.
        commit_ids: Commit id of the manifest, then those of its
            predecessors, the latest first.
        blob: The stored bytes; None if the key is absent.
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
    """Commit a manifest and find out whether the commit took effect.

    Args:
        platform: The platform's key-value service.
        key_prefix: Prefix of all keys of hibiscushatch.
        document: The manifest.
        commit_id: Unique id of the commit. If the outcome of a commit is
            unknown, call again with the same id to find it out.
        limits: Time limits; the defaults if None.

    Returns:
        The commit, which took effect.

    Raises:
        InvalidDocumentError: If the manifest is too large for a value of the
            platform, or the stored value is not a manifest.
        CommitConflictError: If the generation is not higher than the stored
            one, or another commit came first; nothing was written.
        PlatformUnavailableError: If the commit was not completed in time;
            nothing was written.
        CommitUnknownError: If it is unknown whether the commit took effect.
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
    """Read the committed manifest.

    Args:
        platform: The platform's key-value service.
        key_prefix: Prefix of all keys of hibiscushatch.

    Returns:
        The manifest; None if none has been committed yet.

    Raises:
        InvalidDocumentError: If the stored value is not a valid manifest.
        PlatformUnavailableError: If the platform did not answer.
    """
    key = key_prefix + MANIFEST_KEY
    stored = await platform.get(key)
    return None if stored is None else decode_manifest(stored.value, key)


class _Commit:
    """A commit in progress and the state kept between its attempts."""

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
        self._base: _ManifestVersion | None = None
        self._may_have_written = False
        self._retries = 0
        self._last_failure: HibiscushatchError | None = None
        # Fails early if the manifest is too large.
        encode_manifest(document, commit_id)

    async def run(self) -> CommitOutcome:
        """Repeat attempts until the outcome is known or the deadline passes."""
        try:
            async with asyncio.timeout(self._limits.deadline_s):
                return await self._run_without_deadline()
        except TimeoutError as error:
            raise self._build_deadline_error() from error

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
        latest = _parse_version(self._key, await self._platform.get(self._key))
        if self._commit_id in latest.commit_ids:
            return self._build_outcome(latest.generation)
        base = self._get_or_set_base(latest)
        if latest.revision > base.revision:
            raise self._build_conflict_error(base, latest)
        if await self._write(base):
            return self._build_outcome(self._document.generation)
        self._last_failure = PlatformUnavailableError(
            _STEP,
            self._key,
            'the manifest that was read is no longer the stored one',
        )
        return None

    def _get_or_set_base(self, latest: _ManifestVersion) -> _ManifestVersion:
        if self._base is None:
            if latest.generation >= self._document.generation:
                raise CommitConflictError(_STEP, self._key, latest.generation)
            self._base = latest
        return self._base

    async def _write(self, base: _ManifestVersion) -> bool:
        blob = encode_manifest(self._document, self._commit_id, base.commit_ids)
        may_have_written_before = self._may_have_written
        self._may_have_written = True
        swapped = await self._platform.compare_and_swap(
            self._key, base.revision, blob
        )
        # The platform answered, so the outcome of this write is known. The
        # outcome of an earlier write may still be unknown.
        self._may_have_written = may_have_written_before
        return swapped

    def _build_conflict_error(
        self, base: _ManifestVersion, latest: _ManifestVersion
    ) -> HibiscushatchError:
        if self._may_have_written and not _lists_all_commits_since(
            base, latest
        ):
            return CommitUnknownError(
                _STEP,
                self._key,
                f'generation {latest.generation} no longer lists all commits '
                f'since generation {base.generation}',
            )
        return CommitConflictError(_STEP, self._key, latest.generation)

    def _build_deadline_error(self) -> HibiscushatchError:
        reason = f'not completed within {self._limits.deadline_s} s'
        if self._last_failure is not None:
            reason = f'{reason}; {self._last_failure}'
        if self._may_have_written:
            return CommitUnknownError(_STEP, self._key, reason)
        return PlatformUnavailableError(_STEP, self._key, reason)

    def _build_outcome(self, stored_generation: int) -> CommitOutcome:
        return CommitOutcome(
            commit_id=self._commit_id,
            generation=self._document.generation,
            stored_generation=stored_generation,
            base=self._base.blob if self._base else None,
            retries=self._retries,
        )


def _parse_version(key: str, stored: StoredValue | None) -> _ManifestVersion:
    if stored is None:
        return _ManifestVersion()
    manifest = parse_document(StoredManifest, stored.value, key)
    return _ManifestVersion(
        revision=stored.mod_revision,
        generation=manifest.generation,
        commit_ids=(manifest.commit_id, *manifest.previous_commit_ids),
        blob=stored.value,
    )


def _lists_all_commits_since(
    base: _ManifestVersion, latest: _ManifestVersion
) -> bool:
    if base.commit_ids:
        return base.commit_ids[0] in latest.commit_ids
    # Without a base, the list is complete as long as nothing was cut off.
    return len(latest.commit_ids) <= PREVIOUS_COMMIT_IDS_MAX
