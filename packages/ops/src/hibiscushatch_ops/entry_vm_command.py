"""The command ``hibiscushatch entry-vm``, for entry VMs with token affinity."""

import asyncio
import dataclasses
from collections.abc import Iterator

import click
import msgspec

from hibiscushatch_core.errors import PeerError
from hibiscushatch_ops import console, session
from hibiscushatch_token.http1 import ClientConnection
from hibiscushatch_token.http_messages import OK
from hibiscushatch_token.settings import socket_address
from hibiscushatch_token.status import STATUS_PATH, Status, UpstreamStatus

_QUERY_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class EntryVmStatuses:
    """The statuses of entry VMs, by whether they could be read.

    Attributes:
        entry_vms: The statuses that were read, as JSON values.
        silent: Why no valid answer came, by the address of the entry VM.
    """

    entry_vms: list[object]
    silent: dict[str, str]


@click.command('entry-vm')
@click.argument('addresses', nargs=-1, required=True)
@console.json_option
@click.pass_obj
def entry_vm(out: console.Console, addresses: tuple[str, ...]) -> None:
    """Show the state of entry VMs, by their metrics ADDRESSES."""
    answers = session.run(_query_all(addresses))
    statuses = [
        answer for answer in answers.values() if isinstance(answer, Status)
    ]
    silent = {
        address: str(answer)
        for address, answer in answers.items()
        if isinstance(answer, PeerError)
    }
    if not statuses:
        names = ', '.join(silent)
        raise PeerError('read status', names, '; '.join(silent.values()))
    result = EntryVmStatuses(
        [msgspec.to_builtins(answer) for answer in statuses], silent
    )
    out.show(result, _lines(statuses, silent))


async def _query_all(
    addresses: tuple[str, ...],
) -> dict[str, Status | PeerError]:
    answers = await asyncio.gather(*(_query(address) for address in addresses))
    return dict(zip(addresses, answers, strict=True))


async def _query(address: str) -> Status | PeerError:
    try:
        connection = ClientConnection(socket_address(address))
    except ValueError as error:
        return PeerError('read status', address, str(error))
    try:
        response = await connection.call(
            'GET', STATUS_PATH.decode(), b'', _QUERY_TIMEOUT_S
        )
        if response.status != OK:
            reason = f'status {response.status}'
            return PeerError('read status', address, reason)
        return msgspec.json.decode(response.body, type=Status)
    except (OSError, msgspec.MsgspecError) as error:
        reason = str(error) or type(error).__name__
        return PeerError('read status', address, reason)
    finally:
        connection.close()


def _lines(statuses: list[Status], silent: dict[str, str]) -> Iterator[str]:
    for status in statuses:
        yield from _status_lines(status)
    for address, reason in silent.items():
        yield f'no answer: {address}: {reason}'


def _status_lines(status: Status) -> Iterator[str]:
    state = 'ready' if status.ready else 'not ready'
    if status.cut_off:
        state = 'cut off'
    yield (
        f'{status.vm} in {status.domain}: {state}, configuration '
        f'{status.config_version}, store era {status.store_era} revision '
        f'{status.store_revision} {status.store_age_s} s ago, '
        f'{status.open_flows} flows'
    )
    follows = ', '.join(status.follows) or 'none'
    yield f'  follows: {follows}; sends changes to {status.serves} entry VMs'
    if status.evacuated:
        yield f'  evacuated: {", ".join(status.evacuated)}'
    if status.withheld_upstreams:
        yield f'  outdated entries: {", ".join(status.withheld_upstreams)}'
    for upstream in status.upstreams:
        yield _upstream_line(upstream)


def _upstream_line(upstream: UpstreamStatus) -> str:
    labels = [upstream.verdict]
    if upstream.draining:
        labels.append('draining')
    if upstream.cold:
        labels.append('cold')
    if upstream.slow:
        labels.append('slow')
    if upstream.ejected:
        labels.append('ejected')
    return (
        f'  {upstream.name:20} {upstream.service:16} {upstream.domain:16} '
        f'{upstream.open_flows:5} flows, {", ".join(labels)}'
    )
