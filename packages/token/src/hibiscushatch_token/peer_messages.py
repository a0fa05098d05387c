"""Messages between entry VMs, JSON over UDP and HTTP."""

import zlib
from collections.abc import Iterable

import msgspec

from hibiscushatch_core.errors import PeerError
from hibiscushatch_core.ports import StoredValue, WatchEvent

MS_PER_S = 1000


class Item(msgspec.Struct, frozen=True, omit_defaults=True):
    """An item of the store; no value means deleted, or known already."""

    key: str
    revision: int
    value: bytes | None = None


class Subscription(msgspec.Struct, frozen=True, tag='subscription'):
    """Asks a publisher for announcements.

    Attributes:
        vm: Name of the subscriber.
        control: Address at which it takes them.
    """

    vm: str
    control: str


class Announcement(msgspec.Struct, frozen=True, tag='announcement'):
    """What a publisher knows.

    Attributes:
        vm: Name of the publisher.
        control: Address at which it answers requests for a snapshot.
        domain: Its failure domain.
        revision: Revision of the store that it has reached.
        age_ms: How long ago that was the newest one.
        served: How many entry VMs it serves, itself included; other
            publishers do not count.
        fleet: The sum over all publishers that it hears.
        before: The items are all changes after this revision.
        items: The latest changes; none when they are too large.
    """

    vm: str
    control: str
    domain: str
    revision: int
    age_ms: int
    served: int
    fleet: int
    before: int
    items: list[Item] = []


class Snapshot(msgspec.Struct, frozen=True):
    """All items; values only of those the reader does not have."""

    revision: int
    age_ms: int
    items: list[Item]


_DATAGRAM_DECODER = msgspec.json.Decoder(Subscription | Announcement)
_SNAPSHOT_DECODER = msgspec.json.Decoder(Snapshot)


def encode_datagram(message: Subscription | Announcement) -> bytes:
    """Encode a message for one datagram."""
    return msgspec.json.encode(message)


def decode_datagram(datagram: bytes, peer: str) -> Subscription | Announcement:
    """Decode a datagram.

    Raises:
        PeerError: When it is no message.
    """
    try:
        return _DATAGRAM_DECODER.decode(datagram)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise PeerError('reading a datagram', peer, str(error)) from error


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode and compress a snapshot."""
    return zlib.compress(msgspec.json.encode(snapshot))


def decode_snapshot(body: bytes, peer: str) -> Snapshot:
    """Decode a snapshot.

    Raises:
        PeerError: When it is none.
    """
    try:
        return _SNAPSHOT_DECODER.decode(zlib.decompress(body))
    except (msgspec.MsgspecError, zlib.error, UnicodeDecodeError) as error:
        raise PeerError('reading a snapshot', peer, str(error)) from error


def as_items(events: Iterable[WatchEvent]) -> list[Item]:
    """Turn changes into items."""
    return [Item(one.key, one.mod_revision, one.value) for one in events]


def as_events(items: Iterable[Item]) -> tuple[WatchEvent, ...]:
    """Turn items into changes."""
    return tuple(WatchEvent(one.key, one.value, one.revision) for one in items)


def stored_items(items: Iterable[StoredValue], after: int) -> list[Item]:
    """Turn stored items into items, with values only of those after."""
    return [
        Item(
            one.key,
            one.mod_revision,
            one.value if one.mod_revision > after else None,
        )
        for one in items
    ]
