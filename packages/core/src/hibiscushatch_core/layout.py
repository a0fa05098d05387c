"""The initial assignment of a service's buckets to its upstreams.

All entry VMs of a fleet must start from the same layout, so a VM that joins
adopts the layout of its peers instead of making its own.
"""

import array
import dataclasses
import sys

from hibiscushatch_core.buckets import BucketState, initial_state
from hibiscushatch_core.hashing import hash_text
from hibiscushatch_core.manifest import Manifest, Service
from hibiscushatch_core.move_plan import UpstreamRow, assign_initially


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """The initial assignment of a service's buckets.

    Attributes:
        generation: The manifest generation that it was made from.
        upstreams: Names of the upstreams, by bucket index.
    """

    generation: int
    upstreams: tuple[str, ...]

    @property
    def digest(self) -> int:
        """A hash of the layout; equal layouts have equal digests."""
        names = '/'.join(self.upstreams)
        return hash_text(f'{self.generation}/{names}')

    def states(self) -> list[BucketState]:
        """Build the initial state of each bucket, in index order."""
        return [initial_state(self.generation, name) for name in self.upstreams]


def make_layout(manifest: Manifest, service: Service) -> Layout:
    """Assign the buckets of a service evenly to its upstreams.

    Args:
        manifest: The manifest in force.
        service: One of its services.

    Returns:
        A layout over the upstreams that accept new flows, or over all
        upstreams when none does.
    """
    rows = [
        UpstreamRow(
            upstream.name,
            upstream.domain,
            upstream.connections,
            is_eligible=manifest.accepts_new_flows(upstream.name),
        )
        for upstream in service.upstreams
    ]
    assigned = assign_initially(service.buckets, rows)
    if not assigned:
        all_eligible = [
            dataclasses.replace(row, is_eligible=True) for row in rows
        ]
        assigned = assign_initially(service.buckets, all_eligible)
    return Layout(manifest.generation, tuple(assigned))


def pack_indexes(indexes: list[int]) -> bytes:
    """Pack upstream indexes into two bytes each, big-endian."""
    packed = array.array('H', indexes)
    if sys.byteorder == 'little':
        packed.byteswap()
    return packed.tobytes()


def unpack_indexes(packed: bytes) -> list[int]:
    """Reverse ``pack_indexes``; raises ValueError for an odd byte count."""
    indexes = array.array('H')
    indexes.frombytes(packed)
    if sys.byteorder == 'little':
        indexes.byteswap()
    return indexes.tolist()
