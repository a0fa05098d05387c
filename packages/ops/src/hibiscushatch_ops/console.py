"""What all commands share: options, output and the exit codes of errors."""

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

# Searched in order: the first class that the error is an instance of gives
# the exit code.
_CODES_BY_ERROR = (
    (errors.InvalidDocumentError, ExitCode.INVALID),
    (errors.CommitConflictError, ExitCode.CONFLICT),
    (errors.CommitUnknownError, ExitCode.OUTCOME_UNKNOWN),
    (errors.PlatformError, ExitCode.PLATFORM_UNAVAILABLE),
    (errors.PeerError, ExitCode.NO_ENTRY_VM),
)


class Console:
    """Writes the output of a command as text or as JSON.

    Attributes:
        as_json: Whether to write one JSON object instead of text.
    """

    def __init__(self) -> None:
        self.as_json = False

    def show(self, outcome: Any, lines: Iterable[str]) -> None:
        """Write the result of a command.

        Args:
            outcome: The result as a data class instance, for JSON output.
            lines: The result as lines of text, for text output.
        """
        if self.as_json:
            click.echo(json.dumps(dataclasses.asdict(outcome), default=str))
            return
        for line in lines:
            click.echo(line)

    def show_error(self, error: errors.HibiscushatchError) -> None:
        """Write an error and each problem that it lists."""
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
        for problem in problems:
            click.echo(f'  {problem.path}: {problem.message}', err=True)


class ErrorReportingGroup(click.Group):
    """A command group that reports errors and sets their exit codes."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the selected command and report its error, if any."""
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
        callback=_set_output_format,
        help='Write one JSON object for machines.',
    )(command)


def settings_option(command: CommandT) -> CommandT:
    """Add --settings to a command, which gets the file as OperatorSettings."""
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


def _set_output_format(
    ctx: click.Context, _option: click.Parameter, as_json: bool
) -> None:
    ctx.ensure_object(Console).as_json = as_json


def _read_settings(
    _ctx: click.Context, _option: click.Parameter, path: pathlib.Path
) -> OperatorSettings:
    return read_document(OperatorSettings, path)


def _exit_code(error: errors.HibiscushatchError) -> ExitCode:
    return next(
        code
        for error_class, code in _CODES_BY_ERROR
        if isinstance(error, error_class)
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
