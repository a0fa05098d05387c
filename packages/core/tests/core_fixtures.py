"""Packets and manifests for the tests of the core package."""

import dpkt

from hibiscushatch_core.manifest_document import ManifestDocument

CALLER = bytes((10, 9, 0, 1))
SERVICE = bytes((10, 0, 0, 1))


def tcp_packet(flags: int, payload: bytes = b'') -> bytes:
    """Build an inner TCP packet from CALLER to SERVICE."""
    segment = dpkt.tcp.TCP(
        sport=40000, dport=443, seq=100, ack=200, flags=flags, data=payload
    )
    packet = dpkt.ip.IP(src=CALLER, dst=SERVICE, p=6, data=segment)
    packet.len = len(packet)
    return bytes(packet)


def upstream_fields(index: int, domain: str) -> dict[str, object]:
    """Build the fields of a valid upstream."""
    return {
        'name': f'server-{index}',
        'domain': domain,
        'address': f'127.2.0.{index}',
        'connections': 100,
        'cold_allowance': 10,
    }


def manifest_fields() -> dict[str, object]:
    """Build the fields of a small valid manifest."""
    return {
        'generation': 1,
        'failure_domains': [{'name': 'pos-a'}, {'name': 'pos-b'}],
        'services': [
            {
                'name': 'booking',
                'address': '10.0.0.1',
                'port': 443,
                'upstreams': [
                    upstream_fields(1, 'pos-a'),
                    upstream_fields(2, 'pos-b'),
                ],
            }
        ],
    }


def manifest_document() -> ManifestDocument:
    """Build a small valid manifest."""
    return ManifestDocument.model_validate(manifest_fields())
