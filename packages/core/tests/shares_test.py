"""Tests of hibiscushatch_core.shares and share_division."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies

from hibiscushatch_core.shares import (
    TURN_S,
    ClaimMessage,
    ShareLedger,
)

UPSTREAM = 'server-1'
HOLD_S = 300.0
NAMES = ('vm-a', 'vm-b', 'vm-c', 'vm-d')
REPEATABLE = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300, database=None
)


@dataclasses.dataclass(frozen=True, slots=True)
class Flight:
    """A message under way."""

    target: str
    message: ClaimMessage


class Fleet:
    """Ledgers joined by a network that delays, loses and reorders."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.now = 0.0
        self.incarnation = 0
        self.flights: list[Flight] = []
        self.cut: set[frozenset[str]] = set()
        self.ledgers: dict[str, ShareLedger] = {}
        for name in NAMES:
            self.start(name)

    @property
    def granted(self) -> int:
        """Sum of what all running entry VMs may own."""
        return sum(one.granted(UPSTREAM) for one in self.ledgers.values())

    @property
    def opened(self) -> int:
        """Sum of all open flows."""
        return sum(one.open_flows(UPSTREAM) for one in self.ledgers.values())

    def start(self, name: str) -> None:
        """Start an entry VM anew; it reads the list of running ones."""
        self.incarnation += 1
        ledger = ShareLedger(name, self.incarnation, HOLD_S)
        for member in self.ledgers:
            ledger.join(member, self.now)
        self.ledgers[name] = ledger
        ledger.set_limit(UPSTREAM, self.limit)
        ledger.set_weights(UPSTREAM, dict.fromkeys(NAMES, 1))
        ledger.activate()

    def stop(self, name: str) -> None:
        """Kill an entry VM; the others have yet to learn that."""
        self.ledgers.pop(name, None)

    def learn_end(self, name: str, dead: str) -> None:
        """Let one entry VM learn that another has ended."""
        if dead not in self.ledgers and name in self.ledgers:
            self.ledgers[name].forget(dead)

    def send(self, name: str, target: str) -> None:
        """Put the message that is due in flight."""
        ledger = self.ledgers.get(name)
        is_cut = frozenset((name, target)) in self.cut
        if ledger is None or is_cut or target not in ledger.member_names:
            return
        if ledger.has_news_for(target):
            self.flights.append(Flight(target, ledger.message_for(target)))

    def deliver(self, index: int) -> None:
        """Deliver one message under way, maybe not the oldest."""
        if self.flights:
            flight = self.flights.pop(index % len(self.flights))
            if flight.target in self.ledgers:
                ledger = self.ledgers[flight.target]
                ledger.receive(flight.message, self.now)

    def lose(self, index: int) -> None:
        """Lose one message under way."""
        if self.flights:
            self.flights.pop(index % len(self.flights))

    def weigh(self, name: str, weights: tuple[int, ...]) -> None:
        """Let one entry VM see another ownership of buckets."""
        if name in self.ledgers:
            by_name = dict(zip(NAMES, weights, strict=True))
            self.ledgers[name].set_weights(UPSTREAM, by_name)

    def open(self, name: str) -> None:
        """Open a flow where the ledger allows it."""
        if name in self.ledgers and self.ledgers[name].may_open(UPSTREAM):
            self.ledgers[name].opened(UPSTREAM)

    def close(self, name: str) -> None:
        """End a flow."""
        if name in self.ledgers:
            self.ledgers[name].closed(UPSTREAM)

    def refresh(self, name: str) -> None:
        """Let one entry VM work on its claims."""
        if name in self.ledgers:
            self.ledgers[name].refresh(self.now)

    def cut_off(self, name: str, target: str) -> None:
        """Separate two entry VMs, or join them again."""
        self.cut ^= {frozenset((name, target))}

    def pass_time(self) -> None:
        """Move to the next turn."""
        self.now += TURN_S

    def settle(self, rounds: int = 12) -> None:
        """Exchange messages in order for some rounds."""
        for _ in range(rounds):
            for name in self.ledgers:
                self.refresh(name)
                for target in self.ledgers:
                    self.send(name, target)
            while self.flights:
                self.deliver(0)


one_name = strategies.sampled_from(NAMES)
number = strategies.integers(0, 7)
steps = strategies.one_of(
    strategies.tuples(strategies.just('refresh'), one_name),
    strategies.tuples(strategies.just('send'), one_name, one_name),
    strategies.tuples(strategies.just('deliver'), number),
    strategies.tuples(strategies.just('lose'), number),
    strategies.tuples(strategies.just('open'), one_name),
    strategies.tuples(strategies.just('close'), one_name),
    strategies.tuples(
        strategies.just('weigh'), one_name, strategies.tuples(*[number] * 4)
    ),
    strategies.tuples(strategies.just('cut_off'), one_name, one_name),
    strategies.tuples(strategies.just('stop'), one_name),
    strategies.tuples(strategies.just('start'), one_name),
    strategies.tuples(strategies.just('learn_end'), one_name, one_name),
    strategies.tuples(strategies.just('pass_time')),
)


@REPEATABLE
@hypothesis.given(
    limit=strategies.integers(0, 12),
    settled=strategies.booleans(),
    orders=strategies.lists(steps, max_size=120),
)
def test_claims_stay_under_the_limit_in_any_order_of_faults(
    limit: int, settled: bool, orders: list[tuple]
) -> None:
    fleet = Fleet(limit)
    if settled:
        fleet.settle()
        assert fleet.granted == limit
    for name, *arguments in orders:
        getattr(fleet, name)(*arguments)
        assert fleet.granted <= limit
        assert fleet.opened <= limit


def test_claims_stay_under_the_limit_in_long_random_runs() -> None:
    for seed in range(20):
        source = random.Random(seed)
        fleet = Fleet(limit=source.choice((1, 3, 7, 40)))
        for _ in range(3000):
            step = source.choices(
                (
                    lambda: fleet.refresh(source.choice(NAMES)),
                    lambda: fleet.send(*source.sample(NAMES, 2)),
                    lambda: fleet.deliver(source.randrange(8)),
                    lambda: fleet.open(source.choice(NAMES)),
                    lambda: fleet.close(source.choice(NAMES)),
                    lambda: fleet.lose(source.randrange(8)),
                    lambda: fleet.cut_off(*source.sample(NAMES, 2)),
                    lambda: fleet.weigh(
                        source.choice(NAMES),
                        tuple(source.randrange(5) for _ in NAMES),
                    ),
                    lambda: fleet.stop(source.choice(NAMES)),
                    lambda: fleet.learn_end(*source.sample(NAMES, 2)),
                    lambda: fleet.start(source.choice(NAMES)),
                    fleet.pass_time,
                ),
                weights=(20, 30, 30, 8, 4, 3, 1, 1, 0.2, 2, 0.3, 1),
            )[0]
            step()
            assert fleet.granted <= fleet.limit, seed
            assert fleet.opened <= fleet.limit, seed
