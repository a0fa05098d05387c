"""Tests of the order of a backlog under load, in virtual time.

Guards against a backlog after a start or a freeze that costs more callers their
latency target than it has to, or makes entry VMs refuse callers.
"""

import dataclasses
import logging
import random

from hibiscushatch_tools import experiment
from hibiscushatch_tools.load_demand import Demand
from hibiscushatch_tools.load_model import Domain, Fault, Load, RequestKind
from hibiscushatch_tools.load_outcome import SimulatedRequest
from hibiscushatch_tools.load_player import LoadPlayer

PAGE = RequestKind('page', 3.5, 0.055, 0.43, 2.1, 2, requests_per_flow=4.5)
ORDER = RequestKind('order', 1, 0.072, 0.43, 2.7, priority=1, worth=2)
SEEDS = range(6)
# When entry VMs are away, and the end of the time that counts after it.
FROM_S = 3.0
UNTIL_S = 4.4
JUDGED_UNTIL_S = 6.4
# The requests at a sixth of the entry VMs in 1.4 of 3.4 s may be late.
IN_AIM_LEAST = 0.93
POWER = Fault('power', FROM_S, UNTIL_S, waiting_s=0.4)
FREEZE = Fault('frozen', FROM_S, UNTIL_S)


@dataclasses.dataclass
class Figures:
    """What callers got, over all seeds."""

    came: int = 0
    in_aim: int = 0
    not_served: int = 0
    refused: int = 0

    def add(self, requests: list[SimulatedRequest]) -> None:
        """Add the requests of one seed."""
        self.came += len(requests)
        self.in_aim += sum(request.is_in_aim for request in requests)
        self.not_served += sum(not request.is_served for request in requests)
        self.refused += sum(request.refusals for request in requests)


def build_load(fault: Fault, utilization: float) -> Load:
    """Build a load of 12 entry VMs with one fault."""
    return Load(
        name='backlog',
        utilization=utilization,
        kinds=(PAGE, ORDER),
        domains=(
            Domain('a', entry_vms=6, upstreams=6, addresses=60),
            Domain('b', entry_vms=6, upstreams=6, addresses=60),
        ),
        slots=2,
        queue=8,
        judged=(FROM_S, JUDGED_UNTIL_S),
        length_s=9,
        faults=(fault,),
    )


def play(
    fault: Fault, backlog: dict[str, object], utilization: float = 0.41
) -> Figures:
    """Play a load and count what callers got who came in the judged time."""
    settings = experiment.build_settings({'backlog': backlog})
    load = build_load(fault, utilization)
    figures = Figures()
    logging.disable()
    try:
        for seed in SEEDS:
            player = LoadPlayer(load, settings, seed)
            # The same callers come whatever is decided.
            player._demand = Demand(load, random.Random(seed))
            requests = player.play()
            figures.add(
                [
                    request
                    for request in requests
                    if FROM_S <= request.came_at < JUDGED_UNTIL_S
                ]
            )
    finally:
        logging.disable(logging.NOTSET)
    return figures


def test_after_a_start_more_callers_are_in_time_in_order_and_none_refused() -> (
    None
):
    before = play(POWER, {'is_ordered': False, 'hold_share': 0})
    after = play(POWER, {})
    assert after.came == before.came
    assert after.in_aim > before.in_aim
    assert after.not_served <= before.not_served
    assert after.refused == 0


# After a freeze, unlike after a start, flows can be refused in an overload.
def test_after_a_freeze_of_all_entry_vms_fewer_callers_are_refused() -> None:
    before = play(FREEZE, {'is_ordered': False, 'hold_share': 0})
    after = play(FREEZE, {})
    assert after.came == before.came
    assert after.in_aim > before.in_aim
    assert after.not_served <= before.not_served
    assert after.refused <= before.refused


# A freeze of few entry VMs leaves the others as they were.
def test_a_freeze_of_a_sixth_of_the_entry_vms_delays_only_their_callers() -> (
    None
):
    figures = play(Fault('frozen', FROM_S, UNTIL_S, share=1 / 6), {})
    in_aim = figures.in_aim / figures.came
    assert in_aim > IN_AIM_LEAST
    assert not figures.not_served
