"""What upstreams get when many entry VMs turn to them at the same moment.

The load: a fleet that starts at once, upstreams that are listed everywhere at
once, and upstreams that come back from an ejection everywhere at once.
"""

import collections
import random

from token_fixtures import LAST, SEED, FakeClock, VmHarness, config, upstream

VMS = 60
NAMES = tuple(f'u{index:02}' for index in range(20))
GAP_S = 0.002


class Herd:
    """Entry VMs that have the same upstreams."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self._randomness = random.Random(SEED)  # noqa: S311
        self._asked = 0
        self.vms = [VmHarness(self.clock, VMS, seed) for seed in range(VMS)]
        for vm in self.vms:
            vm.routing.apply_config(config(1), 1)
        for name in NAMES:
            self.list(name)

    def list(self, name: str) -> None:
        """Make an upstream known to all entry VMs."""
        for vm in self.vms:
            vm.registry.apply(name, upstream(name), 1)

    def ask(self, requests: int) -> collections.Counter[str]:
        """Play short requests at random entry VMs; count where they went."""
        arrivals: collections.Counter[str] = collections.Counter()
        for _ in range(requests):
            self.clock.now += GAP_S
            self._asked += 1
            flow = f'{self._asked % 10_000:04}'
            vm = self._randomness.choice(self.vms)
            name = vm.open(flow)
            vm.send(flow, upstream(name).token, LAST)
            arrivals[name] += 1
        return arrivals


def test_a_fleet_that_starts_spreads_its_first_flows() -> None:
    arrivals = Herd().ask(VMS)
    assert max(arrivals.values()) <= 9, arrivals


def test_a_new_upstream_gets_no_more_than_its_part_at_first() -> None:
    herd = Herd()
    herd.ask(4000)
    herd.list('new')
    arrivals = herd.ask(200)
    assert 2 <= arrivals['new'] <= 20, arrivals


def test_an_upstream_that_comes_back_gets_no_more_than_its_part() -> None:
    herd = Herd()
    herd.ask(4000)
    for vm in herd.vms:
        vm.outliers.take_over('u03', 2, 'publisher')
    assert herd.ask(1001)['u03'] == 0
    arrivals = herd.ask(200)
    assert 2 <= arrivals['u03'] <= 20, arrivals
