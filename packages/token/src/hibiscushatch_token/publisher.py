"""Tells other entry VMs what this one has read from the store.

The store counts each call, so a few entry VMs read it and pass on what they
read. A change goes out at once, and again with each heartbeat for a while, so
that a lost datagram does no harm; larger ones are fetched as a snapshot.
"""

import asyncio
import collections
from collections.abc import Callable

from hibiscushatch_core.ports import WatchEvent
from hibiscushatch_token import http1, peer_messages
from hibiscushatch_token.ports import Changes
from hibiscushatch_token.replica import StoreReplica
from hibiscushatch_token.settings import TokenNodeSettings, socket_address

HEARTBEAT_S = 0.5
# Six heartbeats without a subscription.
_SUBSCRIBER_SILENT_S = 3.0
# Changes are repeated in two more heartbeats.
_REPEAT_S = 1.2
# A datagram of this size is not fragmented on Ethernet.
_DATAGRAM_BYTES_MAX = 1400
_RECENT_CHANGES = 8

Address = tuple[str, int]
SendDatagram = Callable[[bytes, Address], None]


class Publisher:
    """Announces the replica to those who subscribed.

    Args:
        settings: Settings of this entry VM.
        replica: What is announced.
        clock: Monotonic seconds.
        send: Sends a datagram.
        served_by_others: Counts entry VMs that other publishers serve.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        replica: StoreReplica,
        clock: Callable[[], float],
        send: SendDatagram,
        served_by_others: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._clock = clock
        self._send = send
        self._served_by_others = served_by_others
        self._others = frozenset(
            socket_address(one) for one in settings.publishers
        )
        self._heard_at: dict[Address, float] = {}
        self._recent: collections.deque[WatchEvent] = collections.deque(
            maxlen=_RECENT_CHANGES
        )
        # All changes after this revision are among the recent ones.
        self._recent_after = 0
        self._changed_at = 0.0

    @property
    def served(self) -> int:
        """Number of subscribers that are no publishers, and this VM."""
        return len(self._heard_at.keys() - self._others) + 1

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            oldest = self._clock() - _SUBSCRIBER_SILENT_S
            for address, heard_at in list(self._heard_at.items()):
                if heard_at < oldest:
                    self._heard_at.pop(address)
            if self._clock() - self._changed_at > _REPEAT_S:
                self._recent.clear()
                self._recent_after = self._replica.revision
            self.announce()

    def subscribed(self, address: Address) -> None:
        """Note a subscriber and answer it at once when it is new."""
        is_new = address not in self._heard_at
        self._heard_at[address] = self._clock()
        if is_new and self._replica.revision:
            self._send(self._announcement(), address)

    def changed(self, before: int, changes: Changes) -> None:
        """Announce changes that have been merged into the replica.

        Args:
            before: Revision of the replica before them.
            changes: What was new.
        """
        if not changes.events:
            return
        self._note_recent(before, changes)
        self.announce()

    def announce(self) -> None:
        """Send the present state to all subscribers."""
        if not self._replica.revision or not self._heard_at:
            return
        datagram = self._announcement()
        for address in self._heard_at:
            self._send(datagram, address)

    def snapshot(self, query: bytes) -> http1.Response:
        """Answer a request for a snapshot.

        Args:
            query: The revision that the reader has, as decimal digits.
        """
        after = int(query) if query.isdigit() else 0
        snapshot = peer_messages.Snapshot(
            self._replica.revision,
            self._age_ms(),
            peer_messages.stored_items(self._replica.items, after),
        )
        return http1.Response(
            http1.OK,
            peer_messages.encode_snapshot(snapshot),
            b'application/octet-stream',
        )

    def _note_recent(self, before: int, changes: Changes) -> None:
        self._changed_at = self._clock()
        if not self._recent:
            self._recent_after = before
        for event in changes.events:
            if len(self._recent) == _RECENT_CHANGES:
                self._recent_after = self._recent[0].mod_revision
            self._recent.append(event)

    def _announcement(self) -> bytes:
        datagram = self._encode(
            self._recent_after, peer_messages.as_items(self._recent)
        )
        if len(datagram) <= _DATAGRAM_BYTES_MAX:
            return datagram
        return self._encode(self._replica.revision, [])

    def _encode(self, before: int, items: list[peer_messages.Item]) -> bytes:
        return peer_messages.encode_datagram(
            peer_messages.Announcement(
                self._settings.name,
                self._settings.control,
                self._settings.domain,
                self._replica.revision,
                self._age_ms(),
                self.served,
                self.served + self._served_by_others(),
                before,
                items,
            )
        )

    def _age_ms(self) -> int:
        return int(self._replica.age_s * peer_messages.MS_PER_S)
