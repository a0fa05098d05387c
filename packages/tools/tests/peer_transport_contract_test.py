"""Contract of core ports.PeerTransport, in memory and over WebSockets."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator, Awaitable, Callable

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import PeerClosedError, PeerError
from hibiscushatch_core.ports import PeerChannel, PeerTransport
from hibiscushatch_core.settings import TimingSettings
from hibiscushatch_node.adapters.peer_socket import WebSocketTransport
from hibiscushatch_tools import entry_processes, loopback_net
from hibiscushatch_tools.host_loop import Host
from hibiscushatch_tools.memory_network import (
    MemoryNetwork,
    MemoryPeerTransport,
    NetworkSettings,
)
from hibiscushatch_tools.testing import real_time

MESSAGES = ('{}', '{"q":1}', '{"hello":"é"}', 'x' * 100000)


@dataclasses.dataclass(frozen=True)
class _Ends:
    """Two transports to connect.

    Attributes:
        near: Transport that opens connections.
        far: Transport that accepts connections.
        far_address: Address at which the far transport listens.
        dead_address: Address at which nobody listens.
    """

    near: PeerTransport
    far: PeerTransport
    far_address: tuple[str, int]
    dead_address: tuple[str, int]


@contextlib.asynccontextmanager
async def _memory_ends() -> AsyncIterator[_Ends]:
    network = MemoryNetwork(NetworkSettings(), random.Random(1))
    near = MemoryPeerTransport(network, Host('a', 'pos-a'), ('a', 1))
    far = MemoryPeerTransport(network, Host('b', 'pos-b'), ('b', 1))
    yield _Ends(near, far, ('b', 1), ('c', 1))
    await near.close()
    await far.close()


@contextlib.asynccontextmanager
async def _websocket_ends() -> AsyncIterator[_Ends]:
    net = loopback_net.net_of_process()
    timing = TimingSettings(peer_silent_s=60)
    settings = [
        vm_settings.model_copy(update={'timing': timing})
        for vm_settings in entry_processes.build_fleet_settings(
            net, ('pos-a',), 3
        )
    ]
    near = WebSocketTransport(settings[0], Counters())
    far = WebSocketTransport(settings[1], Counters())
    yield _Ends(near, far, settings[1].control.pair, settings[2].control.pair)
    await near.close()
    await far.close()


async def _echo(channel: PeerChannel) -> None:
    with contextlib.suppress(PeerClosedError):
        while True:
            await channel.send(await channel.receive())


async def _close_at_once(channel: PeerChannel) -> None:
    await channel.receive()
    await channel.close()


async def _echoed_messages_arrive_in_order(ends: _Ends) -> None:
    await ends.far.listen(_echo)
    channel = await ends.near.connect(ends.far_address)
    for text in MESSAGES:
        await channel.send(text)
    for text in MESSAGES:
        assert await channel.receive() == text


async def _a_closed_peer_ends_receive_and_send(ends: _Ends) -> None:
    await ends.far.listen(_close_at_once)
    channel = await ends.near.connect(ends.far_address)
    await channel.send('{}')
    await _assert_raises(PeerClosedError, channel.receive())
    await _assert_raises(PeerClosedError, channel.send('{}'))


async def _closing_wakes_a_waiting_receive(ends: _Ends) -> None:
    await ends.far.listen(_echo)
    channel = await ends.near.connect(ends.far_address)
    waiting = asyncio.ensure_future(channel.receive())
    await asyncio.sleep(0)
    await channel.close()
    await _assert_raises(PeerClosedError, waiting)


async def _connecting_fails_without_a_listener(ends: _Ends) -> None:
    await _assert_raises(PeerError, ends.near.connect(ends.dead_address))


async def _a_closed_transport_accepts_no_connections(ends: _Ends) -> None:
    await ends.far.listen(_echo)
    await ends.far.close()
    await _assert_raises(PeerError, ends.near.connect(ends.far_address))


CONTRACT = (
    _echoed_messages_arrive_in_order,
    _a_closed_peer_ends_receive_and_send,
    _closing_wakes_a_waiting_receive,
    _connecting_fails_without_a_listener,
    _a_closed_transport_accepts_no_connections,
)


async def _assert_raises(
    expected: type[PeerError], awaitable: Awaitable[object]
) -> None:
    try:
        outcome = await awaitable
    except expected as error:
        assert error.step
        assert error.peer
        return
    raise AssertionError(f'expected {expected.__name__}, got {outcome}')


async def _check_contract(
    open_ends: Callable[[], contextlib.AbstractAsyncContextManager[_Ends]],
) -> None:
    for rule in CONTRACT:
        async with open_ends() as ends:
            await rule(ends)


async def test_memory_transport_keeps_the_contract() -> None:
    await _check_contract(_memory_ends)


@real_time
async def test_websocket_transport_keeps_the_contract() -> None:
    await _check_contract(_websocket_ends)
