"""Tests of hibiscushatch_tools.memory_network."""

import asyncio
import random

from hibiscushatch_core.errors import PeerClosedError, PeerError
from hibiscushatch_core.ports import PeerChannel
from hibiscushatch_tools import host_loop
from hibiscushatch_tools.memory_network import (
    ExternalEndpoint,
    MemoryNetwork,
    MemoryPeerTransport,
    NetworkSettings,
)

CONNECTING_ADDRESS = ('10.1.0.1', 7000)
LISTENING_ADDRESS = ('10.1.0.2', 7000)


class _HostPair:
    """Two hosts in two failure domains; the second may accept connections."""

    def __init__(self) -> None:
        self.network = MemoryNetwork(NetworkSettings(), random.Random(1))
        self.hosts = (
            host_loop.Host('entry-1', 'pos-a'),
            host_loop.Host('entry-2', 'pos-b'),
        )
        self.received: list[str] = []
        self.closed = False

    async def listen(self, host: host_loop.Host) -> None:
        transport = MemoryPeerTransport(self.network, host, LISTENING_ADDRESS)
        await transport.listen(self._accept)

    async def connect(self) -> PeerChannel:
        transport = MemoryPeerTransport(
            self.network, self.hosts[0], CONNECTING_ADDRESS
        )
        return await transport.connect(LISTENING_ADDRESS)

    async def _accept(self, channel: PeerChannel) -> None:
        try:
            while True:
                self.received.append(await channel.receive())
        except PeerClosedError:
            self.closed = True


async def _messages_are_held_during_a_cut() -> None:
    pair = _HostPair()
    await pair.listen(pair.hosts[1])
    channel = await pair.connect()
    await channel.send('one')
    pair.network.cut('pos-a', 'pos-b')
    await channel.send('two')
    await asyncio.sleep(1)
    assert pair.received == ['one']
    pair.network.heal()
    await channel.send('three')
    await channel.close()
    await asyncio.sleep(1)
    assert pair.received == ['one', 'two', 'three']
    assert pair.closed
    assert pair.network.control_bytes['entry-1'] == len('onetwothree')


async def _a_frozen_host_receives_when_thawed() -> None:
    pair = _HostPair()
    await pair.listen(pair.hosts[1])
    channel = await pair.connect()
    await asyncio.sleep(1)
    pair.hosts[1].freeze()
    await channel.send('one')
    await asyncio.sleep(1)
    assert not pair.received
    pair.hosts[1].thaw()
    await asyncio.sleep(1)
    assert pair.received == ['one']


async def _connecting_to_a_dead_host_fails() -> None:
    pair = _HostPair()
    await pair.listen(pair.hosts[1])
    pair.hosts[1].kill()
    try:
        await pair.connect()
    except PeerError as error:
        assert error.peer == LISTENING_ADDRESS[0]
    else:
        raise AssertionError('connected to a dead host')


async def _a_replaced_host_breaks_old_connections() -> None:
    pair = _HostPair()
    await pair.listen(pair.hosts[1])
    channel = await pair.connect()
    pair.hosts[1].kill()
    await channel.send('to the dead host')
    await pair.listen(host_loop.Host('entry-2', 'pos-b'))
    await channel.send('to the new host')
    try:
        await channel.receive()
    except PeerClosedError:
        return
    raise AssertionError('the old connection still works')


def test_connections_during_faults() -> None:
    for case in (
        _messages_are_held_during_a_cut,
        _a_frozen_host_receives_when_thawed,
        _connecting_to_a_dead_host_fails,
        _a_replaced_host_breaks_old_connections,
    ):
        host_loop.run_on_host_loop(case())


def test_timers_of_an_upstream_survive_the_sending_vm() -> None:
    assert host_loop.run_on_host_loop(_answer_after_the_senders_death())


async def _answer_after_the_senders_death() -> bool:
    network = MemoryNetwork(NetworkSettings(), random.Random(1))
    sender = host_loop.Host('vm-1', 'pos-a')
    answered = asyncio.Event()
    loop = asyncio.get_running_loop()

    def receive() -> None:
        loop.call_later(0.5, answered.set)

    async def send() -> None:
        network.carry(sender, ExternalEndpoint('booking-1', 'pos-a'), receive)

    await sender.create_task(send())
    await asyncio.sleep(0.1)
    sender.kill()
    await asyncio.sleep(1)
    return answered.is_set()
