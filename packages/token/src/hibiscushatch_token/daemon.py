"""Puts an entry VM with token affinity together and runs it until a signal."""

import asyncio
import logging
import random
import signal
import time

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.udp_receiver import UdpReceiver, open_udp_socket
from hibiscushatch_token import http1, store_follower
from hibiscushatch_token.flow_table import FlowTable
from hibiscushatch_token.forwarder import Forwarder
from hibiscushatch_token.knowledge import Registry, Routing
from hibiscushatch_token.partition import PartitionDetector
from hibiscushatch_token.placement import Placement
from hibiscushatch_token.ports import Documents, PacketCodec, Store
from hibiscushatch_token.reachability import Reachability
from hibiscushatch_token.settings import TokenNodeSettings, socket_address

_SWEEP_S = 0.1
# A sweep this much later than planned follows a pause of the process; answers
# may still wait in the socket then.
_PAUSE_S = 0.1
_EXPIRE_S = 5.0
_OK = 200
_UNAVAILABLE = 503

_log = logging.getLogger(__name__)


class EntryVm:
    """One entry VM and what it is made of.

    Args:
        settings: Its settings.
        codec: The format of packets.
        store: The platform's store.
        documents: Reads what lies in the store.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        codec: PacketCodec,
        store: Store,
        documents: Documents,
    ) -> None:
        clock = time.monotonic
        self._settings = settings
        self._name = settings.name
        self._store = store
        self._counters = Counters()
        self._is_stopping = False
        randomness = random.Random(settings.random_seed)  # noqa: S311
        reachability = Reachability(randomness)
        routing = Routing()
        self._registry = Registry(
            clock, settings.flow_age_max_s, reachability.forget
        )
        flows = FlowTable()
        placement = Placement(
            settings,
            self._registry,
            routing,
            flows,
            reachability,
            clock,
            randomness,
        )
        self._socket = open_udp_socket(socket_address(settings.packets))
        self._forwarder = Forwarder(
            settings,
            codec,
            routing,
            self._registry,
            flows,
            placement,
            reachability,
            self._counters,
            clock,
            self._socket.sendto,
        )
        self._receiver = UdpReceiver(
            self._socket, self._forwarder.handle, self._counters
        )
        self._followers = (
            store_follower.operator_follower(
                settings.store,
                store,
                documents,
                routing,
                self._counters,
                randomness,
            ),
            store_follower.registry_follower(
                settings.store,
                store,
                documents,
                self._registry,
                self._counters,
                randomness,
            ),
        )
        self._partition = PartitionDetector(store, placement, clock)
        self._readiness = http1.Server(
            socket_address(settings.readiness), {b'/-/ready': self._ready}
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then until callers are elsewhere."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._note_reload)
        await self._readiness.start()
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(one.run()) for one in self._followers
            ]
            tasks.append(group.create_task(self._start_forwarding()))
            tasks.append(group.create_task(self._sweep()))
            tasks.append(group.create_task(self._partition.run()))
            await stop.wait()
            self._is_stopping = True
            _log.info('stopping', extra={'vm': self._settings.name})
            await asyncio.sleep(self._settings.rotation_s)
            for task in tasks:
                task.cancel()
        self._receiver.stop()
        self._readiness.close()
        await self._store.close()
        _log.info('stopped', extra={'vm': self._settings.name})

    async def _start_forwarding(self) -> None:
        for follower in self._followers:
            await follower.has_list.wait()
        self._receiver.start()
        _log.info('ready', extra={'vm': self._settings.name})

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        expired_at = loop.time()
        while True:
            planned_at = loop.time() + _SWEEP_S
            await asyncio.sleep(_SWEEP_S)
            now = loop.time()
            if now - planned_at < _PAUSE_S:
                self._forwarder.sweep()
            if now - expired_at >= _EXPIRE_S:
                expired_at = now
                self._registry.expire()

    def _note_reload(self) -> None:
        # Addresses and the failure domain are fixed for the life of a
        # process; nothing else in the settings differs between machines.
        _log.info('reload asked, settings kept', extra={'vm': self._name})

    def _ready(self) -> http1.Response:
        is_out = self._is_stopping or self._partition.is_cut_off
        is_ready = not is_out and all(
            one.has_list.is_set() for one in self._followers
        )
        return http1.Response(_OK if is_ready else _UNAVAILABLE, b'')
