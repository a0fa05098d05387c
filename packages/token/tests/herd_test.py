"""Tests that many entry VMs do not all choose the same upstream at once.

Guards against such a herd of flows in three cases: all entry VMs start at once,
all learn of a new upstream at once, and an ejection ends at all of them at the
same moment.
"""

import collections
import random

from token_fixtures import (
    LAST,
    SEED,
    FakeClock,
    VmHarness,
    at,
    config,
    upstream,
)

VMS = 60
UPSTREAMS = tuple(f'u{index:02}' for index in range(20))
REQUEST_INTERVAL_S = 0.002


class Fleet:
    """Entry VMs with the same upstreams."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self._randomness = random.Random(SEED)  # noqa: S311
        self._request_count = 0
        self.vms = [VmHarness(self.clock, VMS, seed) for seed in range(VMS)]
        for vm in self.vms:
            vm.routing.apply_config(config(1), at(1))
        for name in UPSTREAMS:
            self.list(name)

    def list(self, name: str) -> None:
        """Make an upstream known to all entry VMs."""
        for vm in self.vms:
            vm.registry.apply(name, upstream(name), at(1))

    def send_requests(self, requests: int) -> collections.Counter[str]:
        """Send short requests through random entry VMs; count upstreams."""
        arrivals: collections.Counter[str] = collections.Counter()
        for _ in range(requests):
            self.clock.now += REQUEST_INTERVAL_S
            self._request_count += 1
            flow = f'{self._request_count % 10_000:04}'
            vm = self._randomness.choice(self.vms)
            name = vm.open(flow)
            vm.send(flow, upstream(name).token, LAST)
            arrivals[name] += 1
        return arrivals


def test_a_fleet_that_starts_spreads_its_first_flows() -> None:
    arrivals = Fleet().send_requests(VMS)
    assert max(arrivals.values()) <= 9, arrivals


def test_a_new_upstream_gets_no_more_than_its_share_at_first() -> None:
    fleet = Fleet()
    fleet.send_requests(4000)
    fleet.list('new')
    arrivals = fleet.send_requests(200)
    assert 2 <= arrivals['new'] <= 20, arrivals


def test_an_upstream_after_an_ejection_gets_no_more_than_its_share() -> None:
    fleet = Fleet()
    fleet.send_requests(4000)
    for vm in fleet.vms:
        vm.outliers.adopt_ejection('u03', 2, 'publisher')
    assert fleet.send_requests(1001)['u03'] == 0
    arrivals = fleet.send_requests(200)
    assert 2 <= arrivals['u03'] <= 20, arrivals
