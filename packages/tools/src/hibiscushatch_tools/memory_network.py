"""A network in memory with delays, loss, cuts and one-way loss.

It carries packets and the connections between entry VMs. A cut or lossy path
loses packets; what was sent on a connection waits, as TCP would send it again,
and arrives in order once the path is whole.
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
MESSAGE_SPACING_S = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class NetworkSettings:
    """Delays one way in seconds, and the packet loss.

    Attributes:
        within_domain_s: Between two ends of one failure domain.
        between_domains_s: Between failure domains.
        to_clients_s: Between callers and any failure domain.
        jitter: Most that a delay is lengthened, as a fraction.
        reorder: Fraction of packets that are delayed threefold.
        loss: Fraction of packets that are lost.
        connect_timeout_s: When connecting to a silent address fails.
    """

    within_domain_s: float = 0.0002
    between_domains_s: float = 0.0015
    to_clients_s: float = 0.003
    jitter: float = 0.3
    reorder: float = 0.01
    loss: float = 0
    connect_timeout_s: float = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """An end of the network that is no host: an upstream or all callers."""

    name: str
    domain: str


End = Host | Place


class MemoryNetwork:
    """Every path between callers, entry VMs, upstreams and the platform.

    Attributes:
        lost: Packets that were lost.
        control_bytes: Bytes sent on connections, by host name.
    """

    def __init__(
        self, settings: NetworkSettings, randomness: random.Random
    ) -> None:
        self.lost = 0
        self.control_bytes: collections.Counter[str] = collections.Counter()
        self._outside = contextvars.Context()
        self.loss = settings.loss
        self._settings = settings
        self._randomness = randomness
        self._loop = asyncio.get_running_loop()
        self._cuts: set[frozenset[str]] = set()
        self._one_way: set[tuple[str, str]] = set()
        self._listeners: dict[tuple[str, int], _Listener] = {}
        self._stalled: list[_Stalled] = []

    @property
    def connect_timeout_s(self) -> float:
        """When connecting to a silent address fails."""
        return self._settings.connect_timeout_s

    def cut(self, one: str, other: str) -> None:
        """Cut the path between two domains in both directions."""
        self._cuts.add(frozenset((one, other)))

    def lose_one_way(self, source: str, target: str) -> None:
        """Lose everything that one host sends another."""
        self._one_way.add((source, target))

    def heal(self) -> None:
        """Make every path whole and deliver what waited on connections."""
        self._cuts.clear()
        self._one_way.clear()
        stalled = self._stalled
        self._stalled = []
        for one in stalled:
            one.channel.pass_on(one.text)

    def joins(self, one: str, other: str) -> bool:
        """Tell whether two domains can reach each other."""
        return frozenset((one, other)) not in self._cuts

    def passes(self, source: End, target: End) -> bool:
        """Tell whether what one end sends reaches the other."""
        if (source.name, target.name) in self._one_way:
            return False
        return self.joins(source.domain, target.domain)

    def delay_s(self, source: End, target: End) -> float:
        """Draw the time that a packet takes."""
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
        source: End,
        target: End,
        deliver: Callable[..., object],
        *args: object,
    ) -> None:
        """Carry a packet to the callback of its target, or lose it."""
        is_sent = not isinstance(source, Host) or source.running
        if not is_sent or not self.passes(source, target):
            self.lost += 1
            return
        if self.loss and self._randomness.random() < self.loss:
            self.lost += 1
            return
        delay_s = self.delay_s(source, target)
        if self._randomness.random() < self._settings.reorder:
            delay_s *= 3
        self.call_on(target, delay_s, deliver, *args)

    def call_on(
        self,
        target: End,
        delay_s: float,
        callback: Callable[..., object],
        *args: object,
    ) -> None:
        """Run a callback on an end after a delay.

        An end that is no host must not inherit the sender's context: its
        timers would stop when the sender is killed.
        """
        is_host = isinstance(target, Host)
        context = target.context if is_host else self._outside
        self._loop.call_later(delay_s, callback, *args, context=context)

    def listen(
        self, host: Host, address: tuple[str, int], acceptor: PeerAcceptor
    ) -> None:
        """Accept connections at an address."""
        self._listeners[address] = _Listener(host, acceptor)

    def stop_listening(self, host: Host, address: tuple[str, int]) -> None:
        """Accept no more connections at an address."""
        listener = self._listeners.get(address)
        if listener is not None and listener.host is host:
            del self._listeners[address]

    def find_listener(self, address: tuple[str, int]) -> '_Listener | None':
        """Find who accepts connections at an address."""
        return self._listeners.get(address)

    def is_replaced(self, host: Host) -> bool:
        """Tell whether another host of the same name accepts connections."""
        return any(
            one.host.name == host.name and one.host is not host
            for one in self._listeners.values()
        )

    def stall(self, channel: 'MemoryChannel', text: str | None) -> None:
        """Keep what was sent on a connection until its path is whole."""
        self._stalled.append(_Stalled(channel, text))


@dataclasses.dataclass(frozen=True, slots=True)
class _Listener:
    host: Host
    acceptor: PeerAcceptor


@dataclasses.dataclass(frozen=True, slots=True)
class _Stalled:
    channel: 'MemoryChannel'
    text: str | None


class MemoryChannel(PeerChannel):
    """One end of a connection between two hosts."""

    def __init__(self, network: MemoryNetwork, host: Host) -> None:
        self.host = host
        self._network = network
        self._other: MemoryChannel | None = None
        self._inbox: collections.deque[str | None] = collections.deque()
        self._wake = asyncio.Event()
        self._closed = False
        self._last_arrival_s = 0.0

    def join(self, other: 'MemoryChannel') -> None:
        """Name the other end."""
        self._other = other

    async def send(self, text: str) -> None:
        """Send one JSON message; raises PeerClosedError."""
        if self._closed:
            raise PeerClosedError('send', self._peer_name(), 'closed')
        self._network.control_bytes[self.host.name] += len(text.encode())
        self.pass_on(text)
        await asyncio.sleep(0)

    async def receive(self) -> str:
        """Wait for one JSON message; raises PeerClosedError."""
        while not self._inbox and not self._closed:
            self._wake.clear()
            await self._wake.wait()
        text = self._inbox.popleft() if self._inbox else None
        if text is None:
            self._closed = True
            raise PeerClosedError('receive', self._peer_name(), 'closed')
        return text

    async def close(self) -> None:
        """Close the connection."""
        if not self._closed:
            self._closed = True
            self._wake.set()
            self.pass_on(None)

    def pass_on(self, text: str | None) -> None:
        """Bring a message, or None for the end, to the other end in order."""
        other = self._other
        if not self.host.running:
            return
        if not other.host.alive:
            if self._network.is_replaced(other.host):
                self.arrive(None)
            return
        if not self._network.passes(self.host, other.host):
            self._network.stall(self, text)
            return
        now_s = asyncio.get_running_loop().time()
        arrival_s = now_s + self._network.delay_s(self.host, other.host)
        self._last_arrival_s = max(
            arrival_s, self._last_arrival_s + MESSAGE_SPACING_S
        )
        self._network.call_on(
            other.host, self._last_arrival_s - now_s, other.arrive, text
        )

    def arrive(self, text: str | None) -> None:
        """Take in what the other end sent."""
        if not self._closed:
            self._inbox.append(text)
            self._wake.set()

    def _peer_name(self) -> str:
        return self._other.host.name


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
        there = listener.host
        await asyncio.sleep(2 * self._network.delay_s(self._host, there))
        near = MemoryChannel(self._network, self._host)
        far = MemoryChannel(self._network, there)
        near.join(far)
        far.join(near)
        self._channels.append(near)
        delay_s = self._network.delay_s(self._host, there)
        self._network.call_on(
            there, delay_s, _accept, there, listener.acceptor, far
        )
        return near

    async def listen(self, acceptor: PeerAcceptor) -> None:
        """Call the acceptor with each connection that others open."""
        self._network.listen(self._host, self._address, acceptor)

    async def close(self) -> None:
        """Stop listening and close what is open."""
        self._network.stop_listening(self._host, self._address)
        for channel in self._channels:
            await channel.close()

    def _can_reach(self, other: Host) -> bool:
        there = self._network.passes(self._host, other)
        back = self._network.passes(other, self._host)
        return other.alive and there and back


def _accept(host: Host, acceptor: PeerAcceptor, channel: MemoryChannel) -> None:
    host.start(_run_acceptor(acceptor, channel))


async def _run_acceptor(acceptor: PeerAcceptor, channel: MemoryChannel) -> None:
    await acceptor(channel)
