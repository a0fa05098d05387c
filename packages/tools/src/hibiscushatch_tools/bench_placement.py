"""How evenly ways of placing flows load upstreams, at the real sizes.

Only hashes are computed and no packet is sent, so that the noise of a few
hundred flows in a scenario does not hide what the way itself does.
"""

import collections
import dataclasses
import random
from collections.abc import Callable, Iterator

from hibiscushatch_core.move_plan import UpstreamRow, assign_initially
from hibiscushatch_tools.baselines import (
    choose_by_modulo,
    choose_by_rendezvous,
)

BUCKETS = 256
FLOWS_PER_UPSTREAM = 2000
UPSTREAM_COUNTS = (7, 3)
SEEDS = tuple(range(10))
SERVICE_PORT = 443
FLOW_KEY_BITS = 48
CONNECTIONS = 10_000
IMBALANCE_TARGET = 1.10

Chooser = Callable[[int], str]


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRow:
    """How even one way is over all seeds.

    Attributes:
        way: ``buckets``, ``modulo`` or ``rendezvous``.
        upstreams: Number of warm upstreams.
        flows: Open flows on all of them.
        imbalance_mean: Largest over mean flows of an upstream, averaged.
        imbalance_max: The same in the worst seed.
        target: The imbalance that is promised.
    """

    way: str
    upstreams: int
    flows: int
    imbalance_mean: float
    imbalance_max: float
    target: float


def measure_placement() -> Iterator[PlacementRow]:
    """Place flows by each way.

    Yields:
        One row a way and number of upstreams.
    """
    for count in UPSTREAM_COUNTS:
        names = [f'booking-{number + 1}' for number in range(count)]
        for way, choose in _make_choosers(names).items():
            yield _measure(way, choose, count)


def _make_choosers(names: list[str]) -> dict[str, Chooser]:
    rows = [UpstreamRow(name, 'pos-a', CONNECTIONS) for name in names]
    assigned = assign_initially(BUCKETS, rows)
    return {
        'buckets': lambda key: choose_by_modulo(assigned, key, SERVICE_PORT),
        'modulo': lambda key: choose_by_modulo(names, key, SERVICE_PORT),
        'rendezvous': lambda key: choose_by_rendezvous(names, key),
    }


def _measure(way: str, choose: Chooser, count: int) -> PlacementRow:
    flows = FLOWS_PER_UPSTREAM * count
    imbalances = [_place_all(choose, count, seed) for seed in SEEDS]
    return PlacementRow(
        way=way,
        upstreams=count,
        flows=flows,
        imbalance_mean=round(sum(imbalances) / len(imbalances), 3),
        imbalance_max=round(max(imbalances), 3),
        target=IMBALANCE_TARGET,
    )


def _place_all(choose: Chooser, count: int, seed: int) -> float:
    randomness = random.Random(seed)
    placed = collections.Counter(
        choose(randomness.getrandbits(FLOW_KEY_BITS))
        for _ in range(FLOWS_PER_UPSTREAM * count)
    )
    return max(placed.values()) / FLOWS_PER_UPSTREAM
