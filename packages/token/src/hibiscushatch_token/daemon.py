"""Puts an entry VM with token affinity together and runs it until a signal."""

import asyncio
import logging
import random
import signal
import time
from collections.abc import Callable, Coroutine, Iterator
from typing import TYPE_CHECKING

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import InvalidDocumentError
from hibiscushatch_core.udp_receiver import UdpReceiver, open_udp_socket
from hibiscushatch_token import http1, peer_messages, status
from hibiscushatch_token.cold_allowance import ColdAllowance
from hibiscushatch_token.flow_opener import FlowOpener
from hibiscushatch_token.flow_table import FlowTable
from hibiscushatch_token.forwarder import Forwarder
from hibiscushatch_token.knowledge import Registry, Routing
from hibiscushatch_token.model import Upstream
from hibiscushatch_token.packet_exit import PacketExit
from hibiscushatch_token.partition import PartitionDetector
from hibiscushatch_token.peer_socket import PeerSocket
from hibiscushatch_token.placement import Placement
from hibiscushatch_token.ports import Changes, Documents, PacketCodec, Store
from hibiscushatch_token.publisher import Publisher
from hibiscushatch_token.reachability import Reachability
from hibiscushatch_token.replica import StoreReplica
from hibiscushatch_token.request_watch import RequestWatch
from hibiscushatch_token.response_times import ResponseTimes
from hibiscushatch_token.settings import (
    TokenNodeSettings,
    changed_fields,
    socket_address,
)
from hibiscushatch_token.store_reader import StoreReader
from hibiscushatch_token.subscriber import SNAPSHOT_PATH, Subscriber

if TYPE_CHECKING:
    from hibiscushatch_token.metrics import TokenMetrics

_SWEEP_S = 0.1
_EXPIRE_S = 5.0
_START_CHECK_S = 0.01
# After a loss of power, the callers that waited are served within two seconds.
_METRICS_AFTER_S = 5.0
METRICS_PATH = b'/metrics'
_UNAVAILABLE = 503

_log = logging.getLogger(__name__)


class TrafficSide:
    """What carries packets: tables, decisions and the socket of callers.

    Args:
        settings: Settings of this entry VM.
        codec: The format of packets.
        counters: Counts of this process.
        randomness: Breaks ties and spreads probes.
        fleet: Counts the entry VMs; 0 when that is not known.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        codec: PacketCodec,
        counters: Counters,
        randomness: random.Random,
        fleet: Callable[[], int],
    ) -> None:
        clock = time.monotonic
        reachability = Reachability(randomness)
        self.routing = Routing()
        self.registry = Registry(clock, settings.flow_age_max_s, self._forget)
        self._reachability = reachability
        self._times = ResponseTimes(clock)
        self._allowance = ColdAllowance(
            self.registry, self.routing, fleet, clock, randomness
        )
        flows = FlowTable()
        self._flows = flows
        self.placement = Placement(
            settings,
            self.registry,
            self.routing,
            flows,
            reachability,
            self._times,
            self._allowance,
            fleet,
            clock,
            randomness,
        )
        edge = open_udp_socket(socket_address(settings.packets))
        packet_exit = PacketExit(codec, counters, edge.sendto)
        self.opener = FlowOpener(
            settings.placement,
            codec,
            self.routing,
            self.registry,
            flows,
            self.placement,
            reachability,
            packet_exit,
            counters,
            clock,
        )
        self.requests = RequestWatch(self._times, clock)
        self.forwarder = Forwarder(
            codec,
            self.registry,
            flows,
            self.opener,
            self.requests,
            packet_exit,
            counters,
            clock,
        )
        self.receiver = UdpReceiver(edge, self.forwarder.handle, counters)

    def upstreams(self) -> Iterator[status.UpstreamStatus]:
        """Yield the state of each listed upstream."""
        for upstream in self.registry.listed():
            yield status.UpstreamStatus(
                name=upstream.name,
                service=upstream.service,
                domain=upstream.domain,
                draining=upstream.is_draining,
                cold=self.registry.is_cold(upstream),
                verdict=self._reachability.verdict(upstream).value,
                slow=self._times.is_slow(upstream),
                open_flows=self._flows.outstanding(upstream.name),
            )

    def _forget(self, upstream: Upstream) -> None:
        self._reachability.forget(upstream)
        self._times.forget(upstream)
        self._allowance.forget(upstream)
        self.placement.forget(upstream)


class ControlSide:
    """What keeps the replica of the store up to date, here and at peers.

    Args:
        settings: Settings of this entry VM.
        store: The platform's store.
        documents: Reads what lies in the store.
        traffic: Told what is new.
        counters: Counts of this process.
        randomness: Source of jitter.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        store: Store,
        documents: Documents,
        traffic: TrafficSide,
        counters: Counters,
        randomness: random.Random,
    ) -> None:
        clock = time.monotonic
        control = socket_address(settings.control)
        self._settings = settings
        udp_socket = open_udp_socket(control)
        peers = PeerSocket(udp_socket, counters)
        self.receiver = UdpReceiver(udp_socket, peers.handle, counters)
        self.replica = StoreReplica(
            documents,
            traffic.routing,
            traffic.registry,
            clock,
            settings.store.lapse_grace_s,
            settings.store.outage_s,
        )
        self.subscriber = Subscriber(
            settings,
            self.replica,
            clock,
            peers.send,
            self._changed,
            self._renewed,
            self._count_served,
        )
        self.publisher = Publisher(
            settings,
            self.replica,
            clock,
            peers.send,
            self.subscriber.count_fleet,
        )
        peers.connect(peer_messages.Subscription, self.publisher.subscribed)
        peers.connect(peer_messages.Unsubscription, self.publisher.unsubscribed)
        peers.connect(peer_messages.Referral, self.subscriber.referred)
        peers.connect(peer_messages.Announcement, self.subscriber.announced)
        self.reader = StoreReader(
            settings.store,
            store,
            self.replica,
            counters,
            randomness,
            settings.is_publisher,
            self._changed,
        )
        self.server = http1.Server(
            control, {SNAPSHOT_PATH.encode(): self.publisher.snapshot}
        )

    @property
    def fleet(self) -> int:
        """Number of entry VMs as far as it is known; 0 when it is not."""
        return max(self.subscriber.fleet, self.subscriber.count_fleet())

    def _changed(self, before: int, changes: Changes) -> None:
        self.publisher.changed(before, changes)

    def _renewed(self) -> None:
        self.publisher.announce()

    def _count_served(self) -> int:
        return self.publisher.served - 1


class EntryVm:
    """One entry VM and what it is made of.

    Args:
        settings: Its settings.
        codec: The format of packets.
        store: The platform's store.
        documents: Reads what lies in the store.
        read_again: Reads the settings again.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        codec: PacketCodec,
        store: Store,
        documents: Documents,
        read_again: Callable[[], TokenNodeSettings],
    ) -> None:
        self._settings = settings
        self._read_again = read_again
        self._store = store
        self._is_ready = False
        self._is_stopping = False
        counters = Counters()
        self._counters = counters
        randomness = random.Random(settings.random_seed)  # noqa: S311
        self._traffic = TrafficSide(
            settings, codec, counters, randomness, self._count_fleet
        )
        self._control = ControlSide(
            settings, store, documents, self._traffic, counters, randomness
        )
        self._partition = PartitionDetector(
            store, self._traffic.placement, time.monotonic
        )
        self._readiness = http1.Server(
            socket_address(settings.readiness),
            {settings.readiness_path.encode(): self._ready},
        )
        self._metrics: TokenMetrics | None = None
        self._operators = http1.Server(
            socket_address(settings.metrics),
            {
                METRICS_PATH: self._respond_metrics,
                status.STATUS_PATH: self._respond_status,
            },
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then until callers are elsewhere."""
        stop = self._handle_signals()
        await self._listen()
        _log.info(
            'started',
            extra={
                'vm': self._settings.name,
                'domain': self._settings.domain,
                'publisher': self._settings.is_publisher,
            },
        )
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(one) for one in self._activities()]
            await stop.wait()
            await self._leave_rotation()
            for task in tasks:
                task.cancel()
        await self._close()

    def _handle_signals(self) -> asyncio.Event:
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._note_reload)
        return stop

    async def _listen(self) -> None:
        await self._readiness.start()
        await self._control.server.start()
        self._control.receiver.start()

    async def _leave_rotation(self) -> None:
        self._is_stopping = True
        _log.info('stopping', extra={'vm': self._settings.name})
        settings = self._settings
        await asyncio.sleep(min(settings.rotation_s, settings.stop_grace_s / 2))

    async def _close(self) -> None:
        self._traffic.receiver.stop()
        self._control.receiver.stop()
        self._control.server.close()
        self._readiness.close()
        self._operators.close()
        await self._store.close()
        _log.info('stopped', extra={'vm': self._settings.name})

    def _activities(self) -> Iterator[Coroutine[None, None, None]]:
        yield self._control.reader.run()
        yield self._control.publisher.run()
        yield self._control.subscriber.run()
        yield self._control.subscriber.fetch()
        yield self._partition.run()
        yield self._start_forwarding()
        yield self._retry_unanswered()
        yield self._sweep()

    async def _start_forwarding(self) -> None:
        while not self._is_informed():
            await asyncio.sleep(_START_CHECK_S)
        self._traffic.receiver.start()
        self._is_ready = True
        _log.info(
            'ready',
            extra={
                'vm': self._settings.name,
                'revision': self._control.replica.revision,
            },
        )
        await self._serve_operators()

    async def _serve_operators(self) -> None:
        try:
            await self._operators.start()
        except OSError as error:
            # Callers are served without metrics as well.
            _log.error(
                'metrics not served',
                extra={'address': self._settings.metrics, 'error': str(error)},
            )
            return
        await asyncio.sleep(_METRICS_AFTER_S)
        # This import takes as long as a hundred packets.
        from hibiscushatch_token.metrics import (  # noqa: PLC0415
            TokenMetrics,
        )

        self._metrics = TokenMetrics()
        self._traffic.forwarder.observe(self._metrics)

    def _respond_metrics(self, _query: bytes) -> http1.Response:
        if self._metrics is None:
            return http1.Response(_UNAVAILABLE, b'')
        return self._metrics.respond(self._counters, self._report())

    def _respond_status(self, _query: bytes) -> http1.Response:
        return status.respond(self._report())

    def _report(self) -> status.Status:
        replica = self._control.replica
        return status.Status(
            vm=self._settings.name,
            domain=self._settings.domain,
            ready=self._is_in_rotation(),
            cut_off=self._partition.is_cut_off,
            config_version=self._traffic.routing.config.version,
            store_revision=replica.revision,
            store_age_s=round(replica.age_s, 3),
            known_entry_vms=self._count_fleet(),
            follows=self._control.subscriber.followed,
            serves=self._control.publisher.served - 1,
            open_flows=self._traffic.forwarder.open_flows,
            evacuated=sorted(self._traffic.routing.evacuated),
            upstreams=list(self._traffic.upstreams()),
        )

    async def _retry_unanswered(self) -> None:
        pause_s = _START_CHECK_S
        while True:
            await asyncio.sleep(pause_s)
            # An answer may have come while this task waited for its turn.
            if self._is_ready and self._traffic.receiver.read_waiting():
                pause_s = self._traffic.opener.retry_unanswered()
                self._traffic.opener.place_late()
                self._traffic.requests.note_overdue()

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        expired_at = loop.time()
        while True:
            await asyncio.sleep(_SWEEP_S)
            self._control.replica.expire()
            self._traffic.opener.drop_idle()
            if loop.time() - expired_at >= _EXPIRE_S:
                expired_at = loop.time()
                self._traffic.registry.expire()

    def _count_fleet(self) -> int:
        return self._control.fleet

    def _is_informed(self) -> bool:
        return self._control.replica.revision > 0

    def _note_reload(self) -> None:
        # Sockets and publishers are set up once, at the start.
        try:
            settings = self._read_again()
        except InvalidDocumentError as error:
            _log.error('settings unreadable', extra={'error': str(error)})
            return
        changed = changed_fields(self._settings, settings)
        _log.info(
            'settings read again',
            extra={
                'vm': self._settings.name,
                'changed': ','.join(changed) or 'none',
            },
        )

    def _ready(self, _query: bytes) -> http1.Response:
        status = http1.OK if self._is_in_rotation() else _UNAVAILABLE
        return http1.Response(status, b'')

    def _is_in_rotation(self) -> bool:
        is_out = self._is_stopping or self._partition.is_suspected
        return self._is_ready and not is_out
