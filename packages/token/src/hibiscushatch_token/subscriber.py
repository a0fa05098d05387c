"""Learns from other entry VMs what they have read from the store.

A subscriber is up to date as long as it holds all that a publisher announced
a moment ago. When no publisher is heard, the entry VM reads the store itself.
"""

import asyncio
import logging
from collections.abc import Callable

import h11

from hibiscushatch_core.errors import PeerError
from hibiscushatch_core.ports import StoredValue
from hibiscushatch_token import peer_messages
from hibiscushatch_token.http1 import ClientConnection
from hibiscushatch_token.peer_messages import Announcement, Subscription
from hibiscushatch_token.ports import Changes, Listing
from hibiscushatch_token.publisher import Address, SendDatagram
from hibiscushatch_token.replica import StoreReplica
from hibiscushatch_token.settings import TokenNodeSettings, socket_address

SNAPSHOT_PATH = '/v1/snapshot'
_SUBSCRIBE_S = 0.5
_SNAPSHOT_TIMEOUT_S = 1.0
_OK = 200

_log = logging.getLogger(__name__)


class Subscriber:
    """Follows the publishers.

    Args:
        settings: Settings of this entry VM.
        replica: What is kept up to date.
        send: Sends a datagram.
        changed: Called with the revision before changes and the changes.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        replica: StoreReplica,
        send: SendDatagram,
        changed: Callable[[int, Changes], None],
    ) -> None:
        self._publishers = tuple(
            socket_address(one)
            for one in settings.publishers
            if one != settings.control
        )
        self._replica = replica
        self._send = send
        self._changed = changed
        self._subscription = peer_messages.encode_datagram(
            Subscription(settings.name, settings.control)
        )
        self._fleet = 0
        self._wanted = asyncio.Event()
        self._source: Address | None = None

    @property
    def fleet(self) -> int:
        """The largest number of entry VMs that a publisher counted."""
        return self._fleet

    async def run(self) -> None:
        """Subscribe again and again until cancelled."""
        while True:
            for address in self._publishers:
                self._send(self._subscription, address)
            await asyncio.sleep(_SUBSCRIBE_S)

    async def fetch(self) -> None:
        """Fetch snapshots when announced changes are missing here."""
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            if self._source is not None:
                await self._fetch_from(self._source)

    def announced(self, message: Announcement) -> None:
        """Take over what a publisher announced."""
        self._fleet = max(self._fleet, message.fleet)
        before = self._replica.revision
        if message.revision < before:
            return
        if message.revision > before:
            changes = self._replica.merge_changes(
                message.before,
                Changes(
                    peer_messages.as_events(message.items), message.revision
                ),
            )
            if changes is None:
                self._source = socket_address(message.control)
                self._wanted.set()
                return
            self._changed(before, changes)
        self._replica.prove(message.age_ms / peer_messages.MS_PER_S)

    async def _fetch_from(self, address: Address) -> None:
        peer = '{}:{}'.format(*address)
        before = self._replica.revision
        connection = ClientConnection(address)
        try:
            response = await connection.call(
                'GET', f'{SNAPSHOT_PATH}?{before}', b'', _SNAPSHOT_TIMEOUT_S
            )
            self._merge(before, response.body, peer)
        except (OSError, h11.ProtocolError, PeerError) as error:
            # The next announcement asks for the snapshot again.
            _log.info(
                'snapshot failed',
                extra={'peer': peer, 'error': str(error) or repr(error)},
            )
        finally:
            connection.close()

    def _merge(self, before: int, body: bytes, peer: str) -> None:
        snapshot = peer_messages.decode_snapshot(body, peer)
        known = {item.key: item for item in self._replica.items}
        items = []
        for item in snapshot.items:
            if item.value is not None:
                items.append(
                    StoredValue(item.key, item.value, item.revision)
                )
            elif item.key in known:
                items.append(known[item.key])
        changes = self._replica.merge_listing(
            Listing(tuple(items), snapshot.revision)
        )
        if self._replica.revision == snapshot.revision:
            self._changed(before, changes)
            self._replica.prove(snapshot.age_ms / peer_messages.MS_PER_S)
