"""Interfaces to the network, the platform and the peers.

The decision logic uses only these abstract base classes. Implementations with
real sockets are in hibiscushatch_node.adapters; in-memory implementations for
scenarios and tests are in hibiscushatch_tools.
"""

import abc
from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec


class PacketSender(abc.ABC):
    """Sends inner IPv4 packets as payload of UDP datagrams."""

    @abc.abstractmethod
    def send_to_upstream(self, packet: bytes, target: tuple[str, int]) -> None:
        """Send a packet to the tunnel address of an upstream."""

    @abc.abstractmethod
    def send_to_caller(self, packet: bytes) -> None:
        """Send a packet to its caller through the fabric."""

    @abc.abstractmethod
    def send_to_peer(self, datagram: bytes, target: tuple[str, int]) -> None:
        """Send a relay datagram to another entry VM's relay address."""


class StoredValue(msgspec.Struct, frozen=True):
    """A key and its value as read from the platform's key-value service.

    Attributes:
        key: The full key.
        value: Its value.
        mod_revision: Store revision of the last write to the key.
    """

    key: str
    value: bytes
    mod_revision: int


class WatchEvent(msgspec.Struct, frozen=True):
    """A change of a watched key; the value is None if it was deleted."""

    key: str
    value: bytes | None
    mod_revision: int


class Platform(abc.ABC):
    """The platform's key-value service.

    Every method raises PlatformUnavailableError if the service does not
    answer; a write may then have taken effect or not.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> StoredValue | None:
        """Read one key."""

    @abc.abstractmethod
    async def list_prefix(self, prefix: str) -> tuple[StoredValue, ...]:
        """Read all keys that begin with a prefix."""

    @abc.abstractmethod
    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes
    ) -> bool:
        """Write a key if its mod_revision is as expected; 0 if it is absent.

        Returns whether the key was written.
        """

    @abc.abstractmethod
    def watch_prefix(self, prefix: str) -> AsyncIterator[WatchEvent]:
        """Yield the present keys with a prefix, then their changes.

        The iteration ends only with PlatformUnavailableError, raised when the
        watch breaks or is silent for too long.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> int:
        """Request a lease and return its id."""

    @abc.abstractmethod
    async def keep_lease_alive(self, lease_id: int) -> bool:
        """Renew a lease; return False if it has expired."""

    @abc.abstractmethod
    async def put_with_lease(
        self, key: str, value: bytes, lease_id: int
    ) -> None:
        """Write a key that is deleted when the lease expires."""

    @abc.abstractmethod
    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class PeerChannel(abc.ABC):
    """An authenticated, ordered connection to another entry VM."""

    @abc.abstractmethod
    async def send(self, text: str) -> None:
        """Send a JSON message; raises PeerClosedError if closed."""

    @abc.abstractmethod
    async def receive(self) -> str:
        """Wait for a JSON message; raises PeerClosedError if closed."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connection."""


PeerAcceptor = Callable[[PeerChannel], Awaitable[None]]


class PeerTransport(abc.ABC):
    """Opens and accepts connections between entry VMs."""

    @abc.abstractmethod
    async def connect(self, target: tuple[str, int]) -> PeerChannel:
        """Connect to a control address; raises PeerError on failure."""

    @abc.abstractmethod
    async def listen(self, acceptor: PeerAcceptor) -> None:
        """Call the acceptor with each connection opened by a peer."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop listening and close all connections."""
