"""Fixtures for tests of the stand-ins: a minimal load-balancer tier."""

import contextlib
import dataclasses
import random
from collections.abc import Iterator

from hibiscushatch_core import packets
from hibiscushatch_ops.callers import Callers, FlowPlan
from hibiscushatch_tools.fabric import (
    AttachedUpstream,
    FabricMember,
    MemoryFabric,
    MemoryPacketSender,
)
from hibiscushatch_tools.host_loop import Host
from hibiscushatch_tools.memory_network import (
    ExternalEndpoint,
    MemoryNetwork,
    NetworkSettings,
)
from hibiscushatch_tools.payload_ledger import PayloadLedger
from hibiscushatch_tools.upstream_standin import UpstreamPlan, UpstreamStandIn

SERVICE = (0x0A000001, 443, packets.TCP)
TUNNEL_ADDRESS = ('10.2.0.1', 6635)
FABRIC_ADDRESS = '10.3.0.1'
DOMAIN = 'pos-a'
UPSTREAM = UpstreamPlan(
    name='booking-1',
    domain=DOMAIN,
    address=TUNNEL_ADDRESS[0],
    service=SERVICE,
    service_id=1,
    slots=3,
    connections=100,
    cold_allowance=20,
    warm_up_s=5,
    work_s=0.01,
)
FLOW = FlowPlan(
    flow_id=1,
    service_name='booking',
    service_id=1,
    service=SERVICE[:2],
    caller=(0x0A090001, 40000),
    protocol=packets.TCP,
    requests=4,
    gap_s=0.5,
    request_segments=2,
    answer_segments=3,
)
NETWORK = NetworkSettings()


class _ReadyReport:
    ready = True


class OneUpstreamVm:
    """An entry VM that sends all of the callers' packets to one upstream."""

    def __init__(self, sender: MemoryPacketSender) -> None:
        self._sender = sender

    def handle_edge(self, packet: bytes, sender_address: str) -> None:
        """Forward a packet of a caller to the upstream, others to callers."""
        if sender_address == FABRIC_ADDRESS:
            self._sender.send_to_upstream(packet, TUNNEL_ADDRESS)
        else:
            self._sender.send_to_caller(packet)

    def handle_relay(self, datagram: bytes, sender_address: str) -> None:
        """Forward a packet of another entry VM to the upstream."""
        self.handle_edge(datagram, FABRIC_ADDRESS)

    def report(self) -> _ReadyReport:
        """Return a report that the entry VM is ready."""
        return _ReadyReport()


@dataclasses.dataclass
class SmallTier:
    """Callers, three entry VMs and one upstream."""

    network: MemoryNetwork
    fabric: MemoryFabric
    callers: Callers
    upstream: UpstreamStandIn
    ledger: PayloadLedger
    hosts: list[Host]

    def open_flows(self, count: int, **changes: int) -> None:
        """Open flows like FLOW, with other callers and the given changes."""
        first = len(self.callers.records)
        for number in range(first, first + count):
            caller = (FLOW.caller[0], FLOW.caller[1] + number)
            self.callers.open(
                dataclasses.replace(
                    FLOW, flow_id=number + 1, caller=caller, **changes
                )
            )

    def count_outcomes(self) -> dict[str, int]:
        """Count the flows by outcome."""
        counts: dict[str, int] = {}
        for record in self.callers.records:
            counts[record.outcome] = counts.get(record.outcome, 0) + 1
        return counts


@contextlib.contextmanager
def small_tier(
    plan: UpstreamPlan = UPSTREAM,
    settings: NetworkSettings = NETWORK,
) -> Iterator[SmallTier]:
    """Build a tier of three entry VMs in front of one upstream."""
    network = MemoryNetwork(settings, random.Random(1))
    ledger = PayloadLedger()
    endpoint = ExternalEndpoint(plan.name, plan.domain)
    callers = Callers(
        random.Random(2), lambda packet: fabric.spray_from_caller(packet)
    )
    fabric = MemoryFabric(
        network, random.Random(3), FABRIC_ADDRESS, callers.receive
    )
    upstream = UpstreamStandIn(
        plan,
        ledger,
        random.Random(4),
        lambda packet: fabric.spray_from_upstream(
            endpoint, TUNNEL_ADDRESS[0], packet
        ),
    )
    fabric.add_upstream(TUNNEL_ADDRESS, AttachedUpstream(endpoint, upstream))
    hosts = [Host(f'entry-{number}', DOMAIN) for number in (1, 2, 3)]
    for number, host in enumerate(hosts):
        relay = (f'10.1.0.{number}', 6636)
        sender = MemoryPacketSender(fabric, host, relay)
        vm = OneUpstreamVm(sender)
        fabric.add_member(FabricMember(host, vm, relay[0], relay))
    fabric.refresh((DOMAIN,))
    yield SmallTier(network, fabric, callers, upstream, ledger, hosts)
