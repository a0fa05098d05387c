"""What callers get when more come than upstreams can serve.

Plays the loads of examples/loads against the decisions of a small fleet, with
callers who try again at once when they are refused.
"""

import functools
import logging
import pathlib

from hibiscushatch_tools import experiment
from hibiscushatch_tools.load_model import Load, RequestKind, read_load
from hibiscushatch_tools.load_outcome import (
    Outcome,
    PlayedRequest,
    mean_of,
    outcome_of,
    worth_of,
)
from hibiscushatch_tools.load_player import LoadPlayer

LOADS = pathlib.Path(__file__).parents[3] / 'examples' / 'loads'
SEEDS = (1, 2, 3)
# Of what the slots can do for callers, in the order of worth.
POSSIBLE_SHARE = 0.9
NEARLY_ALL = 0.997
# Half a second after an overload.
SOON_AGAIN = 0.97
# Against a fleet that admits everyone.
GAIN = 1.4
# A request or two more of a thousand.
CHANCE = 0.002
# A caller whose first try is refused is served by a second one.
REFUSED_MAX = 0.005
OVERLOADS = (
    'overload-step',
    'overload-ramp',
    'overload-threefold',
    'overload-wide-fleet',
    'overload-narrow-aim',
)
ADMIT_ALL = {'admission': {'flows_per_slot': 100}}


def load_named(name: str) -> Load:
    """Read a load of the examples."""
    return read_load(LOADS / f'{name}.json')


@functools.cache
def requests_of(
    name: str, seed: int, is_admitting_all: bool = False
) -> list[PlayedRequest]:
    """Play a load once."""
    changes = ADMIT_ALL if is_admitting_all else {}
    settings = experiment.settings_of(changes)
    player = LoadPlayer(load_named(name), settings, seed)
    # Most of the time would go into lines that nobody reads.
    logging.disable()
    try:
        return player.play()
    finally:
        logging.disable(logging.NOTSET)


def outcome(
    name: str,
    from_s: float | None = None,
    until_s: float | None = None,
    is_admitting_all: bool = False,
) -> Outcome:
    """Return what callers of some time got, averaged over the seeds."""
    judged_s = load_named(name).judged
    begin_s = judged_s[0] if from_s is None else from_s
    end_s = judged_s[1] if until_s is None else until_s
    return mean_of(
        [
            outcome_of(
                [
                    one
                    for one in requests_of(name, seed, is_admitting_all)
                    if begin_s <= one.came_at < end_s
                ]
            )
            for seed in SEEDS
        ]
    )


def possible_worth(
    load: Load, requests: list[PlayedRequest], length_s: float
) -> float:
    """Return what slots can do that work on what is worth most for its work."""
    left_s = length_s * load.slots * sum(one.upstreams for one in load.domains)
    earned = 0.0
    for kind in sorted(load.kinds, key=_work_per_worth):
        asked = sum(one.kind is kind for one in requests)
        served = min(asked, left_s / kind.work_s)
        left_s -= served * kind.work_s
        earned += served * kind.worth
    return earned / sum(one.kind.worth for one in requests)


def _work_per_worth(kind: RequestKind) -> float:
    return kind.work_s / kind.worth


def test_an_overload_costs_callers_little_more_than_what_is_missing() -> None:
    for name in OVERLOADS:
        load = load_named(name)
        surge = load.surges[0]
        for seed in SEEDS:
            asked = [
                one
                for one in requests_of(name, seed)
                if surge.from_s <= one.came_at < surge.until_s
            ]
            possible = possible_worth(load, asked, surge.until_s - surge.from_s)
            worth = worth_of(asked)
            assert worth >= POSSIBLE_SHARE * possible, (name, worth, possible)


def test_callers_after_an_overload_are_served_in_time() -> None:
    for name in OVERLOADS:
        until_s = load_named(name).surges[0].until_s
        after = outcome(name, until_s + 0.5, until_s + 2)
        assert after.worth >= SOON_AGAIN, (name, after)


def test_nobody_is_refused_while_slots_are_free() -> None:
    for name in ('busy', 'busy-in-one-domain'):
        served = outcome(name)
        assert served.worth >= NEARLY_ALL, (name, served)
        assert served.refused <= REFUSED_MAX, (name, served)


def test_the_backlog_after_a_loss_of_power_is_not_refused() -> None:
    for name in ('power-lost', 'power-lost-narrow-aim'):
        served = outcome(name)
        assert served.refused <= REFUSED_MAX, (name, served)
        admitted = outcome(name, is_admitting_all=True)
        assert served.failed - admitted.failed < CHANCE, (name, served)


def test_the_more_urgent_are_refused_last() -> None:
    for name in OVERLOADS:
        served = outcome(name)
        assert served.urgent_served >= 1 - served.failed / 3, (name, served)


def test_upstreams_that_hang_do_not_cause_refusals() -> None:
    served = outcome('mute')
    admitted = outcome('mute', is_admitting_all=True)
    assert served.refused <= 2 * REFUSED_MAX, served
    assert served.failed - admitted.failed < CHANCE, (served, admitted)


def test_overload_beside_upstreams_that_hang_is_refused_too() -> None:
    served = outcome('mute-and-overload')
    admitted = outcome('mute-and-overload', is_admitting_all=True)
    assert served.worth > GAIN * admitted.worth, (served, admitted)
