"""What all commands share: options, output, and exit codes for errors."""

import dataclasses
import enum
import json
import pathlib
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import click
import msgspec

from hibiscushatch_core import errors
from hibiscushatch_core.documents import read_document
from hibiscushatch_ops.settings import OperatorSettings

CommandT = TypeVar('CommandT', bound=Callable[..., Any])
SETTINGS_VARIABLE = 'HIBISCUSHATCH_SETTINGS'
FILE = click.Path(dir_okay=False, path_type=pathlib.Path)


class ExitCode(enum.IntEnum):
    """How a command ended."""

    OK = 0
    INVALID = 2
    CONFLICT = 3
    PLATFORM_UNAVAILABLE = 4
    OUTCOME_UNKNOWN = 5
    NOT_IN_FORCE = 6
    NO_ENTRY_VM = 7


EXIT_CODES_HELP = """\b
Exit codes:
  0  done
  2  wrong manifest, settings or usage; nothing was applied
  3  another manifest was committed first; nothing was applied
  4  the platform is unavailable; nothing was applied
  5  it is unknown whether the commit took effect
  6  the generation is not in force everywhere in time
  7  no entry VM answers, or the admin key is refused
"""

# The first entry that an error is an instance of holds.
_CODES_BY_ERROR = (
    (errors.InvalidDocumentError, ExitCode.INVALID),
    (errors.CommitConflictError, ExitCode.CONFLICT),
    (errors.CommitUnknownError, ExitCode.OUTCOME_UNKNOWN),
    (errors.PlatformError, ExitCode.PLATFORM_UNAVAILABLE),
    (errors.PeerError, ExitCode.NO_ENTRY_VM),
)


class Console:
    """Where a command writes to.

    Attributes:
        as_json: Whether a machine reads the output.
    """

    def __init__(self) -> None:
        self.as_json = False

    def show(self, outcome: Any, lines: Iterable[str]) -> None:
        """Write what a command found.

        Args:
            outcome: A data class, written when a machine reads.
            lines: The text for people.
        """
        if self.as_json:
            click.echo(json.dumps(dataclasses.asdict(outcome), default=str))
            return
        for line in lines:
            click.echo(line)

    def show_error(self, error: errors.HibiscushatchError) -> None:
        """Write an error with all its problems."""
        problems = ()
        if isinstance(error, errors.InvalidDocumentError):
            problems = error.problems
        if self.as_json:
            click.echo(json.dumps(_error_fields(error, problems)))
            return
        if not problems:
            click.echo(f'Error: {error}', err=True)
            return
        click.echo(f'Error: {error.step} with {error.peer}:', err=True)
        for one in problems:
            click.echo(f'  {one.path}: {one.message}', err=True)


class ErrorReportingGroup(click.Group):
    """A command group that turns errors into messages and exit codes."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command that was chosen."""
        console = ctx.ensure_object(Console)
        try:
            return super().invoke(ctx)
        except errors.HibiscushatchError as error:
            console.show_error(error)
            ctx.exit(_exit_code(error))


def json_option(command: CommandT) -> CommandT:
    """Add --json to a command."""
    return click.option(
        '--json',
        is_flag=True,
        is_eager=True,
        expose_value=False,
        callback=_choose_output,
        help='Write one JSON object for machines.',
    )(command)


def settings_option(command: CommandT) -> CommandT:
    """Add --settings to a command; it gets OperatorSettings."""
    return click.option(
        '--settings',
        'settings',
        required=True,
        envvar=SETTINGS_VARIABLE,
        show_envvar=True,
        type=FILE,
        callback=_read_settings,
        help='JSON file with the settings of this command.',
    )(command)


def vm_option(command: CommandT) -> CommandT:
    """Add --vm to a command."""
    return click.option(
        '--vm',
        'vms',
        multiple=True,
        metavar='HOST:PORT',
        help='Admin address of an entry VM to ask instead of those in the '
        "platform's list; may be repeated.",
    )(command)


def _choose_output(
    ctx: click.Context, _option: click.Parameter, chosen: bool
) -> None:
    ctx.ensure_object(Console).as_json = chosen


def _read_settings(
    _ctx: click.Context, _option: click.Parameter, path: pathlib.Path
) -> OperatorSettings:
    return read_document(OperatorSettings, path)


def _exit_code(error: errors.HibiscushatchError) -> ExitCode:
    return next(
        code for kind, code in _CODES_BY_ERROR if isinstance(error, kind)
    )


def _error_fields(
    error: errors.HibiscushatchError, problems: tuple[errors.FieldProblem, ...]
) -> dict[str, object]:
    return {
        'error': type(error).__name__,
        'step': error.step,
        'peer': error.peer,
        'reason': error.reason,
        'problems': msgspec.to_builtins(problems),
    }
