"""An in-memory network with delays, loss, cuts and one-way loss.

It carries single packets, and connections between entry VMs. A cut or one-way
loss drops packets. Messages on a connection are held instead, because TCP would
send them again, and arrive in order after the path has healed. Random loss
only drops packets and does not affect connections.
"""

import asyncio
import collections
import contextvars
import dataclasses
import random
from collections.abc import Callable

from hibiscushatch_core.errors import PeerClosedError, PeerError
from hibiscushatch_core.ports import PeerAcceptor, PeerChannel, PeerTransport
from hibiscushatch_tools.host_loop import Host

CLIENTS = 'clients'
PLATFORM = 'platform'
# Shortest time between two messages of a connection, to keep their order.
MESSAGE_SPACING_S = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class NetworkSettings:
    """One-way delays in seconds, and packet loss.

    Attributes:
        within_domain_s: Delay between two endpoints of one failure domain.
        between_domains_s: Delay between two failure domains.
        to_clients_s: Delay between callers and any failure domain.
        jitter: Largest random addition to a delay, as a fraction of it.
        reorder: Fraction of packets that are delayed threefold, so that
            later packets overtake them.
        loss: Fraction of packets that are lost.
        connect_timeout_s: Time after which connecting to an address that does
            not answer fails.
    """

    within_domain_s: float = 0.0002
    between_domains_s: float = 0.0015
    to_clients_s: float = 0.003
    jitter: float = 0.3
    reorder: float = 0.01
    loss: float = 0
    connect_timeout_s: float = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class ExternalEndpoint:
    """An endpoint that is not a simulated host: an upstream or all callers."""

    name: str
    domain: str


Endpoint = Host | ExternalEndpoint


class MemoryNetwork:
    """The paths between callers, entry VMs and upstreams.

    Attributes:
        lost: Packets that were lost.
        control_bytes: Bytes sent on connections, by name of the sending host.
        loss: Fraction of packets that are lost.
    """

    def __init__(
        self, settings: NetworkSettings, randomness: random.Random
    ) -> None:
        self.lost = 0
        self.control_bytes: collections.Counter[str] = collections.Counter()
        self._no_host_context = contextvars.Context()
        self.loss = settings.loss
        self._settings = settings
        self._randomness = randomness
        self._loop = asyncio.get_running_loop()
        self._cuts: set[frozenset[str]] = set()
        self._one_way_losses: set[tuple[str, str]] = set()
        self._listeners: dict[tuple[str, int], _Listener] = {}
        self._held_messages: list[_HeldMessage] = []

    @property
    def connect_timeout_s(self) -> float:
        """Time after which connecting to an unresponsive address fails."""
        return self._settings.connect_timeout_s

    def cut(self, domain: str, other: str) -> None:
        """Cut the path between two failure domains in both directions."""
        self._cuts.add(frozenset((domain, other)))

    def lose_one_way(self, source: str, target: str) -> None:
        """Lose all packets, and hold all messages, from one host to another."""
        self._one_way_losses.add((source, target))

    def heal(self) -> None:
        """Undo all cuts and one-way losses and send the held messages."""
        self._cuts.clear()
        self._one_way_losses.clear()
        held_messages = self._held_messages
        self._held_messages = []
        for message in held_messages:
            message.channel.transmit(message.text)

    def are_connected(self, domain: str, other: str) -> bool:
        """Return whether two failure domains can reach each other."""
        return frozenset((domain, other)) not in self._cuts

    def can_deliver(self, source: Endpoint, target: Endpoint) -> bool:
        """Return whether packets from one endpoint reach another."""
        if (source.name, target.name) in self._one_way_losses:
            return False
        return self.are_connected(source.domain, target.domain)

    def draw_delay_s(self, source: Endpoint, target: Endpoint) -> float:
        """Draw the random delay of a packet, in seconds."""
        settings = self._settings
        if CLIENTS in (source.domain, target.domain):
            base_s = settings.to_clients_s
        elif source.domain == target.domain:
            base_s = settings.within_domain_s
        else:
            base_s = settings.between_domains_s
        return base_s * (1 + settings.jitter * self._randomness.random())

    def carry(
        self,
        source: Endpoint,
        target: Endpoint,
        deliver: Callable[..., object],
        *args: object,
    ) -> None:
        """Carry a packet to its target, or lose it.

        Args:
            source: Endpoint that sends the packet.
            target: Endpoint that receives the packet.
            deliver: Called on the target when the packet arrives.
            args: Arguments of deliver: the packet and, for an entry VM, the
                address of the sender.
        """
        is_sent = not isinstance(source, Host) or source.running
        if not is_sent or not self.can_deliver(source, target):
            self.lost += 1
            return
        if self.loss and self._randomness.random() < self.loss:
            self.lost += 1
            return
        delay_s = self.draw_delay_s(source, target)
        if self._randomness.random() < self._settings.reorder:
            delay_s *= 3
        self.call_later_on(target, delay_s, deliver, *args)

    def call_later_on(
        self,
        target: Endpoint,
        delay_s: float,
        callback: Callable[..., object],
        *args: object,
    ) -> None:
        """Run a callback on an endpoint after a delay.

        On an endpoint that is not a host, the callback must not inherit the
        sender's context: the timers that it starts would stop when the sender
        is killed.
        """
        is_host = isinstance(target, Host)
        context = target.context if is_host else self._no_host_context
        self._loop.call_later(delay_s, callback, *args, context=context)

    def listen(
        self, host: Host, address: tuple[str, int], acceptor: PeerAcceptor
    ) -> None:
        """Accept connections at an address."""
        self._listeners[address] = _Listener(host, acceptor)

    def stop_listening(self, host: Host, address: tuple[str, int]) -> None:
        """Stop accepting connections at an address of a host."""
        listener = self._listeners.get(address)
        if listener is not None and listener.host is host:
            del self._listeners[address]

    def find_listener(self, address: tuple[str, int]) -> '_Listener | None':
        """Return the listener at an address, or None if there is none."""
        return self._listeners.get(address)

    def is_replaced(self, host: Host) -> bool:
        """Return whether a new host of the same name accepts connections."""
        return any(
            listener.host.name == host.name and listener.host is not host
            for listener in self._listeners.values()
        )

    def hold_until_healed(
        self, channel: 'MemoryChannel', text: str | None
    ) -> None:
        """Hold a message of a connection until its path has healed.

        Args:
            channel: The sending end of the connection.
            text: The message, or None for the end of the connection.
        """
        self._held_messages.append(_HeldMessage(channel, text))


@dataclasses.dataclass(frozen=True, slots=True)
class _Listener:
    host: Host
    acceptor: PeerAcceptor


@dataclasses.dataclass(frozen=True, slots=True)
class _HeldMessage:
    channel: 'MemoryChannel'
    text: str | None


class MemoryChannel(PeerChannel):
    """One end of a connection between two hosts."""

    def __init__(self, network: MemoryNetwork, host: Host) -> None:
        self.host = host
        self._network = network
        self._remote: MemoryChannel | None = None
        self._inbox: collections.deque[str | None] = collections.deque()
        self._inbox_changed = asyncio.Event()
        self._closed = False
        self._last_arrival_s = 0.0

    def attach_remote(self, remote: 'MemoryChannel') -> None:
        """Set the other end of the connection."""
        self._remote = remote

    async def send(self, text: str) -> None:
        """Send one JSON message; raises PeerClosedError."""
        if self._closed:
            raise PeerClosedError('send', self._peer_name(), 'closed')
        self._network.control_bytes[self.host.name] += len(text.encode())
        self.transmit(text)
        await asyncio.sleep(0)

    async def receive(self) -> str:
        """Wait for one JSON message; raises PeerClosedError."""
        while not self._inbox and not self._closed:
            self._inbox_changed.clear()
            await self._inbox_changed.wait()
        text = self._inbox.popleft() if self._inbox else None
        if text is None:
            self._closed = True
            raise PeerClosedError('receive', self._peer_name(), 'closed')
        return text

    async def close(self) -> None:
        """Close the connection."""
        if not self._closed:
            self._closed = True
            self._inbox_changed.set()
            self.transmit(None)

    def transmit(self, text: str | None) -> None:
        """Send a message, or None for the end, to the other end in order.

        Messages to a dead host are lost. Once a new host of the same name
        accepts connections, sending to the dead one closes this end, as a TCP
        reset would.
        """
        remote = self._remote
        if not self.host.running:
            return
        if not remote.host.alive:
            if self._network.is_replaced(remote.host):
                self.on_message(None)
            return
        if not self._network.can_deliver(self.host, remote.host):
            self._network.hold_until_healed(self, text)
            return
        now_s = asyncio.get_running_loop().time()
        arrival_s = now_s + self._network.draw_delay_s(self.host, remote.host)
        self._last_arrival_s = max(
            arrival_s, self._last_arrival_s + MESSAGE_SPACING_S
        )
        self._network.call_later_on(
            remote.host, self._last_arrival_s - now_s, remote.on_message, text
        )

    def on_message(self, text: str | None) -> None:
        """Queue a message, or None for the end, from the other end."""
        if not self._closed:
            self._inbox.append(text)
            self._inbox_changed.set()

    def _peer_name(self) -> str:
        return self._remote.host.name


class MemoryPeerTransport(PeerTransport):
    """Connections between entry VMs over a MemoryNetwork."""

    def __init__(
        self, network: MemoryNetwork, host: Host, address: tuple[str, int]
    ) -> None:
        self._network = network
        self._host = host
        self._address = address
        self._channels: list[MemoryChannel] = []

    async def connect(self, target: tuple[str, int]) -> PeerChannel:
        """Open a connection to a control address; raises PeerError."""
        listener = self._network.find_listener(target)
        if listener is None or not self._can_reach(listener.host):
            await asyncio.sleep(self._network.connect_timeout_s)
            raise PeerError('connect', target[0], 'no answer')
        remote_host = listener.host
        await asyncio.sleep(
            2 * self._network.draw_delay_s(self._host, remote_host)
        )
        local = MemoryChannel(self._network, self._host)
        remote = MemoryChannel(self._network, remote_host)
        local.attach_remote(remote)
        remote.attach_remote(local)
        self._channels.append(local)
        delay_s = self._network.draw_delay_s(self._host, remote_host)
        self._network.call_later_on(
            remote_host,
            delay_s,
            _accept,
            remote_host,
            listener.acceptor,
            remote,
        )
        return local

    async def listen(self, acceptor: PeerAcceptor) -> None:
        """Call the acceptor with each connection that a peer opens."""
        self._network.listen(self._host, self._address, acceptor)

    async def close(self) -> None:
        """Stop listening and close the connections that this host opened."""
        self._network.stop_listening(self._host, self._address)
        for channel in self._channels:
            await channel.close()

    def _can_reach(self, other: Host) -> bool:
        sends = self._network.can_deliver(self._host, other)
        receives = self._network.can_deliver(other, self._host)
        return other.alive and sends and receives


def _accept(host: Host, acceptor: PeerAcceptor, channel: MemoryChannel) -> None:
    host.create_task(_run_acceptor(acceptor, channel))


async def _run_acceptor(acceptor: PeerAcceptor, channel: MemoryChannel) -> None:
    await acceptor(channel)
