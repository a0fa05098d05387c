"""An HTTP/1.1 client and server over asyncio streams, parsed by httptools.

A client connection carries one request at a time. It is closed as soon as a
response is not received in time, since a connection that stopped responding may
never recover.
"""

import asyncio
import collections
import logging
import socket
from collections.abc import Callable

import httptools

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.log_throttle import LogThrottle
from hibiscushatch_core.unexpected_errors import UnexpectedErrors
from hibiscushatch_token.http_messages import (
    PARSER_ERRORS,
    Response,
    ResponseReader,
    render_request,
)

_READ_BYTES = 65536
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# Limit for one request; all requests that this server answers are shorter.
_MAX_REQUEST_BYTES = 16384
# Any process can connect and send bytes that are no request, at any rate.
_LINES_MAX = 5
_LINES_INTERVAL_S = 10.0

_log = logging.getLogger(__name__)


class _RequestEvents:
    """Collects the requests of a connection from the parser's callbacks."""

    def __init__(self) -> None:
        self.complete_targets: collections.deque[bytes] = collections.deque()
        self._target = b''

    def on_message_begin(self) -> None:
        """Reset the target for the next request."""
        self._target = b''

    def on_url(self, part: bytes) -> None:
        """Append a part of the request target."""
        self._target += part

    def on_message_complete(self) -> None:
        """Queue the target of the request, which is now complete."""
        self.complete_targets.append(self._target)


class ClientConnection:
    """A connection to one server, opened again by the next call if it broke.

    Args:
        address: IPv4 address and port.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._lock = asyncio.Lock()

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> Response:
        """Send a request and wait for its response.

        Args:
            method: HTTP method, such as ``GET``.
            target: Path and query of the URL.
            body: JSON document; empty if the request has no body.
            timeout_s: Limit for waiting for earlier calls on the connection,
                connecting and receiving the whole response.

        Returns:
            The response, also if its status reports an error.

        Raises:
            OSError: The connection failed. This includes TimeoutError and
                MalformedAnswerError.
        """
        is_complete = False
        try:
            async with asyncio.timeout(timeout_s), self._lock:
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
            # A graceful close would wait for a peer that may never respond.
            self._writer.transport.abort()
        self._reader = None
        self._writer = None

    async def _connect(self) -> None:
        if self._writer is not None:
            return
        reader, writer = await asyncio.open_connection(*self._address)
        self._reader = reader
        self._writer = writer
        _enable_keepalive(self._writer.get_extra_info('socket'))

    async def _send(self, method: str, target: str, body: bytes) -> None:
        self._writer.write(render_request(self._address, method, target, body))
        await self._writer.drain()

    async def _receive(self) -> Response:
        response_reader = ResponseReader()
        while not response_reader.is_complete:
            response_reader.feed(await self._reader.read(_READ_BYTES))
        response = response_reader.response()
        if not response_reader.should_keep_alive:
            self.close()
        return response


class Server:
    """Answers GET requests by path, with one task for each connection.

    Args:
        address: IPv4 address and port to listen on.
        handlers: Functions that build the response from the query string, by
            path.
        counters: Counters of this process.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handlers: dict[bytes, Callable[[bytes], Response]],
        counters: Counters,
    ) -> None:
        self._address = address
        self._handlers = handlers
        self._counters = counters
        self._errors = UnexpectedErrors(counters)
        self._throttle = LogThrottle(_LINES_MAX, _LINES_INTERVAL_S)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening; raises OSError if the address can't be bound."""
        self._server = await asyncio.start_server(self._serve, *self._address)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._respond_to_requests(reader, writer)
        except OSError:
            # The client closed the connection, as it may at any time.
            pass
        except PARSER_ERRORS as error:
            self._record_unreadable(writer, error)
        except Exception as error:
            self._errors.record('answering a request', error)
        finally:
            writer.transport.abort()

    def _record_unreadable(
        self, writer: asyncio.StreamWriter, error: Exception
    ) -> None:
        self._counters.unreadable_requests += 1
        omitted = self._throttle.admit()
        if omitted is not None:
            _log.warning(
                'request unreadable',
                extra={
                    'address': '{}:{}'.format(*self._address),
                    'client': str(writer.get_extra_info('peername')),
                    'error': str(error) or repr(error),
                    'omitted': omitted,
                },
            )

    async def _respond_to_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        events = _RequestEvents()
        parser = httptools.HttpRequestParser(events)
        request_bytes = 0
        while request_bytes < _MAX_REQUEST_BYTES:
            received = await reader.read(_READ_BYTES)
            if not received:
                return
            request_bytes += len(received)
            parser.feed_data(received)
            while events.complete_targets:
                request_bytes = 0
                writer.write(
                    self._render_response(events.complete_targets.popleft())
                )
                await writer.drain()
                if not parser.should_keep_alive():
                    return

    def _render_response(self, target: bytes) -> bytes:
        path, _, query = target.partition(b'?')
        response = self._handlers.get(path, _respond_not_found)(query)
        # HTTP allows an empty reason phrase after the status.
        head = (
            f'HTTP/1.1 {response.status} \r\n'
            f'Content-Type: {response.content_type.decode()}\r\n'
            f'Content-Length: {len(response.body)}\r\n\r\n'
        )
        return head.encode('ascii') + response.body


def _enable_keepalive(client_socket: socket.socket) -> None:
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    )
    for level, option, option_value in options:
        client_socket.setsockopt(level, option, option_value)


def _respond_not_found(_query: bytes) -> Response:
    return Response(404, b'')
