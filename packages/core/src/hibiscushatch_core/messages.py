"""The messages between entry VMs: validated JSON at the border.

One message carries everything that has changed since the last one to the same
peer; short field names keep the control traffic within its bytes.
"""

from typing import Annotated

import pydantic

from hibiscushatch_core.buckets import BucketState, Stamp
from hibiscushatch_core.documents import StrictModel

MESSAGE_BYTES_MAX = 4 * 1024 * 1024


class MemberMessage(StrictModel):
    """What an entry VM says of itself; others pass it on unchanged.

    Name, failure domain, incarnation, sequence, state (joining, serving or
    leaving), control and relay address as ``address:port``, generation in
    force, names of the VMs whose heartbeats it receives, and names of the
    upstreams that it judges dead. A higher (incarnation, sequence) replaces
    a lower.
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
    """A change of a bucket: version and writer."""

    v: int
    w: str


class BucketMessage(StrictModel):
    """One bucket's state.

    Service name, bucket index, stamp, through_owner, bases, current, seen.
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
    """The assignment that the buckets of a service began with.

    ``g`` is the manifest generation it was made from, ``indexes`` holds two
    bytes a bucket: the position of its upstream in ``upstreams``.
    """

    s: str
    g: int
    upstreams: tuple[str, ...]
    indexes: pydantic.Base64Bytes


class EntriesMessage(StrictModel):
    """Flow entries of one bucket for its backup or next owner.

    ``upstreams`` and ``keys`` run in parallel groups: the flow keys of a
    group, six bytes each, are packed into one base64 text.
    """

    s: str
    i: int
    upstreams: tuple[str, ...]
    keys: tuple[pydantic.Base64Bytes, ...]


class ClaimAnnouncementMessage(StrictModel):
    """Open flows that the sender claims on an upstream."""

    u: str
    n: int


class ClaimsMessage(StrictModel):
    """The fields of ``shares.ClaimMessage`` but its sender, in its order."""

    i: int
    m: int
    s: int
    r: int
    n: tuple[ClaimAnnouncementMessage, ...] = ()
    ci: int = 0
    cr: int = 0
    w: bool = False


class WarmUpAgeMessage(StrictModel):
    """How long ago the first flow after a turn to cold was, by origin."""

    o: str = ''
    ms: int | None = None


class WarmthMessage(StrictModel):
    """The fields of ``warmth.WarmthRecord`` in its order."""

    u: str
    g: int = 0
    t: int = 0
    a: tuple[WarmUpAgeMessage, ...] = ()


class DepartedMessage(StrictModel):
    """An upstream that left the manifest while flows may still be on it."""

    s: str
    name: str
    domain: str
    address: str
    port: int


class ServiceDigest(StrictModel):
    """Digest of the bucket states of one service."""

    s: str
    d: int


class PeerMessage(StrictModel):
    """One message on a peer connection; empty parts are left out.

    ``q`` numbers the messages of the sender, ``a`` is the highest number it
    has taken in from the receiver. ``d`` digests the sender's bucket table.
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
    """Render a message as JSON without the parts that are empty."""
    return message.model_dump_json(exclude_defaults=True)


def bucket_to_message(
    service: str, index: int, state: BucketState
) -> BucketMessage:
    """Convert a bucket's state to its border model."""
    return BucketMessage(
        s=service,
        i=index,
        v=state.stamp.version,
        w=state.stamp.writer,
        t=state.through_owner,
        b=state.bases,
        c=state.current,
        n=tuple(
            StampMessage(v=one.version, w=one.writer) for one in state.seen
        ),
    )


def bucket_from_message(message: BucketMessage) -> BucketState:
    """Convert a bucket's border model to its state."""
    return BucketState(
        Stamp(message.v, message.w),
        message.t,
        message.b,
        message.c,
        tuple(Stamp(one.v, one.w) for one in message.n),
    )
