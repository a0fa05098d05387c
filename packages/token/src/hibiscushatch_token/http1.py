"""HTTP/1.1 over asyncio streams, with httptools as the protocol library.

A client connection serves one request at a time and is given up as soon as a
response does not come in time, since a connection may fall silent for good.
httptools is a binding of a parser in C: its import takes 2 ms of a core, that
of a parser in Python 10 ms, and each start of the process pays for it.
"""

import asyncio
import collections
import socket
from collections.abc import Callable

import httptools
import msgspec

OK = 200
_READ_BYTES = 65536
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# No request that this server answers needs more.
_REQUEST_BYTES_MAX = 16384


class MalformedAnswerError(ConnectionError):
    """The other end of a connection does not speak HTTP."""


class Response(msgspec.Struct, frozen=True):
    """Status and body of an answer."""

    status: int
    body: bytes
    content_type: bytes = b'text/plain'


class _ResponseEvents:
    """What the parser has found of one response."""

    def __init__(self) -> None:
        self.chunks: list[bytes] = []
        self.is_complete = False

    def on_body(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self.chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Note the end of the response."""
        self.is_complete = True


class _RequestEvents:
    """What the parser has found of the requests of one connection."""

    def __init__(self) -> None:
        self.complete: collections.deque[bytes] = collections.deque()
        self._target = b''

    def on_message_begin(self) -> None:
        """Begin with the next request."""
        self._target = b''

    def on_url(self, part: bytes) -> None:
        """Take a part of the target."""
        self._target += part

    def on_message_complete(self) -> None:
        """Note the end of the request."""
        self.complete.append(self._target)


class ClientConnection:
    """A connection to one server that is opened again when it broke.

    Args:
        address: IPv4 address and port.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._is_free = asyncio.Lock()

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> Response:
        """Send a request and wait for its response.

        Args:
            method: Such as ``GET``.
            target: Path and query.
            body: JSON; empty for none.
            timeout_s: Time that connecting and answering may take together.

        Returns:
            The response, whatever its status.

        Raises:
            OSError: The connection failed; TimeoutError and
                MalformedAnswerError included.
        """
        is_complete = False
        try:
            async with asyncio.timeout(timeout_s), self._is_free:
                await self._connect()
                await self._send(method, target, body)
                response = await self._receive()
            is_complete = True
        finally:
            if not is_complete:
                self.close()
        return response

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._writer is not None:
            # A graceful close would wait on a peer that may be silent.
            self._writer.transport.abort()
        self._reader = None
        self._writer = None

    async def _connect(self) -> None:
        if self._writer is not None:
            return
        reader, writer = await asyncio.open_connection(*self._address)
        self._reader = reader
        self._writer = writer
        _keep_alive(self._writer.get_extra_info('socket'))

    async def _send(self, method: str, target: str, body: bytes) -> None:
        host = '{}:{}'.format(*self._address)
        lines = [f'{method} {target} HTTP/1.1', f'Host: {host}']
        if body:
            lines.append('Content-Type: application/json')
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join((*lines, '', '')).encode('ascii')
        self._writer.write(head + body)
        await self._writer.drain()

    async def _receive(self) -> Response:
        events = _ResponseEvents()
        parser = httptools.HttpResponseParser(events)
        while not events.is_complete:
            received = await self._reader.read(_READ_BYTES)
            if not received:
                raise ConnectionResetError('closed within a response')
            try:
                parser.feed_data(received)
            except httptools.HttpParserError as error:
                raise MalformedAnswerError(str(error)) from error
        if not parser.should_keep_alive():
            self.close()
        return Response(parser.get_status_code(), b''.join(events.chunks))


class Server:
    """Answers GET requests by path; one task for each connection.

    Args:
        address: IPv4 address and port to listen on.
        handlers: Builds the response of each path from the query.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handlers: dict[bytes, Callable[[bytes], Response]],
    ) -> None:
        self._address = address
        self._handlers = handlers
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; raises OSError when the address can't be bound."""
        self._server = await asyncio.start_server(self._serve, *self._address)

    def close(self) -> None:
        """Stop to listen."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._answer_all(reader, writer)
        except (OSError, httptools.HttpParserError):
            # The caller is gone or does not speak HTTP.
            pass
        finally:
            writer.transport.abort()

    async def _answer_all(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        events = _RequestEvents()
        parser = httptools.HttpRequestParser(events)
        unanswered_bytes = 0
        while unanswered_bytes < _REQUEST_BYTES_MAX:
            received = await reader.read(_READ_BYTES)
            if not received:
                return
            unanswered_bytes += len(received)
            parser.feed_data(received)
            while events.complete:
                unanswered_bytes = 0
                writer.write(self._answer(events.complete.popleft()))
                await writer.drain()
                if not parser.should_keep_alive():
                    return

    def _answer(self, target: bytes) -> bytes:
        path, _, query = target.partition(b'?')
        response = self._handlers.get(path, _not_found)(query)
        # The phrase after the status may be empty.
        head = (
            f'HTTP/1.1 {response.status} \r\n'
            f'Content-Type: {response.content_type.decode()}\r\n'
            f'Content-Length: {len(response.body)}\r\n\r\n'
        )
        return head.encode('ascii') + response.body


def _keep_alive(connected: socket.socket) -> None:
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    )
    for level, option, setting in options:
        connected.setsockopt(level, option, setting)


def _not_found(_query: bytes) -> Response:
    return Response(404, b'')
