"""What token affinity needs from outside, as abstract base classes."""

import abc
from collections.abc import Iterable, Iterator

import msgspec

from hibiscushatch_core.errors import PlatformError
from hibiscushatch_core.ports import StoredValue, WatchEvent
from hibiscushatch_token.model import Endpoint, RoutingConfig, Upstream


class HistoryLostError(PlatformError):
    """The store no longer has the changes that a watch should go on with."""


class FlowPacket(msgspec.Struct):
    """A packet of a caller, as far as an entry VM reads it.

    Attributes:
        datagram: The packet as it came.
        flow: Addresses and ports of both ends, unique for a flow.
        endpoint: Where the caller sent it.
        token: The affinity token it carries; 0 for none.
        is_opening: It asks for a new flow.
        copy: How many opening packets of the flow the caller sent before.
        waited_s: How long the caller has waited since the first of them.
        has_payload: It carries bytes of the caller.
        is_last: The caller ends or resets the flow with it.
    """

    datagram: bytes
    flow: bytes
    endpoint: Endpoint
    token: int
    is_opening: bool
    copy: int
    waited_s: float
    has_payload: bool
    is_last: bool


class FlowObserver(abc.ABC):
    """Takes the times of flows."""

    @abc.abstractmethod
    def answered(self, seconds: float) -> None:
        """Count the answer of an upstream to an opening packet."""

    @abc.abstractmethod
    def ended(self, seconds: float) -> None:
        """Count a flow that its caller has ended."""


class Reset(msgspec.Struct, frozen=True):
    """A reset and the caller's address it is sent to."""

    datagram: bytes
    target: tuple[str, int]


class PacketCodec(abc.ABC):
    """The format of packets that carry a token."""

    @abc.abstractmethod
    def parse(self, datagram: bytes) -> FlowPacket | None:
        """Read a caller's packet; None when it is none."""

    @abc.abstractmethod
    def describe(self, flow: bytes) -> str:
        """Name a flow in log lines."""

    @abc.abstractmethod
    def encapsulate(self, packet: FlowPacket, upstream: Upstream) -> bytes:
        """Address a packet to an upstream, with its token in it."""

    @abc.abstractmethod
    def reset(self, packet: FlowPacket) -> Reset:
        """Build the answer that ends the attempt to open a flow."""


class Listing(msgspec.Struct, frozen=True):
    """All items of the store.

    Attributes:
        items: The items, by key.
        revision: All changes up to this revision of the store are in the
            items.
    """

    items: tuple[StoredValue, ...]
    revision: int


class Changes(msgspec.Struct, frozen=True):
    """Changes, in order.

    Attributes:
        events: The changes; none when the wait ended without one.
        revision: Where the next watch goes on.
    """

    events: tuple[WatchEvent, ...]
    revision: int


class Store(abc.ABC):
    """The platform's store; each method raises PlatformUnavailableError."""

    @abc.abstractmethod
    async def read_all(self, may_be_old: bool) -> Listing:
        """Read all items.

        Args:
            may_be_old: The answer may be some seconds old, and costs the
                platform less.
        """

    @abc.abstractmethod
    async def watch(self, revision: int, wait_s: float) -> Changes:
        """Wait for changes after a revision; raises HistoryLostError."""

    @abc.abstractmethod
    async def answers(self, timeout_s: float) -> bool:
        """Tell whether the store can be reached over a new connection."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""


class Documents(abc.ABC):
    """Keys and documents in the store, read into the product's types."""

    @property
    @abc.abstractmethod
    def registry_prefix(self) -> str:
        """Prefix of the entries of upstreams."""

    @abc.abstractmethod
    def read_config(self, events: Iterable[WatchEvent]) -> RoutingConfig | None:
        """Read the newest configuration among items; None when absent."""

    @abc.abstractmethod
    def evacuations(
        self, events: Iterable[WatchEvent]
    ) -> Iterator[tuple[str, bool]]:
        """Yield failure domains and whether they are evacuated."""

    @abc.abstractmethod
    def registered(
        self, events: Iterable[WatchEvent]
    ) -> Iterator[tuple[str, Upstream | None]]:
        """Yield upstreams by name; None for an entry that names none."""
