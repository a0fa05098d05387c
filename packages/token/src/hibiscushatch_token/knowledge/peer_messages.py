"""Messages between entry VMs, over UDP and HTTP.

Messages are MessagePack, compressed with zlib. Entries of the store are binary
and resemble each other, so that a message with many of them has a tenth of its
size in JSON.
"""

import itertools
import zlib
from collections.abc import Iterable
from typing import Annotated

import msgspec

from hibiscushatch_core.errors import PeerError
from hibiscushatch_core.ports import StoredValue, WatchEvent
from hibiscushatch_core.socket_addresses import parse_socket_address
from hibiscushatch_token.knowledge.replica import EarlierState
from hibiscushatch_token.model import EntryVersion
from hibiscushatch_token.ports import Position, StoreRead

MS_PER_S = 1000
# Each number of so many digits fits into 64 bits.
_NUMBER_DIGITS_MAX = 18
# Options in the query string of a request for missing changes.
_KEYS_OPTION = 'keys'
_ERA_OPTION = 'era='
_EARLIER_OPTION = 'earlier'
# Above the number of failures that an entry VM can observe between two reports.
_FAILURES_MAX = 100_000
_EJECTION_MS_MAX = 3_600_000


class Item(msgspec.Struct, frozen=True, omit_defaults=True):
    """A key of the store and its value.

    Attributes:
        key: The full key.
        revision: Revision of the store at its last change.
        value: Its bytes. None means in a Snapshot that the reader has the
            value already, and in all other messages that the key was deleted.
    """

    key: str
    revision: int
    value: bytes | None = None


class Subscription(msgspec.Struct, frozen=True, tag='subscription'):
    """Asks a publisher or relay to send its announcements.

    Attributes:
        vm: Name of the subscriber.
        control: Control address of the subscriber, which receives them.
        domain: Failure domain of the subscriber.
        served: Number of entry VMs to which the subscriber passes
            announcements on.
        is_counted: Whether the receiver counts the subscriber as part of the
            fleet. A subscriber asks several publishers at its start, and one
            of them counts it.
    """

    vm: str
    control: str
    domain: str
    served: int
    is_counted: bool


class Unsubscription(msgspec.Struct, frozen=True, tag='unsubscription'):
    """Asks a publisher or relay to send no more announcements.

    Attributes:
        vm: Name of the subscriber.
        control: Control address to which they were sent.
    """

    vm: str
    control: str


class Referral(msgspec.Struct, frozen=True, tag='referral'):
    """Asks a subscriber to follow a relay instead of this publisher.

    Attributes:
        control: Control address of the relay.
    """

    control: str


class FailureCount(msgspec.Struct, frozen=True, array_like=True):
    """An upstream and how many of its requests failed.

    Attributes:
        upstream: Name of the upstream.
        failures: Number of its requests that failed.
        early_ends: How many of them ended early; a sender that does not tell
            signals apart reports none.
    """

    upstream: str
    failures: Annotated[int, msgspec.Meta(ge=1, le=_FAILURES_MAX)]
    early_ends: Annotated[int, msgspec.Meta(ge=0, le=_FAILURES_MAX)] = 0


class FailureReport(msgspec.Struct, frozen=True, tag='failure_report'):
    """Requests that failed since the last report.

    Attributes:
        vm: Name of the entry VM that reports.
        control: Control address of that entry VM.
        counts: Number of failures by upstream.
    """

    vm: str
    control: str
    counts: list[FailureCount]


class EjectedUpstream(msgspec.Struct, frozen=True, array_like=True):
    """An ejected upstream and how long its ejection still lasts."""

    upstream: str
    left_ms: Annotated[int, msgspec.Meta(ge=0, le=_EJECTION_MS_MAX)]


class Announcement(msgspec.Struct, frozen=True, tag='announcement'):
    """Changes of the store, or a heartbeat that carries none.

    Publishers, relays and entry VMs that have read the store send it.

    Attributes:
        vm: Name of the sender.
        control: Control address of the sender, where it answers requests for
            missing changes.
        domain: Failure domain of the sender.
        revision: Revision of the store after these changes.
        age_ms: Time since the sender's replica was known to be up to date.
        served: Number of entry VMs that the sender serves, itself included;
            other publishers do not count.
        fleet: Number of entry VMs that all publishers serve together, as far
            as the sender knows.
        before: Revision of the store before these changes.
        items: All changes after ``before`` up to ``revision``.
        ejections: Ejected upstreams; only heartbeats carry them.
        era: Era of the store to which the revisions belong; 0 if the sender
            does not know of eras.
        is_reconciling: Whether the sender knows what was in force before the
            era, and writers may still have to write it again.
        read: The read of the store that determines the sender's age; None if
            the sender is of a version that does not state it.
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
    era: int = 0
    is_reconciling: bool = False
    read: StoreRead | None = None

    @property
    def position(self) -> Position:
        """Position of the store after the changes."""
        return Position(self.era, self.revision)

    @property
    def before_position(self) -> Position:
        """Position of the store before the changes."""
        return Position(self.era, self.before)


class RemovedUpstream(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that left, and its latest statement."""

    upstream: str
    version: EntryVersion


class Earlier(msgspec.Struct, frozen=True):
    """What was in force before the store came back from an older copy.

    Attributes:
        items: The configuration, and entries of listed upstreams that the copy
            lacks or has older.
        evacuated: Evacuated failure domains that the copy lacks.
        evacuated_ms: How much longer they stay in force.
        removed: Upstreams that left recently.
    """

    items: list[Item]
    evacuated: list[str]
    evacuated_ms: int
    removed: list[RemovedUpstream]


class Snapshot(msgspec.Struct, frozen=True, tag='snapshot'):
    """All items of the store, without the values that the reader has.

    Attributes:
        revision: Revision of the store that the items reflect.
        age_ms: Time since the sender's replica was known to be up to date.
        items: The items; the value is left out if the reader already has it.
        era: Era of the store to which the revision belongs.
        earlier: What was in force before the era, while writers may still have
            to write it again.
        read: The read of the store that determines the age, if it is known.
    """

    revision: int
    age_ms: int
    items: list[Item]
    era: int = 0
    earlier: Earlier | None = None
    read: StoreRead | None = None


class Refresh(msgspec.Struct, frozen=True, tag='refresh'):
    """The items written after a revision; deletions are not included.

    Attributes:
        revision: Revision of the store that the items reflect.
        age_ms: Time since the sender's replica was known to be up to date.
        items: Items written after the revision that the reader asked for.
        checksum: Checksum of all keys. A reader whose keys differ has missed
            deletions.
        era: Era of the store to which the revision belongs.
        read: The read of the store that determines the age, if it is known.
    """

    revision: int
    age_ms: int
    items: list[Item]
    checksum: int
    era: int = 0
    read: StoreRead | None = None


class Delta(msgspec.Struct, frozen=True, tag='delta'):
    """All changes after one revision and up to another.

    Attributes:
        before: Revision of the store before the changes.
        revision: Revision of the store after them.
        age_ms: Time since the sender's replica was known to be up to date.
        items: The changes.
        era: Era of the store to which both revisions belong.
        read: The read of the store that determines the age, if it is known.
    """

    before: int
    revision: int
    age_ms: int
    items: list[Item]
    era: int = 0
    read: StoreRead | None = None


class CatchUpQuery(msgspec.Struct, frozen=True):
    """A request for missing changes.

    Attributes:
        after: Position of the reader.
        needs_all_keys: Whether the reader has missed deletions.
        needs_earlier_state: Whether the reader asks for what was in force
            before the era.
    """

    after: Position
    needs_all_keys: bool = False
    needs_earlier_state: bool = False


CatchUp = Snapshot | Refresh | Delta

Datagram = (
    Subscription | Unsubscription | Referral | Announcement | FailureReport
)

_DATAGRAM_DECODER = msgspec.msgpack.Decoder(Datagram)
_CATCH_UP_DECODER = msgspec.msgpack.Decoder(CatchUp)

_DECODING_ERRORS = (
    msgspec.MsgspecError,
    zlib.error,
    ValueError,
    RecursionError,
)

# The fastest level: callers wait while a publisher compresses a change.
_COMPRESSION_LEVEL = 1
# Limit of the decompressed size: sixteen times the entries of 3,700 upstreams
# (docs/CAPACITY.md).
_MESSAGE_BYTES_MAX = 16_000_000


def encode(message: Datagram | CatchUp) -> bytes:
    """Encode and compress a message."""
    return zlib.compress(msgspec.msgpack.encode(message), _COMPRESSION_LEVEL)


def decode_datagram(datagram: bytes, peer: str) -> Datagram:
    """Decode a datagram.

    Raises:
        PeerError: When the datagram is not a valid message.
    """
    try:
        message = _DATAGRAM_DECODER.decode(_decompress(datagram))
        # The receiver sends datagrams to this address.
        parse_socket_address(message.control)
    except _DECODING_ERRORS as error:
        raise PeerError('reading a datagram', peer, str(error)) from error
    return message


def decode_catch_up(body: bytes, peer: str) -> CatchUp:
    """Decode the response to a request for missing changes.

    Raises:
        PeerError: When the body is not a valid message.
    """
    try:
        return _CATCH_UP_DECODER.decode(_decompress(body))
    except _DECODING_ERRORS as error:
        raise PeerError('catching up', peer, str(error)) from error


def items_from_events(events: Iterable[WatchEvent]) -> list[Item]:
    """Convert changes of the store into items of a message."""
    return [
        Item(event.key, event.mod_revision, event.value) for event in events
    ]


def events_from_items(items: Iterable[Item]) -> tuple[WatchEvent, ...]:
    """Convert items of a message into changes of the store."""
    return tuple(
        WatchEvent(item.key, item.value, item.revision) for item in items
    )


def items_from_stored(items: Iterable[StoredValue], after: int) -> list[Item]:
    """Convert stored values into items.

    Args:
        items: The stored values.
        after: Values written up to this revision are left out.
    """
    return [
        Item(
            item.key,
            item.mod_revision,
            item.value if item.mod_revision > after else None,
        )
        for item in items
    ]


def encode_earlier_state(earlier: EarlierState) -> Earlier:
    """Convert what was known before a rollback into its wire form."""
    return Earlier(
        items_from_stored(earlier.items, 0),
        sorted(earlier.evacuated),
        int(earlier.evacuated_s * MS_PER_S),
        list(itertools.starmap(RemovedUpstream, earlier.removed.items())),
    )


def decode_earlier_state(message: Earlier) -> EarlierState:
    """Convert the wire form of what was known before a rollback."""
    return EarlierState(
        tuple(
            StoredValue(item.key, item.value, item.revision)
            for item in message.items
            if item.value is not None
        ),
        frozenset(message.evacuated),
        message.evacuated_ms / MS_PER_S,
        {entry.upstream: entry.version for entry in message.removed},
    )


def build_query(query: CatchUpQuery) -> str:
    """Write the query string of a request for missing changes."""
    options = [str(query.after.revision)]
    if query.needs_all_keys:
        options.append(_KEYS_OPTION)
    if query.after.era:
        options.append(f'{_ERA_OPTION}{query.after.era}')
    if query.needs_earlier_state:
        options.append(_EARLIER_OPTION)
    return '&'.join(options)


def parse_query(query: bytes) -> CatchUpQuery:
    """Read the query string of a request for missing changes.

    Numbers that can't be read count as 0, so that the response has all items.
    """
    revision, *options = query.decode('ascii', 'replace').split('&')
    eras = (
        option.removeprefix(_ERA_OPTION)
        for option in options
        if option.startswith(_ERA_OPTION)
    )
    return CatchUpQuery(
        Position(_parse_number(next(eras, '')), _parse_number(revision)),
        _KEYS_OPTION in options,
        _EARLIER_OPTION in options,
    )


def checksum_of_keys(keys: Iterable[str]) -> int:
    """Return a checksum of a set of keys."""
    return zlib.crc32('\n'.join(sorted(keys)).encode())


def _parse_number(text: str) -> int:
    is_number = text.isdecimal() and len(text) <= _NUMBER_DIGITS_MAX
    return int(text) if is_number else 0


def _decompress(compressed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    message = decompressor.decompress(compressed, _MESSAGE_BYTES_MAX)
    if not decompressor.eof:
        raise ValueError('truncated or too large')
    return message
