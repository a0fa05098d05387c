"""Measures how a change of the manifest spreads over a fleet."""

import asyncio
import dataclasses
from collections.abc import Iterator, Sequence

from hibiscushatch_core.manifest_blob import encode_manifest
from hibiscushatch_tools.capacity_control import FleetShape, start_fleet
from hibiscushatch_tools.capacity_fit import Point
from hibiscushatch_tools.capacity_fixtures import make_document
from hibiscushatch_tools.capacity_fleet import MemoryFleet
from hibiscushatch_tools.capacity_model import DESIGN, Slope
from hibiscushatch_tools.host_loop import run_on_hosts

UPSTREAMS = 300
FLEET_SIZES = (4, 6, 9, 12)
SPREAD_S = 5.0
POLL_S = 0.02
GENERATION = 2
PEERS = 'hibiscushatch_node.peer_intake'


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeCost:
    """What one change of the manifest costs a fleet.

    Attributes:
        entry_vms: Size of the fleet, in one failure domain.
        copies_mean: Copies of the manifest that an entry VM sends.
        copies_most: Copies that the busiest entry VM sends.
        in_force_s: Seconds until all have it, bandwidth not counted.
    """

    entry_vms: int
    copies_mean: float
    copies_most: float
    in_force_s: float


def measure_change(entry_vms: int) -> ChangeCost:
    """Measure one change.

    Args:
        entry_vms: Size of the fleet.

    Returns:
        What it costs.
    """
    return run_on_hosts(_measure_change(entry_vms))


async def _measure_change(entry_vms: int) -> ChangeCost:
    shape = FleetShape(entry_vms, one_domain=True, upstreams=UPSTREAMS)
    fleet = await start_fleet(shape)
    before = fleet.network.control_bytes.copy()
    document = make_document(shape.upstreams, shape.services, GENERATION)
    fleet.commit(document)
    in_force_s = await _wait_in_force(fleet, shape)
    sent = fleet.network.control_bytes - before
    fleet.close()
    blob_bytes = len(encode_manifest(document, 'commit'))
    return ChangeCost(
        entry_vms,
        sent.total() / blob_bytes / entry_vms,
        max(sent.values()) / blob_bytes,
        in_force_s,
    )


async def _wait_in_force(fleet: MemoryFleet, shape: FleetShape) -> float:
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    in_force_s = 0.0
    while loop.time() - began_s < SPREAD_S:
        await asyncio.sleep(POLL_S)
        behind = any(
            fleet.member(number).vm.state.generation < GENERATION
            for number in shape.numbers
        )
        if behind:
            in_force_s = loop.time() - began_s
    return in_force_s


def change_slopes(costs: Sequence[ChangeCost]) -> Iterator[Slope]:
    """Turn the costs of a change into slopes.

    Args:
        costs: Of several fleets.

    Yields:
        Copies of the manifest against links.
    """
    figures = (
        ('copies_mean', 'copies of the manifest that an entry VM sends'),
        ('copies_most', 'copies that the busiest entry VM sends'),
    )
    for key, figure in figures:
        yield Slope(
            key,
            f'{figure} for a change',
            'links',
            PEERS,
            [Point(one.entry_vms - 1, getattr(one, key)) for one in costs],
            DESIGN.domain_vms - 1,
        )
