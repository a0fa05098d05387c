"""Plays a load against the decision code of entry VMs, in virtual time.

The load is that of one service. Callers, upstreams and what entry VMs tell each
other are simulated; the platform, the fabric and the network are not.
"""

import functools
import random

from hibiscushatch_token.settings import TokenNodeSettings
from hibiscushatch_tools.load_callers import Callers, draw_user
from hibiscushatch_tools.load_demand import Demand
from hibiscushatch_tools.load_events import EventScheduler
from hibiscushatch_tools.load_fleet import SimulatedExchange, SimulatedFleet
from hibiscushatch_tools.load_model import HeavyCaller, Load, RequestKind
from hibiscushatch_tools.load_outcome import SimulatedRequest
from hibiscushatch_tools.load_serving import FaultyUpstreams

# Interval at which an entry VM checks for unanswered packets and requests.
POLL_INTERVAL_S = 0.05
# Users draw from a sequence of their own, so that a load has the same requests
# whether flows are kept open or not.
_USER_SEED_OFFSET = 1_000_000


class LoadPlayer:
    """Plays one load once.

    Args:
        load: The load.
        settings: Settings that all entry VMs share.
        seed: Seed of the random choices of callers and entry VMs.
    """

    def __init__(
        self, load: Load, settings: TokenNodeSettings, seed: int
    ) -> None:
        self.load = load
        self.scheduler = EventScheduler()
        self.requests: list[SimulatedRequest] = []
        self.fleet = SimulatedFleet(load, settings, self.scheduler, seed)
        randomness = random.Random(seed)  # noqa: S311
        user_seed = seed + _USER_SEED_OFFSET
        self._user_randomness = random.Random(user_seed)  # noqa: S311
        self._demand = Demand(load, randomness)
        self._heavy_demand = Demand(load, self._user_randomness)
        self._callers = Callers(
            load,
            self.scheduler,
            self.fleet,
            FaultyUpstreams(load, self.scheduler, randomness),
            randomness,
            self._user_randomness,
        )
        self._domain_numbers = {
            domain.name: number for number, domain in enumerate(load.domains)
        }

    def play(self) -> list[SimulatedRequest]:
        """Play the load and return its requests."""
        self._schedule_faults()
        self.scheduler.call_repeatedly(POLL_INTERVAL_S, self._poll)
        SimulatedExchange(self.load, self.fleet, self.scheduler).start()
        for number, heavy in enumerate(self.load.heavy_callers):
            self.scheduler.call_later(
                heavy.from_s,
                functools.partial(self._send_next_heavy, heavy, number),
            )
        self._send_next_request()
        self.scheduler.run(self.load.length_s)
        return self.requests

    def _schedule_faults(self) -> None:
        for fault in self.load.faults:
            if fault.kind == 'power':
                self.scheduler.call_later(fault.from_s, self.fleet.stop)
                self.scheduler.call_later(
                    fault.until_s - fault.waiting_s, self.fleet.start_frozen
                )
                self.scheduler.call_later(fault.until_s, self._thaw)
            elif fault.kind == 'frozen':
                self.scheduler.call_later(
                    fault.from_s,
                    functools.partial(self.fleet.freeze, fault.share),
                )
                self.scheduler.call_later(fault.until_s, self._thaw)
            elif fault.kind == 'cold':
                self.scheduler.call_later(
                    fault.from_s, self.fleet.add_cold_upstreams
                )

    def _thaw(self) -> None:
        self._callers.deliver(self.fleet.thaw())

    def _send_next_request(self) -> None:
        now = self.scheduler.now
        interval_s = self._demand.draw_interval_s(now)
        self.scheduler.call_later(interval_s, self._send_next_request)
        kind = self._demand.draw_kind(now)
        domain = self._demand.draw_domain(now)
        address = self._user_randomness.randrange(domain.addresses)
        self._send(kind, domain.name, address, self.load.users_per_address)

    def _send_next_heavy(self, heavy: HeavyCaller, number: int) -> None:
        now = self.scheduler.now
        interval_s = self._heavy_demand.draw_heavy_interval_s(heavy, now)
        self.scheduler.call_later(
            interval_s, functools.partial(self._send_next_heavy, heavy, number)
        )
        addresses = max(domain.addresses for domain in self.load.domains)
        users = round(self.load.users_per_address * heavy.factor)
        kind = self._demand.kind_of(heavy)
        self._send(kind, heavy.domain, addresses + number, users)
        self.requests[-1].is_heavy = True

    def _send(
        self, kind: RequestKind, domain: str, address: int, users: int
    ) -> None:
        request = SimulatedRequest(
            len(self.requests),
            kind,
            domain,
            self.scheduler.now,
            address=bytes((self._domain_numbers[domain], 0))
            + address.to_bytes(2, 'big'),
            user=draw_user(kind, users, self._user_randomness),
        )
        self.requests.append(request)
        self._callers.send(request)

    def _poll(self) -> None:
        self.fleet.poll()
        for vm in self.fleet.vms:
            self._callers.deliver(vm.take_sent())
