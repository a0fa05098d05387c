"""Measures how many bytes flow entries, bucket states and records take."""

import tracemalloc
from collections.abc import Callable, Iterator

from hibiscushatch_core.layout import Layout
from hibiscushatch_core.manifest import build_manifest
from hibiscushatch_node.bucket_table import BucketTable
from hibiscushatch_node.flow_table import FlowEntry, FlowState, FlowTable
from hibiscushatch_node.membership import Membership
from hibiscushatch_node.ownership import Ownership
from hibiscushatch_node.upstream_directory import UpstreamDirectory
from hibiscushatch_tools.capacity_fit import Point
from hibiscushatch_tools.capacity_fixtures import make_document, make_member
from hibiscushatch_tools.capacity_model import DESIGN, Slope

FLOW_COUNTS = (20_000, 50_000, 100_000, 200_000)
SERVICE_COUNTS = (10, 20, 40, 80)
MEMBER_COUNTS = (50, 100, 200, 400)
UPSTREAMS_A_SERVICE = 10
HEARS = 8
RANKED_MEMBERS = 12


def measure_memory() -> Iterator[Slope]:
    """Measure the tables of an entry VM.

    Yields:
        Bytes against entries, buckets and members.
    """
    yield Slope(
        'flow_bytes',
        'bytes of the flow table',
        'flow entries',
        'hibiscushatch_node.flow_table',
        [Point(one, _allocated(fill_flows, one)) for one in FLOW_COUNTS],
        DESIGN.flows_a_vm,
    )
    yield Slope(
        'bucket_bytes',
        'bytes of the bucket table',
        'buckets',
        'hibiscushatch_node.bucket_table',
        [
            Point(one * DESIGN.buckets, _allocated(_fill_buckets, one))
            for one in SERVICE_COUNTS
        ],
        DESIGN.all_buckets,
    )
    yield Slope(
        'member_bytes',
        "bytes of the members' records",
        'entry VMs',
        'hibiscushatch_node.membership',
        [Point(one, _allocated(_fill_members, one)) for one in MEMBER_COUNTS],
        DESIGN.entry_vms,
    )
    yield Slope(
        'ranking_bytes',
        'bytes of the rankings kept for a view',
        'buckets',
        'hibiscushatch_node.ownership',
        [
            Point(one * DESIGN.buckets, _ranking_bytes(one))
            for one in SERVICE_COUNTS
        ],
        DESIGN.all_buckets,
    )


def _ranking_bytes(services: int) -> int:
    """Return the bytes that looking up all owners leaves behind."""
    membership = _fill_members(RANKED_MEMBERS)
    directory = UpstreamDirectory()
    ownership = Ownership(membership, _fill_buckets(services), directory)
    ownership.apply(build_manifest(make_document(services, services)))
    ownership.refresh(0)
    return _allocated(lambda size: _rank_all(ownership, size), services)


def _rank_all(ownership: Ownership, services: int) -> None:
    for number in range(services):
        for index in range(DESIGN.buckets):
            ownership.owners(f'service-{number}', index)


def _allocated(fill: Callable[[int], object], size: int) -> int:
    tracemalloc.start()
    try:
        kept = fill(size)
        used, _ = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return used


def fill_flows(count: int) -> FlowTable:
    """Build a table of open flows, spread over all buckets.

    Args:
        count: How many flows.

    Returns:
        The table.
    """
    flows = FlowTable()
    services = [f'service-{number}' for number in range(DESIGN.services)]
    upstreams = [f'upstream-{number}' for number in range(DESIGN.upstreams)]
    owned = int(DESIGN.all_buckets / DESIGN.domain_vms)
    for number in range(count):
        place = number % owned
        entry = FlowEntry(
            upstreams[number % DESIGN.upstreams],
            FlowState.OPEN,
            float(number),
            counted=True,
        )
        service = services[place % DESIGN.services]
        flows.put(service, place // DESIGN.services, 2**40 + number, entry)
    return flows


def _fill_buckets(services: int) -> BucketTable:
    table = BucketTable()
    for number in range(services):
        names = tuple(
            f'service-{number}-upstream-{index % UPSTREAMS_A_SERVICE}'
            for index in range(DESIGN.buckets)
        )
        table.add_service(f'service-{number}', Layout(1, names))
    return table


def _fill_members(count: int) -> Membership:
    membership = Membership(make_member(0, HEARS))
    for number in range(1, count):
        membership.receive(make_member(number, HEARS))
    return membership
