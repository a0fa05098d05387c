"""Entries of the platform's list of entry VMs, which may be out of date."""

from hibiscushatch_core.documents import StrictModel
from hibiscushatch_core.manifest_document import Name
from hibiscushatch_core.settings import NodeSettings, SocketAddress


class VmListEntry(StrictModel):
    """An entry VM in the list; JSON stored under ``<key_prefix>vms/<name>``."""

    name: Name
    domain: Name
    control: SocketAddress
    relay: SocketAddress
    admin: SocketAddress


def build_list_entry(settings: NodeSettings) -> VmListEntry:
    """Build an entry VM's own list entry from its settings."""
    return VmListEntry(
        name=settings.name,
        domain=settings.domain,
        control=settings.control,
        relay=settings.relay,
        admin=settings.admin,
    )
