"""Builds an entry VM with token affinity and runs it until it is stopped."""

import asyncio
import logging
import signal
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import TYPE_CHECKING

from hibiscushatch_core.background_tasks import keep_running
from hibiscushatch_core.errors import InvalidDocumentError
from hibiscushatch_core.listening import listen_when_free
from hibiscushatch_core.unexpected_errors import UnexpectedErrors
from hibiscushatch_token import http1, status
from hibiscushatch_token.data_plane import DataPlane
from hibiscushatch_token.health.partition import PartitionDetector
from hibiscushatch_token.http_messages import OK, Response
from hibiscushatch_token.knowledge.replication import Replication
from hibiscushatch_token.ports import Store
from hibiscushatch_token.settings import (
    TokenNodeSettings,
    changed_fields,
    socket_address,
)

if TYPE_CHECKING:
    from hibiscushatch_token.metrics import TokenMetrics

_SWEEP_INTERVAL_S = 0.1
_EXPIRY_INTERVAL_S = 5.0
_POLL_INTERVAL_S = 0.01
# Delays the import of the metrics until the callers that waited during a loss
# of power have been served, which takes up to two seconds.
_METRICS_DELAY_S = 5.0
METRICS_PATH = b'/metrics'
_TaskFunction = Callable[[], Awaitable[None]]
_SERVICE_UNAVAILABLE = 503

_log = logging.getLogger(__name__)


class EntryVm:
    """One entry VM: its sockets, servers and background tasks.

    Args:
        data_plane: Forwards packets; it may have begun already.
        store: The platform's store.
        reload_settings: Reads the settings file again; raises
            InvalidDocumentError.
    """

    def __init__(
        self,
        data_plane: DataPlane,
        store: Store,
        reload_settings: Callable[[], TokenNodeSettings],
    ) -> None:
        settings = data_plane.settings
        self._settings = settings
        self._reload_settings = reload_settings
        self._store = store
        self._is_ready = False
        self._is_stopping = False
        self._data_plane = data_plane
        self._counters = data_plane.environment.counters
        self._errors = UnexpectedErrors(self._counters)
        self._traffic = data_plane.traffic
        self._replication = Replication(
            settings,
            store,
            data_plane.replica,
            self._traffic.outliers,
            data_plane.environment,
        )
        if not data_plane.has_history:
            self._replication.reader.list_next()
        data_plane.count_fleet_by(self._count_fleet)
        self._partition = PartitionDetector(
            store, self._traffic.verdicts, time.monotonic
        )
        self._readiness_server = http1.Server(
            socket_address(settings.readiness),
            {settings.readiness_path.encode(): self._respond_readiness},
            self._counters,
        )
        self._metrics: TokenMetrics | None = None
        self._operator_server = http1.Server(
            socket_address(settings.metrics),
            {
                METRICS_PATH: self._respond_metrics,
                status.STATUS_PATH: self._respond_status,
            },
            self._counters,
        )

    async def run(self) -> None:
        """Serve callers until SIGTERM or SIGINT.

        After the signal, the readiness check fails, and callers are served
        until the fabric has had time to send them to other entry VMs.
        """
        stop = self._install_signal_handlers()
        asyncio.get_running_loop().set_exception_handler(
            self._record_callback_error
        )
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
            tasks = [
                group.create_task(keep_running(self._errors, step, run))
                for step, run in self._background_tasks()
            ]
            await stop.wait()
            await self._leave_rotation()
            for task in tasks:
                task.cancel()
        await self._close()

    def _install_signal_handlers(self) -> asyncio.Event:
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._log_changed_settings)
        return stop

    def _record_callback_error(
        self, _loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        """Record an error of a callback or task that nothing awaits."""
        message = str(context['message'])
        error = context.get('exception')
        if not isinstance(error, Exception):
            error = RuntimeError(message)
        self._errors.record('running a callback', error, message)

    async def _listen(self) -> None:
        settings = self._settings
        await listen_when_free(settings.readiness, self._readiness_server.start)
        await listen_when_free(settings.control, self._replication.server.start)
        self._replication.receiver.start()

    async def _leave_rotation(self) -> None:
        self._is_stopping = True
        _log.info('stopping', extra={'vm': self._settings.name})
        settings = self._settings
        await asyncio.sleep(min(settings.rotation_s, settings.stop_grace_s / 2))

    async def _close(self) -> None:
        asyncio.get_running_loop().remove_reader(self._data_plane.udp_socket)
        self._replication.receiver.stop()
        self._replication.server.close()
        self._readiness_server.close()
        self._operator_server.close()
        await self._store.close()
        _log.info('stopped', extra={'vm': self._settings.name})

    def _background_tasks(self) -> Iterator[tuple[str, _TaskFunction]]:
        """Yield what each background task does, and the function it runs."""
        subscriber = self._replication.subscriber
        yield 'reading the store', self._replication.reader.run
        yield 'sending heartbeats', self._replication.publisher.run
        yield 'subscribing', subscriber.run
        yield 'catching up', subscriber.run_fetches
        yield 'checking for a cut', self._partition.run
        yield 'starting to forward', self._start_forwarding
        yield 'retrying flows', self._retry_unanswered
        yield 'dropping what has expired', self._sweep

    async def _start_forwarding(self) -> None:
        while not self._has_config():
            await asyncio.sleep(_POLL_INTERVAL_S)
        self._data_plane.forward_waiting()
        asyncio.get_running_loop().add_reader(
            self._data_plane.udp_socket, self._data_plane.reader.read_waiting
        )
        self._is_ready = True
        _log.info(
            'ready',
            extra={
                'vm': self._settings.name,
                'era': self._replication.replica.position.era,
                'revision': self._replication.replica.position.revision,
            },
        )
        await self._start_operator_server()

    async def _start_operator_server(self) -> None:
        try:
            await self._operator_server.start()
        except OSError as error:
            # Serving callers does not depend on the metrics.
            _log.error(
                'metrics not served',
                extra={'address': self._settings.metrics, 'error': str(error)},
            )
            return
        await asyncio.sleep(_METRICS_DELAY_S)
        # Importing this module takes as long as handling a hundred packets.
        from hibiscushatch_token.metrics import (  # noqa: PLC0415
            TokenMetrics,
        )

        self._metrics = TokenMetrics()
        self._traffic.forwarder.observe(self._metrics)

    def _respond_metrics(self, _query: bytes) -> Response:
        if self._metrics is None:
            return Response(_SERVICE_UNAVAILABLE, b'')
        return self._metrics.respond(self._counters, self._build_status())

    def _respond_status(self, _query: bytes) -> Response:
        return status.respond(self._build_status())

    def _build_status(self) -> status.Status:
        replica = self._replication.replica
        routing = self._traffic.known.routing
        return status.Status(
            vm=self._settings.name,
            domain=self._settings.domain,
            ready=self._is_in_rotation(),
            cut_off=self._partition.is_cut_off,
            config_version=routing.config.version,
            store_era=replica.position.era,
            store_revision=replica.position.revision,
            withheld_upstreams=sorted(replica.withheld),
            store_age_s=round(replica.age_s, 3),
            known_entry_vms=self._count_fleet(),
            follows=self._replication.subscriber.followed,
            serves=self._replication.publisher.served - 1,
            open_flows=self._traffic.forwarder.open_flows,
            evacuated=sorted(routing.evacuated),
            upstreams=list(self._traffic.upstreams()),
        )

    async def _retry_unanswered(self) -> None:
        pause_s = _POLL_INTERVAL_S
        while True:
            await asyncio.sleep(pause_s)
            if self._is_ready:
                pause_s = self._data_plane.retry_flows() or pause_s
                failures = self._traffic.request_watch.take_failures()
                self._replication.failure_reporter.record_failures(failures)

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        last_expiry_at = loop.time()
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            due = [self._replication.replica.expire, self._drop_idle_flows]
            if loop.time() - last_expiry_at >= _EXPIRY_INTERVAL_S:
                last_expiry_at = loop.time()
                due.append(self._traffic.known.registry.expire)
                due.append(self._traffic.outliers.expire)
            for expire in due:
                self._errors.guard('dropping what has expired', expire)

    def _drop_idle_flows(self) -> None:
        # After a pause of the process, packets of flows that seem to be idle
        # may be waiting in the socket.
        if self._is_ready and self._data_plane.reader.read_waiting():
            self._traffic.opener.drop_idle()

    def _count_fleet(self) -> int:
        return self._replication.fleet_size

    def _has_config(self) -> bool:
        return self._replication.replica.has_config

    def _log_changed_settings(self) -> None:
        # Changes take effect at the next start, as sockets and publishers are
        # set up only once.
        try:
            settings = self._reload_settings()
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

    def _respond_readiness(self, _query: bytes) -> Response:
        code = OK if self._is_in_rotation() else _SERVICE_UNAVAILABLE
        return Response(code, b'')

    def _is_in_rotation(self) -> bool:
        is_out = self._is_stopping or self._partition.is_suspected
        return self._is_ready and not is_out
