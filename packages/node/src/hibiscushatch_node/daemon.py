"""Runs one entry VM as a process, with its sockets and adapters.

Each part starts after the parts that it needs, and the parts stop in reverse
order. A stop has a time limit, because the machine may be removed regardless.
"""

import asyncio
import contextlib
import logging
import random
import signal
import socket
import time
from collections.abc import AsyncIterator, Iterator

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.settings import NodeSettings
from hibiscushatch_core.udp_receiver import UdpReceiver
from hibiscushatch_core.udp_socket import open_udp_socket
from hibiscushatch_node.adapters.admin_api import AdminApi
from hibiscushatch_node.adapters.etcd import EtcdPlatform
from hibiscushatch_node.adapters.peer_socket import WebSocketTransport
from hibiscushatch_node.adapters.udp import UdpPacketSender
from hibiscushatch_node.entry_vm import EntryVm, EntryVmPorts
from hibiscushatch_node.loop_lag import LoopLagMeter

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
MILLISECONDS_PER_S = 1000

_log = logging.getLogger(__name__)


async def run_until_signalled(settings: NodeSettings) -> bool:
    """Run an entry VM until SIGTERM or SIGINT.

    Args:
        settings: The settings of this entry VM.

    Returns:
        True when it handed over what it owned within timing.stop_grace_s.

    Raises:
        OSError: When an address of the settings can't be bound.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for stop_signal in STOP_SIGNALS:
        loop.add_signal_handler(stop_signal, stop_requested.set)
    async with _running_entry_vm(settings) as entry_vm:
        _log.info('started', extra=_identity(settings))
        await stop_requested.wait()
        _log.info('stopping', extra=_identity(settings))
        graceful = await _stop_within_grace(settings, entry_vm)
    _log.info('stopped', extra={'graceful': graceful, **_identity(settings)})
    return graceful


async def _stop_within_grace(settings: NodeSettings, entry_vm: EntryVm) -> bool:
    try:
        async with asyncio.timeout(settings.timing.stop_grace_s):
            await entry_vm.stop()
    except TimeoutError:
        return False
    return True


@contextlib.asynccontextmanager
async def _running_entry_vm(settings: NodeSettings) -> AsyncIterator[EntryVm]:
    counters = Counters()
    platform = EtcdPlatform(settings.platform, counters)
    transport = WebSocketTransport(settings, counters)
    async with contextlib.AsyncExitStack() as stack:
        edge = stack.enter_context(_udp_socket(settings.edge.pair))
        relay = stack.enter_context(_udp_socket(settings.relay.pair))
        stack.push_async_callback(platform.close)
        stack.push_async_callback(transport.close)
        transport.bind()
        ports = EntryVmPorts(
            sender=UdpPacketSender(settings, edge, relay, counters),
            platform=platform,
            transport=transport,
            clock=time.monotonic,
            randomness=random.Random(settings.random_seed),
            counters=counters,
            incarnation=int(time.time() * MILLISECONDS_PER_S),
        )
        entry_vm = EntryVm(settings, ports)
        await stack.enter_async_context(_running_admin_api(settings, entry_vm))
        await entry_vm.start()
        for receiver in (
            UdpReceiver(edge, entry_vm.handle_edge, counters),
            UdpReceiver(relay, entry_vm.handle_relay, counters),
        ):
            receiver.start()
            stack.callback(receiver.stop)
        yield entry_vm


@contextlib.asynccontextmanager
async def _running_admin_api(
    settings: NodeSettings, entry_vm: EntryVm
) -> AsyncIterator[None]:
    loop_lag = LoopLagMeter()
    lag_task = asyncio.create_task(loop_lag.run())
    api = AdminApi(settings, entry_vm, loop_lag)
    try:
        await api.start()
        yield
    finally:
        lag_task.cancel()
        await api.stop()


@contextlib.contextmanager
def _udp_socket(address: tuple[str, int]) -> Iterator[socket.socket]:
    udp_socket = open_udp_socket(address)
    try:
        yield udp_socket
    finally:
        udp_socket.close()


def _identity(settings: NodeSettings) -> dict[str, str]:
    return {'vm': settings.name, 'domain': settings.domain}
