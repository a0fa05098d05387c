"""Measures how the cost of an entry VM grows, and writes docs/CAPACITY.md.

The figures are measured on the decision code of an entry VM with token
affinity, without sockets. Figures at the design size are extrapolated along
straight lines that are fitted to at least four measurements.
"""

import gc
import logging
import pathlib
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence

from hibiscushatch_core.ports import WatchEvent
from hibiscushatch_token.knowledge import peer_messages
from hibiscushatch_token.knowledge.publisher import HEARTBEAT_S, Publisher
from hibiscushatch_token.ports import Changes, Position
from hibiscushatch_token.settings import RelaySettings
from hibiscushatch_tools import capacity_page
from hibiscushatch_tools.capacity_fit import Point
from hibiscushatch_tools.capacity_model import (
    DESIGN,
    LIMITS,
    LimitCheck,
    MeasuredSeries,
)
from hibiscushatch_tools.capacity_node import CapacityNode, build_listing

PAGE = pathlib.Path('docs/CAPACITY.md')
REPEATS = 5
FLOWS_PER_RUN = 2000
US_PER_S = 1e6
MS_PER_S = 1000.0
SERVICE_UPSTREAM_COUNTS = (10, 40, 160, 640)
FLOW_COUNTS = (500, 1000, 2000, 4000)
REGISTRY_UPSTREAM_COUNTS = (500, 1000, 2000, 3700)
SUBSCRIBER_COUNTS = (4, 16, 64, 160)
# A flow stays in the table while its request runs, and one second longer.
FLOW_LIFETIME_S = 1.2
SWEEP_INTERVAL_S = 0.1
PUBLISHERS = 3


def main() -> None:
    """Measure all figures and rewrite the tables of the page."""
    logging.disable()
    all_series = tuple(measure_series())
    checks = tuple(
        compare_with_limits({item.key: item.at_target for item in all_series})
    )
    blocks = {
        'roles': capacity_page.render_limit_checks(checks),
        'failures': capacity_page.render_exceeded_limits(checks),
        'slopes': capacity_page.render_series(all_series),
    }
    page = capacity_page.replace_blocks(PAGE.read_text(), blocks)
    PAGE.write_text(page)


def measure_series() -> Iterator[MeasuredSeries]:
    """Yield each figure, measured at several of the sizes it depends on."""
    yield from _packet_series()
    yield from _state_series()
    yield from _publisher_series()


def _packet_series() -> Iterator[MeasuredSeries]:
    yield MeasuredSeries(
        'open',
        'processor time to open a flow, us',
        'upstreams of the service',
        'hibiscushatch_token.traffic.placement',
        _measure_points(SERVICE_UPSTREAM_COUNTS, _open_flow_us),
        DESIGN.upstreams / DESIGN.services,
    )
    yield MeasuredSeries(
        'carry',
        'processor time of a later packet, us',
        'flows in the table',
        'hibiscushatch_token.traffic.forwarder',
        _measure_points(FLOW_COUNTS, _forward_packet_us),
        DESIGN.vm_new_flows_per_s * FLOW_LIFETIME_S,
    )
    yield MeasuredSeries(
        'sweep',
        'processor time of a sweep of the table, us',
        'flows in the table',
        'hibiscushatch_token.traffic.flow_table',
        _measure_points(FLOW_COUNTS, _sweep_us),
        DESIGN.vm_new_flows_per_s * FLOW_LIFETIME_S,
    )


def _state_series() -> Iterator[MeasuredSeries]:
    yield MeasuredSeries(
        'listing',
        'processor time to take over a listing, ms',
        'upstreams',
        'hibiscushatch_token.knowledge.replica',
        _measure_points(REGISTRY_UPSTREAM_COUNTS, _listing_ms),
        DESIGN.upstreams,
    )
    yield MeasuredSeries(
        'change',
        'processor time to take over one changed entry, us',
        'upstreams',
        'hibiscushatch_token.knowledge.registry',
        _measure_points(REGISTRY_UPSTREAM_COUNTS, _change_us),
        DESIGN.upstreams,
    )
    yield MeasuredSeries(
        'state',
        'bytes of replica and registry',
        'upstreams',
        'hibiscushatch_token.knowledge.replica',
        _measure_points(REGISTRY_UPSTREAM_COUNTS, _state_bytes),
        DESIGN.upstreams,
    )
    yield MeasuredSeries(
        'snapshot',
        'bytes of a snapshot for an entry VM that starts from a peer',
        'upstreams',
        'hibiscushatch_token.knowledge.publisher',
        _measure_points(REGISTRY_UPSTREAM_COUNTS, _snapshot_bytes),
        DESIGN.upstreams,
    )


def _publisher_series() -> Iterator[MeasuredSeries]:
    yield MeasuredSeries(
        'heartbeat_bytes',
        'bytes that a publisher or relay sends in a second',
        'subscribers',
        'hibiscushatch_token.knowledge.publisher',
        _measure_points(SUBSCRIBER_COUNTS, _heartbeat_bytes_per_s),
        _max_subscribers(),
    )
    yield MeasuredSeries(
        'heartbeat_us',
        'processor time of the heartbeats of a second, sockets not counted, us',
        'subscribers',
        'hibiscushatch_token.knowledge.publisher',
        _measure_points(SUBSCRIBER_COUNTS, _heartbeat_us_per_s),
        _max_subscribers(),
    )


def _max_subscribers() -> float:
    # Either the relays of a publisher that all other domains follow, or the
    # share of a domain's entry VMs that one relay serves.
    relays = RelaySettings()
    of_publisher = relays.here + (DESIGN.domains - 1) * relays.elsewhere
    of_relay = DESIGN.entry_vms / DESIGN.domains / relays.elsewhere
    return max(of_publisher, of_relay)


def compare_with_limits(at_target: dict[str, float]) -> Iterator[LimitCheck]:
    """Compare figures at the design size with their limits.

    Args:
        at_target: Figures at the design size by the key of their series.

    Yields:
        One row of the page for each figure.
    """
    vm = 'entry VM'
    publisher = 'publisher or relay'
    flows_ms_per_s = at_target['open'] * DESIGN.vm_new_flows_per_s / MS_PER_S
    sweeps_ms_per_s = at_target['sweep'] / SWEEP_INTERVAL_S / MS_PER_S
    yield LimitCheck(
        vm,
        'processor time to open its new flows (packets, not control)',
        flows_ms_per_s,
        'ms/s',
        'hibiscushatch_token.traffic.flow_opener',
    )
    yield LimitCheck(
        vm,
        'processor time of sweeps of the flow table',
        sweeps_ms_per_s,
        'ms/s',
        'hibiscushatch_token.traffic.flow_table',
        LIMITS.cpu_ms_per_s,
    )
    yield LimitCheck(
        vm,
        'replacements of upstreams, mean processor time',
        at_target['change'] / US_PER_S / DESIGN.replacement_interval_s,
        'ms/s',
        'hibiscushatch_token.knowledge.registry',
        LIMITS.cpu_ms_per_s,
    )
    yield LimitCheck(
        vm,
        'loop held when it takes over a whole listing',
        at_target['listing'] / MS_PER_S,
        's',
        'hibiscushatch_token.knowledge.replica',
        1,
    )
    yield LimitCheck(
        vm,
        'state: replica and registry',
        at_target['state'],
        'B',
        'hibiscushatch_token.knowledge.replica',
        LIMITS.memory_bytes,
    )
    yield LimitCheck(
        publisher,
        'heartbeats and announcements at rest, bytes sent',
        at_target['heartbeat_bytes'],
        'B/s',
        'hibiscushatch_token.knowledge.publisher',
        LIMITS.control_bytes_per_s,
    )
    yield LimitCheck(
        publisher,
        'processor time of heartbeats, sockets not counted',
        at_target['heartbeat_us'] / MS_PER_S,
        'ms/s',
        'hibiscushatch_token.knowledge.publisher',
        LIMITS.cpu_ms_per_s,
    )
    yield LimitCheck(
        publisher,
        'snapshots for a rack of 40 that starts while the store is away',
        at_target['snapshot'] * DESIGN.rack_vms / PUBLISHERS,
        'B',
        'hibiscushatch_token.knowledge.publisher',
    )


def _measure_points(
    sizes: Sequence[int], measure: Callable[[int], float]
) -> tuple[Point, ...]:
    return tuple(Point(size, measure(size)) for size in sizes)


def _shortest_cpu_s(action: Callable[[], object]) -> float:
    """Return the shortest processor time of several runs, in seconds."""
    durations_s = []
    for _ in range(REPEATS):
        gc.collect()
        started_s = time.process_time()
        action()
        durations_s.append(time.process_time() - started_s)
    return min(durations_s)


def _open_flow_us(upstreams: int) -> float:
    node = CapacityNode(upstreams)
    numbers = iter(range(REPEATS * FLOWS_PER_RUN))

    def open_flows() -> None:
        for _ in range(FLOWS_PER_RUN):
            node.open_flow(next(numbers))

    return _shortest_cpu_s(open_flows) / FLOWS_PER_RUN * US_PER_S


def _node_with_flows(flows: int) -> CapacityNode:
    node = CapacityNode(SERVICE_UPSTREAM_COUNTS[0])
    for number in range(flows):
        node.open_flow(number)
    return node


def _forward_packet_us(flows: int) -> float:
    node = _node_with_flows(flows)

    def forward_packets() -> None:
        for number in range(flows):
            node.forward_packet(number)

    return _shortest_cpu_s(forward_packets) / flows * US_PER_S


def _sweep_us(flows: int) -> float:
    node = _node_with_flows(flows)
    return _shortest_cpu_s(node.opener.drop_idle) * US_PER_S


def _listing_ms(upstreams: int) -> float:
    def apply_listing() -> None:
        CapacityNode(0).replica.merge_listing(build_listing(upstreams, 2))

    def build() -> None:
        CapacityNode(0)
        build_listing(upstreams, 2)

    return (
        max(0, _shortest_cpu_s(apply_listing) - _shortest_cpu_s(build))
        * MS_PER_S
    )


def _change_us(upstreams: int) -> float:
    node = CapacityNode(upstreams)
    revision = 1

    def change() -> None:
        nonlocal revision
        for _ in range(10):
            revision += 1
            item = build_listing(1, revision).items[0]
            event = WatchEvent(item.key, item.value, revision)
            node.replica.merge_changes(
                Position(0, revision - 1),
                Changes((event,), Position(0, revision)),
            )

    return _shortest_cpu_s(change) / 10 * US_PER_S


def _state_bytes(upstreams: int) -> float:
    tracemalloc.start()
    node = CapacityNode(upstreams)
    gc.collect()
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del node
    return allocated_bytes


def _snapshot_bytes(upstreams: int) -> float:
    items = build_listing(upstreams, 2).items
    snapshot = peer_messages.Snapshot(
        2, 0, peer_messages.items_from_stored(items, after=0)
    )
    return len(peer_messages.encode(snapshot))


class _MeasuredPublisher:
    """A publisher and the bytes that it sends."""

    def __init__(self, subscribers: int) -> None:
        node = CapacityNode(SERVICE_UPSTREAM_COUNTS[0])
        self.sent_bytes = 0
        self.publisher = Publisher(
            node.settings,
            node.replica,
            time.monotonic,
            self._send,
            node.outliers,
            int,
        )
        for index in range(subscribers):
            self.publisher.on_subscription(
                peer_messages.Subscription(
                    vm='vm',
                    control=f'127.0.0.1:{index + 1}',
                    domain=node.settings.domain,
                    served=0,
                    is_counted=True,
                )
            )
        self.sent_bytes = 0

    def _send(self, datagram: bytes, _address: tuple[str, int]) -> None:
        self.sent_bytes += len(datagram)


def _heartbeat_bytes_per_s(subscribers: int) -> float:
    measured = _MeasuredPublisher(subscribers)
    measured.publisher.send_heartbeats()
    return measured.sent_bytes / HEARTBEAT_S


def _heartbeat_us_per_s(subscribers: int) -> float:
    send_heartbeats = _MeasuredPublisher(subscribers).publisher.send_heartbeats

    def send_repeatedly() -> None:
        for _ in range(100):
            send_heartbeats()

    return _shortest_cpu_s(send_repeatedly) / 100 / HEARTBEAT_S * US_PER_S


if __name__ == '__main__':
    main()
