"""Measures what control costs each entry VM, by the size of the fleet.

Real processes without callers' traffic: first at rest, then through a change
of the manifest.
"""

import asyncio
import contextlib
import dataclasses
import json
from collections.abc import AsyncIterator, Sequence

import click

from hibiscushatch_tools import demo_plan, loopback_net
from hibiscushatch_tools.admin_client import AdminClient
from hibiscushatch_tools.entry_processes import (
    ProcessGroup,
    fleet_settings,
    process_group,
)
from hibiscushatch_tools.fleet_processes import FleetProcesses

FLEET_SIZES = (3, 9, 27)
SETTLE_S = 5.0
SAMPLE_S = 10.0
COST_ROW = '{:>9} {:18} {:>12} {:>12} {:>12} {:>10}'
MILLISECONDS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What one entry VM has used since it started.

    Attributes:
        sent: Control bytes sent.
        received: Control bytes received.
        cpu_s: Processor time in seconds.
    """

    sent: int
    received: int
    cpu_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ControlCost:
    """What control costs an entry VM in one second.

    Attributes:
        entry_vms: Size of the fleet.
        phase: What happened meanwhile.
        sent_bytes: Mean of the bytes sent.
        sent_bytes_max: Most that one entry VM sent.
        received_bytes: Mean of the bytes received.
        cpu_ms: Mean of the processor time, milliseconds.
    """

    entry_vms: int
    phase: str
    sent_bytes: float
    sent_bytes_max: float
    received_bytes: float
    cpu_ms: float


class ControlCostRun:
    """One fleet that is measured.

    Args:
        fleet: The entry VMs.
        admin: Asks them for their counters.
    """

    def __init__(self, fleet: FleetProcesses, admin: AdminClient) -> None:
        self._fleet = fleet
        self._admin = admin

    async def measure(self, phase: str) -> ControlCost:
        """Measure for SAMPLE_S seconds.

        Args:
            phase: What happens meanwhile.

        Returns:
            The cost of one second.
        """
        before = await self._read_usage()
        await asyncio.sleep(SAMPLE_S)
        after = await self._read_usage()
        used = [
            Usage(
                new.sent - old.sent,
                new.received - old.received,
                new.cpu_s - old.cpu_s,
            )
            for old, new in zip(before, after, strict=True)
        ]
        per_vm_s = SAMPLE_S * len(used)
        cpu_s = sum(one.cpu_s for one in used)
        return ControlCost(
            entry_vms=len(used),
            phase=phase,
            sent_bytes=sum(one.sent for one in used) / per_vm_s,
            sent_bytes_max=max(one.sent for one in used) / SAMPLE_S,
            received_bytes=sum(one.received for one in used) / per_vm_s,
            cpu_ms=cpu_s * MILLISECONDS_PER_S / per_vm_s,
        )

    async def _read_usage(self) -> Sequence[Usage]:
        return [
            Usage(
                counters.totals['control_bytes_sent'],
                counters.totals['control_bytes_received'],
                process.cpu_s,
            )
            for settings, process in zip(
                self._fleet.settings, self._fleet.processes, strict=True
            )
            for counters in (await self._admin.counters(settings),)
        ]


async def measure_fleet(
    group: ProcessGroup, size: int
) -> AsyncIterator[ControlCost]:
    """Measure a fleet at rest and through a change of the manifest.

    Args:
        group: Starts the processes.
        size: Number of entry VMs.

    Yields:
        The cost of each phase.
    """
    net = loopback_net.own_net()
    settings = fleet_settings(net, demo_plan.DOMAINS, size)
    async with contextlib.aclosing(AdminClient()) as admin:
        fleet = FleetProcesses(group, settings, admin)
        await fleet.start(demo_plan.first_manifest(net))
        await asyncio.sleep(SETTLE_S)
        run = ControlCostRun(fleet, admin)
        yield await run.measure('at rest')
        await fleet.commit(demo_plan.second_manifest(net))
        yield await run.measure('manifest change')
        await fleet.close()


async def measure_sizes(sizes: Sequence[int]) -> list[ControlCost]:
    """Measure fleets of several sizes, one after the other.

    Args:
        sizes: Numbers of entry VMs.

    Returns:
        The cost of each phase of each fleet.
    """
    costs: list[ControlCost] = []
    for size in sizes:
        async with process_group() as group:
            costs.extend([one async for one in measure_fleet(group, size)])
    return costs


@click.command()
@click.option('--sizes', multiple=True, type=int, default=FLEET_SIZES)
def main(sizes: Sequence[int]) -> None:
    """Measure control bytes and processor time per entry VM and second.

    The last line is a JSON object.
    """
    costs = asyncio.run(measure_sizes(sizes))
    click.echo(
        COST_ROW.format(
            'entry VMs',
            'phase',
            'sent B/s',
            'max B/s',
            'received B/s',
            'CPU ms/s',
        )
    )
    for cost in costs:
        click.echo(
            COST_ROW.format(
                cost.entry_vms,
                cost.phase,
                round(cost.sent_bytes),
                round(cost.sent_bytes_max),
                round(cost.received_bytes),
                round(cost.cpu_ms, 1),
            )
        )
    click.echo(json.dumps([dataclasses.asdict(one) for one in costs]))


if __name__ == '__main__':
    main()
