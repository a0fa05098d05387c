"""Tells other entry VMs what this one has read from the store.

The store counts each call, so a few entry VMs read it and pass on what they
read. A change goes out at once in datagrams. Each of them, and each heartbeat,
tells which revision it leads to, so that a subscriber notices what it missed
and fetches that: the changes since, or everything when they are too long ago.

Bytes between failure domains cost the users, and a publisher's link is finite.
So a publisher serves few entry VMs of each domain, the relays, and refers the
others to them. A relay passes on what it hears as soon as it hears it.
"""

import asyncio
import collections
import itertools
import zlib
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Iterator,
    Sequence,
)

import msgspec

from hibiscushatch_core.ports import WatchEvent
from hibiscushatch_token import http1
from hibiscushatch_token.health.outlier_detector import OutlierDetector
from hibiscushatch_token.knowledge import peer_messages
from hibiscushatch_token.knowledge.replica import StoreReplica
from hibiscushatch_token.ports import Changes
from hibiscushatch_token.settings import TokenNodeSettings, socket_address

HEARTBEAT_S = 0.5
# Six heartbeats without a subscription.
_SUBSCRIBER_SILENT_S = 3.0
# Two heartbeats and some delay.
SILENT_S = 1.2
# A datagram of this size is not fragmented on Ethernet.
_DATAGRAM_BYTES_MAX = 1400
# Changes that subscribers can still fetch; an entry has some 250 bytes.
_LOGGED_CHANGES = 2000
# Some 20 bytes each, in one datagram.
_ANNOUNCED_EJECTIONS_MAX = 50

Address = tuple[str, int]
SendDatagram = Callable[[bytes, Address], None]


class _Subscriber(msgspec.Struct):
    """What is known of one subscriber.

    Attributes:
        control: Its control address.
        domain: Its failure domain.
        heard_at: When its latest subscription came.
        served: How many entry VMs it serves as a relay.
        is_counted: This publisher is the one that counts it.
    """

    control: str
    domain: str
    heard_at: float
    served: int
    is_counted: bool


class Publisher:
    """Announces the replica to those who subscribed.

    Args:
        settings: Settings of this entry VM.
        replica: What is announced.
        clock: Monotonic seconds.
        send: Sends a datagram.
        detector: Tells which upstreams are ejected.
        count_fleet: Counts the entry VMs.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        replica: StoreReplica,
        clock: Callable[[], float],
        send: SendDatagram,
        detector: OutlierDetector,
        count_fleet: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._clock = clock
        self._send = send
        self._detector = detector
        self._count_fleet = count_fleet
        self._subscribers: dict[Address, _Subscriber] = {}
        self._announced_at = float('-inf')
        self._log: collections.deque[WatchEvent] = collections.deque()
        # All changes after this revision are in the log.
        self._logged_after = 0

    @property
    def served(self) -> int:
        """Number of entry VMs that this one counts, itself included."""
        counted = [one for one in self._subscribers.values() if one.is_counted]
        # Entry VMs that lost their relay come back after as long.
        silent_at = self._clock() - SILENT_S
        behind_relays = sum(
            one.served for one in counted if one.heard_at > silent_at
        )
        return 1 + len(counted) + behind_relays

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            oldest = self._clock() - _SUBSCRIBER_SILENT_S
            for address, subscriber in list(self._subscribers.items()):
                if subscriber.heard_at < oldest:
                    self._subscribers.pop(address)
            # One that passes on what another publisher told is in step with it.
            is_due = self._clock() - self._announced_at > HEARTBEAT_S / 2
            if self._settings.is_publisher and is_due:
                self.announce()

    def subscribed(self, message: peer_messages.Subscription) -> None:
        """Send announcements to an entry VM from now on."""
        address = socket_address(message.control)
        is_new = address not in self._subscribers
        subscriber = _Subscriber(
            message.control,
            message.domain,
            self._clock(),
            message.served,
            message.is_counted,
        )
        self._subscribers[address] = subscriber
        if is_new and self._replica.revision:
            self._send(self._heartbeat(), address)
        if self._settings.is_publisher and message.is_counted:
            self._refer(subscriber, address)

    def unsubscribed(self, message: peer_messages.Unsubscription) -> None:
        """Send an entry VM no more announcements."""
        self._subscribers.pop(socket_address(message.control), None)

    def changed(self, before: int, changes: Changes, is_told: bool) -> None:
        """Announce changes that have been merged into the replica.

        Args:
            before: Revision of the replica before them.
            changes: What was new.
            is_told: They come from another entry VM, which has told all
                publishers of them.
        """
        if not changes.events:
            return
        if not before:
            # Subscribers have read their own first listing; a log that began
            # with this one would hold nothing else.
            self.announce()
            return
        self._note(before, sorted(changes.events, key=_revision_of))
        addresses = self._subscribers.keys()
        if is_told:
            publishers = map(socket_address, self._settings.publishers)
            addresses -= set(publishers)
        self.tell(addresses, before, changes)

    def tell(
        self, addresses: Collection[Address], before: int, changes: Changes
    ) -> None:
        """Tell entry VMs what was read, or that nothing has changed.

        Args:
            addresses: Their control addresses.
            before: Revision of the replica before the changes.
            changes: What was new.
        """
        if not addresses:
            return
        datagrams: Iterable[bytes] = (self._heartbeat(),)
        if before and changes.events:
            datagrams = self._changes(before, changes)
        for datagram in datagrams:
            for address in addresses:
                self._send(datagram, address)

    def announce(self) -> None:
        """Send the present state to all subscribers."""
        self._announced_at = self._clock()
        if self._replica.revision:
            revision = self._replica.revision
            self.tell(self._subscribers, revision, Changes((), revision))

    def snapshot(self, query: bytes) -> http1.Response:
        """Answer a request for what a reader is missing.

        Args:
            query: The revision that the reader has, as decimal digits; then
                ``&keys`` from a reader that misses deletions.

        Returns:
            The changes since; without deletions when the log is too short;
            everything when that is not enough.
        """
        digits, _, option = query.partition(b'&')
        after = int(digits) if digits.isdigit() else 0
        message = self._catch_up(after, needs_keys=option == b'keys')
        return http1.Response(
            http1.OK,
            peer_messages.encode(message),
            b'application/octet-stream',
        )

    def _refer(self, subscriber: _Subscriber, address: Address) -> None:
        limits = self._settings.relays
        is_here = subscriber.domain == self._settings.domain
        limit = limits.here if is_here else limits.elsewhere
        # In the order in which they subscribed, so that relays stay relays.
        relays = [
            one.control
            for one in self._subscribers.values()
            if one.domain == subscriber.domain and one.is_counted
        ][:limit]
        if subscriber.control not in relays:
            chosen = zlib.crc32(subscriber.control.encode()) % len(relays)
            referral = peer_messages.Referral(relays[chosen])
            self._send(peer_messages.encode(referral), address)

    def _catch_up(self, after: int, needs_keys: bool) -> peer_messages.CatchUp:
        revision = self._replica.revision
        if self._log and self._logged_after <= after:
            missed = (one for one in self._log if one.mod_revision > after)
            return peer_messages.Delta(
                after, revision, self._age_ms(), peer_messages.as_items(missed)
            )
        if needs_keys or not after:
            return peer_messages.Snapshot(
                revision,
                self._age_ms(),
                peer_messages.stored_items(self._replica.items, after),
            )
        items = list(self._replica.items)
        return peer_messages.Refresh(
            revision,
            self._age_ms(),
            [
                peer_messages.Item(one.key, one.mod_revision, one.value)
                for one in items
                if one.mod_revision > after
            ],
            peer_messages.checksum_of_keys(one.key for one in items),
        )

    def _note(self, before: int, events: list[WatchEvent]) -> None:
        if not self._log:
            self._logged_after = before
        self._log.extend(events)
        while len(self._log) > _LOGGED_CHANGES:
            self._logged_after = self._log.popleft().mod_revision

    def _changes(self, before: int, changes: Changes) -> Iterator[bytes]:
        events = sorted(changes.events, key=_revision_of)
        groups = [
            list(group) for _, group in itertools.groupby(events, _revision_of)
        ]
        return self._datagrams(before, groups, changes.revision)

    def _datagrams(
        self, before: int, groups: list[list[WatchEvent]], revision: int
    ) -> Iterator[bytes]:
        """Yield announcements of changes, each of as many as it holds.

        Changes of one revision stay together. Where they are too large for a
        datagram, a heartbeat shows subscribers that something is missing.
        """
        items = peer_messages.as_items(itertools.chain.from_iterable(groups))
        datagram = self._encode(before, revision, items)
        if len(datagram) <= _DATAGRAM_BYTES_MAX:
            yield datagram
        elif len(groups) == 1:
            yield self._heartbeat()
        else:
            middle = len(groups) // 2
            reached = groups[middle - 1][0].mod_revision
            yield from self._datagrams(before, groups[:middle], reached)
            yield from self._datagrams(reached, groups[middle:], revision)

    def _heartbeat(self) -> bytes:
        revision = self._replica.revision
        longest = sorted(
            self._detector.active_ejections(), key=_left_s, reverse=True
        )
        ejections = [
            peer_messages.EjectedUpstream(
                name, int(left_s * peer_messages.MS_PER_S)
            )
            for name, left_s in longest[:_ANNOUNCED_EJECTIONS_MAX]
        ]
        return self._encode(revision, revision, [], ejections)

    def _encode(
        self,
        before: int,
        revision: int,
        items: list[peer_messages.Item],
        ejections: Sequence[peer_messages.EjectedUpstream] = (),
    ) -> bytes:
        return peer_messages.encode(
            peer_messages.Announcement(
                self._settings.name,
                self._settings.control,
                self._settings.domain,
                revision,
                self._age_ms(),
                self.served,
                self._count_fleet(),
                before,
                items,
                list(ejections),
            )
        )

    def _age_ms(self) -> int:
        return int(self._replica.age_s * peer_messages.MS_PER_S)


def _left_s(ejected: tuple[str, float]) -> float:
    return ejected[1]


def _revision_of(event: WatchEvent) -> int:
    return event.mod_revision
