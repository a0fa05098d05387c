"""Tests of hibiscushatch_tools.load_player and of what it is built from.

A player that simulates callers wrongly would make decisions look better or
worse than they are.
"""

import collections
import logging

import msgspec

from hibiscushatch_token.knowledge.fleet_load import FleetLoad
from hibiscushatch_tools import experiment
from hibiscushatch_tools.load_fleet import SERVICE
from hibiscushatch_tools.load_model import (
    Domain,
    Exchange,
    Fault,
    HeavyCaller,
    Load,
    RequestKind,
    Surge,
)
from hibiscushatch_tools.load_outcome import SimulatedRequest, group_by
from hibiscushatch_tools.load_player import LoadPlayer

PAGE = RequestKind('page', 3, 0.04, 0.4, 2, priority=2, requests_per_flow=4.5)
ORDER = RequestKind('order', 1, 0.04, 0.4, 2, priority=1)
DOMAINS = (
    Domain('a', entry_vms=2, upstreams=4, addresses=30),
    Domain('b', entry_vms=2, upstreams=4, addresses=30),
)
LOAD = Load(
    name='small',
    utilization=0.4,
    kinds=(PAGE, ORDER),
    domains=DOMAINS,
    slots=2,
    judged=(3, 7),
    queue=4,
    length_s=8,
)


def play(
    changes: dict[str, object] | None = None,
) -> tuple[LoadPlayer, list[SimulatedRequest]]:
    """Play the load with changed fields; return the judged requests too."""
    load = msgspec.structs.replace(LOAD, **(changes or {}))
    player = LoadPlayer(load, experiment.build_settings({}), seed=1)
    logging.disable()
    try:
        requests = player.play()
    finally:
        logging.disable(logging.NOTSET)
    begin_s, end_s = load.judged
    return player, [
        request for request in requests if begin_s <= request.came_at < end_s
    ]


def share_of(requests: list[SimulatedRequest], by: str, label: str) -> float:
    """Return the share of requests that are in a group."""
    return len(group_by(requests, by).get(label, [])) / len(requests)


def is_between(figure: float, least: float, most: float) -> bool:
    """Return whether a figure is within bounds."""
    return least <= figure <= most


def first_fleet_load(player: LoadPlayer) -> FleetLoad:
    """Return what the first entry VM knows of the fleet's load."""
    return player.fleet.vms[0].path.fleet_load


def test_most_requests_of_a_kept_open_kind_come_on_open_flows() -> None:
    _, requests = play()
    pages = [request for request in requests if request.kind is PAGE]
    assert is_between(share_of(pages, 'flow', 'open'), 0.7, 0.85)
    orders = [request for request in requests if request.kind is ORDER]
    assert share_of(orders, 'flow', 'open') == 0
    assert all(request.is_in_aim for request in requests)


def test_no_two_requests_share_a_flow_at_a_time() -> None:
    # A user whose flow is busy must open another one.
    _, requests = play({'domains': (Domain('a', 1, 8, addresses=2),)})
    by_flow = collections.defaultdict(list)
    for request in requests:
        by_flow[request.flow].append(request)
    shared = [flow for flow in by_flow.values() if len(flow) > 1]
    assert shared
    for flow in shared:
        for earlier, later in zip(flow, flow[1:], strict=False):
            assert earlier.settled_at <= later.came_at
    assert len({request.address for request in requests}) == 2


def test_rejected_requests_are_tried_again_on_new_flows() -> None:
    surge = Surge(3, 7, 6)
    _, requests = play({'surges': (surge,), 'queue': 1})
    opened = [request for request in requests if request.is_on_open_flow]
    repeated = [request for request in opened if request.attempt]
    assert repeated
    assert all(request.attempt <= 2 for request in requests)
    # Callers who gave up are not served later.
    assert all(
        request.settled_at - request.came_at <= request.kind.timeout_s + 0.01
        for request in requests
        if request.is_settled
    )


def test_entry_vms_get_the_sums_of_the_fleet_with_their_age() -> None:
    player, requests = play()
    known = first_fleet_load(player)
    assert known.covered == 4
    assert known.is_fresh
    assert is_between(known.age_s, 0.5, 0.71)
    demand_per_s = sum(load.demand_per_s for _, load in known.rows_of(SERVICE))
    assert is_between(demand_per_s / (len(requests) / 4), 0.6, 1.5)


def test_the_exchange_can_be_partial_or_left_out() -> None:
    half, _ = play({'exchange': Exchange(covered=0.5)})
    assert first_fleet_load(half).covered == 2
    without, _ = play({'exchange': Exchange(is_on=False)})
    assert not first_fleet_load(without).is_fresh
    ended, _ = play({'exchange': Exchange(until_s=4)})
    assert first_fleet_load(ended).covered == 4
    assert not first_fleet_load(ended).is_fresh


def test_demand_rises_for_one_domain_or_one_kind_alone() -> None:
    _, calm = play()
    by_domain = Surge(3, 7, 3, raised_domains=('b',))
    _, raised = play({'surges': (by_domain,)})
    assert is_between(share_of(raised, 'domain', 'b'), 0.65, 0.85)
    assert is_between(len(raised) / len(calm), 1.6, 2.4)
    by_kind = Surge(3, 7, 3, raised_kinds=('order',))
    _, raised = play({'surges': (by_kind,)})
    assert is_between(share_of(raised, 'kind', 'order'), 0.4, 0.6)


def test_a_heavy_caller_asks_as_often_as_stated() -> None:
    heavy = HeavyCaller('a', 'page', factor=15)
    _, requests = play({'heavy_callers': (heavy,)})
    groups = group_by(requests, 'caller')
    pages = [
        request
        for request in groups['other']
        if request.kind is PAGE and request.domain == 'a'
    ]
    ratio = len(groups['heavy']) / (len(pages) / DOMAINS[0].addresses)
    assert is_between(ratio, 10, 20)
    assert len({request.address for request in groups['heavy']}) == 1


def test_cold_upstreams_are_listed_when_they_are_added() -> None:
    fault = Fault('cold', 5, 10, upstreams=2, factor=1.6)
    player, _ = play({'faults': (fault,)})
    registry = player.fleet.vms[0].path.known.registry
    cold = [one.name for one in registry.listed() if registry.is_cold(one)]
    assert cold == ['a-0', 'b-0']
    assert len(list(registry.listed())) == 8
