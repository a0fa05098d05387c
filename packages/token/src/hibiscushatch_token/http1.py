"""HTTP/1.1 over asyncio streams, with h11 as the protocol library.

A client connection serves one request at a time and is given up as soon as a
response does not come in time, since a connection may fall silent for good.
"""

import asyncio
import socket
from collections.abc import Callable

import h11
import msgspec

OK = 200
_READ_BYTES = 65536
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_HEADER_BYTES_MAX = 16384


class Response(msgspec.Struct, frozen=True):
    """Status and body of an answer."""

    status: int
    body: bytes
    content_type: bytes = b'text/plain'


class ClientConnection:
    """A connection to one server that is opened again when it broke.

    Args:
        address: IPv4 address and port.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._protocol = h11.Connection(h11.CLIENT)
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
            OSError: The connection failed, TimeoutError included.
            h11.ProtocolError: The answer is not HTTP.
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
        self._protocol = h11.Connection(h11.CLIENT)

    async def _send(self, method: str, target: str, body: bytes) -> None:
        headers = [('Host', '{}:{}'.format(*self._address))]
        if body:
            headers.append(('Content-Type', 'application/json'))
            headers.append(('Content-Length', str(len(body))))
        request = h11.Request(method=method, target=target, headers=headers)
        parts = [self._protocol.send(request)]
        if body:
            parts.append(self._protocol.send(h11.Data(data=body)))
        parts.append(self._protocol.send(h11.EndOfMessage()))
        self._writer.write(b''.join(part for part in parts if part))
        await self._writer.drain()

    async def _receive(self) -> Response:
        status = 0
        chunks = []
        event = await _next_event(self._protocol, self._reader)
        while not isinstance(event, h11.EndOfMessage):
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            else:
                raise ConnectionResetError('closed within a response')
            event = await _next_event(self._protocol, self._reader)
        self._end_cycle()
        return Response(status, b''.join(chunks))

    def _end_cycle(self) -> None:
        states = (self._protocol.our_state, self._protocol.their_state)
        if any(state is h11.MUST_CLOSE for state in states):
            self.close()
        else:
            self._protocol.start_next_cycle()


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
        protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=_HEADER_BYTES_MAX
        )
        try:
            while await self._answer_one(protocol, reader, writer):
                protocol.start_next_cycle()
        except (OSError, h11.ProtocolError):
            # The caller is gone or does not speak HTTP.
            pass
        finally:
            writer.transport.abort()

    async def _answer_one(
        self,
        protocol: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        target = b''
        while True:
            event = await _next_event(protocol, reader)
            if isinstance(event, h11.Request):
                target = event.target
            elif isinstance(event, h11.EndOfMessage):
                break
            elif not isinstance(event, h11.Data):
                return False
        path, _, query = target.partition(b'?')
        response = self._handlers.get(path, _not_found)(query)
        head = h11.Response(
            status_code=response.status,
            headers=[
                (b'Content-Type', response.content_type),
                (b'Content-Length', str(len(response.body)).encode()),
            ],
        )
        parts = [protocol.send(head)]
        if response.body:
            parts.append(protocol.send(h11.Data(data=response.body)))
        parts.append(protocol.send(h11.EndOfMessage()))
        writer.write(b''.join(part for part in parts if part))
        await writer.drain()
        return protocol.our_state is h11.DONE


async def _next_event(
    protocol: h11.Connection, reader: asyncio.StreamReader
) -> h11.Event:
    while True:
        event = protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        protocol.receive_data(await reader.read(_READ_BYTES))


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
