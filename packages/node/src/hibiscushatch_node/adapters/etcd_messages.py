"""Messages of the etcd v3 JSON gateway, as far as the platform port needs.

Keys and values are base64, 64-bit integers are decimal strings, and fields
with their zero value are left out, as the protobuf JSON mapping has it.
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
    """A message of the gateway; fields that are not used are ignored."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)

    def encode(self) -> bytes:
        """Render the message as the gateway does, zero values left out."""
        text = self.model_dump(mode='json', exclude_defaults=True)
        return json.dumps(text, separators=(',', ':')).encode()


class Header(GatewayMessage):
    """The part of every answer that names the store's revision."""

    revision: Int64 = 0


class KeyValue(GatewayMessage):
    """A key as the store holds it."""

    key: Base64 = b''
    value: Base64 = b''
    mod_revision: Int64 = 0


class RangeRequest(GatewayMessage):
    """Asks for a key, or for the keys from ``key`` up to ``range_end``."""

    key: Base64
    range_end: Base64 = b''


class RangeResponse(GatewayMessage):
    """The keys that were asked for."""

    header: Header
    kvs: tuple[KeyValue, ...] = ()


class PutRequest(GatewayMessage):
    """Writes a key, attached to a lease when one is named."""

    key: Base64
    value: Base64 = b''
    lease: Int64 = 0


class PutResponse(GatewayMessage):
    """Tells that a key was written."""

    header: Header


class Compare(GatewayMessage):
    """Holds when the key's ``mod_revision`` is the one given."""

    key: Base64
    target: Literal['MOD', '']
    result: Literal['EQUAL', '']
    mod_revision: Int64 = 0


class RequestOp(GatewayMessage):
    """A write within a transaction."""

    request_put: PutRequest


class TxnRequest(GatewayMessage):
    """Writes if all comparisons hold."""

    compare: tuple[Compare, ...]
    success: tuple[RequestOp, ...]


class TxnResponse(GatewayMessage):
    """Tells whether the comparisons held."""

    header: Header
    succeeded: bool = False


class WatchCreateRequest(GatewayMessage):
    """Which keys to watch and from which revision."""

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
    """Changes, or none in a progress message; the end when canceled."""

    header: Header
    created: bool = False
    canceled: bool = False
    events: tuple[GatewayEvent, ...] = ()


class WatchMessage(GatewayMessage):
    """One line of a watch's answer."""

    result: WatchResponse


class LeaseGrantRequest(GatewayMessage):
    """Asks for a lease; the unit of the time to live is a second."""

    TTL: Int64


class LeaseGrantResponse(GatewayMessage):
    """The lease that was granted."""

    header: Header
    ID: Int64
    TTL: Int64 = 0


class LeaseRequest(GatewayMessage):
    """Names the lease that is to be renewed or revoked."""

    ID: Int64


class LeaseState(GatewayMessage):
    """A lease after its renewal; no time is left when it has lapsed."""

    header: Header
    ID: Int64 = 0
    TTL: Int64 = 0


class LeaseKeepAliveMessage(GatewayMessage):
    """One line of the answer to a renewal."""

    result: LeaseState


class LeaseRevokeResponse(GatewayMessage):
    """Tells that a lease was revoked."""

    header: Header


def prefix_end(prefix: bytes) -> bytes:
    """Compute the range end that selects all keys with a prefix.

    Args:
        prefix: Not empty and not of 0xFF bytes only.

    Returns:
        The prefix with its last byte that can grow increased by one.
    """
    trimmed = prefix.rstrip(b'\xff')
    return trimmed[:-1] + bytes((trimmed[-1] + 1,))


class LineBuffer:
    """Cuts what a watch receives into lines, one message each."""

    def __init__(self) -> None:
        self._rest = b''

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Add received bytes.

        Args:
            chunk: Any number of bytes.

        Yields:
            The lines that are complete now, without their end.

        Raises:
            ValueError: When a line exceeds MESSAGE_BYTES_MAX.
        """
        *lines, rest = (self._rest + chunk).split(b'\n')
        self._rest = rest
        yield from (line for line in lines if line)
        if len(rest) > MESSAGE_BYTES_MAX:
            raise ValueError(f'a line exceeds {MESSAGE_BYTES_MAX} bytes')
