"""Contract tests of the peer transport, over loopback WebSockets."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import adapter_fixtures
import aiohttp

from hibiscushatch_core import messages
from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import (
    AuthenticationError,
    PeerClosedError,
    PeerError,
)
from hibiscushatch_core.ports import PeerChannel
from hibiscushatch_core.settings import NodeSettings
from hibiscushatch_node.adapters import peer_socket
from hibiscushatch_tools.testing import real_time

FIRST_KEY, SECOND_KEY = adapter_fixtures.PEER_KEYS
SILENT_S = 2.0
NEVER_SILENT_S = 60.0
CONNECT_S = 0.3


def _settings(
    keys: list[str], silent_s: float = NEVER_SILENT_S
) -> NodeSettings:
    return adapter_fixtures.node_settings(
        peer_keys=keys, timing={'peer_silent_s': silent_s}
    )


async def _echo(channel: PeerChannel) -> None:
    with contextlib.suppress(PeerClosedError):
        while True:
            await channel.send(await channel.receive())


async def _hang_up(channel: PeerChannel) -> None:
    await channel.receive()


async def _stay_silent(channel: PeerChannel) -> None:
    await channel.receive()
    await asyncio.sleep(NEVER_SILENT_S)


@contextlib.asynccontextmanager
async def _pair(
    acceptor: Callable[[PeerChannel], Awaitable[None]],
    client_keys: list[str],
    silent_s: float = NEVER_SILENT_S,
) -> AsyncIterator[tuple[peer_socket.WebSocketTransport, NodeSettings]]:
    server_settings = _settings([FIRST_KEY, SECOND_KEY])
    server = peer_socket.WebSocketTransport(server_settings, Counters())
    client = peer_socket.WebSocketTransport(
        _settings(client_keys, silent_s), Counters()
    )
    await server.listen(acceptor)
    try:
        yield client, server_settings
    finally:
        await client.close()
        await server.close()


async def _exchange(
    client: peer_socket.WebSocketTransport,
    target: tuple[str, int],
    text: str,
) -> str:
    channel = await client.connect(target)
    await channel.send(text)
    return await channel.receive()


@real_time
async def test_both_keys_are_accepted() -> None:
    for client_keys in ([FIRST_KEY], [SECOND_KEY], [SECOND_KEY, FIRST_KEY]):
        async with _pair(_echo, client_keys) as (client, server_settings):
            target = server_settings.control.pair
            assert await _exchange(client, target, '{"q":1}') == '{"q":1}'


@real_time
async def test_each_fault_raises_its_error_with_step_and_peer() -> None:
    oversized = 'x' * (messages.MESSAGE_BYTES_MAX + 1)
    wrong_key = 'wrong-peer-key-0123456789'
    table = (
        ('wrong key', _echo, wrong_key, '{}', AuthenticationError),
        ('closed peer', _hang_up, FIRST_KEY, '{}', PeerClosedError),
        ('oversized message', _echo, FIRST_KEY, oversized, PeerClosedError),
    )
    for case, acceptor, key, text, expected in table:
        async with _pair(acceptor, [key]) as (client, server_settings):
            target = server_settings.control.pair
            error = await _error_of(_exchange(client, target, text))
        assert isinstance(error, expected), (case, error)
        assert error.step, case
        assert error.peer == f'{target[0]}:{target[1]}', case


@real_time
async def test_a_silent_connection_counts_as_closed() -> None:
    async with _pair(_stay_silent, [FIRST_KEY], SILENT_S) as (client, server):
        error = await _error_of(_exchange(client, server.control.pair, '{}'))
    assert isinstance(error, PeerClosedError)
    assert 'silent' in error.reason


@real_time
async def test_connecting_fails_where_nobody_listens() -> None:
    client = peer_socket.WebSocketTransport(_settings([FIRST_KEY]), Counters())
    target = _settings([FIRST_KEY]).control.pair
    assert isinstance(await _error_of(client.connect(target)), PeerError)
    await client.close()


@real_time
async def test_connecting_has_a_deadline() -> None:
    target = _settings([FIRST_KEY]).control.pair
    done = asyncio.Event()

    async def accept_and_say_nothing(
        _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await done.wait()
        writer.close()

    server = await asyncio.start_server(accept_and_say_nothing, *target)
    client = peer_socket.WebSocketTransport(
        _settings([FIRST_KEY], CONNECT_S), Counters()
    )
    async with server:
        assert isinstance(await _error_of(client.connect(target)), PeerError)
        done.set()
    await client.close()


@real_time
async def test_a_binary_message_closes_the_connection() -> None:
    outcome: asyncio.Future[Exception] = asyncio.Future()

    async def acceptor(channel: PeerChannel) -> None:
        outcome.set_result(await _error_of(channel.receive()))

    async with _pair(acceptor, [FIRST_KEY]) as (_, server_settings):
        host, port = server_settings.control.pair
        headers = {'Authorization': f'Bearer {FIRST_KEY}'}
        async with (
            aiohttp.ClientSession() as session,
            session.ws_connect(
                f'http://{host}:{port}{peer_socket.PEER_PATH}',
                headers=headers,
            ) as websocket,
        ):
            await websocket.send_bytes(b'{}')
            assert isinstance(await outcome, PeerClosedError)


@real_time
async def test_bytes_of_messages_are_counted_at_both_ends() -> None:
    counters = Counters()
    client = peer_socket.WebSocketTransport(_settings([FIRST_KEY]), counters)
    async with _pair(_echo, [FIRST_KEY]) as (_, server_settings):
        text = '{"hello":"é"}'
        await _exchange(client, server_settings.control.pair, text)
        await client.close()
    expected = (
        peer_socket.HANDSHAKE_BYTES
        + peer_socket.FRAME_OVERHEAD_BYTES
        + len(text.encode())
    )
    assert counters.control_bytes_sent == expected
    assert counters.control_bytes_received == expected


async def _error_of(awaitable: Awaitable[object]) -> Exception:
    try:
        return AssertionError(f'no error but {await awaitable}')
    except PeerError as error:
        return error
