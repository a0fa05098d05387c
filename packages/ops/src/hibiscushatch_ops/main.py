"""The operators' command ``hibiscushatch``, with its subcommands."""

import click

from hibiscushatch_ops.console import EXIT_CODES_HELP, ErrorReportingGroup
from hibiscushatch_ops.entry_vm_command import entry_vm
from hibiscushatch_ops.load_command import load_command
from hibiscushatch_ops.manifest_commands import manifest
from hibiscushatch_ops.schema_command import schema
from hibiscushatch_ops.status_command import status


@click.group(cls=ErrorReportingGroup, epilog=EXIT_CODES_HELP)
def main() -> None:
    """Manage the manifest of hibiscushatch and show the state of entry VMs."""


main.add_command(manifest)
main.add_command(status)
main.add_command(entry_vm)
main.add_command(schema)
main.add_command(load_command)
