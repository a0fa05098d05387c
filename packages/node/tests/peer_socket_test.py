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
SILENCE_TIMEOUT_S = 2.0
LONG_SILENCE_TIMEOUT_S = 60.0
CONNECT_TIMEOUT_S = 0.3


def _settings(
    keys: list[str], silence_timeout_s: float = LONG_SILENCE_TIMEOUT_S
) -> NodeSettings:
    return adapter_fixtures.node_settings(
        peer_keys=keys, timing={'peer_silent_s': silence_timeout_s}
    )


async def _echo(channel: PeerChannel) -> None:
    with contextlib.suppress(PeerClosedError):
        while True:
            await channel.send(await channel.receive())


async def _close_after_one_message(channel: PeerChannel) -> None:
    await channel.receive()


async def _receive_and_stay_silent(channel: PeerChannel) -> None:
    await channel.receive()
    await asyncio.sleep(LONG_SILENCE_TIMEOUT_S)


@contextlib.asynccontextmanager
async def _connected_pair(
    acceptor: Callable[[PeerChannel], Awaitable[None]],
    client_keys: list[str],
    silence_timeout_s: float = LONG_SILENCE_TIMEOUT_S,
) -> AsyncIterator[tuple[peer_socket.WebSocketTransport, NodeSettings]]:
    server_settings = _settings([FIRST_KEY, SECOND_KEY])
    server = peer_socket.WebSocketTransport(server_settings, Counters())
    client = peer_socket.WebSocketTransport(
        _settings(client_keys, silence_timeout_s), Counters()
    )
    await server.listen(acceptor)
    try:
        yield client, server_settings
    finally:
        await client.close()
        await server.close()


async def _send_and_receive(
    client: peer_socket.WebSocketTransport,
    target: tuple[str, int],
    text: str,
) -> str:
    channel = await client.connect(target)
    await channel.send(text)
    return await channel.receive()


@real_time
async def test_both_valid_keys_are_accepted() -> None:
    for client_keys in ([FIRST_KEY], [SECOND_KEY], [SECOND_KEY, FIRST_KEY]):
        async with _connected_pair(_echo, client_keys) as (
            client,
            server_settings,
        ):
            target = server_settings.control.pair
            assert (
                await _send_and_receive(client, target, '{"q":1}') == '{"q":1}'
            )


@real_time
async def test_errors_name_the_step_and_the_peer() -> None:
    oversized = 'x' * (messages.MESSAGE_BYTES_MAX + 1)
    wrong_key = 'wrong-peer-key-0123456789'
    table = (
        ('wrong key', _echo, wrong_key, '{}', AuthenticationError),
        (
            'closed peer',
            _close_after_one_message,
            FIRST_KEY,
            '{}',
            PeerClosedError,
        ),
        ('oversized message', _echo, FIRST_KEY, oversized, PeerClosedError),
    )
    for case, acceptor, key, text, expected in table:
        async with _connected_pair(acceptor, [key]) as (
            client,
            server_settings,
        ):
            target = server_settings.control.pair
            error = await _raised_error(_send_and_receive(client, target, text))
        assert isinstance(error, expected), (case, error)
        assert error.step, case
        assert error.peer == f'{target[0]}:{target[1]}', case


@real_time
async def test_a_silent_connection_is_closed_after_the_timeout() -> None:
    async with _connected_pair(
        _receive_and_stay_silent, [FIRST_KEY], SILENCE_TIMEOUT_S
    ) as (client, server):
        error = await _raised_error(
            _send_and_receive(client, server.control.pair, '{}')
        )
    assert isinstance(error, PeerClosedError)
    assert 'silent' in error.reason


@real_time
async def test_connecting_fails_without_a_listener() -> None:
    client = peer_socket.WebSocketTransport(_settings([FIRST_KEY]), Counters())
    target = _settings([FIRST_KEY]).control.pair
    assert isinstance(await _raised_error(client.connect(target)), PeerError)
    await client.close()


@real_time
async def test_connecting_times_out() -> None:
    target = _settings([FIRST_KEY]).control.pair
    done = asyncio.Event()

    async def accept_without_response(
        _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await done.wait()
        writer.close()

    server = await asyncio.start_server(accept_without_response, *target)
    client = peer_socket.WebSocketTransport(
        _settings([FIRST_KEY], CONNECT_TIMEOUT_S), Counters()
    )
    async with server:
        assert isinstance(
            await _raised_error(client.connect(target)), PeerError
        )
        done.set()
    await client.close()


@real_time
async def test_a_binary_message_closes_the_connection() -> None:
    outcome: asyncio.Future[Exception] = asyncio.Future()

    async def acceptor(channel: PeerChannel) -> None:
        outcome.set_result(await _raised_error(channel.receive()))

    async with _connected_pair(acceptor, [FIRST_KEY]) as (_, server_settings):
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
async def test_sent_and_received_bytes_are_counted() -> None:
    counters = Counters()
    client = peer_socket.WebSocketTransport(_settings([FIRST_KEY]), counters)
    async with _connected_pair(_echo, [FIRST_KEY]) as (_, server_settings):
        text = '{"hello":"é"}'
        await _send_and_receive(client, server_settings.control.pair, text)
        await client.close()
    expected = (
        peer_socket.HANDSHAKE_BYTES
        + peer_socket.FRAME_OVERHEAD_BYTES
        + len(text.encode())
    )
    assert counters.control_bytes_sent == expected
    assert counters.control_bytes_received == expected


async def _raised_error(awaitable: Awaitable[object]) -> Exception:
    try:
        return AssertionError(f'no error, but the result {await awaitable}')
    except PeerError as error:
        return error
