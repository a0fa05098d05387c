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
    InForceStatus,
    VmGeneration,
    evaluate_in_force,
)
from hibiscushatch_ops.settings import OperatorSettings

POLL_INTERVAL_S = 0.5
WAIT_TIMEOUT_S = 30.0
COMMIT_DEADLINE_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class CheckedManifest:
    """A summary of a valid manifest.

    Attributes:
        generation: Its generation.
        services: Number of its services.
        upstreams: Number of its upstreams.
        stored_bytes: Size of its encoded form on the platform.
    """

    generation: int
    services: int
    upstreams: int
    stored_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class CommittedChange:
    """A commit that took effect and what it changed.

    Attributes:
        commit_id: Identifier of the commit.
        generation: Generation of the committed manifest.
        stored_generation: The generation that was read last from the
            platform; higher when another operator has committed since.
        retries: Number of retries.
        difference: The changes from the previous manifest; None when there is
            no readable previous manifest.
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
        commit_id: Identifier of the commit of that manifest.
    """

    name: str
    domain: str
    state: str
    generation: int = 0
    commit_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ManifestStatus:
    """The committed manifest and the manifests that are in force.

    Attributes:
        committed_generation: Generation of the manifest on the platform; 0
            when none is committed, None when the platform is unavailable.
        committed_id: Identifier of the commit of that manifest.
        entry_vms: The manifest that each entry VM has in force.
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
    help='The previous manifest, whose generation must be lower.',
)
@console.json_option
@click.pass_obj
def check(
    out: console.Console, file: pathlib.Path, previous: pathlib.Path | None
) -> None:
    """Check the manifest FILE and list everything that is wrong with it."""
    document = read_document(ManifestDocument, file)
    if previous is not None:
        _require_higher_generation(
            read_document(ManifestDocument, previous), document, file
        )
    blob = encode_manifest(document, uuid.uuid4().hex)
    upstreams = sum(len(service.upstreams) for service in document.services)
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
    help='Identifier of an earlier attempt whose outcome stayed unknown.',
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
    """Show the committed manifest and the one each entry VM has in force."""
    result = session.run(_fetch_status(settings, vms))
    out.show(result, _status_lines(result))


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

    Everywhere means on all live entry VMs: those that answer this command or
    are reported as live by an entry VM that does.
    """
    result = session.run(_wait(settings, vms, generation, timeout_s))
    ctx.obj.show(result, _wait_lines(result))
    if not result.everywhere:
        ctx.exit(console.ExitCode.NOT_IN_FORCE)


def _require_higher_generation(
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


async def _fetch_status(
    settings: OperatorSettings, vms: tuple[str, ...]
) -> ManifestStatus:
    targets = await session.find_targets(settings, vms)
    async with session.open_admin_client(settings) as client:
        answers = await client.query_all(targets)
    generation, commit_id = await _read_committed(settings)
    entry_vms = tuple(_build_vm_manifest(answer) for answer in answers)
    return ManifestStatus(generation, commit_id, entry_vms)


async def _read_committed(
    settings: OperatorSettings,
) -> tuple[int | None, str]:
    async with session.open_platform(settings) as platform:
        try:
            committed = await read_committed(
                platform, settings.platform.key_prefix
            )
        except PlatformUnavailableError:
            return None, ''
    return (
        (committed.document.generation, committed.commit_id)
        if committed
        else (0, '')
    )


def _build_vm_manifest(answer: VmAnswer) -> VmManifest:
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
) -> InForceStatus:
    ends_at = time.monotonic() + timeout_s
    targets = await session.find_targets(settings, vms)
    async with session.open_admin_client(settings) as client:
        return await _poll(client, targets, generation, ends_at)


async def _poll(
    client: AdminClient,
    targets: tuple[VmTarget, ...],
    generation: int,
    ends_at: float,
) -> InForceStatus:
    while True:
        result = evaluate_in_force(generation, await client.query_all(targets))
        if result.everywhere or time.monotonic() >= ends_at:
            return result
        await asyncio.sleep(POLL_INTERVAL_S)


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
            f'quarantine: {moved.address} moves from {moved.from_service} '
            f'to {moved.to_service}'
        )


def _change_lines(change: ItemChange) -> Iterator[str]:
    yield f'{change.change} {change.item} {change.name}'
    for field in change.fields:
        yield f'  {field.field}: {field.before} to {field.after}'


def _commit_lines(change: CommittedChange) -> Iterator[str]:
    yield f'generation {change.generation} committed: {change.commit_id}'
    if change.stored_generation > change.generation:
        yield f'generation {change.stored_generation} was committed after it'
    if change.difference is not None:
        yield from _diff_lines(change.difference)


def _status_lines(result: ManifestStatus) -> Iterator[str]:
    committed = result.committed_generation
    if committed is None:
        yield 'committed: unknown, the platform is unavailable'
    else:
        yield f'committed: generation {committed} {result.committed_id}'
    for vm in result.entry_vms:
        yield (
            f'{vm.name:20} {vm.domain:16} {vm.state:8} '
            f'{vm.generation:8} {vm.commit_id}'
        )


def _wait_lines(result: InForceStatus) -> Iterator[str]:
    total = len(result.done) + len(result.pending)
    yield (
        f'generation {result.generation} is in force on {len(result.done)} of '
        f'{total} live entry VMs'
    )
    yield from _vm_lines('pending', result.pending)
    yield from _vm_lines('unreachable', result.unreachable)
    for domain in result.unreachable_domains:
        yield f'unreachable failure domain: {domain}'


def _vm_lines(title: str, vms: tuple[VmGeneration, ...]) -> Iterator[str]:
    for vm in vms:
        yield f'{title}: {vm.name} {vm.domain} generation {vm.generation}'
