"""HTTP/1.1 requests and responses as bytes, parsed by httptools.

httptools binds a parser written in C: importing it takes 2 ms of a core,
against 10 ms for a parser in Python, at each start of the process. The module
does without asyncio, so that a response can be read before that is imported.
"""

import httptools
import msgspec

OK = 200
# Limit for one response: 40 pages of a listing, or all entries of 3,700
# upstreams sixteen times over.
_MAX_RESPONSE_BYTES = 40_000_000

# What the parser raises for bytes that are not HTTP, and for a request to go on
# in another protocol.
PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)


class MalformedAnswerError(ConnectionError):
    """The server's response is not valid HTTP."""


class Response(msgspec.Struct, frozen=True):
    """An HTTP response.

    Attributes:
        status: Status code.
        body: The body.
        content_type: Content type of a response that is sent.
        headers: Headers of a response that was received, by lower-case name.
    """

    status: int
    body: bytes
    content_type: bytes = b'text/plain'
    headers: dict[bytes, bytes] = {}


class _ResponseEvents:
    """Collects one response from the callbacks of the parser."""

    def __init__(self) -> None:
        self.chunks: list[bytes] = []
        self.headers: dict[bytes, bytes] = {}
        self.is_complete = False

    def on_message_begin(self) -> None:
        """Refuse a second response: none was asked for."""
        if self.is_complete:
            raise ValueError('more than one response')

    def on_header(self, name: bytes, text: bytes) -> None:
        """Record a header."""
        self.headers[name.lower()] = text

    def on_body(self, chunk: bytes) -> None:
        """Append a part of the body."""
        self.chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        self.is_complete = True


class ResponseReader:
    """Puts one response together from the bytes that are received."""

    def __init__(self) -> None:
        self._events = _ResponseEvents()
        self._parser = httptools.HttpResponseParser(self._events)
        self._received_bytes = 0

    @property
    def is_complete(self) -> bool:
        """Whether the response has been received as a whole."""
        return self._events.is_complete

    @property
    def should_keep_alive(self) -> bool:
        """Whether the connection can carry another request."""
        return self._parser.should_keep_alive()

    def feed(self, received: bytes) -> None:
        """Add bytes that were received.

        Args:
            received: The bytes; empty if the server has closed the connection.

        Raises:
            OSError: The response ends early, is too large or is no HTTP.
        """
        if not received:
            raise ConnectionResetError(
                'closed before the response was complete'
            )
        self._received_bytes += len(received)
        if self._received_bytes > _MAX_RESPONSE_BYTES:
            raise MalformedAnswerError('response too large')
        try:
            self._parser.feed_data(received)
        except PARSER_ERRORS as error:
            reason = str(error) or type(error).__name__
            raise MalformedAnswerError(reason) from error

    def response(self) -> Response:
        """Return the response, which has to be complete.

        Raises:
            MalformedAnswerError: It is an interim response. The final one would
                be taken for that to the next request.
        """
        status_code = self._parser.get_status_code()
        if status_code < OK:
            raise MalformedAnswerError(f'interim status {status_code}')
        return Response(
            status_code,
            b''.join(self._events.chunks),
            headers=self._events.headers,
        )


def render_request(
    address: tuple[str, int], method: str, target: str, body: bytes = b''
) -> bytes:
    """Return a request as bytes.

    Args:
        address: IPv4 address and port of the server.
        method: HTTP method, such as ``GET``.
        target: Path and query of the URL.
        body: JSON document; empty if the request has no body.
    """
    host = '{}:{}'.format(*address)
    lines = [f'{method} {target} HTTP/1.1', f'Host: {host}']
    if body:
        lines.append('Content-Type: application/json')
        lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join((*lines, '', '')).encode('ascii')
    return head + body
