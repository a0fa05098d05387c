"""What the parts of the packet path share."""

import random
from collections.abc import Callable

import msgspec

from hibiscushatch_core.counters import Counters
from hibiscushatch_token.ports import PacketCodec


class Environment(msgspec.Struct):
    """Collaborators that most parts of the packet path need.

    Attributes:
        codec: The format of packets.
        counters: Counts of this process.
        clock: Monotonic seconds.
        randomness: Breaks ties and spreads probes.
    """

    codec: PacketCodec
    counters: Counters
    clock: Callable[[], float]
    randomness: random.Random
