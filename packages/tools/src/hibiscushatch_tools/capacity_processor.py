"""Measures the processor time of packets, placements, rankings and packing."""

import asyncio
import dataclasses
import time
from collections.abc import Iterator, Sequence

from hibiscushatch_core.hashing import flow_key, hash_flow
from hibiscushatch_core.manifest import Service
from hibiscushatch_core.messages import PeerMessage, encode_message
from hibiscushatch_core.move_plan import BucketRow, UpstreamRow, plan_moves
from hibiscushatch_core.packets import TCP, TCP_ACK, TCP_SYN
from hibiscushatch_node.entry_vm import EntryVm
from hibiscushatch_node.flow_table import FlowEntry, FlowState
from hibiscushatch_node.ownership import ServingView
from hibiscushatch_node.peer_outflow import pack_entries
from hibiscushatch_ops.segments import Segment, build_segment
from hibiscushatch_tools.capacity_clock import MILLISECONDS_PER_S, cpu_s
from hibiscushatch_tools.capacity_control import FleetShape, start_fleet
from hibiscushatch_tools.capacity_fit import Point
from hibiscushatch_tools.capacity_fixtures import domain_name, vm_name
from hibiscushatch_tools.capacity_model import DESIGN, Slope
from hibiscushatch_tools.host_loop import run_on_hosts

PACKET_COUNTS = (1000, 2000, 4000, 8000)
FLOW_COUNTS = (500, 1000, 2000, 4000)
ENTRY_COUNTS = (250, 500, 1000, 2000)
MEMBER_COUNTS = (3, 20, 40, 60, 83)
UPSTREAM_COUNTS = (5, 10, 20, 40)
RANKED_BUCKETS = 2000
UPSTREAMS_A_BUCKET = 2
SERVICES = 40
UPSTREAMS = 400
FORWARDED_FLOWS = 500
BATCH_FLOWS = 50
TASK_TURNS = 4
CALLER_NET = 0x0B000000
CALLER_PORT = 10000
PAYLOAD = bytes(200)
FABRIC_ADDRESS = '10.3.0.1'
REPEATS = 3


def processor_slopes() -> Iterator[Slope]:
    """Measure everything.

    Yields:
        Milliseconds or bytes against amounts of work.
    """
    placing, forwarding = run_on_hosts(_measure_packets())
    yield Slope(
        'placing',
        'processor time of placing flows: SYN and SYN-ACK, ms',
        'flows',
        'hibiscushatch_node.connector',
        placing,
        DESIGN.new_flows_a_vm_s,
    )
    yield Slope(
        'forwarding',
        'processor time of data packets, sockets not counted, ms',
        'packets',
        'hibiscushatch_node.forwarder',
        forwarding,
        DESIGN.new_flows_a_vm_s,
    )
    yield Slope(
        'ranking',
        'processor time of ranking all buckets after a member left, ms',
        'entry VMs of the domain',
        'hibiscushatch_node.ownership',
        [Point(one, _ranking_ms(one)) for one in MEMBER_COUNTS],
        DESIGN.domain_vms,
    )
    yield Slope(
        'planning',
        'processor time of planning one service, ms',
        'upstreams of the service',
        'hibiscushatch_core.move_plan',
        [Point(one, _planning_ms(one)) for one in UPSTREAM_COUNTS],
        DESIGN.upstreams / DESIGN.services,
    )
    entries = DESIGN.flows_a_vm
    yield Slope(
        'handover_ms',
        'processor time of packing entries, ms',
        'flow entries',
        'hibiscushatch_node.peer_outflow',
        [Point(one, _packing_ms(one)) for one in ENTRY_COUNTS],
        entries,
    )
    yield Slope(
        'handover_bytes',
        'bytes of packed entries',
        'flow entries',
        'hibiscushatch_node.peer_outflow',
        [Point(one, _packed_bytes(one)) for one in ENTRY_COUNTS],
        entries,
    )


async def _measure_packets() -> tuple[list[Point], list[Point]]:
    shape = FleetShape(1, services=SERVICES, upstreams=UPSTREAMS)
    fleet = await start_fleet(shape)
    vm = fleet.member(0).vm
    services = vm.state.manifest.services
    placing = []
    first = 0
    for count in FLOW_COUNTS:
        flows = range(first, first + count)
        placing.append(Point(count, await _placing_ms(vm, flows)))
        first += count
    packets = [
        _segment(services[0], flow, TCP_ACK, PAYLOAD)
        for flow in range(FORWARDED_FLOWS)
    ]
    forwarding = []
    for count in PACKET_COUNTS:
        repeated = (packets * (count // len(packets) + 1))[:count]
        forwarding.append(Point(count, _forwarding_ms(vm, repeated)))
    fleet.close()
    return placing, forwarding


async def _placing_ms(vm: EntryVm, flows: Sequence[int]) -> float:
    services = vm.state.manifest.services
    used_s = 0.0
    for start in range(0, len(flows), BATCH_FLOWS):
        batch = flows[start : start + BATCH_FLOWS]
        calls = [
            _Packet(
                _segment(services[one % SERVICES], one, TCP_SYN),
                FABRIC_ADDRESS,
            )
            for one in batch
        ]
        used_s += await _take_cpu_s(vm, calls)
        answers = [
            _answer_of(vm, services[one % SERVICES], one) for one in batch
        ]
        used_s += await _take_cpu_s(vm, answers)
    return used_s * MILLISECONDS_PER_S


async def _take_cpu_s(vm: EntryVm, given: Sequence['_Packet']) -> float:
    """Give packets to an entry VM and let its tasks take a turn."""
    began_s = time.process_time()
    for one in given:
        vm.handle_edge(one.packet, one.sender_address)
    for _ in range(TASK_TURNS):
        await asyncio.sleep(0)
    return time.process_time() - began_s


def _forwarding_ms(vm: EntryVm, packets: Sequence[bytes]) -> float:
    began_s = time.process_time()
    for packet in packets:
        vm.handle_edge(packet, FABRIC_ADDRESS)
    return (time.process_time() - began_s) * MILLISECONDS_PER_S


def _segment(
    service: Service, flow: int, flags: int, payload: bytes = b''
) -> bytes:
    return build_segment(
        Segment(
            TCP,
            CALLER_NET + flow,
            service.key.address,
            CALLER_PORT,
            service.key.port,
            1,
            1,
            flags,
            payload,
        )
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Packet:
    """A packet and the address that it comes from."""

    packet: bytes
    sender_address: str


def _answer_of(vm: EntryVm, service: Service, flow: int) -> _Packet:
    """Build the SYN-ACK of the upstream that a flow was placed on."""
    key = flow_key(CALLER_NET + flow, CALLER_PORT)
    index = hash_flow(key, service.key.port) % service.buckets
    entry = vm.state.flows.find(service.name, index, key)
    upstream = vm.state.manifest.upstreams_by_name[entry.upstream]
    packet = build_segment(
        Segment(
            TCP,
            service.key.address,
            CALLER_NET + flow,
            service.key.port,
            CALLER_PORT,
            1,
            1,
            TCP_SYN | TCP_ACK,
        )
    )
    return _Packet(packet, upstream.address)


def _ranking_ms(members: int) -> float:
    """Rank all buckets in the view that follows when one member leaves."""
    everyone = {
        vm_name(one): f'domain-{one % DESIGN.domains}'
        for one in range(members * DESIGN.domains)
    }
    view = ServingView(everyone)
    _rank_buckets(view)
    remaining = dict(everyone)
    remaining.pop(vm_name(0))
    used_s = cpu_s(lambda: _rank_buckets(view.follow(remaining)), REPEATS)
    return used_s * MILLISECONDS_PER_S * DESIGN.all_buckets / RANKED_BUCKETS


def _rank_buckets(view: ServingView) -> None:
    for index in range(RANKED_BUCKETS):
        view.rank('service', index, f'domain-{index % DESIGN.domains}')


def _planning_ms(upstreams: int) -> float:
    rows = [
        UpstreamRow(f'upstream-{one}', domain_name(one), 100)
        for one in range(upstreams)
    ]
    buckets = [
        BucketRow(index, f'upstream-{index % upstreams}')
        for index in range(DESIGN.buckets)
    ]
    used_s = cpu_s(lambda: tuple(plan_moves(buckets, rows)), REPEATS)
    return used_s * MILLISECONDS_PER_S


def _make_entries(count: int) -> dict[int, FlowEntry]:
    return {
        flow_key(CALLER_NET + one, CALLER_PORT): FlowEntry(
            f'upstream-{one % UPSTREAMS_A_BUCKET}', FlowState.OPEN, 0
        )
        for one in range(count)
    }


def _packing_ms(count: int) -> float:
    entries = _make_entries(count)
    used_s = cpu_s(lambda: pack_entries('service', 0, entries), REPEATS)
    return used_s * MILLISECONDS_PER_S


def _packed_bytes(count: int) -> int:
    packed = pack_entries('service', 0, _make_entries(count))
    return len(encode_message(PeerMessage(entries=(packed,))))
