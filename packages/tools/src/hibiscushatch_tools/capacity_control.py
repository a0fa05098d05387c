"""Measures what control costs an entry VM at rest, on a change and on a join.

Fleets of several shapes run without callers; figures are means of an entry VM.
"""

import asyncio
import dataclasses
from collections.abc import Iterator, Sequence

from hibiscushatch_node.entry_vm import EntryVm
from hibiscushatch_node.membership import FLEET_LINKS_EACH_WAY
from hibiscushatch_tools.capacity_fit import Point
from hibiscushatch_tools.capacity_fixtures import make_document
from hibiscushatch_tools.capacity_fleet import MemoryFleet
from hibiscushatch_tools.capacity_model import DESIGN, Slope
from hibiscushatch_tools.host_loop import run_on_hosts

UPSTREAMS = 24
SERVICES = 6
SETTLE_S = 6.0
SAMPLE_S = 6.0
REPLACEMENT_S = 12.0
SERVING_LIMIT_S = 60.0
REPLACED_FLEET = 12
STANDING_SERVICES = (15, 30, 60, 120)
REPLACED_FLEETS = (18, 22, 26, 30)
FLEET_LINKS = 2 * FLEET_LINKS_EACH_WAY
REPLACED_SERVICES = (6, 12, 24, 48)
MILLISECONDS_PER_S = 1000
PEERS = 'hibiscushatch_node.peers'
MEMBERSHIP = 'hibiscushatch_node.membership'


@dataclasses.dataclass(frozen=True, slots=True)
class FleetShape:
    """A fleet to measure.

    Attributes:
        entry_vms: Its size.
        one_domain: Whether all are in one failure domain.
        services: Services of its manifest.
        upstreams: Upstreams of its manifest.
    """

    entry_vms: int
    one_domain: bool = False
    services: int = SERVICES
    upstreams: int = UPSTREAMS

    @property
    def numbers(self) -> Sequence[int]:
        """Numbers of the entry VMs."""
        step = DESIGN.domains if self.one_domain else 1
        return range(0, self.entry_vms * step, step)


SHAPES = (
    FleetShape(3),
    FleetShape(9),
    FleetShape(16),
    FleetShape(18),
    FleetShape(32),
    FleetShape(48),
    FleetShape(24, one_domain=True),
)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetCost:
    """What one entry VM of a fleet used.

    Attributes:
        entry_vms: Size of the fleet.
        failure_domains: How many it spans.
        links: Mean number of its connections.
        bytes_s: Control bytes sent in a second at rest.
        cpu_ms_s: Processor time of a second at rest, milliseconds.
        writes_s: Writes to the platform by the whole fleet in a second.
        granted: Fraction of what the upstreams bear that is granted.
    """

    entry_vms: int
    failure_domains: int
    links: float
    bytes_s: float
    cpu_ms_s: float
    writes_s: float
    granted: float


def measure_fleet(shape: FleetShape) -> FleetCost:
    """Measure a fleet at rest.

    Args:
        shape: The fleet.

    Returns:
        The cost of one of its entry VMs.
    """
    return run_on_hosts(_measure_fleet(shape))


async def _measure_fleet(shape: FleetShape) -> FleetCost:
    fleet = await start_fleet(shape)
    before = fleet.usage()
    await asyncio.sleep(SAMPLE_S)
    used = fleet.usage().since(before)
    vms = [fleet.member(number).vm for number in shape.numbers]
    links = sum(len(one.state.membership.link_names()) for one in vms)
    manifest = vms[0].state.manifest
    limit = sum(
        one.cold_allowance for one in manifest.upstreams_by_name.values()
    )
    granted = sum(granted_shares(one) for one in vms)
    fleet.close()
    return FleetCost(
        shape.entry_vms,
        1 if shape.one_domain else min(DESIGN.domains, shape.entry_vms),
        links / shape.entry_vms,
        used.sent_bytes / used.at_s / shape.entry_vms,
        used.cpu_s * MILLISECONDS_PER_S / used.at_s / shape.entry_vms,
        used.writes / used.at_s,
        granted / limit,
    )


def granted_shares(vm: EntryVm) -> int:
    """Add up the open flows that an entry VM may own, cold upstreams all."""
    return sum(
        upstream.share
        for service in vm.report().services
        for upstream in service.upstreams
    )


async def start_fleet(shape: FleetShape) -> MemoryFleet:
    """Start a fleet and wait until it is at rest.

    Args:
        shape: The fleet.

    Returns:
        The fleet, all of it serving.
    """
    fleet = MemoryFleet()
    fleet.commit(make_document(shape.upstreams, shape.services))
    for number in shape.numbers:
        await fleet.start(number)
    await fleet.wait_serving(shape.entry_vms, SERVING_LIMIT_S)
    await asyncio.sleep(SETTLE_S)
    return fleet


def measure_replacement(shape: FleetShape) -> float:
    """Measure a planned stop and a new start of one entry VM.

    Args:
        shape: The fleet.

    Returns:
        Control bytes that the whole fleet sent beyond those of a fleet at
        rest.
    """
    return run_on_hosts(_measure_replacement(shape))


async def _measure_replacement(shape: FleetShape) -> float:
    fleet = await start_fleet(shape)
    before = fleet.usage()
    await asyncio.sleep(SAMPLE_S)
    at_rest = fleet.usage().since(before)
    before = fleet.usage()
    replaced = shape.numbers[1]
    await fleet.stop(replaced)
    await fleet.start(replaced)
    await asyncio.sleep(REPLACEMENT_S)
    used = fleet.usage().since(before)
    fleet.close()
    return used.sent_bytes - at_rest.sent_bytes / at_rest.at_s * used.at_s


def replacement_slopes() -> Iterator[Slope]:
    """Measure replacements against buckets and against the fleet.

    Yields:
        Bytes of all entry VMs for one replacement.
    """
    yield Slope(
        'replacement_buckets',
        'bytes sent by a fleet of 12 for one replacement',
        'buckets of all services',
        'hibiscushatch_node.peer_outflow',
        [
            Point(
                services * DESIGN.buckets,
                measure_replacement(
                    FleetShape(
                        REPLACED_FLEET, services=services, upstreams=services
                    )
                ),
            )
            for services in REPLACED_SERVICES
        ],
        DESIGN.all_buckets,
    )
    yield Slope(
        'replacement_fleet',
        'bytes sent by the fleet for one replacement, 6 services',
        'entry VMs',
        MEMBERSHIP,
        [
            Point(entry_vms, measure_replacement(FleetShape(entry_vms)))
            for entry_vms in REPLACED_FLEETS
        ],
        DESIGN.entry_vms,
    )


def measure_standing_work(services: int) -> float:
    """Measure one entry VM without peers or callers.

    Args:
        services: Services of the manifest; upstreams grow alike.

    Returns:
        Processor time of a second, in milliseconds.
    """
    upstreams = services * DESIGN.upstreams // DESIGN.services
    shape = FleetShape(1, services=services, upstreams=upstreams)
    return measure_fleet(shape).cpu_ms_s


def standing_slope() -> Slope:
    """Measure the work of an entry VM that only its tables cause."""
    return Slope(
        'standing_cpu',
        'processor time of one VM without peers or callers, ms/s',
        'buckets of all services',
        'hibiscushatch_node.mover',
        [
            Point(services * DESIGN.buckets, measure_standing_work(services))
            for services in STANDING_SERVICES
        ],
        DESIGN.all_buckets,
    )


def rest_slopes(costs: Sequence[FleetCost]) -> Iterator[Slope]:
    """Turn the costs of fleets at rest into slopes.

    Args:
        costs: Of several fleets.

    Yields:
        Bytes and processor time against links, writes against the fleet.
    """
    links = DESIGN.domain_vms - 1 + FLEET_LINKS
    yield Slope(
        'rest_bytes',
        'control bytes/s of an entry VM at rest',
        'links',
        PEERS,
        [Point(one.links, one.bytes_s) for one in costs],
        links,
    )
    yield Slope(
        'rest_cpu',
        'processor time of an entry VM at rest, ms/s',
        'links',
        PEERS,
        [Point(one.links, one.cpu_ms_s) for one in costs],
        links,
    )
    yield Slope(
        'platform_writes',
        'writes/s of the fleet to the platform at rest',
        'entry VMs',
        'hibiscushatch_node.manifest_keeper',
        [Point(one.entry_vms, one.writes_s) for one in costs],
        DESIGN.entry_vms,
    )
