"""Models of the JSON messages between entry VMs.

A message contains everything that has changed since the last message to the
same peer. Field names are short to limit the bytes of control traffic.
"""

from typing import Annotated

import pydantic

from hibiscushatch_core.buckets import BucketState, Stamp
from hibiscushatch_core.documents import StrictModel

MESSAGE_BYTES_MAX = 4 * 1024 * 1024


class MemberMessage(StrictModel):
    """The record that an entry VM publishes about itself.

    The fields, in order: name, failure domain, incarnation, sequence, state
    (joining, serving or leaving), control address and relay address as
    ``address:port``, generation in force, names of the VMs whose heartbeats
    it receives, names of the upstreams that it judges dead. Other VMs pass
    the record on unchanged. A record with a higher (incarnation, sequence)
    replaces one with a lower.
    """

    n: str
    m: str
    i: int
    q: int
    s: str
    c: str
    r: str
    g: int = 0
    h: tuple[str, ...] = ()
    x: tuple[str, ...] = ()


class StampMessage(StrictModel):
    """The stamp of a change of a bucket: its version and its writer."""

    v: int
    w: str


class BucketMessage(StrictModel):
    """The state of a bucket.

    The fields, in order: service name, bucket index, version and writer of
    the stamp, through_owner, bases, current, seen.
    """

    s: str
    i: int
    v: int
    w: str
    t: bool
    b: tuple[str, ...]
    c: str
    n: tuple[StampMessage, ...] = ()


class LayoutMessage(StrictModel):
    """The initial assignment of a service's buckets to upstreams.

    ``s`` is the service name and ``g`` the manifest generation that the
    assignment was made from. ``indexes`` has two bytes for each bucket: the
    position of its upstream in ``upstreams``.
    """

    s: str
    g: int
    upstreams: tuple[str, ...]
    indexes: pydantic.Base64Bytes


class EntriesMessage(StrictModel):
    """Flow entries of a bucket, sent to its backup or next owner.

    ``s`` is the service name and ``i`` the bucket index. The element of
    ``keys`` at the position of an upstream in ``upstreams`` contains the keys
    of all flows on that upstream, six bytes each, as one base64 text.
    """

    s: str
    i: int
    upstreams: tuple[str, ...]
    keys: tuple[pydantic.Base64Bytes, ...]


class ClaimAnnouncementMessage(StrictModel):
    """Upstream and number of open flows that the sender claims on it."""

    u: str
    n: int


class ClaimsMessage(StrictModel):
    """``claim_messages.ClaimMessage`` without its sender; same field order."""

    i: int
    m: int
    s: int
    r: int
    n: tuple[ClaimAnnouncementMessage, ...] = ()
    ci: int = 0
    cr: int = 0
    w: bool = False


class WarmUpAgeMessage(StrictModel):
    """``warmth.WarmUpAge``; same field order."""

    o: str = ''
    ms: int | None = None


class WarmthMessage(StrictModel):
    """``warmth.WarmthRecord``; same field order."""

    u: str
    g: int = 0
    t: int = 0
    a: tuple[WarmUpAgeMessage, ...] = ()


class DepartedMessage(StrictModel):
    """An upstream removed from the manifest that may still have flows."""

    s: str
    name: str
    domain: str
    address: str
    port: int


class ServiceDigest(StrictModel):
    """Name of a service and digest of the states of its buckets."""

    s: str
    d: int


class PeerMessage(StrictModel):
    """A message on a peer connection; fields with default values are omitted.

    ``q`` is the sequence number of the message, ``a`` the highest sequence
    number that the sender has received on this connection. ``g`` is the
    generation that the sender has in force, ``d`` the digest of its bucket
    table. ``hello`` is the name of the sender, in its first message only.
    """

    q: int = 0
    a: int = 0
    g: int = 0
    d: int = 0
    hello: str = ''
    members: tuple[MemberMessage, ...] = ()
    buckets: tuple[BucketMessage, ...] = ()
    entries: tuple[EntriesMessage, ...] = ()
    claims: ClaimsMessage | None = None
    claim_members: tuple[str, ...] = ()
    warmth: tuple[WarmthMessage, ...] = ()
    departed: tuple[DepartedMessage, ...] = ()
    layouts: tuple[LayoutMessage, ...] = ()
    want_manifest: bool = False
    want_table: bool = False
    digests: tuple[ServiceDigest, ...] = ()
    table_done: bool = False
    manifest: Annotated[str, pydantic.Field(max_length=MESSAGE_BYTES_MAX)] = ''


def encode_message(message: PeerMessage) -> str:
    """Encode a message as JSON without fields that have default values."""
    return message.model_dump_json(exclude_defaults=True)


def bucket_to_message(
    service: str, index: int, state: BucketState
) -> BucketMessage:
    """Convert the state of a bucket to a message."""
    return BucketMessage(
        s=service,
        i=index,
        v=state.stamp.version,
        w=state.stamp.writer,
        t=state.through_owner,
        b=state.bases,
        c=state.current,
        n=tuple(
            StampMessage(v=stamp.version, w=stamp.writer)
            for stamp in state.seen
        ),
    )


def bucket_from_message(message: BucketMessage) -> BucketState:
    """Convert a message to the state of a bucket."""
    return BucketState(
        Stamp(message.v, message.w),
        message.t,
        message.b,
        message.c,
        tuple(Stamp(stamp.v, stamp.w) for stamp in message.n),
    )
