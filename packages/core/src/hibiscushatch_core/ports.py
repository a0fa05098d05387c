"""What the decisions need from outside, as abstract base classes.

Adapters over real sockets are in hibiscushatch_node.adapters; in-memory ones
for scenarios and tests are in hibiscushatch_tools.
"""

import abc
from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec


class PacketSender(abc.ABC):
    """Sends inner IPv4 packets as UDP payloads."""

    @abc.abstractmethod
    def send_to_upstream(self, packet: bytes, target: tuple[str, int]) -> None:
        """Send a packet to the tunnel address of an upstream."""

    @abc.abstractmethod
    def send_to_caller(self, packet: bytes) -> None:
        """Send a packet to its caller by way of the fabric."""

    @abc.abstractmethod
    def send_to_peer(self, datagram: bytes, target: tuple[str, int]) -> None:
        """Send a relay datagram to another entry VM's relay address."""


class StoredValue(msgspec.Struct, frozen=True):
    """A key of the platform's service as it was read.

    Attributes:
        key: The full key.
        value: Its bytes.
        mod_revision: Revision of the service at its last write.
    """

    key: str
    value: bytes
    mod_revision: int


class WatchEvent(msgspec.Struct, frozen=True):
    """A change of a watched key; the value is None when it was deleted."""

    key: str
    value: bytes | None
    mod_revision: int


class Platform(abc.ABC):
    """The platform's key-value service.

    Every method raises PlatformUnavailableError when no answer came; a write
    may then have taken effect or not.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> StoredValue | None:
        """Read one key."""

    @abc.abstractmethod
    async def list_prefix(self, prefix: str) -> tuple[StoredValue, ...]:
        """Read all keys with a prefix."""

    @abc.abstractmethod
    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes
    ) -> bool:
        """Write a key if its mod_revision is as expected; 0 means absent."""

    @abc.abstractmethod
    def watch_prefix(self, prefix: str) -> AsyncIterator[WatchEvent]:
        """Yield the keys with a prefix as they are, then their changes.

        Ends only by raising: PlatformUnavailableError when the watch breaks
        or stays silent beyond its deadline.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> int:
        """Ask for a lease and return its identifier."""

    @abc.abstractmethod
    async def keep_lease_alive(self, lease_id: int) -> bool:
        """Renew a lease; False when it has lapsed."""

    @abc.abstractmethod
    async def put_with_lease(
        self, key: str, value: bytes, lease_id: int
    ) -> None:
        """Write a key that vanishes when the lease lapses."""

    @abc.abstractmethod
    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Release connections."""


class PeerChannel(abc.ABC):
    """An authenticated, ordered connection to one other entry VM."""

    @abc.abstractmethod
    async def send(self, text: str) -> None:
        """Send one JSON message; raises PeerClosedError."""

    @abc.abstractmethod
    async def receive(self) -> str:
        """Wait for one JSON message; raises PeerClosedError."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connection."""


PeerAcceptor = Callable[[PeerChannel], Awaitable[None]]


class PeerTransport(abc.ABC):
    """Opens and accepts connections between entry VMs."""

    @abc.abstractmethod
    async def connect(self, target: tuple[str, int]) -> PeerChannel:
        """Open a connection to a control address; raises PeerError."""

    @abc.abstractmethod
    async def listen(self, acceptor: PeerAcceptor) -> None:
        """Call the acceptor with each connection that others open."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop listening and close what is open."""
