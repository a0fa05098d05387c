"""Measures the packet path of one entry VM process over real sockets.

It floods an entry VM and, in the same run, bare UDP forwarders, and compares
how many packets each carries in a second of processor time.
"""

import asyncio
import contextlib
import dataclasses
import json
import time
from collections.abc import AsyncIterator, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor

import click

from hibiscushatch_core.hashing import flow_key, hash_flow
from hibiscushatch_core.manifest_document import (
    TUNNEL_PORT_DEFAULT,
    ServiceDocument,
    UpstreamDocument,
)
from hibiscushatch_core.packets import TCP, TCP_ACK
from hibiscushatch_core.settings import NodeSettings
from hibiscushatch_ops.segments import Segment, build_segment
from hibiscushatch_tools import demo_plan, loopback_net, packet_flood
from hibiscushatch_tools.admin_client import AdminClient
from hibiscushatch_tools.bare_forwarder import ReadingMode
from hibiscushatch_tools.entry_processes import (
    FABRIC_PORT,
    ManagedProcess,
    ProcessGroup,
    fleet_settings,
    process_group,
)
from hibiscushatch_tools.fleet_processes import FleetProcesses

FLOWS = 1000
CALLER_PORT = 10000
PAYLOAD = bytes(200)
FLOOD_S = 4.0
COUNT_LEAD_S = 0.5
FORWARDER_START_S = 1.5
FORWARDER_MODULE = 'hibiscushatch_tools.bare_forwarder'
FORWARDER_PORT = 6700
RATE_ROW = '{:34} {:>12} {:>12} {:>8}'


@dataclasses.dataclass(frozen=True, slots=True)
class Flood:
    """Packets to send and the ends to send them between.

    Attributes:
        source: Address and port that they come from.
        target: Where they are sent.
        packets: The inner packets, sent in turn.
        counted_at: The addresses that they should arrive at.
    """

    source: tuple[str, int]
    target: tuple[str, int]
    packets: Sequence[bytes]
    counted_at: Sequence[tuple[str, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """How much one process carried.

    Attributes:
        name: What was measured.
        sent: Packets that were sent to it.
        carried: Packets that arrived behind it.
        cpu_s: Processor time it used, in seconds.
        duration_s: Length of the flood in seconds.
    """

    name: str
    sent: int
    carried: int
    cpu_s: float
    duration_s: float

    @property
    def per_second(self) -> float:
        """Packets carried in one second."""
        return self.carried / self.duration_s

    @property
    def per_cpu_second(self) -> float:
        """Packets carried in one second of processor time."""
        return self.carried / self.cpu_s


class RateMeter:
    """Floods processes, one after the other.

    Args:
        pool: Runs the sender and the counter.
    """

    def __init__(self, pool: ProcessPoolExecutor) -> None:
        self._pool = pool

    async def measure(
        self, name: str, process: ManagedProcess, flood: Flood
    ) -> Rate:
        """Flood one process.

        Args:
            name: What is measured.
            process: The process that carries the packets.
            flood: What to send through it.

        Returns:
            How much it carried.
        """
        loop = asyncio.get_running_loop()
        counting = loop.run_in_executor(
            self._pool,
            packet_flood.count_packets,
            flood.counted_at,
            FLOOD_S + 2 * COUNT_LEAD_S,
        )
        await asyncio.sleep(COUNT_LEAD_S)
        cpu_before_s = process.cpu_s
        started_s = time.monotonic()
        sent = await loop.run_in_executor(
            self._pool,
            packet_flood.send_packets,
            flood.source,
            flood.target,
            flood.packets,
            FLOOD_S,
        )
        duration_s = time.monotonic() - started_s
        cpu_s = process.cpu_s - cpu_before_s
        return Rate(name, sent, await counting, cpu_s, duration_s)


class PacketRateRun:
    """One run over all that is compared.

    Args:
        group: Starts the processes.
        meter: Floods them.
    """

    def __init__(self, group: ProcessGroup, meter: RateMeter) -> None:
        self._group = group
        self._meter = meter
        self._net = loopback_net.own_net()
        self._manifest = demo_plan.first_manifest(self._net)

    async def measure_all(self) -> AsyncIterator[Rate]:
        """Measure each way to carry packets.

        Yields:
            The rate of each, the bare forwarders first.
        """
        for mode in ReadingMode:
            yield await self._measure_forwarder(mode)
        settings = fleet_settings(self._net, demo_plan.DOMAINS, 1)
        async with contextlib.aclosing(AdminClient()) as admin:
            fleet = FleetProcesses(self._group, settings, admin)
            await fleet.start(self._manifest)
            async for name, flood in self._entry_vm_floods(admin, settings[0]):
                yield await self._meter.measure(name, fleet.processes[0], flood)
            await fleet.close()

    @property
    def _fabric_address(self) -> tuple[str, int]:
        return (self._net.fabric_address, FABRIC_PORT)

    async def _measure_forwarder(self, mode: ReadingMode) -> Rate:
        listen = (self._net.entry_address(0), FORWARDER_PORT)
        target = (self._net.upstream_address(0), TUNNEL_PORT_DEFAULT)
        process = await self._group.start_module(
            f'forwarder-{mode}',
            FORWARDER_MODULE,
            _arguments(mode=(mode.value,), listen=listen, target=target),
        )
        await asyncio.sleep(FORWARDER_START_S)
        packets = tuple(packets_from_callers(self._manifest.services[0]))
        flood = Flood(self._fabric_address, listen, packets, [target])
        rate = await self._meter.measure(f'bare: {mode}', process, flood)
        await process.stop()
        return rate

    async def _entry_vm_floods(
        self, admin: AdminClient, settings: NodeSettings
    ) -> AsyncIterator[tuple[str, Flood]]:
        edge = settings.edge.pair
        service = self._manifest.services[0]
        upstreams = [_tunnel_address(one) for one in service.upstreams]
        packets = tuple(packets_from_callers(service))
        yield (
            'entry VM: caller to upstream',
            Flood(self._fabric_address, edge, packets, upstreams),
        )
        sender = service.upstreams[0]
        placed = await admin.flow_placement(settings, service.name)
        replies = tuple(replies_of_upstream(service, sender.name, placed))
        yield (
            'entry VM: upstream to caller',
            Flood(
                _tunnel_address(sender), edge, replies, [self._fabric_address]
            ),
        )


def _tunnel_address(upstream: UpstreamDocument) -> tuple[str, int]:
    return (str(upstream.address), upstream.tunnel_port)


def _callers() -> Iterator[int]:
    first = int(demo_plan.CALLERS_NET) + 1
    return iter(range(first, first + FLOWS))


def packets_from_callers(service: ServiceDocument) -> Iterator[bytes]:
    """Build data packets of many established flows to a service."""
    for caller in _callers():
        yield build_segment(
            Segment(
                TCP,
                caller,
                int(service.address),
                CALLER_PORT,
                service.port,
                1,
                1,
                TCP_ACK,
                PAYLOAD,
            )
        )


def replies_of_upstream(
    service: ServiceDocument, upstream: str, placed: Sequence[str]
) -> Iterator[bytes]:
    """Build data packets of the flows that are on one upstream.

    Args:
        service: The service.
        upstream: Name of the upstream.
        placed: The upstream of each bucket's flows.

    Yields:
        Inner packets towards callers.
    """
    for caller in _callers():
        key = flow_key(caller, CALLER_PORT)
        bucket = hash_flow(key, service.port) % service.buckets
        if placed[bucket] == upstream:
            yield build_segment(
                Segment(
                    TCP,
                    int(service.address),
                    caller,
                    service.port,
                    CALLER_PORT,
                    1,
                    1,
                    TCP_ACK,
                    PAYLOAD,
                )
            )


def _arguments(**options: tuple[object, ...]) -> Sequence[str]:
    return [
        text
        for name, given in options.items()
        for text in (f'--{name}', *map(str, given))
    ]


async def measure_packet_rates() -> list[Rate]:
    """Measure the entry VM and the bare forwarders in one run.

    Returns:
        All rates, the bare forwarders first.
    """
    with ProcessPoolExecutor(max_workers=2) as pool:
        async with process_group() as group:
            run = PacketRateRun(group, RateMeter(pool))
            return [rate async for rate in run.measure_all()]


def _ratio(rate: Rate, bare: Rate) -> float:
    return round(rate.per_cpu_second / bare.per_cpu_second, 3)


@click.command()
def main() -> None:
    """Compare one entry VM with bare UDP forwarders on one core.

    The ratio is to the blocking forwarder; the last line is a JSON object.
    """
    rates = asyncio.run(measure_packet_rates())
    click.echo(RATE_ROW.format('carried by', 'packets/s', 'per CPU s', 'ratio'))
    for rate in rates:
        click.echo(
            RATE_ROW.format(
                rate.name,
                round(rate.per_second),
                round(rate.per_cpu_second),
                _ratio(rate, rates[0]),
            )
        )
    click.echo(json.dumps([dataclasses.asdict(one) for one in rates]))


if __name__ == '__main__':
    main()
