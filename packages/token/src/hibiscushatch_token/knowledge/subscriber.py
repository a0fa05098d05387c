"""Learns from other entry VMs what they have read from the store.

A subscriber is up to date as long as it holds all that a publisher announced
a moment ago. When no publisher is heard, the entry VM reads the store itself.
"""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from hibiscushatch_core.errors import PeerError
from hibiscushatch_core.ports import StoredValue
from hibiscushatch_token.http1 import ClientConnection
from hibiscushatch_token.knowledge import peer_messages
from hibiscushatch_token.knowledge.publisher import SILENT_S, SendDatagram
from hibiscushatch_token.knowledge.replica import StoreReplica
from hibiscushatch_token.ports import Changes, Listing
from hibiscushatch_token.settings import TokenNodeSettings, socket_address

SNAPSHOT_PATH = '/v1/snapshot'
_SUBSCRIBE_S = 0.5
_SNAPSHOT_TIMEOUT_S = 1.0
# A publisher's watch ends at least every 1.5 s.
_CURRENT_MS = 1800

_log = logging.getLogger(__name__)


class _Source(msgspec.Struct):
    """What is known of one publisher.

    Attributes:
        heard_at: When its latest announcement came.
        domain: Its failure domain; empty before it was heard.
        served: How many entry VMs it serves.
        is_current: The announcement was of a replica that is up to date.
    """

    heard_at: float = float('-inf')
    domain: str = ''
    served: int = 0
    is_current: bool = False


class Subscriber:
    """Follows the publishers.

    A publisher subscribes to all others. Any other entry VM subscribes to one
    that is up to date, in its own failure domain where there is one, and to
    all of them as long as it hears none. Where a publisher refers it to a
    relay, it follows that as long as it hears it.

    Args:
        settings: Settings of this entry VM.
        replica: What is kept up to date.
        clock: Monotonic seconds.
        send: Sends a datagram.
        changed: Called with the revision before changes and the changes.
        renewed: Called when a publisher has announced that nothing changed,
            and this one has to pass that on.
        count_served: Counts the entry VMs that this one tells of changes.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        replica: StoreReplica,
        clock: Callable[[], float],
        send: SendDatagram,
        changed: Callable[[int, Changes], None],
        renewed: Callable[[], None],
        count_served: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._clock = clock
        self._send = send
        self._changed = changed
        self._renewed = renewed
        self._count_served = count_served
        self._sources = {
            one: _Source()
            for one in settings.publishers
            if one != settings.control
        }
        self._followed: list[str] = []
        self._counted_by = ''
        self._relay = ''
        self._fleet = 0
        self._announced_fleet = 0
        self._wanted = asyncio.Event()
        self._snapshot_from = ''

    @property
    def fleet(self) -> int:
        """The most entry VMs that publishers ever counted; 0 for unknown."""
        return self._fleet

    @property
    def followed(self) -> list[str]:
        """Control addresses of those that it has subscribed to."""
        return self._followed

    def count_fleet(self) -> int:
        """Count the entry VMs at present, as a publisher or as one was told."""
        if self._settings.is_publisher:
            return 1 + self._count_served() + self.served_by_others()
        return self._announced_fleet

    def hears_source(self) -> bool:
        """Tell whether a publisher or a relay was heard a moment ago."""
        return any(map(self._is_heard, self._sources.values()))

    def served_by_others(self) -> int:
        """Count the entry VMs that other publishers serve."""
        return sum(
            one.served for one in self._sources.values() if self._is_heard(one)
        )

    async def run(self) -> None:
        """Subscribe again and again until cancelled."""
        while True:
            self.subscribe()
            await asyncio.sleep(_SUBSCRIBE_S)

    def subscribe(self) -> None:
        """Subscribe to whom to follow, and leave whom not to follow more."""
        wanted = self._wanted_sources()
        if wanted != self._followed:
            self._leave(wanted)
        self._followed = wanted
        self._counted_by = ''
        if len(wanted) == 1 and not self._settings.is_publisher:
            self._counted_by = wanted[0]
        for one in wanted:
            self._subscribe_to(one)

    async def fetch(self) -> None:
        """Fetch what is missing here of announced changes."""
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            await self._fetch_from(self._snapshot_from)

    def announced(self, message: peer_messages.Announcement) -> None:
        """Take over what a publisher announced."""
        self._announced_fleet = message.fleet
        self._fleet = max(self._fleet, message.fleet)
        self._note_source(message)
        before = self._replica.revision
        if message.revision < before:
            return
        age_s = message.age_ms / peer_messages.MS_PER_S
        if message.revision == before:
            was_current = self._is_current
            self._replica.prove(age_s)
            if self._is_to_pass_on(message, was_current):
                self._renewed()
        else:
            changes = self._replica.merge_changes(
                message.before,
                Changes(
                    peer_messages.as_events(message.items), message.revision
                ),
            )
            if changes is None:
                self._snapshot_from = message.control
                self._wanted.set()
                return
            self._replica.prove(age_s)
            self._changed(before, changes)

    def referred(self, message: peer_messages.Referral) -> None:
        """Follow a relay once it is heard; publishers follow each other."""
        settings = self._settings
        if settings.is_publisher or message.control == settings.control:
            return
        if message.control != self._relay:
            self._forget_relay()
            self._relay = message.control
            self._sources.setdefault(message.control, _Source())
        self._subscribe_to(message.control)

    @property
    def _is_current(self) -> bool:
        return self._replica.age_s <= self._settings.store.fresh_s

    def _is_to_pass_on(
        self, message: peer_messages.Announcement, was_current: bool
    ) -> bool:
        settings = self._settings
        if not settings.is_publisher:
            return message.control in settings.publishers
        # Publishers pass on what comes from earlier ones, so that nothing goes
        # in circles, and what ends an outage.
        is_end = self._is_current and not was_current
        publishers = settings.publishers
        rank = publishers.index(settings.control)
        return is_end or message.control in publishers[:rank]

    def _forget_relay(self) -> None:
        if self._relay not in self._settings.publishers:
            self._sources.pop(self._relay, None)

    def _note_source(self, message: peer_messages.Announcement) -> None:
        source = self._sources.get(message.control)
        if source is not None:
            source.heard_at = self._clock()
            source.domain = message.domain
            source.served = message.served
            source.is_current = message.age_ms <= _CURRENT_MS
            self._be_counted(message.control, source)

    def _be_counted(self, control: str, source: _Source) -> None:
        # Cold upstreams get too much where an entry VM is not counted.
        if self._counted_by or self._settings.is_publisher:
            return
        if source.is_current:
            self._counted_by = control
            self._subscribe_to(control)

    def _wanted_sources(self) -> list[str]:
        if self._settings.is_publisher:
            return list(self._sources)
        current = [
            control
            for control, source in self._sources.items()
            if source.is_current and self._is_heard(source)
        ]
        if self._relay in current:
            return [self._relay]
        near = [
            control
            for control in current
            if self._sources[control].domain == self._settings.domain
        ]
        return (near or current)[:1] or list(self._sources)

    def _leave(self, wanted: list[str]) -> None:
        farewell = peer_messages.Unsubscription(
            self._settings.name, self._settings.control
        )
        for one in self._followed:
            if one not in wanted:
                self._tell(one, farewell)
        _log.info(
            'following',
            extra={
                'peers': ','.join(wanted),
                'replaced': ','.join(self._followed),
                'relay': wanted == [self._relay],
                'age_s': round(self._replica.age_s, 3),
            },
        )

    def _subscribe_to(self, control: str) -> None:
        settings = self._settings
        self._tell(
            control,
            peer_messages.Subscription(
                settings.name,
                settings.control,
                settings.domain,
                self._count_served(),
                is_counted=control == self._counted_by,
            ),
        )

    def _tell(self, control: str, message: peer_messages.Datagram) -> None:
        self._send(peer_messages.encode(message), socket_address(control))

    def _is_heard(self, source: _Source) -> bool:
        return self._clock() - source.heard_at < SILENT_S

    async def _fetch_from(self, peer: str) -> None:
        before = self._replica.revision
        connection = ClientConnection(socket_address(peer))
        try:
            for option in ('', '&keys'):
                response = await connection.call(
                    'GET',
                    f'{SNAPSHOT_PATH}?{before}{option}',
                    b'',
                    _SNAPSHOT_TIMEOUT_S,
                )
                if self._merge(before, response.body, peer):
                    break
        except (OSError, PeerError) as error:
            # The next announcement asks for it again.
            _log.info(
                'catching up failed',
                extra={'peer': peer, 'error': str(error) or repr(error)},
            )
        finally:
            connection.close()

    def _merge(self, before: int, body: bytes, peer: str) -> bool:
        """Merge what a peer sent; False when the keys are missing in it."""
        message = peer_messages.decode_catch_up(body, peer)
        if isinstance(message, peer_messages.Delta):
            events = peer_messages.as_events(message.items)
            changes = self._replica.merge_changes(
                message.before, Changes(events, message.revision)
            )
        else:
            listing = self._listing_of(message)
            if listing is None:
                return False
            changes = self._replica.merge_listing(listing)
        if changes is not None and self._replica.revision == message.revision:
            self._replica.prove(message.age_ms / peer_messages.MS_PER_S)
            self._changed(before, changes)
        return True

    def _listing_of(
        self, message: peer_messages.Snapshot | peer_messages.Refresh
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
            kept = (one.key for one in message.items if one.key in known)
            listed = {**{key: known[key] for key in kept}, **listed}
        return Listing(tuple(listed.values()), message.revision)
