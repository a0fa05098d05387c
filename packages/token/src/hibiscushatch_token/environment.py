"""Collaborators that the components of the packet path share."""

import random
from collections.abc import Callable

import msgspec

from hibiscushatch_core.counters import Counters
from hibiscushatch_token.ports import PacketCodec


class Environment(msgspec.Struct):
    """Collaborators that most components of the packet path need.

    Attributes:
        codec: The packet format.
        counters: Counters of this process.
        clock: Returns monotonic time in seconds.
        randomness: Random numbers that break ties and spread probes.
    """

    codec: PacketCodec
    counters: Counters
    clock: Callable[[], float]
    randomness: random.Random
