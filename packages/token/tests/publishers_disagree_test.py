"""Tests of entry VMs that were given different publishers, in virtual time.

They cover hibiscushatch_token.knowledge as replication connects it, with a
store and a network in memory.
"""

import asyncio
import collections
import contextlib
import itertools
import random
from collections.abc import AsyncIterator, Sequence
from unittest import mock

import token_fixtures as fixtures

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.ports import StoredValue, WatchEvent
from hibiscushatch_token.environment import Environment
from hibiscushatch_token.health.outlier_detector import OutlierDetector
from hibiscushatch_token.knowledge.known_state import KnownState
from hibiscushatch_token.knowledge.registry import Registry
from hibiscushatch_token.knowledge.replica import StoreReplica
from hibiscushatch_token.knowledge.replication import Replication
from hibiscushatch_token.knowledge.routing import Routing
from hibiscushatch_token.ports import Changes, Listing, Position, Store
from hibiscushatch_token.settings import OutlierSettings, socket_address

# One way between two failure domains.
TRANSIT_S = 0.0014
ANSWER_S = 0.004
CONTROLS = tuple(f'127.0.0.{number}:3' for number in range(1, 7))
# A change of the configuration has to be in force within this time.
IN_FORCE_S = 3.0
# Heartbeats and subscriptions, two a second to and from each of five others,
# and a publisher's heartbeats passed on.
DATAGRAMS_PER_S_MAX = 40


class MemoryStore(Store):
    """A store in memory that is listed and watched."""

    def __init__(self) -> None:
        self.history = [WatchEvent('op/config', b'1', 6)]
        self.is_down = False
        self.watches = 0

    @property
    def position(self) -> Position:
        """Position of the last change."""
        return fixtures.at(self.history[-1].mod_revision)

    def evacuate(self, domain: str) -> None:
        """Request an evacuation."""
        revision = self.position.revision + 1
        self.history.append(
            WatchEvent(f'op/evacuate/{domain}', b'{}', revision)
        )

    async def read_all(self, allow_stale: bool) -> Listing:
        """List all items."""
        await asyncio.sleep(ANSWER_S)
        items = {
            event.key: StoredValue(event.key, event.value, event.mod_revision)
            for event in self.history
        }
        return Listing(tuple(items.values()), self.position)

    async def watch(self, after: Position, wait_s: float) -> Changes:
        """Wait for changes after a position."""
        self.watches += 1
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        await asyncio.sleep(ANSWER_S)
        while self.position <= after and loop.time() < until:
            await asyncio.sleep(0.01)
        events = (
            event
            for event in self.history
            if event.mod_revision > after.revision
        )
        return Changes(tuple(events), self.position)

    async def is_reachable(self, timeout_s: float) -> bool:
        """Return that it can be reached."""
        return True

    async def close(self) -> None:
        """Do nothing."""


class MemorySocket:
    """The socket of an entry VM in a network in memory."""

    def __init__(self, network: 'Network', address: tuple[str, int]) -> None:
        self._network = network
        self._address = address

    def sendto(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        self._network.send(datagram, self._address, address)


class Network:
    """Entry VMs that read one store and exchange datagrams."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.vms: dict[tuple[str, int], Vm] = {}
        self.sent: collections.Counter[tuple[str, int]] = collections.Counter()

    def send(
        self,
        datagram: bytes,
        sender: tuple[str, int],
        receiver: tuple[str, int],
    ) -> None:
        """Deliver a datagram after its way."""
        self.sent[sender] += 1
        asyncio.get_running_loop().call_later(
            TRANSIT_S, self._deliver, datagram, sender, receiver
        )

    def start(self, control: str, publishers: Sequence[str]) -> None:
        """Start an entry VM, or start it again with other publishers."""
        address = socket_address(control)
        if address in self.vms:
            self.vms[address].stop()
        self.vms[address] = Vm(self, control, publishers)

    def stop_readers(self) -> None:
        """Stop reading the store, at all entry VMs."""
        for vm in self.vms.values():
            vm.stop_reader()

    def ages_s(self) -> list[float]:
        """Return the ages of all replicas."""
        return [vm.age_s for vm in self.vms.values()]

    def stop(self) -> None:
        """Stop all entry VMs."""
        for vm in self.vms.values():
            vm.stop()

    async def evacuations_in_force(self, domain: str) -> bool:
        """Request an evacuation; return whether all learn of it in time."""
        self.store.evacuate(domain)
        await asyncio.sleep(IN_FORCE_S)
        return all(domain in vm.routing.evacuated for vm in self.vms.values())

    def _deliver(
        self,
        datagram: bytes,
        sender: tuple[str, int],
        receiver: tuple[str, int],
    ) -> None:
        if receiver in self.vms:
            self.vms[receiver].receive(datagram, sender[0])


class Vm:
    """What keeps the replica of one entry VM up to date."""

    def __init__(
        self, network: Network, control: str, publishers: Sequence[str]
    ) -> None:
        clock = asyncio.get_running_loop().time
        self.routing = Routing()
        known = KnownState(
            self.routing, Registry(clock, 60, lambda _upstream: None), int
        )
        environment = Environment(
            fixtures.FakeCodec(),
            Counters(),
            clock,
            random.Random(control),  # noqa: S311
        )
        settings = fixtures.settings(
            control=control, publishers=list(publishers)
        )
        replica = StoreReplica(
            fixtures.FakeDocuments(),
            known.routing,
            known.registry,
            clock,
            settings.store,
            environment.counters,
        )
        with mock.patch(
            'hibiscushatch_token.knowledge.replication.open_udp_socket',
            lambda address: MemorySocket(network, address),
        ):
            self._replication = Replication(
                settings,
                network.store,
                replica,
                OutlierDetector(OutlierSettings(), known, clock),
                environment,
            )
        self._tasks = [
            asyncio.create_task(run())
            for run in (
                self._replication.reader.run,
                self._replication.publisher.run,
                self._replication.subscriber.run,
            )
        ]

    @property
    def age_s(self) -> float:
        """Age of the replica."""
        return self._replication.replica.age_s

    def receive(self, datagram: bytes, sender: str) -> None:
        """Handle a datagram."""
        self._replication.receiver.call_guarded(
            self._replication.receiver._handler, datagram, sender
        )

    def stop_reader(self) -> None:
        """Stop reading the store."""
        self._tasks[0].cancel()

    def stop(self) -> None:
        """Stop its tasks."""
        for task in self._tasks:
            task.cancel()


@contextlib.asynccontextmanager
async def running(
    publishers_by_control: dict[str, Sequence[str]],
) -> AsyncIterator[Network]:
    """Run entry VMs, each with its own list of publishers."""
    network = Network()
    for control, publishers in publishers_by_control.items():
        network.start(control, publishers)
    await asyncio.sleep(3)
    try:
        yield network
    finally:
        network.stop()


# Guards against two publishers that each wait for the other one, after the
# settings changed the order of the publishers and one of them started again.
# Nobody read the store any more, and heartbeats went round without a pause.
async def test_a_restart_with_publishers_in_another_order_loses_no_change() -> (
    None
):
    first, second, third = CONTROLS[:3]
    for order in itertools.permutations((first, second, third)):
        async with running(
            dict.fromkeys(CONTROLS, (first, second, third))
        ) as network:
            network.start(first, order)
            await asyncio.sleep(3)
            network.sent.clear()
            assert await network.evacuations_in_force('there'), order
            most = max(network.sent.values()) / IN_FORCE_S
            assert most <= DATAGRAMS_PER_S_MAX, order


async def test_changes_are_in_force_whatever_publishers_each_was_given() -> (
    None
):
    for seed in range(40):
        randomness = random.Random(seed)
        lists = {
            control: randomness.sample(CONTROLS, 3) for control in CONTROLS
        }
        async with running(lists) as network:
            for number in range(3):
                restarted = randomness.choice(CONTROLS)
                network.start(restarted, randomness.sample(CONTROLS, 3))
                await asyncio.sleep(randomness.uniform(0, 3))
                domain = f'domain-{number}'
                network.sent.clear()
                assert await network.evacuations_in_force(domain), seed
                most = max(network.sent.values()) / IN_FORCE_S
                assert most <= DATAGRAMS_PER_S_MAX, (seed, most)


async def test_no_knowledge_is_fresh_that_nobody_has_read_lately() -> None:
    for seed in range(20):
        randomness = random.Random(seed)
        lists = {
            control: randomness.sample(CONTROLS, 3) for control in CONTROLS
        }
        async with running(lists) as network:
            ages = network.ages_s()
            network.stop_readers()
            await asyncio.sleep(4)
            later = network.ages_s()
            assert max(ages) < 3, seed
            # Heartbeats and the way of a read take some of the time.
            assert min(later) > 3, (seed, later)


async def test_one_publisher_reads_in_a_calm_fleet() -> None:
    for order in itertools.permutations(CONTROLS[:3]):
        async with running(dict.fromkeys(CONTROLS, order)) as network:
            before = network.store.watches
            await asyncio.sleep(10)
            # A watch ends after 0.7 s without a change.
            assert 10 <= network.store.watches - before <= 16, order
