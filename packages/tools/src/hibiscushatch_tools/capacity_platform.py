"""Measures calls of the platform: a rack's restart and the end of an outage."""

import asyncio
import dataclasses
from collections.abc import Iterator, Sequence

from hibiscushatch_tools.capacity_control import FleetShape, start_fleet
from hibiscushatch_tools.capacity_fit import Point
from hibiscushatch_tools.capacity_fleet import FleetUsage, MemoryFleet
from hibiscushatch_tools.capacity_model import DESIGN, Slope
from hibiscushatch_tools.host_loop import run_on_hosts
from hibiscushatch_tools.platform_store import PlatformFaults

STANDING_VMS = 6
RACK_SIZES = (2, 4, 8, 12)
FLEET_SIZES = (12, 18, 24, 36)
WATCHED_S = 16
OUTAGE_S = 60.0
KEEPER = 'hibiscushatch_node.manifest_keeper'


@dataclasses.dataclass(frozen=True, slots=True)
class CallCost:
    """The busiest second of the platform.

    Attributes:
        entry_vms: How many entry VMs caused it.
        reads: Reads in the second with the most of them.
        writes: Writes in the second with the most of them.
    """

    entry_vms: int
    reads: int
    writes: int


def measure_rack(rack_vms: int) -> CallCost:
    """Measure the start of several entry VMs at the same moment.

    Args:
        rack_vms: How many start, beside STANDING_VMS others.

    Returns:
        The busiest second.
    """
    return run_on_hosts(_measure_rack(rack_vms))


def measure_return(entry_vms: int) -> CallCost:
    """Measure the seconds after the platform was away.

    Args:
        entry_vms: Size of the fleet.

    Returns:
        The busiest second.
    """
    return run_on_hosts(_measure_return(entry_vms))


async def _measure_rack(rack_vms: int) -> CallCost:
    fleet = await start_fleet(FleetShape(STANDING_VMS))
    before = fleet.usage()
    for number in range(STANDING_VMS, STANDING_VMS + rack_vms):
        await fleet.start(number)
    return await _watch(fleet, before, rack_vms)


async def _measure_return(entry_vms: int) -> CallCost:
    fleet = await start_fleet(FleetShape(entry_vms))
    fleet.store.inject(PlatformFaults(outage=True))
    await asyncio.sleep(OUTAGE_S)
    before = fleet.usage()
    fleet.store.inject(PlatformFaults())
    return await _watch(fleet, before, entry_vms)


async def _watch(
    fleet: MemoryFleet, before: FleetUsage, entry_vms: int
) -> CallCost:
    seconds: list[FleetUsage] = []
    for _ in range(WATCHED_S):
        await asyncio.sleep(1)
        now = fleet.usage()
        seconds.append(now.since(before))
        before = now
    fleet.close()
    return CallCost(
        entry_vms,
        max(one.reads for one in seconds),
        max(one.writes for one in seconds),
    )


def platform_slopes(
    racks: Sequence[CallCost], returns: Sequence[CallCost]
) -> Iterator[Slope]:
    """Turn the busiest seconds into slopes.

    Args:
        racks: Of racks that restart.
        returns: Of fleets after an outage.

    Yields:
        Reads and writes against the entry VMs that cause them.
    """
    events = (
        ('rack', 'a rack restarts', racks, DESIGN.rack_vms),
        ('return', 'an outage ends', returns, DESIGN.entry_vms),
    )
    for key, event, costs, target in events:
        for kind in ('reads', 'writes'):
            yield Slope(
                f'{key}_{kind}',
                f'{kind} in the busiest second after {event}',
                'entry VMs',
                KEEPER,
                [Point(one.entry_vms, getattr(one, kind)) for one in costs],
                target,
            )
