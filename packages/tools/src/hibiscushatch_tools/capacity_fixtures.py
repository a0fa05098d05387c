"""Manifests and records of a given size, as measurements need them."""

import ipaddress
from collections.abc import Sequence

from hibiscushatch_core.hashing import hash_text
from hibiscushatch_core.manifest_document import ManifestDocument
from hibiscushatch_node.membership import Member, MemberState
from hibiscushatch_tools.capacity_model import DESIGN

FIRST_UPSTREAM = ipaddress.IPv4Address('10.64.0.1')
FIRST_SERVICE = ipaddress.IPv4Address('198.18.0.1')
CONNECTIONS_A_UPSTREAM = DESIGN.open_flows // DESIGN.upstreams
ADDRESS_SPREAD = 512
UPSTREAM_NAME_LENGTH = 17
CONTROL_PORT = 6637
RELAY_PORT = 6636


def domain_name(number: int) -> str:
    """Name the failure domain of the entry VM or upstream of a number."""
    return f'domain-{number % DESIGN.domains}'


def make_document(
    upstreams: int, services: int, generation: int = 1
) -> ManifestDocument:
    """Build a manifest of a given size.

    Args:
        upstreams: Upstreams of all services; each has at least one.
        services: Number of services.
        generation: Its generation.

    Returns:
        A valid manifest.
    """
    numbers = range(max(upstreams, services))
    return ManifestDocument.model_validate(
        {
            'generation': generation,
            'failure_domains': [
                _domain_fields(domain) for domain in range(DESIGN.domains)
            ],
            'services': [
                _service_fields(service, numbers[service::services])
                for service in range(services)
            ],
        }
    )


def _domain_fields(number: int) -> dict[str, object]:
    return {
        'name': domain_name(number),
        'region': f'region-{number * 2 // DESIGN.domains}',
    }


def _service_fields(number: int, upstreams: Sequence[int]) -> dict[str, object]:
    return {
        'name': f'service-{number}',
        'address': str(FIRST_SERVICE + number),
        'port': 443,
        'buckets': DESIGN.buckets,
        'upstreams': [_upstream_fields(one) for one in upstreams],
    }


def upstream_name(number: int) -> str:
    """Name an upstream so that names compress no better than real ones."""
    return f'upstream-{hash_text(str(number)):016x}'[:UPSTREAM_NAME_LENGTH]


def _upstream_fields(number: int) -> dict[str, object]:
    spread = hash_text(f'spread {number}') % ADDRESS_SPREAD
    return {
        'name': upstream_name(number),
        'domain': domain_name(number // 7 + number),
        'address': str(FIRST_UPSTREAM + number * ADDRESS_SPREAD + spread),
        'slots': 3,
        'connections': CONNECTIONS_A_UPSTREAM,
        'cold_allowance': CONNECTIONS_A_UPSTREAM // 10,
    }


def make_member(number: int, hears: int) -> Member:
    """Build the record of an entry VM that hears the next ones.

    Args:
        number: Which entry VM.
        hears: How many it hears.

    Returns:
        A record in state serving.
    """
    address = str(ipaddress.IPv4Address('10.1.0.1') + number)
    return Member(
        name=vm_name(number),
        domain=domain_name(number),
        incarnation=1,
        sequence=1,
        state=MemberState.SERVING,
        control=(address, CONTROL_PORT),
        relay=(address, RELAY_PORT),
        generation=1,
        hears=frozenset(vm_name(number + step) for step in range(1, hears + 1)),
    )


def vm_name(number: int) -> str:
    """Name the entry VM of a number."""
    return f'{domain_name(number)}-vm-{number}'
