"""Receives from other entry VMs what they have read from the store.

A subscriber is up to date as long as it has applied all changes that a
publisher announced recently. When it hears from no publisher, the entry VM
reads the store itself.
"""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from hibiscushatch_core.errors import PeerError
from hibiscushatch_core.ports import StoredValue
from hibiscushatch_token.http1 import ClientConnection
from hibiscushatch_token.knowledge import peer_messages
from hibiscushatch_token.knowledge.publisher import PEER_TIMEOUT_S, SendDatagram
from hibiscushatch_token.knowledge.replica import StoreReplica
from hibiscushatch_token.ports import Changes, Listing, Position
from hibiscushatch_token.settings import TokenNodeSettings, socket_address

SNAPSHOT_PATH = '/v1/snapshot'
_SUBSCRIBE_INTERVAL_S = 0.5
_SNAPSHOT_TIMEOUT_S = 1.0
# A source whose replica is older counts as not up to date. A publisher's watch
# ends at least every 1.5 s.
_CURRENT_AGE_MS_MAX = 1800

# Shortest time between two heartbeats that are passed on. Entry VMs that
# disagree about the publishers may pass heartbeats round in a circle.
_PASS_ON_GAP_S = 0.1

_log = logging.getLogger(__name__)


class _Source(msgspec.Struct):
    """What is known of a publisher or relay.

    Attributes:
        heard_at: When its latest announcement came.
        domain: Its failure domain; empty before the first announcement.
        served: Number of entry VMs that it serves.
        is_current: Whether its replica was up to date at that announcement.
    """

    heard_at: float = float('-inf')
    domain: str = ''
    served: int = 0
    is_current: bool = False


class Subscriber:
    """Follows publishers or a relay: subscribes and applies announcements.

    A publisher subscribes to all other publishers. Any other entry VM
    subscribes to one publisher that is up to date, if possible in its own
    failure domain, and to all publishers as long as none is up to date. When a
    publisher refers it to a relay, it follows the relay instead as long as it
    hears from the relay and the relay is up to date.

    Args:
        settings: Settings of this entry VM.
        replica: The replica to keep up to date.
        clock: Returns monotonic seconds.
        send: Sends a datagram.
        on_changes: Called with the replica's position before changes and with
            those changes that were new to it.
        on_unchanged: Called when a publisher has announced that nothing has
            changed and this entry VM has to pass that on.
        count_served: Returns the number of entry VMs that this one serves.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        replica: StoreReplica,
        clock: Callable[[], float],
        send: SendDatagram,
        on_changes: Callable[[Position, Changes], None],
        on_unchanged: Callable[[], None],
        count_served: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._clock = clock
        self._send = send
        self._on_changes = on_changes
        self._on_unchanged = on_unchanged
        self._count_served = count_served
        self._sources = {
            control: _Source()
            for control in settings.publishers
            if control != settings.control
        }
        self._followed: list[str] = []
        self._counted_by = ''
        self._relay = ''
        self._largest_fleet = 0
        self._announced_fleet = 0
        self._fetch_needed = asyncio.Event()
        self._fetch_address = ''
        # The latest era for which a peer has announced that it knows what was
        # in force before, and the latest for which a peer has sent that.
        self._reconciling_era = 0
        self._earlier_state_era = 0
        self._started_at = clock()
        self._is_confirmed_by_peer = False
        self._passed_on_at = float('-inf')

    @property
    def largest_fleet(self) -> int:
        """Largest announced number of entry VMs; 0 when unknown."""
        return self._largest_fleet

    @property
    def followed(self) -> list[str]:
        """Control addresses of the entry VMs that this one subscribes to."""
        return self._followed

    def count_fleet(self) -> int:
        """Return the present number of entry VMs.

        A publisher counts them itself; others return the announced number.
        """
        if self._settings.is_publisher:
            return 1 + self._count_served() + self.served_by_others()
        return self._announced_fleet

    def has_live_source(self) -> bool:
        """Return whether a publisher or relay was heard from recently."""
        return any(map(self._is_live, self._sources.values()))

    def served_by_others(self) -> int:
        """Return the number of entry VMs that other publishers serve."""
        return sum(
            source.served
            for source in self._sources.values()
            if self._is_live(source)
        )

    async def run(self) -> None:
        """Renew the subscriptions until cancelled."""
        while True:
            self.subscribe()
            await asyncio.sleep(_SUBSCRIBE_INTERVAL_S)

    def subscribe(self) -> None:
        """Choose which entry VMs to follow, and update the subscriptions."""
        self._warn_if_alone()
        chosen = self._choose_sources()
        if chosen != self._followed:
            self._unsubscribe_except(chosen)
        self._followed = chosen
        self._counted_by = ''
        if len(chosen) == 1 and not self._settings.is_publisher:
            self._counted_by = chosen[0]
        for control in chosen:
            self._subscribe_to(control)

    async def run_fetches(self) -> None:
        """Fetch announced changes that are missing here, until cancelled."""
        while True:
            await self._fetch_needed.wait()
            self._fetch_needed.clear()
            await self._fetch_from(self._fetch_address)

    def on_announcement(self, message: peer_messages.Announcement) -> None:
        """Apply an announcement; request a fetch when changes are missing."""
        self._announced_fleet = message.fleet
        self._largest_fleet = max(self._largest_fleet, message.fleet)
        self._record_source(message)
        before = self._replica.position
        if message.position < before:
            return
        self._is_confirmed_by_peer = True
        if message.is_reconciling:
            self._reconciling_era = max(self._reconciling_era, message.era)
            if self._needs_earlier_state():
                self._request_fetch(message.control)
        if message.position == before:
            was_current = self._is_current
            self._confirm(message)
            if self._should_pass_on(message, was_current):
                self._on_unchanged()
        else:
            changes = self._replica.merge_changes(
                message.before_position,
                Changes(
                    peer_messages.events_from_items(message.items),
                    message.position,
                ),
            )
            if changes is None:
                self._request_fetch(message.control)
                return
            self._confirm(message)
            self._on_changes(before, changes)

    def on_referral(self, message: peer_messages.Referral) -> None:
        """Subscribe to a relay; it is followed once it has been heard from.

        Publishers ignore referrals, as they follow each other.
        """
        settings = self._settings
        if settings.is_publisher or message.control == settings.control:
            return
        if message.control != self._relay:
            self._remove_relay()
            self._relay = message.control
            self._sources.setdefault(message.control, _Source())
        self._subscribe_to(message.control)

    @property
    def _is_current(self) -> bool:
        return self._replica.age_s <= self._settings.store.fresh_s

    def _needs_earlier_state(self) -> bool:
        return self._reconciling_era > self._earlier_state_era

    def _request_fetch(self, control: str) -> None:
        self._fetch_address = control
        self._fetch_needed.set()

    def _warn_if_alone(self) -> None:
        # Another entry VM would know whether the store has just come back from
        # an older copy, and what that copy lacks.
        if self._is_confirmed_by_peer or self._replica.is_empty:
            return
        if self._clock() - self._started_at > PEER_TIMEOUT_S and self._sources:
            self._is_confirmed_by_peer = True
            _log.warning(
                'no entry VM has confirmed what the store lists',
                extra={
                    'peers': ','.join(self._sources),
                    'era': self._replica.position.era,
                    'revision': self._replica.position.revision,
                },
            )

    def _should_pass_on(
        self, message: peer_messages.Announcement, was_current: bool
    ) -> bool:
        # A publisher passes on heartbeats of publishers that precede it, other
        # entry VMs those of all publishers.
        settings = self._settings
        sources = settings.publishers
        if settings.is_publisher:
            if self._is_current and not was_current:
                # The heartbeat ends an outage.
                return True
            sources = settings.preceding_publishers
        now = self._clock()
        is_paced = now - self._passed_on_at >= _PASS_ON_GAP_S
        if not is_paced or message.control not in sources:
            return False
        self._passed_on_at = now
        return True

    def _confirm(
        self, message: peer_messages.Announcement | peer_messages.CatchUp
    ) -> None:
        # A publisher relies on no age whose read it does not know: two
        # publishers could otherwise hold each other's knowledge for fresh.
        if message.read is not None or not self._settings.is_publisher:
            self._replica.confirm_newest(
                message.age_ms / peer_messages.MS_PER_S, message.read
            )

    def _remove_relay(self) -> None:
        if self._relay not in self._settings.publishers:
            self._sources.pop(self._relay, None)

    def _record_source(self, message: peer_messages.Announcement) -> None:
        source = self._sources.get(message.control)
        if source is not None:
            source.heard_at = self._clock()
            source.domain = message.domain
            source.served = message.served
            is_current_era = message.era >= self._replica.position.era
            is_recent = message.age_ms <= _CURRENT_AGE_MS_MAX
            source.is_current = is_current_era and is_recent
            self._ensure_counted(message.control, source)

    def _ensure_counted(self, control: str, source: _Source) -> None:
        # Cold upstreams get too many new flows when an entry VM is not counted.
        if self._counted_by or self._settings.is_publisher:
            return
        if source.is_current:
            self._counted_by = control
            self._subscribe_to(control)

    def _choose_sources(self) -> list[str]:
        if self._settings.is_publisher:
            return list(self._sources)
        current = [
            control
            for control, source in self._sources.items()
            if source.is_current and self._is_live(source)
        ]
        if self._relay in current:
            return [self._relay]
        in_own_domain = [
            control
            for control in current
            if self._sources[control].domain == self._settings.domain
        ]
        return (in_own_domain or current)[:1] or list(self._sources)

    def _unsubscribe_except(self, chosen: list[str]) -> None:
        unsubscription = peer_messages.Unsubscription(
            self._settings.name, self._settings.control
        )
        for control in self._followed:
            if control not in chosen:
                self._send_message(control, unsubscription)
        _log.info(
            'following',
            extra={
                'peers': ','.join(chosen),
                'replaced': ','.join(self._followed),
                'relay': chosen == [self._relay],
                'age_s': round(self._replica.age_s, 3),
            },
        )

    def _subscribe_to(self, control: str) -> None:
        settings = self._settings
        self._send_message(
            control,
            peer_messages.Subscription(
                settings.name,
                settings.control,
                settings.domain,
                self._count_served(),
                is_counted=control == self._counted_by,
            ),
        )

    def _send_message(
        self, control: str, message: peer_messages.Datagram
    ) -> None:
        self._send(peer_messages.encode(message), socket_address(control))

    def _is_live(self, source: _Source) -> bool:
        return self._clock() - source.heard_at < PEER_TIMEOUT_S

    async def _fetch_from(self, peer: str) -> None:
        connection = ClientConnection(socket_address(peer))
        try:
            for needs_all_keys in (False, True):
                query = self._build_query(needs_all_keys)
                response = await connection.call(
                    'GET',
                    f'{SNAPSHOT_PATH}?{peer_messages.build_query(query)}',
                    b'',
                    _SNAPSHOT_TIMEOUT_S,
                )
                if self._merge_catch_up(response.body, peer):
                    break
        except (OSError, PeerError) as error:
            # The next announcement triggers another fetch.
            _log.info(
                'catching up failed',
                extra={'peer': peer, 'error': str(error) or repr(error)},
            )
        finally:
            connection.close()

    def _build_query(self, needs_all_keys: bool) -> peer_messages.CatchUpQuery:
        return peer_messages.CatchUpQuery(
            self._replica.position, needs_all_keys, self._needs_earlier_state()
        )

    def _merge_catch_up(self, body: bytes, peer: str) -> bool:
        """Merge the response of a peer to a request for missing changes.

        Returns:
            False when the replica has missed deletions, so that a listing of
            all keys has to be requested.
        """
        message = peer_messages.decode_catch_up(body, peer)
        position = Position(message.era, message.revision)
        before = self._replica.position
        if isinstance(message, peer_messages.Delta):
            events = peer_messages.events_from_items(message.items)
            changes = self._replica.merge_changes(
                Position(message.era, message.before),
                Changes(events, position),
            )
        else:
            listing = self._build_listing(message, position)
            if listing is None:
                return False
            changes = self._replica.merge_listing(listing)
        if isinstance(message, peer_messages.Snapshot):
            self._merge_earlier_state(message)
        if changes is not None and self._replica.position == position:
            self._confirm(message)
            self._on_changes(before, changes)
        return True

    def _merge_earlier_state(self, message: peer_messages.Snapshot) -> None:
        is_current_era = message.era == self._replica.position.era
        if message.earlier is None or not is_current_era:
            return
        self._earlier_state_era = message.era
        self._replica.merge_earlier_state(
            peer_messages.decode_earlier_state(message.earlier)
        )

    def _build_listing(
        self,
        message: peer_messages.Snapshot | peer_messages.Refresh,
        position: Position,
    ) -> Listing | None:
        known = {item.key: item for item in self._replica.items}
        listed = {
            item.key: StoredValue(item.key, item.value, item.revision)
            for item in message.items
            if item.value is not None
        }
        if isinstance(message, peer_messages.Refresh):
            listed = {**known, **listed}
            if peer_messages.checksum_of_keys(listed) != message.checksum:
                return None
        else:
            kept = (entry.key for entry in message.items if entry.key in known)
            listed = {**{key: known[key] for key in kept}, **listed}
        return Listing(tuple(listed.values()), position)
