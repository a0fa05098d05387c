"""Connections between entry VMs: JSON messages over WebSockets.

A connection carries heartbeats and changes in both directions. This end closes
a connection on which nothing arrives in time, because a device between the two
ends may have dropped it unnoticed. A send that blocks for too long also closes
the connection.
"""

import asyncio
import socket
import weakref

from aiohttp import (
    ClientError,
    ClientSession,
    ClientWebSocketResponse,
    ClientWSTimeout,
    TCPConnector,
    WSMessage,
    WSMsgType,
    WSServerHandshakeError,
    web,
)

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import (
    AuthenticationError,
    PeerClosedError,
    PeerError,
)
from hibiscushatch_core.messages import MESSAGE_BYTES_MAX
from hibiscushatch_core.ports import PeerAcceptor, PeerChannel, PeerTransport
from hibiscushatch_core.settings import NodeSettings
from hibiscushatch_node.adapters import keys

PEER_PATH = '/v1/peer'
CLOSE_TIMEOUT_S = 0.5
LISTEN_BACKLOG = 128
# Size of an upgrade request or of its response, with the headers that aiohttp
# sends.
HANDSHAKE_BYTES = 350
# Size of a frame header with a mask and a 16-bit length.
FRAME_OVERHEAD_BYTES = 8

_WebSocket = ClientWebSocketResponse | web.WebSocketResponse
_STEP_CONNECT = 'connect'
_STEP_SEND = 'send'
_STEP_RECEIVE = 'receive'


class WebSocketChannel(PeerChannel):
    """A WebSocket connection to one other entry VM.

    Args:
        websocket: The established WebSocket, opened by either end.
        peer: Address of the other end, for error messages.
        silent_timeout_s: Seconds without a received message, or for which a
            send is blocked, after which the connection is closed.
        counters: Where bytes are counted.
    """

    def __init__(
        self,
        websocket: _WebSocket,
        peer: str,
        silent_timeout_s: float,
        counters: Counters,
    ) -> None:
        self._websocket = websocket
        self._peer = peer
        self._silent_timeout_s = silent_timeout_s
        self._counters = counters

    async def send(self, text: str) -> None:
        """Send one JSON message.

        Args:
            text: The message.

        Raises:
            PeerClosedError: When the connection is closed or the send is
                blocked for too long.
        """
        try:
            async with asyncio.timeout(self._silent_timeout_s):
                await self._websocket.send_str(text)
        except TimeoutError as error:
            await self.close()
            raise self._closed_error(
                _STEP_SEND, 'the peer does not read'
            ) from error
        except (ConnectionError, RuntimeError) as error:
            raise self._closed_error(_STEP_SEND, str(error)) from error
        size = len(text.encode()) + FRAME_OVERHEAD_BYTES
        self._counters.control_bytes_sent += size

    async def receive(self) -> str:
        """Wait for one JSON message.

        Returns:
            The message.

        Raises:
            PeerClosedError: When the connection is closed, nothing arrives in
                time, or the peer violates the protocol.
        """
        try:
            message = await self._websocket.receive(self._silent_timeout_s)
        except TimeoutError as error:
            await self.close()
            reason = f'silent for {self._silent_timeout_s} s'
            raise self._closed_error(_STEP_RECEIVE, reason) from error
        except RuntimeError as error:
            raise self._closed_error(_STEP_RECEIVE, str(error)) from error
        if message.type is not WSMsgType.TEXT:
            await self.close()
            raise self._closed_error(_STEP_RECEIVE, _describe_end(message))
        size = len(message.data.encode()) + FRAME_OVERHEAD_BYTES
        self._counters.control_bytes_received += size
        return message.data

    async def close(self) -> None:
        """Close the connection, even when the peer does not respond."""
        await self._websocket.close()

    def _closed_error(self, step: str, reason: str) -> PeerClosedError:
        return PeerClosedError(step, self._peer, reason)


def _describe_end(message: WSMessage) -> str:
    if message.type is WSMsgType.BINARY:
        return 'the peer sent a binary message'
    if message.type is WSMsgType.ERROR:
        return str(message.data)
    return 'the peer closed the connection'


class WebSocketTransport(PeerTransport):
    """Opens WebSockets to other entry VMs and accepts WebSockets from them.

    Args:
        settings: The settings of this entry VM.
        counters: Where the bytes of all connections are counted.
    """

    def __init__(self, settings: NodeSettings, counters: Counters) -> None:
        self._counters = counters
        self._settings = settings
        self._timing = settings.timing
        self._session: ClientSession | None = None
        self._runner: web.AppRunner | None = None
        self._socket: socket.socket | None = None
        self._open_channels: weakref.WeakSet[WebSocketChannel] = (
            weakref.WeakSet()
        )

    def bind(self) -> None:
        """Bind the control address; called before anything else is started.

        Raises:
            OSError: When the address can't be bound.
        """
        self._socket = socket.create_server(
            self._settings.control.pair, backlog=LISTEN_BACKLOG
        )

    async def connect(self, target: tuple[str, int]) -> PeerChannel:
        """Open a connection to a control address.

        Args:
            target: IPv4 address and port of the peer.

        Returns:
            The connection.

        Raises:
            AuthenticationError: When the peer rejected the key.
            PeerError: When the connection could not be established.
        """
        peer = f'{target[0]}:{target[1]}'
        try:
            async with asyncio.timeout(self._timing.peer_silent_s):
                websocket = await self._open_websocket(peer)
        except WSServerHandshakeError as error:
            raise _handshake_error(peer, error) from error
        except (ClientError, OSError) as error:
            reason = str(error) or 'no answer within the deadline'
            raise PeerError(_STEP_CONNECT, peer, reason) from error
        self._count_handshake()
        return self._track(websocket, peer)

    async def listen(self, acceptor: PeerAcceptor) -> None:
        """Accept connections; each is closed when its acceptor returns.

        Args:
            acceptor: Called with each authenticated connection.

        Raises:
            OSError: When the control address can't be bound.
        """
        application = web.Application()

        async def accept(
            request: web.Request,
        ) -> web.StreamResponse:
            return await self._accept(request, acceptor)

        application.router.add_get(PEER_PATH, accept)
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=CLOSE_TIMEOUT_S
        )
        await self._runner.setup()
        if self._socket is None:
            self.bind()
        await web.SockSite(self._runner, self._socket).start()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        for channel in tuple(self._open_channels):
            await channel.close()
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()
        if self._socket is not None:
            self._socket.close()

    async def _open_websocket(self, peer: str) -> _WebSocket:
        if self._session is None:
            local_address = (self._settings.control.pair[0], 0)
            self._session = ClientSession(
                connector=TCPConnector(local_addr=local_address, limit=0)
            )
        return await self._session.ws_connect(
            f'http://{peer}{PEER_PATH}',
            headers=keys.authorization_headers(self._settings.peer_keys),
            max_msg_size=MESSAGE_BYTES_MAX,
            timeout=ClientWSTimeout(ws_close=CLOSE_TIMEOUT_S),
        )

    async def _accept(
        self, request: web.Request, acceptor: PeerAcceptor
    ) -> web.StreamResponse:
        if not keys.is_authorized(request.headers, self._settings.peer_keys):
            return web.Response(status=web.HTTPUnauthorized.status_code)
        websocket = web.WebSocketResponse(
            timeout=CLOSE_TIMEOUT_S,
            max_msg_size=MESSAGE_BYTES_MAX,
            compress=False,
        )
        await websocket.prepare(request)
        self._count_handshake()
        channel = self._track(websocket, request.remote or '')
        try:
            await acceptor(channel)
        finally:
            await channel.close()
        return websocket

    def _track(self, websocket: _WebSocket, peer: str) -> WebSocketChannel:
        channel = WebSocketChannel(
            websocket, peer, self._timing.peer_silent_s, self._counters
        )
        self._open_channels.add(channel)
        return channel

    def _count_handshake(self) -> None:
        self._counters.control_bytes_sent += HANDSHAKE_BYTES
        self._counters.control_bytes_received += HANDSHAKE_BYTES


def _handshake_error(peer: str, error: WSServerHandshakeError) -> PeerError:
    if error.status == web.HTTPUnauthorized.status_code:
        return AuthenticationError(_STEP_CONNECT, peer, 'the key was refused')
    return PeerError(_STEP_CONNECT, peer, f'HTTP status {error.status}')
