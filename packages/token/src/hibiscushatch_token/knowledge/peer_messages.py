"""Messages between entry VMs, over UDP and HTTP.

Entries of the store resemble each other and are binary, so messages are
MessagePack, compressed: a tenth of JSON where there are many.
"""

import socket
import zlib
from collections.abc import Iterable
from typing import Annotated

import msgspec

from hibiscushatch_core.errors import PeerError
from hibiscushatch_core.ports import StoredValue, WatchEvent
from hibiscushatch_token.settings import socket_address

MS_PER_S = 1000
_PORT_MAX = 65535
# More than one entry VM sees between two reports.
_FAILURES_MAX = 100_000
_EJECTION_MS_MAX = 3_600_000


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
        domain: Its failure domain.
        served: How many entry VMs it passes them on to.
        is_counted: This publisher is the one to count it; of several that
            are asked at a start, one counts.
    """

    vm: str
    control: str
    domain: str
    served: int
    is_counted: bool


class Unsubscription(msgspec.Struct, frozen=True, tag='unsubscription'):
    """Asks a publisher for no more announcements.

    Attributes:
        vm: Name of the subscriber.
        control: Address at which it took them.
    """

    vm: str
    control: str


class Referral(msgspec.Struct, frozen=True, tag='referral'):
    """Tells a subscriber to follow another entry VM, a relay.

    Attributes:
        control: Address of the relay.
    """

    control: str


class FailureCount(msgspec.Struct, frozen=True, array_like=True):
    """How many requests an upstream failed."""

    upstream: str
    failures: Annotated[int, msgspec.Meta(ge=1, le=_FAILURES_MAX)]


class FailureReport(msgspec.Struct, frozen=True, tag='failure_report'):
    """Failures of requests since the last report.

    Attributes:
        vm: Name of the entry VM that reports.
        control: Its control address.
        counts: Failures, by upstream.
    """

    vm: str
    control: str
    counts: list[FailureCount]


class EjectedUpstream(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that is the last choice, and for how long."""

    upstream: str
    left_ms: Annotated[int, msgspec.Meta(ge=0, le=_EJECTION_MS_MAX)]


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
        items: These changes.
        ejections: Ejected upstreams; only heartbeats carry them.
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
    ejections: list[EjectedUpstream] = []


class Snapshot(msgspec.Struct, frozen=True, tag='snapshot'):
    """All items; values only of those the reader does not have."""

    revision: int
    age_ms: int
    items: list[Item]


class Refresh(msgspec.Struct, frozen=True, tag='refresh'):
    """The items that were written after a revision, without deletions.

    Attributes:
        revision: Revision of the store that the items reflect.
        age_ms: How long ago that was the newest one.
        items: Items written after the revision that the reader asked for.
        checksum: Of all keys; tells a reader that misses deletions that it
            does.
    """

    revision: int
    age_ms: int
    items: list[Item]
    checksum: int


class Delta(msgspec.Struct, frozen=True, tag='delta'):
    """All changes after one revision and up to another."""

    before: int
    revision: int
    age_ms: int
    items: list[Item]


CatchUp = Snapshot | Refresh | Delta

Datagram = (
    Subscription | Unsubscription | Referral | Announcement | FailureReport
)

_DATAGRAM_DECODER = msgspec.msgpack.Decoder(Datagram)
_CATCH_UP_DECODER = msgspec.msgpack.Decoder(CatchUp)

# The fastest: a publisher compresses each change while callers wait.
_COMPRESSION_LEVEL = 1
# Sixteen times the entries of 3,700 upstreams (docs/CAPACITY.md).
_MESSAGE_BYTES_MAX = 16_000_000


def encode(message: Datagram | CatchUp) -> bytes:
    """Encode and compress a message."""
    return zlib.compress(msgspec.msgpack.encode(message), _COMPRESSION_LEVEL)


def decode_datagram(datagram: bytes, peer: str) -> Datagram:
    """Decode a datagram.

    Raises:
        PeerError: When it is no message.
    """
    try:
        message = _DATAGRAM_DECODER.decode(_decompress(datagram))
        _check_address(message.control)
    except (msgspec.MsgspecError, zlib.error, ValueError) as error:
        raise PeerError('reading a datagram', peer, str(error)) from error
    return message


def decode_catch_up(body: bytes, peer: str) -> CatchUp:
    """Decode what this reader was missing.

    Raises:
        PeerError: When it is nothing of the kind.
    """
    try:
        return _CATCH_UP_DECODER.decode(_decompress(body))
    except (msgspec.MsgspecError, zlib.error, ValueError) as error:
        raise PeerError('catching up', peer, str(error)) from error


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


def checksum_of_keys(keys: Iterable[str]) -> int:
    """Return a checksum of a set of keys."""
    return zlib.crc32('\n'.join(sorted(keys)).encode())


def _decompress(compressed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    message = decompressor.decompress(compressed, _MESSAGE_BYTES_MAX)
    if not decompressor.eof:
        raise ValueError('cut short or too large')
    return message


def _check_address(control: str) -> None:
    # Whoever takes the message sends there; a name would be looked up.
    host, port = socket_address(control)
    try:
        socket.inet_aton(host)
    except OSError as error:
        raise ValueError(f'no IP number: {host}') from error
    if not 0 < port <= _PORT_MAX:
        raise ValueError(f'no port: {port}')
