"""The messages of the etcd v3 JSON gateway that the platform port needs.

As in the JSON mapping of protobuf, keys and values are base64, 64-bit
integers are decimal strings, and fields with a zero value are left out.
"""

import base64
import binascii
import json
from collections.abc import Iterator
from typing import Annotated, Literal

import pydantic

RANGE_PATH = '/v3/kv/range'
PUT_PATH = '/v3/kv/put'
TXN_PATH = '/v3/kv/txn'
WATCH_PATH = '/v3/watch'
LEASE_GRANT_PATH = '/v3/lease/grant'
LEASE_KEEP_ALIVE_PATH = '/v3/lease/keepalive'
LEASE_REVOKE_PATH = '/v3/lease/revoke'
MESSAGE_BYTES_MAX = 16 * 1024 * 1024


def _decode_base64(encoded: object) -> object:
    if not isinstance(encoded, str):
        return encoded
    try:
        return base64.b64decode(encoded, validate=True)
    except binascii.Error as error:
        raise ValueError(str(error)) from error


def _encode_base64(plain: bytes) -> str:
    return base64.b64encode(plain).decode()


Base64 = Annotated[
    bytes,
    pydantic.BeforeValidator(_decode_base64),
    pydantic.PlainSerializer(_encode_base64, when_used='json'),
]
Int64 = Annotated[int, pydantic.PlainSerializer(str, when_used='json')]


class GatewayMessage(pydantic.BaseModel):
    """A message of the gateway; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)

    def encode(self) -> bytes:
        """Encode the message as JSON without the fields of zero value."""
        fields = self.model_dump(mode='json', exclude_defaults=True)
        return json.dumps(fields, separators=(',', ':')).encode()


class Header(GatewayMessage):
    """The part of every response that gives the store's revision."""

    revision: Int64 = 0


class KeyValue(GatewayMessage):
    """A key with its value and the revision of its last change."""

    key: Base64 = b''
    value: Base64 = b''
    mod_revision: Int64 = 0


class RangeRequest(GatewayMessage):
    """Requests one key, or the keys from ``key`` to before ``range_end``."""

    key: Base64
    range_end: Base64 = b''


class RangeResponse(GatewayMessage):
    """The requested keys."""

    header: Header
    kvs: tuple[KeyValue, ...] = ()


class PutRequest(GatewayMessage):
    """Writes a key and, if ``lease`` is given, attaches it to the lease."""

    key: Base64
    value: Base64 = b''
    lease: Int64 = 0


class PutResponse(GatewayMessage):
    """Confirms that a key was written."""

    header: Header


class Compare(GatewayMessage):
    """A condition: the key's ``mod_revision`` equals the given one."""

    key: Base64
    target: Literal['MOD', '']
    result: Literal['EQUAL', '']
    mod_revision: Int64 = 0


class RequestOp(GatewayMessage):
    """A write within a transaction."""

    request_put: PutRequest


class TxnRequest(GatewayMessage):
    """Performs the writes if all comparisons hold."""

    compare: tuple[Compare, ...]
    success: tuple[RequestOp, ...]


class TxnResponse(GatewayMessage):
    """Reports whether the comparisons held."""

    header: Header
    succeeded: bool = False


class WatchCreateRequest(GatewayMessage):
    """Selects the keys to watch and the first revision to report."""

    key: Base64
    range_end: Base64 = b''
    start_revision: Int64 = 0
    progress_notify: bool = False


class WatchRequest(GatewayMessage):
    """Opens a watch."""

    create_request: WatchCreateRequest


class GatewayEvent(GatewayMessage):
    """A change of one key."""

    type: Literal['PUT', 'DELETE'] = 'PUT'
    kv: KeyValue


class WatchResponse(GatewayMessage):
    """Changes of watched keys.

    A progress message has no changes; ``canceled`` marks the end of the watch.
    """

    header: Header
    created: bool = False
    canceled: bool = False
    events: tuple[GatewayEvent, ...] = ()


class WatchMessage(GatewayMessage):
    """One line of the response to a watch."""

    result: WatchResponse


class LeaseGrantRequest(GatewayMessage):
    """Requests a lease; ``TTL`` is its time to live in seconds."""

    TTL: Int64


class LeaseGrantResponse(GatewayMessage):
    """The granted lease."""

    header: Header
    ID: Int64
    TTL: Int64 = 0


class LeaseRequest(GatewayMessage):
    """Identifies the lease to renew or to revoke."""

    ID: Int64


class LeaseState(GatewayMessage):
    """A lease after its renewal; ``TTL`` is 0 when it has lapsed."""

    header: Header
    ID: Int64 = 0
    TTL: Int64 = 0


class LeaseKeepAliveMessage(GatewayMessage):
    """One line of the response to a renewal."""

    result: LeaseState


class LeaseRevokeResponse(GatewayMessage):
    """Confirms that a lease was revoked."""

    header: Header


def prefix_end(prefix: bytes) -> bytes:
    """Compute the range end that selects all keys with a prefix.

    Args:
        prefix: The prefix; it must have a byte other than 0xFF.

    Returns:
        The prefix up to its last byte other than 0xFF, with that byte
        increased by one.
    """
    trimmed = prefix.rstrip(b'\xff')
    return trimmed[:-1] + bytes((trimmed[-1] + 1,))


class LineBuffer:
    """Splits the bytes that a watch receives into lines of one message."""

    def __init__(self) -> None:
        self._incomplete_line = b''

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Add received bytes and return the completed lines.

        Args:
            chunk: The received bytes; lines may begin and end anywhere in them.

        Yields:
            The lines that are now complete, without the line break.

        Raises:
            ValueError: When an incomplete line exceeds MESSAGE_BYTES_MAX.
        """
        *lines, incomplete_line = (self._incomplete_line + chunk).split(b'\n')
        self._incomplete_line = incomplete_line
        yield from (line for line in lines if line)
        if len(incomplete_line) > MESSAGE_BYTES_MAX:
            raise ValueError(f'a line exceeds {MESSAGE_BYTES_MAX} bytes')
