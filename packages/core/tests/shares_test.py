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
CLOCK = itertools.count()
HOLD_S = 300.0
NAMES = ('vm-a', 'vm-b', 'vm-c', 'vm-d')
REPEATABLE = settings(
    derandomize=True, deadline=None, max_examples=300, database=None
)


@dataclasses.dataclass(frozen=True, slots=True)
class SentMessage:
    """A message that was sent and neither delivered nor lost yet."""

    target: str
    message: ClaimMessage


class Fleet:
    """Ledgers on a network that delays, loses and reorders messages."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.now = 0.0
        self.incarnation = 0
        self.in_transit: list[SentMessage] = []
        self.cut_links: set[frozenset[str]] = set()
        self.ledgers: dict[str, ShareLedger] = {}
        for name in NAMES:
            self.start(name)

    @property
    def granted(self) -> int:
        """Sum of the open flows that all running entry VMs may own."""
        return sum(ledger.granted(UPSTREAM) for ledger in self.ledgers.values())

    @property
    def open_flows(self) -> int:
        """Sum of the open flows of all running entry VMs."""
        return sum(
            ledger.open_flows(UPSTREAM) for ledger in self.ledgers.values()
        )

    def start(self, name: str) -> None:
        """Start or restart an entry VM; it knows the running entry VMs."""
        self.incarnation += 1
        ledger = ShareLedger(name, self.incarnation, HOLD_S)
        for member in self.ledgers:
            ledger.add_member(member, self.now)
        self.ledgers[name] = ledger
        ledger.set_limit(UPSTREAM, self.limit)
        ledger.set_weights(UPSTREAM, dict.fromkeys(NAMES, 1))
        ledger.activate()

    def stop(self, name: str) -> None:
        """Kill an entry VM without notifying the others."""
        self.ledgers.pop(name, None)

    def report_end(self, name: str, dead: str) -> None:
        """Notify one entry VM that another has ended."""
        if dead not in self.ledgers and name in self.ledgers:
            self.ledgers[name].remove_member(dead)

    def send(self, name: str, target: str) -> None:
        """Send the message that is due, if any."""
        ledger = self.ledgers.get(name)
        is_cut = frozenset((name, target)) in self.cut_links
        if ledger is None or is_cut or target not in ledger.member_names:
            return
        if ledger.is_message_due(target):
            self.in_transit.append(
                SentMessage(target, ledger.build_message(target))
            )

    def deliver(self, index: int) -> None:
        """Deliver one message in transit, not always the oldest."""
        if self.in_transit:
            sent = self.in_transit.pop(index % len(self.in_transit))
            if sent.target in self.ledgers:
                ledger = self.ledgers[sent.target]
                ledger.receive(sent.message, self.now)

    def lose(self, index: int) -> None:
        """Lose one message in transit."""
        if self.in_transit:
            self.in_transit.pop(index % len(self.in_transit))

    def set_weights(self, name: str, weights: tuple[int, ...]) -> None:
        """Change the bucket ownership that one entry VM knows."""
        if name in self.ledgers:
            by_name = dict(zip(NAMES, weights, strict=True))
            self.ledgers[name].set_weights(UPSTREAM, by_name)

    def set_limit(self, name: str, limit: int) -> None:
        """Set the limit that one entry VM knows, at most the real limit."""
        if name in self.ledgers:
            self.ledgers[name].set_limit(UPSTREAM, min(limit, self.limit))

    def open(self, name: str) -> None:
        """Open a flow if the ledger allows it."""
        if name in self.ledgers and self.ledgers[name].may_open(UPSTREAM):
            self.ledgers[name].record_opened(UPSTREAM)

    def close(self, name: str) -> None:
        """End a flow, if one is open."""
        if name in self.ledgers:
            self.ledgers[name].record_closed(UPSTREAM)

    def refresh(self, name: str) -> None:
        """Let one entry VM refresh its claims."""
        if name in self.ledgers:
            self.ledgers[name].refresh(self.now)

    def toggle_link(self, name: str, target: str) -> None:
        """Cut the link between two entry VMs, or restore it."""
        self.cut_links ^= {frozenset((name, target))}

    def restore_links(self) -> None:
        """Restore all links."""
        self.cut_links.clear()

    def start_rotation(self) -> None:
        """Advance the time to the next rotation."""
        self.now += ROTATION_INTERVAL_S

    def settle(self, rounds: int = 12) -> None:
        """Refresh claims and deliver messages in order for some rounds."""
        self.start_rotation()
        for _ in range(rounds):
            for name in self.ledgers:
                self.refresh(name)
                for target in self.ledgers:
                    self.send(name, target)
            while self.in_transit:
                self.deliver(0)

    def heal(self) -> None:
        """Restore links, restart stopped VMs, agree on weights and settle."""
        self.cut_links.clear()
        for name in NAMES:
            for dead in NAMES:
                self.report_end(name, dead)
        for name in NAMES:
            if name not in self.ledgers:
                self.start(name)
            self.set_weights(name, (1, 2, 3, 4))
            self.set_limit(name, self.limit)
        self.settle()


entry_vm_names = strategies.sampled_from(NAMES)
small_numbers = strategies.integers(0, 7)
steps = strategies.one_of(
    strategies.tuples(strategies.just('refresh'), entry_vm_names),
    strategies.tuples(strategies.just('send'), entry_vm_names, entry_vm_names),
    strategies.tuples(strategies.just('deliver'), small_numbers),
    strategies.tuples(strategies.just('lose'), small_numbers),
    strategies.tuples(strategies.just('open'), entry_vm_names),
    strategies.tuples(strategies.just('close'), entry_vm_names),
    strategies.tuples(
        strategies.just('set_weights'),
        entry_vm_names,
        strategies.tuples(
            small_numbers, small_numbers, small_numbers, small_numbers
        ),
    ),
    strategies.tuples(
        strategies.just('toggle_link'), entry_vm_names, entry_vm_names
    ),
    strategies.tuples(
        strategies.just('set_limit'), entry_vm_names, small_numbers
    ),
    strategies.tuples(strategies.just('stop'), entry_vm_names),
    strategies.tuples(strategies.just('start'), entry_vm_names),
    strategies.tuples(
        strategies.just('report_end'), entry_vm_names, entry_vm_names
    ),
    strategies.tuples(strategies.just('start_rotation')),
)


@REPEATABLE
@given(
    limit=strategies.integers(0, 12),
    settled=strategies.booleans(),
    chosen_steps=strategies.lists(steps, max_size=120),
)
def test_claims_stay_within_the_limit_for_generated_steps(
    limit: int, settled: bool, chosen_steps: list[tuple]
) -> None:
    fleet = Fleet(limit)
    if settled:
        fleet.settle()
        assert fleet.granted == limit
    for step, *arguments in chosen_steps:
        getattr(fleet, step)(*arguments)
        assert fleet.granted <= limit
        assert fleet.open_flows <= limit
    fleet.heal()
    assert fleet.granted == limit


def random_step(source: random.Random) -> tuple:
    """Choose a method of Fleet and its arguments for a long run."""
    name, other = source.sample(NAMES, 2)
    weights = tuple(source.randrange(5) for _ in NAMES)
    table = (
        (20, ('refresh', name)),
        (30, ('send', name, other)),
        (30, ('deliver', source.randrange(8))),
        (8, ('open', name)),
        (4, ('close', name)),
        (3, ('lose', source.randrange(8))),
        (1, ('set_weights', name, weights)),
        (1, ('start_rotation',)),
        (1, ('set_limit', name, source.randrange(80))),
        (0.2, ('toggle_link', name, other)),
        (0.1, ('restore_links',)),
        (0.2, ('stop', name)),
        (2, ('report_end', name, other)),
        (0.3, ('start', name)),
    )
    weighted = source.choices(table, [weight for weight, _ in table])
    return weighted[0][1]


def test_claims_stay_within_the_limit_in_long_random_runs() -> None:
    for seed in range(30):
        source = random.Random(seed)
        fleet = Fleet(limit=source.choice((1, 3, 7, 40)))
        for _ in range(2000):
            step, *arguments = random_step(source)
            getattr(fleet, step)(*arguments)
            assert fleet.granted <= fleet.limit, seed
            assert fleet.open_flows <= fleet.limit, seed


def make_ledger(name: str, incarnation: int = 1) -> ShareLedger:
    """Make a ledger of an entry VM that knows no other bucket owner."""
    ledger = ShareLedger(name, incarnation, HOLD_S)
    ledger.set_limit(UPSTREAM, 10)
    ledger.set_weights(UPSTREAM, {name: 1})
    ledger.activate()
    return ledger


def exchange(
    ledgers: dict[str, ShareLedger], *pairs: str, rounds: int = 6
) -> None:
    """Let pairs of ledgers, such as 'ab', exchange due messages."""
    for _ in range(rounds):
        now = next(CLOCK)
        for ledger in ledgers.values():
            ledger.refresh(now)
        for sender, receiver in (*pairs, *map(''.join, map(reversed, pairs))):
            ledgers[sender].add_member(receiver, 0)
            if ledgers[sender].is_message_due(receiver):
                message = ledgers[sender].build_message(receiver)
                ledgers[receiver].receive(message, 0)


def assign_all_to_b(ledgers: dict[str, ShareLedger]) -> None:
    """Make b the only bucket owner in all ledgers and wait for its grant."""
    for ledger in ledgers.values():
        ledger.set_weights(UPSTREAM, {'b': 1})
    exchange(ledgers, 'ab')
    assert ledgers['b'].granted(UPSTREAM) == 10


def sum_of_grants(ledgers: dict[str, ShareLedger]) -> int:
    """Return the sum of the grants of all ledgers."""
    return sum(ledger.granted(UPSTREAM) for ledger in ledgers.values())


def test_members_known_only_to_a_third_member_share_one_limit() -> None:
    ledgers = {name: make_ledger(name) for name in 'abc'}
    ledgers['b'].set_weights(UPSTREAM, {})
    for name in 'ac':
        ledgers[name].add_member('b', 0)
    exchange(ledgers, 'ab', 'bc')
    assert sum_of_grants(ledgers) <= 10
    exchange(ledgers, 'ab', 'bc', 'ac')
    assert sum_of_grants(ledgers) <= 10


def test_concurrent_requests_share_one_limit() -> None:
    ledgers = {name: make_ledger(name) for name in 'ab'}
    ledgers['a'].add_member('b', 0)
    ledgers['b'].add_member('a', 0)
    for _ in range(9):
        exchange(ledgers, 'ab', rounds=1)
        assert sum_of_grants(ledgers) <= 10


def test_a_delayed_message_changes_nothing() -> None:
    ledgers = {name: make_ledger(name) for name in 'ab'}
    ledgers['b'].set_weights(UPSTREAM, {'a': 1})
    exchange(ledgers, 'ab')
    ledgers['a'].set_limit(UPSTREAM, 8)
    ledgers['a'].refresh(0)
    late = ledgers['a'].build_message('b')
    ledgers['a'].set_limit(UPSTREAM, 10)
    exchange(ledgers, 'ab')
    ledgers['b'].receive(late, 0)
    ledgers['b'].set_weights(UPSTREAM, {'b': 1})
    exchange(ledgers, 'ab')
    assert ledgers['a'].granted(UPSTREAM) == sum_of_grants(ledgers) == 10


def test_confirmations_of_an_earlier_incarnation_do_not_count() -> None:
    ledgers = {name: make_ledger(name) for name in 'ab'}
    ledgers['b'].set_weights(UPSTREAM, {'a': 1})
    exchange(ledgers, 'ab')
    stale = ledgers['b'].build_message('a')
    assert stale.confirmed_revision > 0
    assign_all_to_b(ledgers)
    ledgers['a'] = make_ledger('a', incarnation=2)
    ledgers['a'].add_member('b', 0)
    ledgers['a'].refresh(0)
    ledgers['a'].receive(stale, 0)
    exchange(ledgers, 'ab')
    assert sum_of_grants(ledgers) == 10


def test_delayed_messages_of_an_earlier_incarnation_are_ignored() -> None:
    ledgers = {name: make_ledger(name) for name in 'ab'}
    ledgers['b'].add_member('a', 0)
    ledgers['a'].add_member('b', 0)
    for limit in (9, 5, 0):
        ledgers['a'].set_limit(UPSTREAM, limit)
        ledgers['a'].refresh(0)
    late = ledgers['a'].build_message('b')
    ledgers['a'] = make_ledger('a', incarnation=2)
    ledgers['b'].set_weights(UPSTREAM, {'a': 1})
    exchange(ledgers, 'ab')
    ledgers['b'].receive(late, 0)
    ledgers['b'].set_weights(UPSTREAM, {'b': 1})
    exchange(ledgers, 'ab')
    assert sum_of_grants(ledgers) == 10


def test_a_restarted_ledger_receives_all_claims_again() -> None:
    ledgers = {name: make_ledger(name) for name in 'ab'}
    ledgers['b'].set_weights(UPSTREAM, {'a': 1})
    exchange(ledgers, 'ab')
    before = ledgers['a'].build_message('b')
    ledgers['b'] = make_ledger('b', incarnation=2)
    ledgers['b'].receive(before, 0)
    exchange(ledgers, 'ab')
    assert ledgers['a'].granted(UPSTREAM) == sum_of_grants(ledgers) == 10


def test_silent_members_expire_only_while_most_members_are_heard() -> None:
    table = (((), ()), (('b',), ('c',)), (('b', 'c'), ()))
    for heard, expired in table:
        ledger = make_ledger('a')
        ledger.add_member('b', 0)
        ledger.add_member('c', 0)
        for name in heard:
            ledger.record_contact(name, HOLD_S)
        assert ledger.expire_silent(HOLD_S) == expired, heard


def test_open_flows_keep_their_grant_under_a_lower_limit() -> None:
    ledger = make_ledger('a')
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
    ledgers = {name: make_ledger(name) for name in 'ab'}
    ledgers['b'].set_weights(UPSTREAM, {'a': 1})
    exchange(ledgers, 'ab')
    ledgers['a'].record_opened(UPSTREAM)
    ledgers['a'].remove_upstream(UPSTREAM)
    exchange(ledgers, 'ab')
    assert ledgers['a'].open_flows(UPSTREAM) == 1
    assert len(tuple(ledgers['a'].announcements())) == 1
    ledgers['a'].record_closed(UPSTREAM)
    exchange(ledgers, 'ab')
    assert not tuple(ledgers['a'].announcements())
    ledgers['a'].set_limit(UPSTREAM, 10)
    ledgers['a'].set_weights(UPSTREAM, {'a': 1})
    exchange(ledgers, 'ab')
    assert ledgers['a'].granted(UPSTREAM) == 10


def test_members_with_different_member_lists_exchange_few_messages() -> None:
    ledgers = {name: make_ledger(name) for name in 'ab'}
    ledgers['a'].add_member('dead', 0)
    exchange(ledgers, 'ab')
    assert sum_of_grants(ledgers) == 0
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
    exchange(ledgers, 'ab')
    assert sum_of_grants(ledgers) == 9
