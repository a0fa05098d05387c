"""Manifests, upstreams and flows of the demo."""

import dataclasses
import ipaddress
import random
from collections.abc import Iterator

from hibiscushatch_core.manifest import PROTOCOL_NUMBERS
from hibiscushatch_core.manifest_document import (
    ManifestDocument,
    ServiceDocument,
)
from hibiscushatch_ops.callers import FlowPlan
from hibiscushatch_tools.loopback_net import LoopbackNet
from hibiscushatch_tools.upstream_standin import UpstreamPlan

UPSTREAMS_PER_SERVICE_MAX = 100
DOMAINS = ('pos-a', 'pos-b', 'pos-c')
UPSTREAM_CONNECTIONS = 2000
UPSTREAM_SLOTS = 3
COLD_ALLOWANCE = 60
WARM_UP_S = 3.0
# Short enough that the move of a bucket finishes within the run.
IDLE_TIMEOUT_S = 6.0
UPSTREAM_WORK_S = 0.004
SERVICE_PORT = 443
CALLER_HOSTS = 200
CALLER_PORT_FIRST = 10000
CALLERS_NET = ipaddress.IPv4Address('10.9.0.0')
LONG_FLOW_SHARE = 0.2
LONG_FLOW_REQUEST_INTERVAL_S = 2.0
SHORT_FLOW_REQUEST_INTERVAL_S = 0.4
REQUESTS_MIN = 2
REQUESTS_MAX = 6


@dataclasses.dataclass(frozen=True, slots=True)
class DemoService:
    """A service of the demo.

    Attributes:
        name: Name of the service.
        address: Address to which callers send packets.
        upstream_count: Number of upstreams in the first manifest.
        share: Fraction of all flows that are opened to the service.
        answer_segments: Payload segments of each answer.
    """

    name: str
    address: str
    upstream_count: int
    share: float
    answer_segments: int


SERVICES = (
    DemoService('booking', '10.0.0.1', 7, 0.7, 2),
    DemoService('documents', '10.0.0.2', 3, 0.3, 8),
)
GROWING_SERVICE = SERVICES[0]
DRAINED_UPSTREAM = 'booking-1'
ADDED_UPSTREAM = f'booking-{GROWING_SERVICE.upstream_count + 1}'


def first_manifest(net: LoopbackNet) -> ManifestDocument:
    """Build the manifest that the demo starts with."""
    upstream_counts = {
        service.name: service.upstream_count for service in SERVICES
    }
    return _build_manifest(net, 1, upstream_counts, drained='')


def second_manifest(net: LoopbackNet) -> ManifestDocument:
    """Build the manifest that drains one upstream and adds another."""
    upstream_counts = {
        service.name: service.upstream_count for service in SERVICES
    }
    upstream_counts[GROWING_SERVICE.name] += 1
    return _build_manifest(net, 2, upstream_counts, drained=DRAINED_UPSTREAM)


def upstream_plans(manifest: ManifestDocument) -> Iterator[UpstreamPlan]:
    """Plan the stand-ins of the upstreams in a manifest.

    Args:
        manifest: A manifest of the demo.

    Yields:
        One plan for each upstream.
    """
    for service_id, service in enumerate(manifest.services):
        target = _service_endpoint(service)
        for upstream in service.upstreams:
            yield UpstreamPlan(
                name=upstream.name,
                domain=upstream.domain,
                address=str(upstream.address),
                service=target,
                service_id=service_id,
                slots=upstream.slots,
                connections=upstream.connections,
                cold_allowance=upstream.cold_allowance,
                warm_up_s=upstream.warm_up_s,
                work_s=UPSTREAM_WORK_S,
            )


def flow_plans(
    manifest: ManifestDocument, count: int, randomness: random.Random
) -> Iterator[FlowPlan]:
    """Plan the flows of the callers.

    Args:
        manifest: A manifest of the demo.
        count: Number of flows.
        randomness: Chooses service, number of requests and request interval
            of each flow.

    Yields:
        One plan for each flow.
    """
    shares = [service.share for service in SERVICES]
    for flow_id in range(count):
        service_id = randomness.choices(range(len(SERVICES)), shares)[0]
        address, port, protocol = _service_endpoint(
            manifest.services[service_id]
        )
        is_long = randomness.random() < LONG_FLOW_SHARE
        port_offset, host = divmod(flow_id, CALLER_HOSTS)
        yield FlowPlan(
            flow_id=flow_id,
            service_name=SERVICES[service_id].name,
            service_id=service_id,
            service=(address, port),
            caller=(
                int(CALLERS_NET) + 1 + host,
                CALLER_PORT_FIRST + port_offset,
            ),
            protocol=protocol,
            requests=randomness.randint(REQUESTS_MIN, REQUESTS_MAX),
            gap_s=LONG_FLOW_REQUEST_INTERVAL_S
            if is_long
            else SHORT_FLOW_REQUEST_INTERVAL_S,
            request_segments=2,
            answer_segments=SERVICES[service_id].answer_segments,
        )


def _service_endpoint(service: ServiceDocument) -> tuple[int, int, int]:
    protocol = PROTOCOL_NUMBERS[service.protocol]
    return (int(service.address), service.port, protocol)


def _build_manifest(
    net: LoopbackNet,
    generation: int,
    upstream_counts: dict[str, int],
    drained: str,
) -> ManifestDocument:
    return ManifestDocument.model_validate(
        {
            'generation': generation,
            'failure_domains': [{'name': name} for name in DOMAINS],
            'services': [
                {
                    'name': service.name,
                    'address': service.address,
                    'port': SERVICE_PORT,
                    'idle_timeout_s': IDLE_TIMEOUT_S,
                    'upstreams': [
                        _upstream_fields(
                            net, service_index, service.name, index, drained
                        )
                        for index in range(upstream_counts[service.name])
                    ],
                }
                for service_index, service in enumerate(SERVICES)
            ],
        }
    )


def _upstream_fields(
    net: LoopbackNet, service_index: int, service: str, index: int, drained: str
) -> dict[str, object]:
    name = f'{service}-{index + 1}'
    return {
        'name': name,
        'domain': DOMAINS[index % len(DOMAINS)],
        'address': net.upstream_address(
            service_index * UPSTREAMS_PER_SERVICE_MAX + index
        ),
        'slots': UPSTREAM_SLOTS,
        'connections': UPSTREAM_CONNECTIONS,
        'cold_allowance': COLD_ALLOWANCE,
        'warm_up_s': WARM_UP_S,
        'state': 'draining' if name == drained else 'active',
    }
