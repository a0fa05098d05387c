"""Measures a manifest against its number of upstreams."""

import dataclasses
from collections.abc import Iterator, Sequence

from hibiscushatch_core.layout import make_layout, pack_indexes
from hibiscushatch_core.manifest import build_manifest
from hibiscushatch_core.manifest_blob import decode_manifest, encode_manifest
from hibiscushatch_core.messages import (
    LayoutMessage,
    PeerMessage,
    ServiceDigest,
    encode_message,
)
from hibiscushatch_tools.capacity_clock import MILLISECONDS_PER_S, cpu_s
from hibiscushatch_tools.capacity_fit import Point
from hibiscushatch_tools.capacity_fixtures import make_document
from hibiscushatch_tools.capacity_model import DESIGN, Slope

UPSTREAM_COUNTS = (500, 1000, 2000, 3700)
REPEATS = 3
COMMIT_ID = '0123456789abcdef0123456789abcdef'
BLOB = 'hibiscushatch_core.manifest_blob'


@dataclasses.dataclass(frozen=True, slots=True)
class ManifestCost:
    """What a manifest costs.

    Attributes:
        upstreams: Its upstreams.
        stored_bytes: Size of its stored form.
        encode_ms: Processor time to encode it.
        decode_ms: Processor time to decode and validate it.
        build_ms: Processor time to build the inner form.
        layout_ms: Processor time to lay out all buckets.
        table_bytes: Size of the messages with all layouts.
        digest_bytes: Size of the message that asks for the table.
    """

    upstreams: int
    stored_bytes: int
    encode_ms: float
    decode_ms: float
    build_ms: float
    layout_ms: float
    table_bytes: int
    digest_bytes: int


def measure_manifest(upstreams: int) -> ManifestCost:
    """Measure one manifest.

    Args:
        upstreams: How many upstreams it has.

    Returns:
        What it costs.
    """
    document = make_document(upstreams, min(DESIGN.services, upstreams))
    blob = encode_manifest(document, COMMIT_ID)
    manifest = build_manifest(document)
    layouts = [make_layout(manifest, one) for one in manifest.services]
    return ManifestCost(
        upstreams=upstreams,
        stored_bytes=len(blob),
        encode_ms=_ms(lambda: encode_manifest(document, COMMIT_ID)),
        decode_ms=_ms(lambda: decode_manifest(blob, 'capacity')),
        build_ms=_ms(lambda: build_manifest(document)),
        layout_ms=MILLISECONDS_PER_S
        * cpu_s(
            lambda: [make_layout(manifest, one) for one in manifest.services]
        ),
        table_bytes=sum(
            len(encode_message(_layout_message(service.name, layout.upstreams)))
            for service, layout in zip(manifest.services, layouts, strict=True)
        ),
        digest_bytes=len(
            encode_message(
                PeerMessage(
                    digests=tuple(
                        ServiceDigest(s=service.name, d=layout.digest)
                        for service, layout in zip(
                            manifest.services, layouts, strict=True
                        )
                    )
                )
            )
        ),
    )


def _ms(work: object) -> float:
    return cpu_s(work, REPEATS) * MILLISECONDS_PER_S


def _layout_message(service: str, upstreams: Sequence[str]) -> PeerMessage:
    names = sorted(set(upstreams))
    positions = {name: position for position, name in enumerate(names)}
    layout = LayoutMessage.model_construct(
        s=service,
        g=1,
        upstreams=tuple(names),
        indexes=pack_indexes([positions[one] for one in upstreams]),
    )
    return PeerMessage(layouts=(layout,))


def manifest_slopes(costs: Sequence[ManifestCost]) -> Iterator[Slope]:
    """Turn the costs of manifests into slopes.

    Args:
        costs: Of manifests of several sizes.

    Yields:
        Each cost against the number of upstreams.
    """
    columns = (
        ('manifest_bytes', 'stored bytes', 'stored_bytes', BLOB),
        ('manifest_encode', 'encode, ms', 'encode_ms', BLOB),
        ('manifest_decode', 'decode and validate, ms', 'decode_ms', BLOB),
        (
            'manifest_build',
            'build the inner form, ms',
            'build_ms',
            'hibiscushatch_core.manifest',
        ),
        (
            'layout_ms',
            'lay out all buckets, ms',
            'layout_ms',
            'hibiscushatch_core.layout',
        ),
        (
            'table_bytes',
            'bytes of all layouts for a joining VM',
            'table_bytes',
            'hibiscushatch_node.peer_outflow',
        ),
    )
    for key, figure, column, module in columns:
        yield Slope(
            key,
            figure,
            'upstreams',
            module,
            [Point(one.upstreams, getattr(one, column)) for one in costs],
            DESIGN.upstreams,
        )
