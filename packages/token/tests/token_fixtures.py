"""Fixtures that the tests of the token package share."""

import asyncio
import dataclasses
import logging
import math
import random
import struct
import zlib

import msgspec

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import InvalidItemError
from hibiscushatch_core.ports import StoredValue, WatchEvent
from hibiscushatch_token.environment import Environment
from hibiscushatch_token.knowledge.registry import Registry
from hibiscushatch_token.knowledge.replica import StoreReplica
from hibiscushatch_token.knowledge.routing import Routing
from hibiscushatch_token.model import (
    EntryVersion,
    Route,
    RoutingConfig,
    ServicePolicy,
    Upstream,
    WeightedService,
)
from hibiscushatch_token.ports import (
    Changes,
    Documents,
    FlowPacket,
    HistoryLostError,
    Listing,
    PacketCodec,
    Position,
    Reset,
    Store,
)
from hibiscushatch_token.settings import TokenNodeSettings
from hibiscushatch_token.traffic.packet_path import PacketPath
from hibiscushatch_tools.load_events import VirtualClock as FakeClock

# Many tests make the store fail; the log lines about it would fill the output.
logging.getLogger('hibiscushatch_token').addHandler(logging.NullHandler())

ENDPOINT = (bytes((198, 18, 0, 1)), 443)
SEED = 11
# Flow name, token, flags, copy and route index.
_PACKET = struct.Struct('>4sIBBB')
# Flags of a packet.
OPENING = 1
LAST = 2
PAYLOAD = 4


def opening_packet(flow: str, copy: int = 0) -> bytes:
    """Build an opening packet in the format of FakeCodec."""
    return _PACKET.pack(flow.encode(), 0, OPENING, copy, 0)


class FakeCodec(PacketCodec):
    """Packets of a flow name, a token, flags, a copy and a route index.

    The first letter of the flow's name stands for the caller's address.
    """

    def parse(self, datagram: bytes) -> FlowPacket | None:
        """Parse a packet."""
        if len(datagram) < _PACKET.size:
            return None
        flow, token, flags, copy, route = _PACKET.unpack_from(datagram)
        return FlowPacket(
            datagram,
            flow,
            flow[:1],
            (ENDPOINT[0], ENDPOINT[1] + route),
            token,
            bool(flags & OPENING),
            copy,
            (0, 0.2, 0.6)[copy],
            bool(flags & PAYLOAD),
            bool(flags & LAST),
            (0.2, 0.6, 1.4)[copy] if flags & OPENING else math.inf,
        )

    def describe(self, flow: bytes) -> str:
        """Return the name of a flow."""
        return flow.decode()

    def encapsulate(self, packet: FlowPacket, upstream: Upstream) -> bytes:
        """Prefix a packet with the identity of an upstream."""
        return upstream.identity + packet.datagram

    def build_reset(self, packet: FlowPacket) -> Reset:
        """Build a reset."""
        return Reset(b'reset', ('caller', 1))


class FakeDocuments(Documents):
    """Items in a format that tests can write by hand.

    ``op/config`` holds a version, ``op/evacuate/DOMAIN`` any value, and
    ``servers/NAME`` a failure domain, optionally followed by a state, and then
    by the number of the entry and the incarnation.
    """

    def __init__(self) -> None:
        self.upstreams: dict[bytes, Upstream] = {}

    @property
    def config_key(self) -> str:
        """Key of the configuration."""
        return 'op/config'

    @property
    def registry_prefix(self) -> str:
        """Prefix of the keys under which upstreams are registered."""
        return 'servers/'

    def read_config(self, events: object) -> RoutingConfig | None:
        """Read a configuration whose value is its version."""
        newest = None
        for event in events:
            if event.key == 'op/config' and event.value is not None:
                newest = config(int(event.value))
        return newest

    def read_evacuations(self, events: object) -> object:
        """Yield evacuated failure domains."""
        for event in events:
            if event.key.startswith('op/evacuate/'):
                yield event.key[12:], event.value is not None

    def upstream_name(self, key: str) -> str | None:
        """Return the name in a key of the registry, or None."""
        return key[8:] if key.startswith('servers/') else None

    def read_upstream(self, name: str, value: bytes) -> Upstream:
        """Read an entry; an empty one names no upstream."""
        return _read_upstream(name, value)


class FakeStore(Store):
    """A store that returns what a test has prepared."""

    def __init__(self) -> None:
        self.is_store_reachable = True
        self.listing = listing(1)
        self.stale_listing: Listing | None = None
        self.changes: list[Changes | Exception] = []
        self.calls: list[str] = []

    async def read_all(self, allow_stale: bool) -> Listing:
        """Return the prepared listing, and record the call."""
        await asyncio.sleep(0.01)
        self.calls.append('old list' if allow_stale else 'list')
        if allow_stale and self.stale_listing is not None:
            return self.stale_listing
        return self.listing

    async def watch(self, after: Position, wait_s: float) -> Changes:
        """Return or raise the next prepared change, and record the call."""
        await asyncio.sleep(0.01)
        self.calls.append(f'watch {after.revision}')
        if not self.changes:
            raise HistoryLostError('watch', 'store', 'no more changes')
        change = self.changes.pop(0)
        if isinstance(change, Exception):
            raise change
        return change

    async def is_reachable(self, timeout_s: float) -> bool:
        """Return what the test has set."""
        return self.is_store_reachable

    async def close(self) -> None:
        """Do nothing."""


class SlowStore(FakeStore):
    """A store that takes some time to answer.

    Args:
        answer_s: How long it takes.
    """

    def __init__(self, answer_s: float) -> None:
        super().__init__()
        self._answer_s = answer_s

    async def is_reachable(self, timeout_s: float) -> bool:
        """Return whether the answer takes no longer than the timeout."""
        await asyncio.sleep(min(self._answer_s, timeout_s))
        return self._answer_s <= timeout_s


def _read_upstream(name: str, value: bytes) -> Upstream:
    if not value:
        raise InvalidItemError('reading an item', name, 'empty')
    words = value.decode().split()
    domain, state, sequence, incarnation = (
        words + ['', '0', '1'][len(words) - 1 :]
    )
    read = upstream(
        name,
        domain,
        is_draining=state == 'draining',
        incarnation=int(incarnation),
    )
    return restated(read, int(sequence))


def upstream(
    name: str,
    domain: str = 'here',
    service: str = 'booking',
    is_draining: bool = False,
    cold_s: float = 0,
    incarnation: int = 1,
    slots: int = 3,
) -> Upstream:
    """Build an upstream; its identity and token are derived from its name."""
    return Upstream(
        name,
        name.encode().rjust(8),
        zlib.crc32(name.encode()),
        service,
        (name, 80),
        domain,
        slots,
        is_draining,
        cold_s,
        EntryVersion(incarnation, 0),
    )


def restated(stated: Upstream, sequence: int) -> Upstream:
    """Return an upstream with another number of its entry."""
    version = EntryVersion(stated.incarnation, sequence)
    return msgspec.structs.replace(stated, version=version)


def config(version: int, cold_flows_per_s: float = 0) -> RoutingConfig:
    """Build a configuration with one route, to the service ``booking``."""
    return RoutingConfig(
        version,
        {
            ENDPOINT: Route(
                (WeightedService('booking', 1),), aim_s=0.15, timeout_s=2.5
            )
        },
        {'booking': ServicePolicy(cold_flows_per_s, 2000)},
    )


def settings(**changes: object) -> TokenNodeSettings:
    """Build settings of an entry VM in the failure domain ``here``."""
    fields = {
        'name': 'vm-1',
        'domain': 'here',
        'packets': '127.0.0.1:1',
        'readiness': '127.0.0.1:2',
        'control': '127.0.0.1:3',
        'metrics': '127.0.0.1:4',
        'store': {'address': '127.0.0.1:5'},
    }
    return msgspec.convert({**fields, **changes}, TokenNodeSettings)


class VmHarness(PacketPath):
    """The packet path of one entry VM, with a record of what it sent.

    Args:
        clock: The clock, which the test sets.
        fleet: Number of entry VMs.
        seed: Seed of the random numbers.
        domain: Failure domain of the entry VM.
    """

    def __init__(
        self,
        clock: FakeClock,
        fleet: int,
        seed: int = SEED,
        domain: str = 'here',
    ) -> None:
        self.clock = clock
        self.counters = Counters()
        self.sent: list[tuple[bytes, tuple[str, int]]] = []
        environment = Environment(
            FakeCodec(),
            self.counters,
            clock,
            random.Random(seed),  # noqa: S311
        )
        super().__init__(
            settings(domain=domain),
            environment,
            lambda datagram, target: self.sent.append((datagram, target)),
            lambda: fleet,
        )

    @property
    def routing(self) -> Routing:
        """The routes and evacuations in force."""
        return self.known.routing

    @property
    def registry(self) -> Registry:
        """The listed upstreams."""
        return self.known.registry

    def send(
        self,
        flow: str,
        token: int = 0,
        flags: int = 0,
        copy: int = 0,
        route: int = 0,
        waited_s: float = 0,
    ) -> str:
        """Handle a packet; return where it was sent, empty if nowhere."""
        before = len(self.sent)
        datagram = _PACKET.pack(flow.encode(), token, flags, copy, route)
        self.forwarder.handle_waited(datagram, waited_s)
        if len(self.sent) == before:
            return ''
        return self.sent[-1][1][0]

    def advance(self, seconds: float) -> str:
        """Advance the clock; return where a flow was placed again, if any."""
        self.clock.now += seconds
        before = len(self.sent)
        self.opener.retry_unanswered()
        self.opener.drop_idle()
        if len(self.sent) == before:
            return ''
        return self.sent[-1][1][0]

    def open(self, flow: str, copy: int = 0, route: int = 0) -> str:
        """Handle an opening packet; return where it was sent."""
        return self.send(flow, flags=OPENING, copy=copy, route=route)

    def end(self, flow: str, name: str) -> str:
        """Handle the last packet of a flow; return where it was sent."""
        return self.send(flow, upstream(name).token, LAST)

    def send_after_answer(self, flow: str, name: str) -> str:
        """Handle the caller's first packet after the answer of an upstream."""
        return self.send(flow, token=upstream(name).token)


def vm_harness(
    *upstreams: Upstream,
    fleet: int = 1,
    cold_flows_per_s: float = 0,
    clock: FakeClock | None = None,
) -> VmHarness:
    """Build the packet path of an entry VM with listed upstreams."""
    harness = VmHarness(clock or FakeClock(), fleet)
    harness.routing.apply_config(config(1, cold_flows_per_s), at(1))
    for listed in upstreams:
        harness.registry.apply(listed.name, listed, at(1))
    return harness


def apply_routes(vm: VmHarness, *routes: Route) -> None:
    """Put a configuration in force whose first route has the usual endpoint."""
    host, port = ENDPOINT
    endpoints = ((host, port + index) for index in range(len(routes)))
    version = vm.routing.config.version + 1
    vm.routing.apply_config(
        RoutingConfig(version, dict(zip(endpoints, routes, strict=True)), {}),
        at(version),
    )


@dataclasses.dataclass
class ReplicaHarness:
    """A replica with the routes and the registry that it updates."""

    clock: FakeClock
    routing: Routing
    registry: Registry
    replica: StoreReplica


def replica_harness() -> ReplicaHarness:
    """Build a replica with a lapse grace of 2 s and an outage time of 2.5 s."""
    clock = FakeClock()
    routing = Routing()
    registry = Registry(clock, 60, lambda _upstream: None)
    store_settings = settings(
        store={'address': '127.0.0.1:5', 'lapse_grace_s': 2, 'outage_s': 2.5}
    ).store
    replica = StoreReplica(
        FakeDocuments(), routing, registry, clock, store_settings, Counters()
    )
    return ReplicaHarness(clock, routing, registry, replica)


def at(revision: int, era: int = 0) -> Position:
    """Build a position of the store."""
    return Position(era, revision)


def listing(revision: int, era: int = 0, **items: str) -> Listing:
    """Build a listing of items; ``_`` in a name stands for ``/`` in the key."""
    return Listing(
        tuple(
            StoredValue(key.replace('_', '/'), value.encode(), revision)
            for key, value in items.items()
        ),
        at(revision, era),
    )


def change(key: str, value: str | None, revision: int, era: int = 0) -> Changes:
    """Build a set of changes with one change; the value None deletes."""
    encoded = None if value is None else value.encode()
    return Changes((WatchEvent(key, encoded, revision),), at(revision, era))
