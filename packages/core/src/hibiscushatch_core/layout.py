"""The assignment of buckets to upstreams that a service begins with.

All entry VMs of a fleet must begin with the same one, so a VM that joins
takes over the layout of its peers instead of making its own.
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
    """The first assignment of a service's buckets.

    Attributes:
        generation: The manifest generation it was made from.
        upstreams: Name of the upstream of each bucket.
    """

    generation: int
    upstreams: tuple[str, ...]

    @property
    def digest(self) -> int:
        """A number that tells two layouts apart."""
        names = '/'.join(self.upstreams)
        return hash_text(f'{self.generation}/{names}')

    def states(self) -> list[BucketState]:
        """Build the first state of each bucket."""
        return [initial_state(self.generation, name) for name in self.upstreams]


def make_layout(manifest: Manifest, service: Service) -> Layout:
    """Assign the buckets of a service evenly to its upstreams.

    Args:
        manifest: The generation in force.
        service: One of its services.

    Returns:
        A layout over the upstreams that take new flows, or over all of them
        when none does.
    """
    rows = [
        UpstreamRow(
            one.name,
            one.domain,
            one.connections,
            is_eligible=manifest.accepts_new_flows(one.name),
        )
        for one in service.upstreams
    ]
    assigned = assign_initially(service.buckets, rows)
    if not assigned:
        everything = [
            dataclasses.replace(row, is_eligible=True) for row in rows
        ]
        assigned = assign_initially(service.buckets, everything)
    return Layout(manifest.generation, tuple(assigned))


def pack_indexes(indexes: list[int]) -> bytes:
    """Pack bucket assignments to two bytes each, big-endian."""
    packed = array.array('H', indexes)
    if sys.byteorder == 'little':
        packed.byteswap()
    return packed.tobytes()


def unpack_indexes(packed: bytes) -> list[int]:
    """Reverse ``pack_indexes``; raises ValueError on a torn text."""
    indexes = array.array('H')
    indexes.frombytes(packed)
    if sys.byteorder == 'little':
        indexes.byteswap()
    return indexes.tolist()
