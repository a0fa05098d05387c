"""The command ``hibiscushatch schema``."""

import click

from hibiscushatch_core.documents import StrictModel, schema_text
from hibiscushatch_core.manifest_document import ManifestDocument
from hibiscushatch_core.settings import NodeSettings
from hibiscushatch_ops.settings import OperatorSettings

MODELS: dict[str, type[StrictModel]] = {
    'manifest': ManifestDocument,
    'settings': NodeSettings,
    'operator-settings': OperatorSettings,
}


@click.command()
@click.argument('document', type=click.Choice(tuple(MODELS)))
def schema(document: str) -> None:
    """Write the JSON Schema of a document.

    ``settings`` are the settings of an entry VM, ``operator-settings`` those of
    this command.
    """
    click.echo(schema_text(MODELS[document]), nl=False)
