"""Tests of hibiscushatch_token.http1 over loopback sockets."""

import asyncio
import socket

from hibiscushatch_token import http1
from hibiscushatch_tools.testing import real_time

# Lets connections notice that their other end is gone.
CLOSE_S = 0.05


def free_address() -> tuple[str, int]:
    """Find a free address on loopback."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()


def echo(query: bytes) -> http1.Response:
    """Answer with the query."""
    return http1.Response(200, query)


@real_time
async def test_a_connection_serves_one_request_after_the_other() -> None:
    address = free_address()
    server = http1.Server(address, {b'/echo': echo})
    await server.start()
    client = http1.ClientConnection(address)
    for text in ('one', 'two'):
        answer = await client.call('GET', f'/echo?{text}', b'', 1)
        assert (answer.status, answer.body) == (200, text.encode())
    missing = await client.call('GET', '/other', b'', 1)
    assert missing.status == 404
    client.close()
    server.close()
    await asyncio.sleep(CLOSE_S)


@real_time
async def test_bytes_that_are_not_http_end_their_connection_alone() -> None:
    address = free_address()
    server = http1.Server(address, {b'/echo': echo})
    await server.start()
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b'\x00\x01 no request\r\n\r\n')
    assert await asyncio.wait_for(reader.read(), 5) == b''
    writer.close()
    client = http1.ClientConnection(address)
    answer = await client.call('GET', '/echo?x', b'', 1)
    assert answer.body == b'x'
    client.close()
    server.close()
    await asyncio.sleep(CLOSE_S)


@real_time
async def test_a_silent_server_ends_in_a_timeout_and_a_new_connection() -> None:
    address = free_address()
    connections = []

    async def stay_silent(
        _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connections.append(writer)

    server = await asyncio.start_server(stay_silent, *address)
    client = http1.ClientConnection(address)
    for _ in range(2):
        try:
            await client.call('GET', '/', b'', 0.05)
        except TimeoutError:
            continue
        raise AssertionError('no timeout')
    assert len(connections) == 2
    for writer in connections:
        writer.transport.abort()
    server.close()


@real_time
async def test_an_answer_that_ends_early_is_an_error() -> None:
    address = free_address()

    async def break_off(
        _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf')
        writer.close()

    server = await asyncio.start_server(break_off, *address)
    client = http1.ClientConnection(address)
    try:
        await client.call('GET', '/', b'', 1)
    except OSError:
        server.close()
        return
    raise AssertionError('half an answer was taken as whole')
