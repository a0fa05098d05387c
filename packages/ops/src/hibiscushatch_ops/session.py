"""Connects commands to the platform and to the entry VMs."""

import asyncio
import contextlib
import ipaddress
from collections.abc import AsyncIterator, Coroutine
from typing import Any, TypeVar

import aiohttp
import click

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.documents import parse_document
from hibiscushatch_core.errors import PeerError
from hibiscushatch_core.manifest_blob import VM_LIST_KEY
from hibiscushatch_core.ports import Platform
from hibiscushatch_core.vm_list import VmListEntry
from hibiscushatch_node.adapters.etcd import EtcdPlatform
from hibiscushatch_ops.admin_client import (
    AdminClient,
    VmTarget,
    build_target,
)
from hibiscushatch_ops.settings import OperatorSettings

ResultT = TypeVar('ResultT')


@contextlib.asynccontextmanager
async def open_platform(settings: OperatorSettings) -> AsyncIterator[Platform]:
    """Open a client of the platform, which is closed on exit."""
    platform = EtcdPlatform(settings.platform, Counters())
    try:
        yield platform
    finally:
        await platform.close()


@contextlib.asynccontextmanager
async def open_admin_client(
    settings: OperatorSettings,
) -> AsyncIterator[AdminClient]:
    """Open a client of the entry VMs, which is closed on exit."""
    async with aiohttp.ClientSession() as session:
        yield AdminClient(settings, session)


async def find_targets(
    settings: OperatorSettings, vms: tuple[str, ...]
) -> tuple[VmTarget, ...]:
    """Find the entry VMs to query.

    Args:
        settings: Settings of the command.
        vms: Admin addresses that the operator gave. Without any, the entry
            VMs come from the platform's list.

    Returns:
        At least one entry VM.

    Raises:
        PlatformUnavailableError: When the list cannot be read.
        PeerError: When the list is empty.
        click.BadParameter: When an admin address is invalid.
    """
    if vms:
        return tuple(_parse_vm_option(one) for one in vms)
    prefix = settings.platform.key_prefix + VM_LIST_KEY
    async with open_platform(settings) as platform:
        entries = await platform.list_prefix(prefix)
    if not entries:
        raise PeerError('find entry VMs', prefix, 'the list is empty')
    return tuple(
        build_target(parse_document(VmListEntry, one.value, one.key))
        for one in entries
    )


def run(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run the asynchronous part of a command."""
    return asyncio.run(main)


def _parse_vm_option(option: str) -> VmTarget:
    host, _, port = option.rpartition(':')
    try:
        address = str(ipaddress.IPv4Address(host))
        return VmTarget(option, '', address, int(port))
    except ValueError as error:
        raise click.BadParameter(
            f'{option} is not an IPv4 address and a port', param_hint='--vm'
        ) from error
