"""Tests of hibiscushatch_core.shares and share_division."""

import dataclasses
import itertools
import random

from hypothesis import given, settings, strategies

from hibiscushatch_core.shares import (
    ROTATION_INTERVAL_S,
    ClaimMessage,
    ShareLedger,
)

UPSTREAM = 'server-1'
SECONDS = itertools.count()
HOLD_S = 300.0
NAMES = ('vm-a', 'vm-b', 'vm-c', 'vm-d')
REPEATABLE = settings(
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
            ledger.add_member(member, self.now)
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
            self.ledgers[name].remove_member(dead)

    def send(self, name: str, target: str) -> None:
        """Put the message that is due in flight."""
        ledger = self.ledgers.get(name)
        is_cut = frozenset((name, target)) in self.cut
        if ledger is None or is_cut or target not in ledger.member_names:
            return
        if ledger.is_message_due(target):
            self.flights.append(Flight(target, ledger.build_message(target)))

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

    def limit_to(self, name: str, limit: int) -> None:
        """Let one entry VM see a limit that is not above the true one."""
        if name in self.ledgers:
            self.ledgers[name].set_limit(UPSTREAM, min(limit, self.limit))

    def open(self, name: str) -> None:
        """Open a flow where the ledger allows it."""
        if name in self.ledgers and self.ledgers[name].may_open(UPSTREAM):
            self.ledgers[name].record_opened(UPSTREAM)

    def close(self, name: str) -> None:
        """End a flow."""
        if name in self.ledgers:
            self.ledgers[name].record_closed(UPSTREAM)

    def refresh(self, name: str) -> None:
        """Let one entry VM work on its claims."""
        if name in self.ledgers:
            self.ledgers[name].refresh(self.now)

    def cut_off(self, name: str, target: str) -> None:
        """Separate two entry VMs, or join them again."""
        self.cut ^= {frozenset((name, target))}

    def join_again(self) -> None:
        """End all partitions."""
        self.cut.clear()

    def pass_time(self) -> None:
        """Move to the next turn."""
        self.now += ROTATION_INTERVAL_S

    def settle(self, rounds: int = 12) -> None:
        """Exchange messages in order for some rounds."""
        self.pass_time()
        for _ in range(rounds):
            for name in self.ledgers:
                self.refresh(name)
                for target in self.ledgers:
                    self.send(name, target)
            while self.flights:
                self.deliver(0)

    def heal(self) -> None:
        """End all partitions, let all agree on weights and settle."""
        self.cut.clear()
        for name in NAMES:
            for dead in NAMES:
                self.learn_end(name, dead)
        for name in NAMES:
            if name not in self.ledgers:
                self.start(name)
            self.weigh(name, (1, 2, 3, 4))
            self.limit_to(name, self.limit)
        self.settle()


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
        strategies.just('weigh'),
        one_name,
        strategies.tuples(number, number, number, number),
    ),
    strategies.tuples(strategies.just('cut_off'), one_name, one_name),
    strategies.tuples(strategies.just('limit_to'), one_name, number),
    strategies.tuples(strategies.just('stop'), one_name),
    strategies.tuples(strategies.just('start'), one_name),
    strategies.tuples(strategies.just('learn_end'), one_name, one_name),
    strategies.tuples(strategies.just('pass_time')),
)


@REPEATABLE
@given(
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
    fleet.heal()
    assert fleet.granted == limit


def random_step(source: random.Random) -> tuple:
    """Choose a step and its arguments for a long run."""
    name, other = source.sample(NAMES, 2)
    weights = tuple(source.randrange(5) for _ in NAMES)
    table = (
        (20, ('refresh', name)),
        (30, ('send', name, other)),
        (30, ('deliver', source.randrange(8))),
        (8, ('open', name)),
        (4, ('close', name)),
        (3, ('lose', source.randrange(8))),
        (1, ('weigh', name, weights)),
        (1, ('pass_time',)),
        (1, ('limit_to', name, source.randrange(80))),
        (0.2, ('cut_off', name, other)),
        (0.1, ('join_again',)),
        (0.2, ('stop', name)),
        (2, ('learn_end', name, other)),
        (0.3, ('start', name)),
    )
    weighted = source.choices(table, [weight for weight, _ in table])
    return weighted[0][1]


def test_claims_stay_under_the_limit_in_long_random_runs() -> None:
    for seed in range(30):
        source = random.Random(seed)
        fleet = Fleet(limit=source.choice((1, 3, 7, 40)))
        for _ in range(2000):
            name, *arguments = random_step(source)
            getattr(fleet, name)(*arguments)
            assert fleet.granted <= fleet.limit, seed
            assert fleet.opened <= fleet.limit, seed


def ledger_of(name: str, incarnation: int = 1) -> ShareLedger:
    """Make a ledger whose owner sees itself as the only owner."""
    ledger = ShareLedger(name, incarnation, HOLD_S)
    ledger.set_limit(UPSTREAM, 10)
    ledger.set_weights(UPSTREAM, {name: 1})
    ledger.activate()
    return ledger


def talk(ledgers: dict[str, ShareLedger], *pairs: str, rounds: int = 6) -> None:
    """Let pairs of ledgers, such as 'ab', exchange what is due."""
    for _ in range(rounds):
        now = next(SECONDS)
        for ledger in ledgers.values():
            ledger.refresh(now)
        for sender, receiver in (*pairs, *map(''.join, map(reversed, pairs))):
            ledgers[sender].add_member(receiver, 0)
            if ledgers[sender].is_message_due(receiver):
                message = ledgers[sender].build_message(receiver)
                ledgers[receiver].receive(message, 0)


def give_all_to_b(ledgers: dict[str, ShareLedger]) -> None:
    """Let both ledgers see b as the only owner."""
    for ledger in ledgers.values():
        ledger.set_weights(UPSTREAM, {'b': 1})
    talk(ledgers, 'ab')
    assert ledgers['b'].granted(UPSTREAM) == 10


def granted_sum(ledgers: dict[str, ShareLedger]) -> int:
    """Add up what is granted."""
    return sum(one.granted(UPSTREAM) for one in ledgers.values())


def test_strangers_with_a_common_acquaintance_share_one_limit() -> None:
    ledgers = {name: ledger_of(name) for name in 'abc'}
    ledgers['b'].set_weights(UPSTREAM, {})
    for name in 'ac':
        ledgers[name].add_member('b', 0)
    talk(ledgers, 'ab', 'bc')
    assert granted_sum(ledgers) <= 10
    talk(ledgers, 'ab', 'bc', 'ac')
    assert granted_sum(ledgers) <= 10


def test_two_that_ask_at_once_share_one_limit() -> None:
    ledgers = {name: ledger_of(name) for name in 'ab'}
    ledgers['a'].add_member('b', 0)
    ledgers['b'].add_member('a', 0)
    for _ in range(9):
        talk(ledgers, 'ab', rounds=1)
        assert granted_sum(ledgers) <= 10


def test_a_message_of_the_past_changes_nothing() -> None:
    ledgers = {name: ledger_of(name) for name in 'ab'}
    ledgers['b'].set_weights(UPSTREAM, {'a': 1})
    talk(ledgers, 'ab')
    ledgers['a'].set_limit(UPSTREAM, 8)
    ledgers['a'].refresh(0)
    late = ledgers['a'].build_message('b')
    ledgers['a'].set_limit(UPSTREAM, 10)
    talk(ledgers, 'ab')
    ledgers['b'].receive(late, 0)
    ledgers['b'].set_weights(UPSTREAM, {'b': 1})
    talk(ledgers, 'ab')
    assert ledgers['a'].granted(UPSTREAM) == granted_sum(ledgers) == 10


def test_a_restarted_ledger_is_not_confirmed_for_its_past() -> None:
    ledgers = {name: ledger_of(name) for name in 'ab'}
    ledgers['b'].set_weights(UPSTREAM, {'a': 1})
    talk(ledgers, 'ab')
    stale = ledgers['b'].build_message('a')
    assert stale.confirmed_revision > 0
    give_all_to_b(ledgers)
    ledgers['a'] = ledger_of('a', incarnation=2)
    ledgers['a'].add_member('b', 0)
    ledgers['a'].refresh(0)
    ledgers['a'].receive(stale, 0)
    talk(ledgers, 'ab')
    assert granted_sum(ledgers) == 10


def test_late_messages_of_an_ended_process_are_ignored() -> None:
    ledgers = {name: ledger_of(name) for name in 'ab'}
    ledgers['b'].add_member('a', 0)
    ledgers['a'].add_member('b', 0)
    for limit in (9, 5, 0):
        ledgers['a'].set_limit(UPSTREAM, limit)
        ledgers['a'].refresh(0)
    late = ledgers['a'].build_message('b')
    ledgers['a'] = ledger_of('a', incarnation=2)
    ledgers['b'].set_weights(UPSTREAM, {'a': 1})
    talk(ledgers, 'ab')
    ledgers['b'].receive(late, 0)
    ledgers['b'].set_weights(UPSTREAM, {'b': 1})
    talk(ledgers, 'ab')
    assert granted_sum(ledgers) == 10


def test_a_restarted_ledger_asks_for_all_claims() -> None:
    ledgers = {name: ledger_of(name) for name in 'ab'}
    ledgers['b'].set_weights(UPSTREAM, {'a': 1})
    talk(ledgers, 'ab')
    before = ledgers['a'].build_message('b')
    ledgers['b'] = ledger_of('b', incarnation=2)
    ledgers['b'].receive(before, 0)
    talk(ledgers, 'ab')
    assert ledgers['a'].granted(UPSTREAM) == granted_sum(ledgers) == 10


def test_silence_frees_claims_only_for_the_larger_side() -> None:
    table = (((), ()), (('b',), ('c',)), (('b', 'c'), ()))
    for heard, forgotten in table:
        ledger = ledger_of('a')
        ledger.add_member('b', 0)
        ledger.add_member('c', 0)
        for name in heard:
            ledger.record_contact(name, HOLD_S)
        assert ledger.expire_silent(HOLD_S) == forgotten, heard


def test_open_flows_survive_a_lower_limit_and_keep_their_claim() -> None:
    ledger = ledger_of('a')
    ledger.refresh(0)
    ledger.refresh(0)
    for _ in range(10):
        assert ledger.may_open(UPSTREAM)
        ledger.record_opened(UPSTREAM)
    ledger.set_limit(UPSTREAM, 3)
    assert not ledger.may_open(UPSTREAM)
    assert ledger.granted(UPSTREAM) == 10
    for open_flows in range(9, 2, -1):
        ledger.record_closed(UPSTREAM)
        ledger.refresh(0)
        assert ledger.granted(UPSTREAM) == open_flows
        assert not ledger.may_open(UPSTREAM)
    ledger.record_closed(UPSTREAM)
    assert ledger.may_open(UPSTREAM)


def test_a_removed_upstream_is_dropped_after_its_last_flow() -> None:
    ledgers = {name: ledger_of(name) for name in 'ab'}
    ledgers['b'].set_weights(UPSTREAM, {'a': 1})
    talk(ledgers, 'ab')
    ledgers['a'].record_opened(UPSTREAM)
    ledgers['a'].remove_upstream(UPSTREAM)
    talk(ledgers, 'ab')
    assert ledgers['a'].open_flows(UPSTREAM) == 1
    assert len(tuple(ledgers['a'].announcements())) == 1
    ledgers['a'].record_closed(UPSTREAM)
    talk(ledgers, 'ab')
    assert not tuple(ledgers['a'].announcements())
    ledgers['a'].set_limit(UPSTREAM, 10)
    ledgers['a'].set_weights(UPSTREAM, {'a': 1})
    talk(ledgers, 'ab')
    assert ledgers['a'].granted(UPSTREAM) == 10


def test_members_that_disagree_do_not_answer_each_other_for_ever() -> None:
    ledgers = {name: ledger_of(name) for name in 'ab'}
    ledgers['a'].add_member('dead', 0)
    talk(ledgers, 'ab')
    assert granted_sum(ledgers) == 0
    for ledger in ledgers.values():
        ledger.set_limit(UPSTREAM, 9)
    sent = 0
    for _ in range(50):
        for sender, receiver in ('ab', 'ba'):
            ledgers[sender].refresh(1000)
            if ledgers[sender].is_message_due(receiver):
                message = ledgers[sender].build_message(receiver)
                ledgers[receiver].receive(message, 1000)
                sent += 1
    assert 2 <= sent <= 6
    ledgers['a'].remove_member('dead')
    talk(ledgers, 'ab')
    assert granted_sum(ledgers) == 9
