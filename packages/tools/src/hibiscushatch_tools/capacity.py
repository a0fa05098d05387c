"""Measures how the cost of an entry VM grows, and writes docs/CAPACITY.md.

Every figure is taken from the real decisions of the entry VM with token
affinity, without sockets. Figures at the size to design for lie on straight
lines through at least four measurements.
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
from hibiscushatch_token.ports import Changes
from hibiscushatch_token.settings import RelaySettings
from hibiscushatch_tools import capacity_page
from hibiscushatch_tools.capacity_fit import Point
from hibiscushatch_tools.capacity_model import DESIGN, LIMITS, Slope, Verdict
from hibiscushatch_tools.capacity_node import CapacityNode, listing

PAGE = pathlib.Path('docs/CAPACITY.md')
REPEATS = 5
FLOWS = 2000
US_PER_S = 1e6
MS_PER_S = 1000.0
UPSTREAM_SIZES = (10, 40, 160, 640)
FLOW_SIZES = (500, 1000, 2000, 4000)
ITEM_SIZES = (500, 1000, 2000, 3700)
SUBSCRIBER_SIZES = (4, 16, 64, 160)
# A flow is in the table for as long as a request takes, and one second more.
TABLE_S = 1.2
SWEEP_S = 0.1
PUBLISHERS = 3


def main() -> None:
    """Measure everything and rewrite the tables of the page."""
    logging.disable()
    slopes = tuple(measure_slopes())
    verdicts = tuple(judge({one.key: one.at_target for one in slopes}))
    blocks = {
        'roles': capacity_page.render_verdicts(verdicts),
        'failures': capacity_page.render_failures(verdicts),
        'slopes': capacity_page.render_slopes(slopes),
    }
    page = capacity_page.replace_blocks(PAGE.read_text(), blocks)
    PAGE.write_text(page)


def measure_slopes() -> Iterator[Slope]:
    """Yield what was measured, against the sizes that it grows with."""
    yield from _packet_slopes()
    yield from _state_slopes()
    yield from _publisher_slopes()


def _packet_slopes() -> Iterator[Slope]:
    yield Slope(
        'open',
        'processor time to open a flow, us',
        'upstreams of the service',
        'hibiscushatch_token.traffic.placement',
        _points(UPSTREAM_SIZES, _opening_us),
        DESIGN.upstreams / DESIGN.services,
    )
    yield Slope(
        'carry',
        'processor time of a later packet, us',
        'flows in the table',
        'hibiscushatch_token.traffic.forwarder',
        _points(FLOW_SIZES, _carrying_us),
        DESIGN.new_flows_a_vm_s * TABLE_S,
    )
    yield Slope(
        'sweep',
        'processor time of a sweep of the table, us',
        'flows in the table',
        'hibiscushatch_token.traffic.flow_table',
        _points(FLOW_SIZES, _sweep_us),
        DESIGN.new_flows_a_vm_s * TABLE_S,
    )


def _state_slopes() -> Iterator[Slope]:
    yield Slope(
        'listing',
        'processor time to take over a listing, ms',
        'upstreams',
        'hibiscushatch_token.knowledge.replica',
        _points(ITEM_SIZES, _listing_ms),
        DESIGN.upstreams,
    )
    yield Slope(
        'change',
        'processor time to take over one changed entry, us',
        'upstreams',
        'hibiscushatch_token.knowledge.registry',
        _points(ITEM_SIZES, _change_us),
        DESIGN.upstreams,
    )
    yield Slope(
        'state',
        'bytes of replica and registry',
        'upstreams',
        'hibiscushatch_token.knowledge.replica',
        _points(ITEM_SIZES, _state_bytes),
        DESIGN.upstreams,
    )
    yield Slope(
        'snapshot',
        'bytes of a snapshot for an entry VM that starts from a peer',
        'upstreams',
        'hibiscushatch_token.knowledge.publisher',
        _points(ITEM_SIZES, _snapshot_bytes),
        DESIGN.upstreams,
    )


def _publisher_slopes() -> Iterator[Slope]:
    yield Slope(
        'heartbeat_bytes',
        'bytes that a publisher or relay sends in a second',
        'subscribers',
        'hibiscushatch_token.knowledge.publisher',
        _points(SUBSCRIBER_SIZES, _heartbeat_bytes_s),
        _most_subscribers(),
    )
    yield Slope(
        'heartbeat_us',
        'processor time of the heartbeats of a second, sockets not counted, us',
        'subscribers',
        'hibiscushatch_token.knowledge.publisher',
        _points(SUBSCRIBER_SIZES, _heartbeat_us_s),
        _most_subscribers(),
    )


def _most_subscribers() -> float:
    # A publisher's relays, all other domains following one publisher, or a
    # relay's part of its domain.
    relays = RelaySettings()
    of_publisher = relays.here + (DESIGN.domains - 1) * relays.elsewhere
    of_relay = DESIGN.entry_vms / DESIGN.domains / relays.elsewhere
    return max(of_publisher, of_relay)


def judge(at_target: dict[str, float]) -> Iterator[Verdict]:
    """Compare figures at the size to design for with their limits.

    Args:
        at_target: Figures by the key of their slope.

    Yields:
        A line of the page for each.
    """
    vm = 'entry VM'
    publisher = 'publisher or relay'
    flows_ms_s = at_target['open'] * DESIGN.new_flows_a_vm_s / MS_PER_S
    sweeps_ms_s = at_target['sweep'] / SWEEP_S / MS_PER_S
    yield Verdict(
        vm,
        'processor time to open its new flows (packets, not control)',
        flows_ms_s,
        'ms/s',
        'hibiscushatch_token.traffic.flow_opener',
    )
    yield Verdict(
        vm,
        'processor time of sweeps of the flow table',
        sweeps_ms_s,
        'ms/s',
        'hibiscushatch_token.traffic.flow_table',
        LIMITS.core_ms_s,
    )
    yield Verdict(
        vm,
        'replacements of upstreams, mean processor time',
        at_target['change'] / US_PER_S / DESIGN.replacement_interval_s,
        'ms/s',
        'hibiscushatch_token.knowledge.registry',
        LIMITS.core_ms_s,
    )
    yield Verdict(
        vm,
        'loop held when it takes over a whole listing',
        at_target['listing'] / MS_PER_S,
        's',
        'hibiscushatch_token.knowledge.replica',
        1,
    )
    yield Verdict(
        vm,
        'state: replica and registry',
        at_target['state'],
        'B',
        'hibiscushatch_token.knowledge.replica',
        LIMITS.memory_bytes,
    )
    yield Verdict(
        publisher,
        'heartbeats and announcements at rest, bytes sent',
        at_target['heartbeat_bytes'],
        'B/s',
        'hibiscushatch_token.knowledge.publisher',
        LIMITS.control_bytes_s,
    )
    yield Verdict(
        publisher,
        'processor time of heartbeats, sockets not counted',
        at_target['heartbeat_us'] / MS_PER_S,
        'ms/s',
        'hibiscushatch_token.knowledge.publisher',
        LIMITS.core_ms_s,
    )
    yield Verdict(
        publisher,
        'snapshots for a rack of 40 that starts while the store is away',
        at_target['snapshot'] * DESIGN.rack_vms / PUBLISHERS,
        'B',
        'hibiscushatch_token.knowledge.publisher',
    )


def _points(
    sizes: Sequence[int], measure: Callable[[int], float]
) -> tuple[Point, ...]:
    return tuple(Point(size, measure(size)) for size in sizes)


def _least_s(act: Callable[[], object]) -> float:
    """Return the least processor time of some runs."""
    spent = []
    for _ in range(REPEATS):
        gc.collect()
        began = time.process_time()
        act()
        spent.append(time.process_time() - began)
    return min(spent)


def _opening_us(upstreams: int) -> float:
    node = CapacityNode(upstreams)
    numbers = iter(range(REPEATS * FLOWS))

    def open_flows() -> None:
        for _ in range(FLOWS):
            node.open_flow(next(numbers))

    return _least_s(open_flows) / FLOWS * US_PER_S


def _node_with_flows(flows: int) -> CapacityNode:
    node = CapacityNode(UPSTREAM_SIZES[0])
    for number in range(flows):
        node.open_flow(number)
    return node


def _carrying_us(flows: int) -> float:
    node = _node_with_flows(flows)

    def carry() -> None:
        for number in range(flows):
            node.carry(number)

    return _least_s(carry) / flows * US_PER_S


def _sweep_us(flows: int) -> float:
    node = _node_with_flows(flows)
    return _least_s(node.opener.drop_idle) * US_PER_S


def _listing_ms(upstreams: int) -> float:
    def take_over() -> None:
        CapacityNode(0).replica.merge_listing(listing(upstreams, 2))

    def build() -> None:
        CapacityNode(0)
        listing(upstreams, 2)

    return max(0, _least_s(take_over) - _least_s(build)) * MS_PER_S


def _change_us(upstreams: int) -> float:
    node = CapacityNode(upstreams)
    revision = 1

    def change() -> None:
        nonlocal revision
        for _ in range(10):
            revision += 1
            item = listing(1, revision).items[0]
            event = WatchEvent(item.key, item.value, revision)
            node.replica.merge_changes(
                revision - 1, Changes((event,), revision)
            )

    return _least_s(change) / 10 * US_PER_S


def _state_bytes(upstreams: int) -> float:
    tracemalloc.start()
    node = CapacityNode(upstreams)
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del node
    return held


def _snapshot_bytes(upstreams: int) -> float:
    items = listing(upstreams, 2).items
    snapshot = peer_messages.Snapshot(
        2, 0, peer_messages.items_from_stored(items, after=0)
    )
    return len(peer_messages.encode(snapshot))


class _Heartbeats:
    """A publisher whose datagrams are counted."""

    def __init__(self, subscribers: int) -> None:
        node = CapacityNode(UPSTREAM_SIZES[0])
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


def _heartbeat_bytes_s(subscribers: int) -> float:
    heartbeats = _Heartbeats(subscribers)
    heartbeats.publisher.send_heartbeats()
    return heartbeats.sent_bytes / HEARTBEAT_S


def _heartbeat_us_s(subscribers: int) -> float:
    announce = _Heartbeats(subscribers).publisher.send_heartbeats

    def announce_often() -> None:
        for _ in range(100):
            announce()

    return _least_s(announce_often) / 100 / HEARTBEAT_S * US_PER_S


if __name__ == '__main__':
    main()
