"""Announces to other entry VMs what this one has read from the store.

The store counts each call, so only a few entry VMs, the publishers, read it and
announce what they read to their subscribers. A change is sent at once, in
datagrams. Each announcement, heartbeats included, carries the position that it
leads to, so that a subscriber notices missed changes and fetches them: the
changes since its own position or, when those are no longer kept or the store
has come back from an older copy of itself since, the items.

Traffic between failure domains costs the users money, and the bandwidth of a
publisher is limited. So a publisher serves only a few entry VMs of each domain,
the relays, and refers the others to them. A relay passes announcements on as
soon as it receives them.
"""

import asyncio
import collections
import itertools
import math
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
from hibiscushatch_token.health.outlier_detector import OutlierDetector
from hibiscushatch_token.http_messages import OK, Response
from hibiscushatch_token.knowledge import peer_messages
from hibiscushatch_token.knowledge.replica import StoreReplica
from hibiscushatch_token.ports import NO_POSITION, Changes, Position
from hibiscushatch_token.settings import TokenNodeSettings, socket_address

HEARTBEAT_S = 0.5
# Six heartbeat intervals without a renewed subscription.
_SUBSCRIPTION_TIMEOUT_S = 3.0
# A peer not heard from for this long counts as unreachable: two heartbeat
# intervals and some delay.
PEER_TIMEOUT_S = 1.2
# A datagram of this size is not fragmented on Ethernet.
_DATAGRAM_BYTES_MAX = 1400
# Changes kept for subscribers that missed them; an entry has some 250 bytes.
_CHANGE_LOG_MAX = 2000
# An ejection takes some 20 bytes, and all have to fit into one datagram.
_ANNOUNCED_EJECTIONS_MAX = 50

Address = tuple[str, int]
SendDatagram = Callable[[bytes, Address], None]


class _Subscriber(msgspec.Struct):
    """What this entry VM knows of one subscriber.

    Attributes:
        control: Its control address.
        domain: Its failure domain.
        heard_at: When its latest subscription came.
        served: Number of entry VMs that it serves as a relay.
        is_counted: Whether this publisher counts it as part of the fleet.
    """

    control: str
    domain: str
    heard_at: float
    served: int
    is_counted: bool


class Publisher:
    """Announces changes of the replica to subscribers.

    Relays use it as well as publishers.

    Args:
        settings: Settings of this entry VM.
        replica: The replica whose changes are announced.
        clock: Returns monotonic seconds.
        send: Sends a datagram.
        detector: Lists the ejected upstreams.
        count_fleet: Returns the number of entry VMs.
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
        self._heartbeats_sent_at = float('-inf')
        self._change_log: collections.deque[WatchEvent] = collections.deque()
        # The log has all changes of this era after this revision.
        self._change_log_after = NO_POSITION

    @property
    def served(self) -> int:
        """Number of entry VMs that this one serves, itself included.

        Only subscribers that are to be counted here, and the entry VMs behind
        them, are included.
        """
        counted = [
            subscriber
            for subscriber in self._subscribers.values()
            if subscriber.is_counted
        ]
        # When a relay is not heard from for this long, the entry VMs behind it
        # subscribe to a publisher again and are counted there.
        relay_heard_after = self._clock() - PEER_TIMEOUT_S
        behind_relays = sum(
            subscriber.served
            for subscriber in counted
            if subscriber.heard_at > relay_heard_after
        )
        return 1 + len(counted) + behind_relays

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            oldest = self._clock() - _SUBSCRIPTION_TIMEOUT_S
            for address, subscriber in list(self._subscribers.items()):
                if subscriber.heard_at < oldest:
                    self._subscribers.pop(address)
            # A publisher that has just passed on the heartbeat of another
            # publisher sends none of its own, so its heartbeats follow the
            # other publisher's.
            is_due = self._clock() - self._heartbeats_sent_at > HEARTBEAT_S / 2
            if self._settings.is_publisher and is_due:
                self.send_heartbeats()

    def on_subscription(self, message: peer_messages.Subscription) -> None:
        """Add or renew a subscription, or refer the subscriber to a relay."""
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
        if is_new and not self._replica.is_empty:
            self._send(self._encode_heartbeat(), address)
        if self._settings.is_publisher and message.is_counted:
            self._refer_to_relay(subscriber, address)

    def on_unsubscription(self, message: peer_messages.Unsubscription) -> None:
        """Remove a subscription."""
        self._subscribers.pop(socket_address(message.control), None)

    def announce_changes(
        self, before: Position, changes: Changes, is_from_peer: bool
    ) -> None:
        """Announce changes that have been merged into the replica.

        Args:
            before: Position of the replica before the changes.
            changes: The changes that were new to the replica.
            is_from_peer: Whether the changes come from another entry VM, which
                has sent them to all publishers itself.
        """
        if changes.is_from_listing:
            # A listing does not show each change, so none can be claimed to be
            # complete. Subscribers compare their items with those here.
            self._change_log.clear()
            self.send_heartbeats()
            return
        if not changes.events:
            return
        self._append_to_change_log(
            before, sorted(changes.events, key=_revision_of)
        )
        addresses = self._subscribers.keys()
        if is_from_peer:
            publishers = map(socket_address, self._settings.publishers)
            addresses -= set(publishers)
        self.send_update(addresses, before, changes)

    def send_update(
        self, addresses: Collection[Address], before: Position, changes: Changes
    ) -> None:
        """Send changes to entry VMs, or a heartbeat when there are none.

        Args:
            addresses: Control addresses of the entry VMs.
            before: Position of the replica before the changes.
            changes: The changes that were new to the replica.
        """
        if not addresses:
            return
        datagrams: Iterable[bytes] = (self._encode_heartbeat(),)
        if changes.events and not changes.is_from_listing:
            datagrams = self._encode_changes(before, changes)
        for datagram in datagrams:
            for address in addresses:
                self._send(datagram, address)

    def send_heartbeats(self) -> None:
        """Send a heartbeat to all subscribers."""
        self._heartbeats_sent_at = self._clock()
        if not self._replica.is_empty:
            position = self._replica.position
            self.send_update(self._subscribers, position, Changes((), position))

    def respond_to_catch_up(self, query: bytes) -> Response:
        """Respond to a reader that requests the changes it is missing.

        Args:
            query: The reader's position, with the options of the request; see
                CatchUpQuery.

        Returns:
            The changes since that position. When the change log does not reach
            back that far: the items written since, without deletions, or all
            keys if the reader has no position in this era yet or has missed
            deletions.
        """
        message = self._build_catch_up(peer_messages.parse_query(query))
        return Response(
            OK,
            peer_messages.encode(message),
            b'application/octet-stream',
        )

    def _refer_to_relay(
        self, subscriber: _Subscriber, address: Address
    ) -> None:
        limits = self._settings.relays
        is_own_domain = subscriber.domain == self._settings.domain
        limit = limits.here if is_own_domain else limits.elsewhere
        # The earliest subscribers are the relays, so that later ones do not
        # replace them.
        relays = [
            candidate.control
            for candidate in self._subscribers.values()
            if candidate.domain == subscriber.domain and candidate.is_counted
        ][:limit]
        if subscriber.control not in relays:
            chosen = zlib.crc32(subscriber.control.encode()) % len(relays)
            referral = peer_messages.Referral(relays[chosen])
            self._send(peer_messages.encode(referral), address)

    def _build_catch_up(
        self, query: peer_messages.CatchUpQuery
    ) -> peer_messages.CatchUp:
        position = self._replica.position
        is_same_era = query.after.era == position.era
        after = query.after.revision if is_same_era else 0
        has_earlier_state = self._replica.is_reconciling
        if not after or (query.needs_earlier_state and has_earlier_state):
            return self._build_snapshot(0)
        has_changes = self._change_log and self._change_log_after <= query.after
        if has_changes:
            missed = (
                entry
                for entry in self._change_log
                if entry.mod_revision > after
            )
            return peer_messages.Delta(
                after,
                position.revision,
                self._age_ms(),
                peer_messages.items_from_events(missed),
                position.era,
                self._replica.latest_read,
            )
        if query.needs_all_keys:
            return self._build_snapshot(after)
        items = list(self._replica.items)
        return peer_messages.Refresh(
            position.revision,
            self._age_ms(),
            [
                peer_messages.Item(entry.key, entry.mod_revision, entry.value)
                for entry in items
                if entry.mod_revision > after
            ],
            peer_messages.checksum_of_keys(entry.key for entry in items),
            position.era,
            self._replica.latest_read,
        )

    def _build_snapshot(self, after: int) -> peer_messages.Snapshot:
        earlier = None
        if self._replica.is_reconciling:
            earlier = peer_messages.encode_earlier_state(
                self._replica.earlier_state()
            )
        position = self._replica.position
        return peer_messages.Snapshot(
            position.revision,
            self._age_ms(),
            peer_messages.items_from_stored(self._replica.items, after),
            position.era,
            earlier,
            self._replica.latest_read,
        )

    def _append_to_change_log(
        self, before: Position, events: list[WatchEvent]
    ) -> None:
        if not self._change_log:
            self._change_log_after = before
        self._change_log.extend(events)
        while len(self._change_log) > _CHANGE_LOG_MAX:
            oldest = self._change_log.popleft()
            self._change_log_after = max(
                self._change_log_after,
                Position(before.era, oldest.mod_revision),
            )

    def _encode_changes(
        self, before: Position, changes: Changes
    ) -> Iterator[bytes]:
        last = changes.position.revision
        groups = _group_by_revision(changes.events, last)
        return self._split_into_datagrams(before.revision, groups, last)

    def _split_into_datagrams(
        self, before: int, groups: list[list[WatchEvent]], revision: int
    ) -> Iterator[bytes]:
        """Split changes into announcements that fit into a datagram each.

        Changes of one group stay together. Where they don't fit into one
        datagram, a heartbeat is sent instead: its revision shows subscribers
        that they have to fetch changes.
        """
        items = peer_messages.items_from_events(
            itertools.chain.from_iterable(groups)
        )
        datagram = self._encode_announcement(before, revision, items)
        if len(datagram) <= _DATAGRAM_BYTES_MAX:
            yield datagram
        elif len(groups) == 1:
            yield self._encode_heartbeat()
        else:
            middle = len(groups) // 2
            middle_revision = groups[middle - 1][0].mod_revision
            yield from self._split_into_datagrams(
                before, groups[:middle], middle_revision
            )
            yield from self._split_into_datagrams(
                middle_revision, groups[middle:], revision
            )

    def _encode_heartbeat(self) -> bytes:
        revision = self._replica.position.revision
        longest_first = sorted(
            self._detector.active_ejections(), key=_remaining_s, reverse=True
        )
        ejections = [
            peer_messages.EjectedUpstream(
                name, int(remaining_s * peer_messages.MS_PER_S)
            )
            for name, remaining_s in longest_first[:_ANNOUNCED_EJECTIONS_MAX]
        ]
        return self._encode_announcement(revision, revision, [], ejections)

    def _encode_announcement(
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
                self._replica.position.era,
                self._replica.is_reconciling,
                self._replica.latest_read,
            )
        )

    def _age_ms(self) -> int:
        # Rounded up, so that an age never shrinks on its way.
        return math.ceil(self._replica.age_s * peer_messages.MS_PER_S)


def _remaining_s(ejected: tuple[str, float]) -> float:
    return ejected[1]


def _group_by_revision(
    events: Iterable[WatchEvent], last: int
) -> list[list[WatchEvent]]:
    """Group changes by the revision up to which they make a replica complete.

    Args:
        events: The changes. A listing may show some that were written after its
            position, while others of that time are missing.
        last: Revision of that position. Later changes belong to its group.
    """
    groups: dict[int, list[WatchEvent]] = {}
    for event in sorted(events, key=_revision_of):
        groups.setdefault(min(event.mod_revision, last), []).append(event)
    return list(groups.values())


def _revision_of(event: WatchEvent) -> int:
    return event.mod_revision
