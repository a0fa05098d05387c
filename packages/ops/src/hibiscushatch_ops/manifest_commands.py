"""The commands ``hibiscushatch manifest ...``."""

import asyncio
import dataclasses
import pathlib
import time
import uuid
from collections.abc import Iterator

import click

from hibiscushatch_core.commit import (
    CommitLimits,
    CommitOutcome,
    commit_manifest,
    read_committed,
)
from hibiscushatch_core.documents import read_document
from hibiscushatch_core.errors import (
    CommitUnknownError,
    FieldProblem,
    InvalidDocumentError,
    PlatformUnavailableError,
)
from hibiscushatch_core.manifest_blob import decode_manifest, encode_manifest
from hibiscushatch_core.manifest_diff import (
    ItemChange,
    ManifestDiff,
    diff_manifests,
)
from hibiscushatch_core.manifest_document import ManifestDocument
from hibiscushatch_ops import console, session
from hibiscushatch_ops.admin_client import AdminClient, VmAnswer, VmTarget
from hibiscushatch_ops.in_force import (
    InForce,
    VmGeneration,
    evaluate_in_force,
)
from hibiscushatch_ops.settings import OperatorSettings

POLL_S = 0.5
WAIT_TIMEOUT_S = 30.0
COMMIT_DEADLINE_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class CheckedManifest:
    """A manifest that is right.

    Attributes:
        generation: Its generation.
        services: Number of its services.
        upstreams: Number of its upstreams.
        stored_bytes: Size of its stored form.
    """

    generation: int
    services: int
    upstreams: int
    stored_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class CommittedChange:
    """A commit that took effect and what it changed.

    Attributes:
        commit_id: Its identifier.
        generation: Its generation.
        stored_generation: The generation found last, higher when another
            operator has committed since.
        retries: Attempts made again.
        difference: From the manifest before; None when there is none.
    """

    commit_id: str
    generation: int
    stored_generation: int
    retries: int
    difference: ManifestDiff | None


@dataclasses.dataclass(frozen=True, slots=True)
class VmManifest:
    """The manifest that one entry VM has in force.

    Attributes:
        name: Name of the entry VM.
        domain: Its failure domain.
        state: Its state; ``silent`` when it doesn't answer.
        generation: The generation in force; 0 when none or unknown.
        commit_id: The commit that brought it.
    """

    name: str
    domain: str
    state: str
    generation: int = 0
    commit_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ManifestStatus:
    """What is committed and what is in force.

    Attributes:
        committed_generation: On the platform; None when it gave no answer,
            0 when nothing is committed.
        committed_id: The commit that brought it.
        entry_vms: What each entry VM has in force.
    """

    committed_generation: int | None
    committed_id: str
    entry_vms: tuple[VmManifest, ...]


@click.group()
def manifest() -> None:
    """Check, compare, commit and follow manifests."""


@manifest.command()
@click.argument('file', type=console.FILE)
@click.option(
    '--previous',
    type=console.FILE,
    help='The manifest before, whose generation must be lower.',
)
@console.json_option
@click.pass_obj
def check(
    out: console.Console, file: pathlib.Path, previous: pathlib.Path | None
) -> None:
    """Check the manifest FILE and list everything that is wrong with it."""
    document = read_document(ManifestDocument, file)
    if previous is not None:
        _require_rise(read_document(ManifestDocument, previous), document, file)
    blob = encode_manifest(document, uuid.uuid4().hex)
    upstreams = sum(len(one.upstreams) for one in document.services)
    checked = CheckedManifest(
        document.generation, len(document.services), upstreams, len(blob)
    )
    line = (
        f'{file}: generation {checked.generation}, {checked.services} '
        f'services, {upstreams} upstreams, {len(blob)} bytes stored'
    )
    out.show(checked, (line,))


@manifest.command()
@click.argument('before', type=console.FILE)
@click.argument('after', type=console.FILE)
@console.json_option
@click.pass_obj
def diff(
    out: console.Console, before: pathlib.Path, after: pathlib.Path
) -> None:
    """Show what changes from the manifest BEFORE to the manifest AFTER."""
    difference = diff_manifests(
        read_document(ManifestDocument, before),
        read_document(ManifestDocument, after),
    )
    out.show(difference, _diff_lines(difference))


@manifest.command()
@click.argument('file', type=console.FILE)
@click.option(
    '--commit-id',
    help='Identifier of an earlier try whose outcome stayed unknown.',
)
@click.option(
    '--deadline-s',
    default=COMMIT_DEADLINE_S,
    show_default=True,
    help='Seconds in which the commit must be settled.',
)
@console.settings_option
@console.json_option
@click.pass_obj
def commit(
    out: console.Console,
    file: pathlib.Path,
    commit_id: str | None,
    deadline_s: float,
    settings: OperatorSettings,
) -> None:
    """Commit the manifest FILE if its generation is the highest."""
    document = read_document(ManifestDocument, file)
    commit_id = commit_id or uuid.uuid4().hex
    limits = CommitLimits(deadline_s=deadline_s)
    try:
        outcome = session.run(_commit(settings, document, commit_id, limits))
    except CommitUnknownError as error:
        raise CommitUnknownError(
            error.step,
            error.peer,
            f'{error.reason}; settle it with --commit-id {commit_id}',
        ) from error
    change = CommittedChange(
        outcome.commit_id,
        outcome.generation,
        outcome.stored_generation,
        outcome.retries,
        _difference_from_base(outcome, document),
    )
    out.show(change, _commit_lines(change))


@manifest.command()
@console.vm_option
@console.settings_option
@console.json_option
@click.pass_obj
def status(
    out: console.Console, vms: tuple[str, ...], settings: OperatorSettings
) -> None:
    """Show the manifest committed and the one each entry VM has in force."""
    found = session.run(_find_status(settings, vms))
    out.show(found, _status_lines(found))


@manifest.command()
@click.argument('generation', type=click.IntRange(min=1))
@click.option(
    '--timeout-s',
    default=WAIT_TIMEOUT_S,
    show_default=True,
    help='Seconds to wait.',
)
@console.vm_option
@console.settings_option
@console.json_option
@click.pass_context
def wait(
    ctx: click.Context,
    generation: int,
    timeout_s: float,
    vms: tuple[str, ...],
    settings: OperatorSettings,
) -> None:
    """Wait until GENERATION or a higher one is in force everywhere.

    That is on every live entry VM of the failure domains that can be reached
    from here or from another entry VM.
    """
    found = session.run(_wait(settings, vms, generation, timeout_s))
    ctx.obj.show(found, _wait_lines(found))
    if not found.everywhere:
        ctx.exit(console.ExitCode.NOT_IN_FORCE)


def _require_rise(
    before: ManifestDocument, after: ManifestDocument, file: pathlib.Path
) -> None:
    if not diff_manifests(before, after).has_higher_generation:
        problem = FieldProblem(
            'generation', f'must be above {before.generation}'
        )
        raise InvalidDocumentError('check manifest', str(file), (problem,))


async def _commit(
    settings: OperatorSettings,
    document: ManifestDocument,
    commit_id: str,
    limits: CommitLimits,
) -> CommitOutcome:
    async with session.open_platform(settings) as platform:
        return await commit_manifest(
            platform,
            settings.platform.key_prefix,
            document,
            commit_id,
            limits,
        )


def _difference_from_base(
    outcome: CommitOutcome, document: ManifestDocument
) -> ManifestDiff | None:
    if outcome.base is None:
        return None
    try:
        base = decode_manifest(outcome.base, 'base')
    except InvalidDocumentError:
        return None
    return diff_manifests(base.document, document)


async def _find_status(
    settings: OperatorSettings, vms: tuple[str, ...]
) -> ManifestStatus:
    targets = await session.find_targets(settings, vms)
    async with session.open_admin_client(settings) as client:
        answers = await client.ask_all(targets)
    generation, commit_id = await _read_committed(settings)
    entry_vms = tuple(_vm_manifest(one) for one in answers)
    return ManifestStatus(generation, commit_id, entry_vms)


async def _read_committed(
    settings: OperatorSettings,
) -> tuple[int | None, str]:
    async with session.open_platform(settings) as platform:
        try:
            found = await read_committed(platform, settings.platform.key_prefix)
        except PlatformUnavailableError:
            return None, ''
    return (found.document.generation, found.commit_id) if found else (0, '')


def _vm_manifest(answer: VmAnswer) -> VmManifest:
    report = answer.report
    if report is None:
        return VmManifest(answer.target.name, answer.target.domain, 'silent')
    return VmManifest(
        report.name,
        report.domain,
        report.state,
        report.generation,
        report.commit_id,
    )


async def _wait(
    settings: OperatorSettings,
    vms: tuple[str, ...],
    generation: int,
    timeout_s: float,
) -> InForce:
    ends_at = time.monotonic() + timeout_s
    targets = await session.find_targets(settings, vms)
    async with session.open_admin_client(settings) as client:
        return await _poll(client, targets, generation, ends_at)


async def _poll(
    client: AdminClient,
    targets: tuple[VmTarget, ...],
    generation: int,
    ends_at: float,
) -> InForce:
    while True:
        found = evaluate_in_force(generation, await client.ask_all(targets))
        if found.everywhere or time.monotonic() >= ends_at:
            return found
        await asyncio.sleep(POLL_S)


def _diff_lines(difference: ManifestDiff) -> Iterator[str]:
    before = difference.generation_before
    after = difference.generation_after
    yield f'generation {before} to {after}'
    if not difference.has_higher_generation:
        yield 'the generation does not rise: it can not be committed'
    for change in difference.changes:
        yield from _change_lines(change)
    for moved in difference.moved_addresses:
        yield (
            f'quarantine: {moved.address} passes from {moved.from_service} '
            f'to {moved.to_service}'
        )


def _change_lines(change: ItemChange) -> Iterator[str]:
    yield f'{change.change} {change.item} {change.name}'
    for field in change.fields:
        yield f'  {field.field}: {field.before} to {field.after}'


def _commit_lines(change: CommittedChange) -> Iterator[str]:
    yield f'generation {change.generation} committed: {change.commit_id}'
    if change.stored_generation > change.generation:
        yield f'generation {change.stored_generation} has followed it'
    if change.difference is not None:
        yield from _diff_lines(change.difference)


def _status_lines(found: ManifestStatus) -> Iterator[str]:
    committed = found.committed_generation
    if committed is None:
        yield 'committed: unknown, the platform is unavailable'
    else:
        yield f'committed: generation {committed} {found.committed_id}'
    for one in found.entry_vms:
        yield (
            f'{one.name:20} {one.domain:16} {one.state:8} '
            f'{one.generation:8} {one.commit_id}'
        )


def _wait_lines(found: InForce) -> Iterator[str]:
    total = len(found.done) + len(found.pending)
    yield (
        f'generation {found.generation} is in force on {len(found.done)} of '
        f'{total} live entry VMs'
    )
    yield from _vm_lines('pending', found.pending)
    yield from _vm_lines('unreachable', found.unreachable)
    for domain in found.unreachable_domains:
        yield f'unreachable failure domain: {domain}'


def _vm_lines(title: str, vms: tuple[VmGeneration, ...]) -> Iterator[str]:
    for one in vms:
        yield f'{title}: {one.name} {one.domain} generation {one.generation}'
