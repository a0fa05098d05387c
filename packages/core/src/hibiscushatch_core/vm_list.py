"""An entry of the platform's lagging list of entry VMs."""

from hibiscushatch_core.documents import StrictModel
from hibiscushatch_core.manifest_document import Name
from hibiscushatch_core.settings import NodeSettings, SocketAddress


class VmListEntry(StrictModel):
    """The JSON value under ``<key_prefix>vms/<name>``."""

    name: Name
    domain: Name
    control: SocketAddress
    relay: SocketAddress
    admin: SocketAddress


def entry_of_settings(settings: NodeSettings) -> VmListEntry:
    """Build the list entry of an entry VM from its own settings."""
    return VmListEntry(
        name=settings.name,
        domain=settings.domain,
        control=settings.control,
        relay=settings.relay,
        admin=settings.admin,
    )
