"""Interfaces through which token affinity uses the platform and its fabric."""

import abc
import math
from collections.abc import Iterable, Iterator

import msgspec

from hibiscushatch_core.errors import PlatformError
from hibiscushatch_core.ports import StoredValue, WatchEvent
from hibiscushatch_token.model import Endpoint, RoutingConfig, Upstream


class HistoryLostError(PlatformError):
    """The store does not have the changes after the position to watch from.

    It has discarded them, or it has come back from an older copy of itself.
    """


class FlowPacket(msgspec.Struct):
    """The fields of a caller's packet that an entry VM uses.

    Attributes:
        datagram: The packet as it was received.
        flow: Addresses and ports of both ends, which identify the flow.
        caller: Address of the caller, in the byte order of the packet.
        endpoint: Address and port to which the caller sent the packet.
        token: The affinity token that it carries; 0 for none.
        is_opening: Whether it asks for a new flow.
        copy: How many opening packets of the flow the caller sent before this
            one.
        waited_s: Time since the caller sent the first opening packet of the
            flow.
        has_payload: Whether it carries payload.
        is_last: Whether the caller ends or resets the flow with it.
        next_copy_s: Time from the first opening packet of the flow to that at
            which the caller sends the next copy, or gives up.
    """

    datagram: bytes
    flow: bytes
    caller: bytes
    endpoint: Endpoint
    token: int
    is_opening: bool
    copy: int
    waited_s: float
    has_payload: bool
    is_last: bool
    next_copy_s: float = math.inf

    @property
    def is_superseded(self) -> bool:
        """Whether it has waited until its caller sent the next copy.

        The copy may have come to another entry VM and opened the flow there.
        """
        return self.is_opening and self.waited_s >= self.next_copy_s

    @property
    def is_request(self) -> bool:
        """Whether it asks for a flow or carries a part of a request."""
        return self.is_opening or (self.has_payload and not self.is_last)


class FlowObserver(abc.ABC):
    """Receives the durations of flows."""

    @abc.abstractmethod
    def on_answer(self, seconds: float) -> None:
        """Record how long an upstream took to answer an opening packet."""

    @abc.abstractmethod
    def on_end(self, seconds: float) -> None:
        """Record how long a flow lasted that its caller has ended."""


class Reset(msgspec.Struct, frozen=True):
    """A reset packet and the caller's address to which it is sent."""

    datagram: bytes
    target: tuple[str, int]


class PacketCodec(abc.ABC):
    """Reads and writes a format of packets that carry a token."""

    @abc.abstractmethod
    def parse(self, datagram: bytes) -> FlowPacket | None:
        """Parse a caller's packet; None if the datagram is not a packet."""

    @abc.abstractmethod
    def describe(self, flow: bytes) -> str:
        """Return a readable name of a flow for log lines."""

    @abc.abstractmethod
    def encapsulate(self, packet: FlowPacket, upstream: Upstream) -> bytes:
        """Return a packet addressed to an upstream, with the token set."""

    @abc.abstractmethod
    def build_reset(self, packet: FlowPacket) -> Reset:
        """Build a reset of the packet's flow, to be sent to its caller."""


class Position(msgspec.Struct, frozen=True, order=True):
    """A point in the history of the store; a later one compares greater.

    Attributes:
        era: How often the store came back from an older copy of itself. Each
            time, revisions go back and are given out again. 0 if the store
            does not state it.
        revision: Revision of the store within the era; 0 before the first
            listing.
    """

    era: int
    revision: int


NO_POSITION = Position(0, 0)


class StoreRead(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one read of the store, by which knowledge was up to date.

    Attributes:
        reader: Control address of the entry VM that read the store.
        process: Identifies the process of that entry VM.
        number: Number of the read; rises with each read of the process.
    """

    reader: str
    process: int
    number: int


class Listing(msgspec.Struct, frozen=True):
    """All items of the store.

    Attributes:
        items: The items, each with its key.
        position: Position of the store; the items include all changes up to
            it.
    """

    items: tuple[StoredValue, ...]
    position: Position


class Changes(msgspec.Struct, frozen=True):
    """Changes of the store, in order.

    Attributes:
        events: The changes; empty if the wait ended without one.
        position: Position from which the next watch continues.
        is_from_listing: Whether they were found by comparing a listing with
            what was known. A page of the listing may have shown a deletion
            before its time, so the deletion is missing from later changes.
    """

    events: tuple[WatchEvent, ...]
    position: Position
    is_from_listing: bool = False


class Store(abc.ABC):
    """The platform's store.

    Reads and watches raise PlatformUnavailableError if the call fails.
    """

    @abc.abstractmethod
    async def read_all(self, allow_stale: bool) -> Listing:
        """Read all items.

        Args:
            allow_stale: Whether the response may be some seconds old; such a
                response costs the platform less.

        Raises:
            HistoryLostError: The era changed during the call.
        """

    @abc.abstractmethod
    async def watch(self, after: Position, wait_s: float) -> Changes:
        """Wait for changes after a position.

        Args:
            after: Position of the store that is known already.
            wait_s: Longest time to wait for a change.

        Raises:
            HistoryLostError: The store has discarded some of the changes, or
                it is in a later era.
            PlatformUnavailableError: The call failed, or the store is in an
                earlier era.
        """

    @abc.abstractmethod
    async def is_reachable(self, timeout_s: float) -> bool:
        """Return whether the store can be reached over a new connection."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""


class Documents(abc.ABC):
    """Decodes the keys and documents of the store into the model's types."""

    @property
    @abc.abstractmethod
    def registry_prefix(self) -> str:
        """Prefix of the keys under which upstreams are registered."""

    @property
    @abc.abstractmethod
    def config_key(self) -> str:
        """Key of the configuration."""

    @abc.abstractmethod
    def read_config(self, events: Iterable[WatchEvent]) -> RoutingConfig | None:
        """Read the newest configuration among events; None if there is none.

        Raises:
            InvalidItemError: The configuration can't be decoded.
        """

    @abc.abstractmethod
    def read_evacuations(
        self, events: Iterable[WatchEvent]
    ) -> Iterator[tuple[str, bool]]:
        """Yield failure domains and whether each is evacuated."""

    @abc.abstractmethod
    def upstream_name(self, key: str) -> str | None:
        """Return the name of the upstream that a key belongs to, or None."""

    @abc.abstractmethod
    def read_upstream(self, name: str, value: bytes) -> Upstream:
        """Decode the entry of an upstream.

        Any writer may have written it. An upstream that is returned is fit for
        all later uses: datagrams can be sent to its address, and its fields can
        be encoded in log lines and messages.

        Raises:
            InvalidItemError: The entry names no upstream, whatever the reason.
        """
