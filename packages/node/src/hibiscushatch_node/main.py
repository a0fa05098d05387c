"""The command line of ``hibiscushatchd``."""

import asyncio
import pathlib
import sys

import click

from hibiscushatch_core import documents, log_format
from hibiscushatch_core.errors import HibiscushatchError, InvalidDocumentError
from hibiscushatch_core.settings import NodeSettings
from hibiscushatch_node import daemon

EXIT_FAILED = 1
EXIT_INVALID_SETTINGS = 2
EXIT_GRACE_EXCEEDED = 3
EXIT_CODES_HELP = """\b
Exit codes:
  0  stopped by a signal, or the settings are valid
  1  it could not start, for example because an address is in use
  2  the settings or the command line are invalid; nothing was started
  3  it stopped, but did not hand over what it owned in time
"""


@click.command(epilog=EXIT_CODES_HELP)
@click.option(
    '--settings',
    'settings_path',
    required=True,
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help='JSON file with the settings of this entry VM.',
)
@click.option('--check', is_flag=True, help='Validate the settings and exit.')
def main(settings_path: pathlib.Path, check: bool) -> None:
    """Run one entry VM of the hibiscushatch load balancer.

    On SIGTERM or SIGINT it hands over what it owns to other entry VMs, within
    timing.stop_grace_s of the settings, and stops.
    """
    settings = _read_settings(settings_path)
    if check:
        click.echo(f'{settings_path}: valid settings of {settings.name}')
        return
    log_format.set_up_logging(settings.log_level)
    try:
        graceful = asyncio.run(daemon.run_until_signalled(settings))
    except (OSError, HibiscushatchError) as error:
        click.echo(f'{settings.name} could not start: {error}', err=True)
        sys.exit(EXIT_FAILED)
    if not graceful:
        sys.exit(EXIT_GRACE_EXCEEDED)


def _read_settings(path: pathlib.Path) -> NodeSettings:
    try:
        return documents.read_document(NodeSettings, path)
    except InvalidDocumentError as error:
        click.echo(f'{path}: the settings are invalid', err=True)
        for problem in error.problems:
            click.echo(f'  {problem.path}: {problem.message}', err=True)
        sys.exit(EXIT_INVALID_SETTINGS)


if __name__ == '__main__':
    main()
