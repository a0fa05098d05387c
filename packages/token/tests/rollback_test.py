"""Tests of a store that comes back from an older copy of itself.

They cover hibiscushatch_token.knowledge: replica, registrations, evacuations,
publisher and subscriber together.
"""

import copy
import dataclasses
import random
import unittest

import token_fixtures as fixtures
from hypothesis import given, settings, strategies
from publisher_test import (
    FAR,
    NEAR,
    PublisherHarness,
    SubscriberHarness,
    heartbeat,
)
from token_fixtures import at, change, listing, replica_harness

from hibiscushatch_core.ports import StoredValue, WatchEvent
from hibiscushatch_token.knowledge import peer_messages
from hibiscushatch_token.ports import Changes, Listing

LAPSE_GRACE_S = 2.1
REGISTRATION_LAPSE_S = 6.1
OPERATOR_REWRITE_S = 10.1


def usable_names(state: fixtures.ReplicaHarness) -> set[str]:
    """Return the names of listed upstreams that are not draining."""
    return {
        upstream.name
        for upstream in state.registry.listed()
        if not upstream.is_draining
    }


def known_state(revision: int = 9, **items: str) -> fixtures.ReplicaHarness:
    """Build a replica that has followed the store in its first era."""
    state = replica_harness()
    state.replica.merge_listing(listing(revision, era=1, **items))
    state.replica.confirm_newest(0)
    return state


def advance(state: fixtures.ReplicaHarness, seconds: float) -> None:
    """Advance the clock of a replica that stays up to date."""
    state.clock.now += seconds
    state.replica.confirm_newest(0)
    state.replica.expire()


def test_what_is_written_with_revisions_given_out_before_is_applied() -> None:
    state = known_state(50, op_config='1', servers_a='here ready 4')
    state.replica.merge_listing(
        listing(45, era=2, op_config='1', servers_a='here ready 4')
    )
    state.replica.merge_changes(
        at(45, 2), change('servers/b', 'here ready 1', 46, era=2)
    )
    assert usable_names(state) == {'a', 'b'}
    assert state.replica.position == at(46, 2)


def test_an_older_configuration_is_not_applied_and_a_newer_one_is() -> None:
    state = known_state(op_config='2')
    state.replica.merge_listing(listing(7, era=2, op_config='1'))
    assert state.routing.config.version == 2
    state.replica.merge_changes(at(7, 2), change('op/config', '3', 8, era=2))
    assert state.routing.config.version == 3


def test_a_lost_drain_holds_until_the_upstream_writes_again() -> None:
    state = known_state(servers_a='here draining 6')
    state.replica.merge_listing(listing(7, era=2, servers_a='here ready 5'))
    assert usable_names(state) == set()
    advance(state, REGISTRATION_LAPSE_S)
    assert usable_names(state) == set()
    late = change('servers/a', 'here ready 5', 8, era=2)
    state.replica.merge_changes(at(7, 2), late)
    newer = change('servers/a', 'here ready 7', 9, era=2)
    state.replica.merge_changes(at(8, 2), newer)
    assert usable_names(state) == {'a'}


def test_the_latest_statement_written_again_is_no_longer_withheld() -> None:
    state = known_state(servers_a='here ready 6')
    state.replica.merge_listing(listing(7, era=2, servers_a='here ready 5'))
    assert list(state.replica.withheld) == ['a']
    again = change('servers/a', 'here ready 6', 8, era=2)
    state.replica.merge_changes(at(7, 2), again)
    assert not list(state.replica.withheld)
    assert usable_names(state) == {'a'}


def test_a_late_write_of_an_older_statement_does_not_end_a_drain() -> None:
    state = known_state(servers_a='here draining 6')
    state.replica.merge_listing(listing(7, era=2, servers_a='here ready 5'))
    late = change('servers/a', 'here ready 5', 8, era=2)
    state.replica.merge_changes(at(7, 2), late)
    assert usable_names(state) == set()


def test_an_upstream_that_left_stays_away_until_it_writes_again() -> None:
    state = known_state(servers_a='here ready 5', servers_b='here ready 1')
    state.replica.merge_changes(at(9, 1), change('servers/a', None, 10, era=1))
    state.replica.merge_listing(
        listing(8, era=2, servers_a='here ready 5', servers_b='here ready 1')
    )
    assert usable_names(state) == {'b'}
    assert list(state.replica.withheld) == ['a']
    again = change('servers/a', 'here ready 6', 9, era=2)
    state.replica.merge_changes(at(8, 2), again)
    assert usable_names(state) == {'a', 'b'}


def test_an_upstream_that_left_and_started_again_is_used() -> None:
    state = known_state(servers_a='here ready 5 200')
    state.replica.merge_changes(at(9, 1), change('servers/a', None, 10, era=1))
    state.replica.merge_listing(listing(8, era=2, servers_a='here ready 5 200'))
    # Its VM's time of day was set back before the new start.
    again = change('servers/a', 'here ready 1 100', 9, era=2)
    state.replica.merge_changes(at(8, 2), again)
    assert usable_names(state) == {'a'}


def test_an_entry_that_outlives_the_time_to_lapse_is_obeyed() -> None:
    state = known_state(servers_a='here ready 5')
    state.replica.merge_changes(at(9, 1), change('servers/a', None, 10, era=1))
    state.replica.merge_listing(listing(8, era=2, servers_a='here ready 5'))
    advance(state, REGISTRATION_LAPSE_S - 1)
    assert usable_names(state) == set()
    advance(state, 1)
    assert usable_names(state) == {'a'}


def test_an_entry_that_lapses_in_the_new_era_is_forgotten() -> None:
    state = known_state(servers_a='here ready 5')
    state.replica.merge_changes(at(9, 1), change('servers/a', None, 10, era=1))
    state.replica.merge_listing(listing(8, era=2, servers_a='here ready 5'))
    state.replica.merge_changes(at(8, 2), change('servers/a', None, 9, era=2))
    advance(state, REGISTRATION_LAPSE_S)
    assert usable_names(state) == set()
    assert not list(state.replica.withheld)


def test_an_upstream_newer_than_the_copy_serves_on_for_the_grace() -> None:
    for is_written_again in (True, False):
        state = known_state(servers_a='here ready 3')
        state.replica.merge_listing(listing(8, era=2))
        advance(state, LAPSE_GRACE_S - 0.2)
        assert usable_names(state) == {'a'}
        if is_written_again:
            again = change('servers/a', 'here ready 4', 9, era=2)
            state.replica.merge_changes(at(8, 2), again)
        advance(state, 0.2)
        assert bool(usable_names(state)) == is_written_again


def test_a_cold_upstream_stays_cold_when_the_copy_says_it_was_not() -> None:
    state = known_state()
    cold = fixtures.restated(fixtures.upstream('a', cold_s=3), sequence=8)
    state.registry.apply('a', cold, at(9, 1))
    state.replica.merge_listing(listing(8, era=2, servers_a='here ready 7'))
    assert state.registry.is_cold(cold)


def test_a_lost_evacuation_holds_until_operators_had_time_to_repeat_it() -> (
    None
):
    state = known_state(op_evacuate_here='{}')
    state.replica.merge_listing(listing(8, era=2))
    advance(state, OPERATOR_REWRITE_S - 0.2)
    assert state.routing.evacuated == {'here'}
    advance(state, 0.2)
    assert state.routing.evacuated == frozenset()


def test_an_evacuation_that_is_written_again_holds_until_it_is_ended() -> None:
    state = known_state(op_evacuate_here='{}')
    state.replica.merge_listing(listing(8, era=2))
    again = change('op/evacuate/here', '{}', 9, era=2)
    state.replica.merge_changes(at(8, 2), again)
    advance(state, OPERATOR_REWRITE_S)
    assert state.routing.evacuated == {'here'}
    ended = change('op/evacuate/here', None, 10, era=2)
    state.replica.merge_changes(at(9, 2), ended)
    assert state.routing.evacuated == frozenset()


def test_an_ended_evacuation_that_the_copy_has_is_not_obeyed_at_once() -> None:
    state = known_state(op_evacuate_here='{}')
    ended = change('op/evacuate/here', None, 10, era=1)
    state.replica.merge_changes(at(9, 1), ended)
    state.replica.merge_listing(listing(9, era=2, op_evacuate_here='{}'))
    assert state.routing.evacuated == frozenset()
    advance(state, LAPSE_GRACE_S)
    assert state.routing.evacuated == {'here'}


def test_an_evacuation_requested_anew_is_obeyed_at_once() -> None:
    state = known_state(op_evacuate_here='{}')
    ended = change('op/evacuate/here', None, 10, era=1)
    state.replica.merge_changes(at(9, 1), ended)
    # The request has a later revision than the ended one.
    state.replica.merge_listing(listing(12, era=2, op_evacuate_here='{}'))
    assert state.routing.evacuated == {'here'}


def test_a_second_return_keeps_what_the_first_one_kept() -> None:
    state = known_state(
        op_config='2',
        op_evacuate_there='{}',
        servers_a='here draining 6',
        servers_b='here ready 3',
    )
    for era in (2, 3):
        state.replica.merge_listing(
            listing(8 - era, era=era, op_config='1', servers_a='here ready 5')
        )
        advance(state, 1)
    assert state.routing.config.version == 2
    assert state.routing.evacuated == {'there'}
    assert usable_names(state) == {'b'}
    advance(state, LAPSE_GRACE_S)
    assert usable_names(state) == set()


def test_an_equal_version_with_other_content_is_logged() -> None:
    state = known_state()
    state.routing.apply_config(fixtures.config(2), at(9, 1))
    other = fixtures.config(2, cold_flows_per_s=4)
    log = 'hibiscushatch_token.knowledge.routing'
    with unittest.TestCase().assertLogs(log) as lines:
        state.routing.apply_config(other, at(8, 2))
    assert state.routing.config == fixtures.config(2)
    assert lines.records[0].version == 2


def publisher_after_rollback() -> PublisherHarness:
    """Build a publisher that knows of changes that the copy lacks."""
    sender = PublisherHarness()
    sender.state.replica.merge_listing(
        listing(
            9,
            era=1,
            op_config='2',
            op_evacuate_there='{}',
            servers_drained='here draining 6',
            servers_gone='here ready 4',
            servers_new='here ready 1',
        )
    )
    sender.state.replica.merge_changes(
        at(9, 1), change('servers/gone', None, 10, era=1)
    )
    sender.state.replica.merge_listing(_copied_listing())
    sender.state.replica.confirm_newest(0)
    return sender


def _copied_listing() -> Listing:
    return listing(
        7,
        era=2,
        op_config='1',
        servers_drained='here ready 5',
        servers_gone='here ready 4',
    )


def test_others_learn_from_a_publisher_what_the_copy_lacks() -> None:
    lagging = SubscriberHarness()
    lagging.state.replica.merge_listing(
        listing(6, era=1, servers_drained='here ready 5')
    )
    started_before_listing = SubscriberHarness()
    started_after_listing = SubscriberHarness()
    started_after_listing.state.replica.merge_listing(_copied_listing())
    table = (
        ('lagging', lagging),
        ('started before the listing', started_before_listing),
        ('started after the listing', started_after_listing),
    )
    for case, receiver in table:
        sender = publisher_after_rollback()
        sender.publisher.on_subscription(
            peer_messages.Subscription('vm', FAR, 'here', 0, is_counted=True)
        )
        receiver.subscriber.on_announcement(sender.sent[-1])
        assert receiver.subscriber._fetch_needed.is_set(), case
        receiver.catch_up(sender)
        assert usable_names(receiver.state) == {'new'}, case
        assert receiver.state.routing.config.version == 2, case
        assert receiver.state.routing.evacuated == {'there'}, case
        assert receiver.state.replica.position == at(7, 2), case


def test_what_was_in_force_before_the_era_is_fetched_once() -> None:
    sender = publisher_after_rollback()
    sender.publisher.on_subscription(
        peer_messages.Subscription('vm', FAR, 'here', 0, is_counted=True)
    )
    receiver = SubscriberHarness()
    receiver.catch_up(sender)
    sender.publisher.send_heartbeats()
    receiver.subscriber._fetch_needed.clear()
    receiver.subscriber.on_announcement(sender.sent[-1])
    assert sender.sent[-1].is_reconciling
    assert not receiver.subscriber._fetch_needed.is_set()


def test_without_a_rollback_only_missing_changes_are_fetched() -> None:
    sender = PublisherHarness()
    receiver = SubscriberHarness()
    for state in (sender.state, receiver.state):
        state.replica.merge_listing(listing(5, era=3, servers_a='here'))
    sender.write('servers/b', 'here', 6)
    query = receiver.subscriber._build_query(needs_all_keys=False)
    response = sender.publisher.respond_to_catch_up(
        peer_messages.build_query(query).encode()
    )
    message = peer_messages.decode_catch_up(response.body, 'publisher')
    assert isinstance(message, peer_messages.Delta)
    assert [item.key for item in message.items] == ['servers/b']
    receiver.catch_up(sender)
    assert usable_names(receiver.state) == {'a', 'b'}


def test_an_evacuation_learnt_from_a_publisher_ends_when_it_ends_there() -> (
    None
):
    sender = publisher_after_rollback()
    receiver = SubscriberHarness()
    advance(sender.state, OPERATOR_REWRITE_S - 1)
    receiver.catch_up(sender)
    assert receiver.state.routing.evacuated == {'there'}
    advance(receiver.state, 1)
    assert receiver.state.routing.evacuated == frozenset()


def test_nothing_is_fetched_once_writers_had_time_to_write_again() -> None:
    sender = publisher_after_rollback()
    sender.publisher.on_subscription(
        peer_messages.Subscription('vm', FAR, 'here', 0, is_counted=True)
    )
    receiver = SubscriberHarness()
    receiver.state.replica.merge_listing(_copied_listing())
    receiver.subscriber.on_announcement(sender.sent[-1])
    # The response to the fetch is lost.
    receiver.subscriber._fetch_needed.clear()
    advance(sender.state, OPERATOR_REWRITE_S)
    sender.publisher.send_heartbeats()
    receiver.subscriber.on_announcement(sender.sent[-1])
    assert not receiver.subscriber._fetch_needed.is_set()


def test_a_rollback_is_announced_by_a_heartbeat_and_then_fetched() -> None:
    sender = PublisherHarness()
    sender.state.replica.merge_listing(listing(9, era=1, servers_a='here'))
    sender.publisher.on_subscription(
        peer_messages.Subscription('vm', FAR, 'here', 0, is_counted=True)
    )
    receiver = SubscriberHarness()
    receiver.catch_up(sender)
    before = sender.state.replica.position
    rolled_back = sender.state.replica.merge_listing(
        listing(7, era=2, servers_a='here')
    )
    sender.publisher.announce_changes(before, rolled_back, is_from_peer=False)
    sender.write('servers/b', 'here', 8)
    receiver.subscriber.on_announcement(sender.sent[-1])
    assert receiver.subscriber._fetch_needed.is_set()
    receiver.catch_up(sender)
    assert usable_names(receiver.state) == {'a', 'b'}
    sender.write('servers/c', 'here', 9)
    receiver.subscriber.on_announcement(sender.sent[-1])
    assert usable_names(receiver.state) == {'a', 'b', 'c'}


def test_announcements_of_an_earlier_era_do_not_confirm_the_replica() -> None:
    for era in (0, 1):
        receiver = SubscriberHarness()
        receiver.state.replica.merge_listing(
            listing(7, era=2, servers_a='here')
        )
        receiver.state.clock.now += 1
        receiver.subscriber.on_announcement(
            heartbeat(NEAR, 'here', 90, era=era)
        )
        assert receiver.state.replica.age_s == 1, era
        assert not receiver.subscriber._fetch_needed.is_set(), era
        assert receiver.chosen_sources() == [FAR, NEAR], era


def test_a_response_of_an_earlier_era_changes_nothing() -> None:
    sender = PublisherHarness()
    sender.state.replica.merge_listing(listing(90, era=1, servers_b='here'))
    receiver = SubscriberHarness()
    receiver.state.replica.merge_listing(listing(7, era=2, servers_a='here'))
    receiver.state.clock.now += 1
    receiver.catch_up(sender)
    assert usable_names(receiver.state) == {'a'}
    assert receiver.state.replica.position == at(7, 2)
    assert receiver.state.replica.age_s == 1


def test_a_listing_that_no_peer_confirms_is_logged_once() -> None:
    receiver = SubscriberHarness()
    receiver.state.replica.merge_listing(listing(7, era=2, servers_a='here'))
    log = 'hibiscushatch_token.knowledge.subscriber'
    with unittest.TestCase().assertLogs(log, 'WARNING') as lines:
        for _ in range(4):
            receiver.state.clock.now += 1
            receiver.subscriber.subscribe()
    assert len(lines.records) == 1
    assert lines.records[0].era == 2


@dataclasses.dataclass
class StoreModel:
    """A store with copies of itself, and writers that know what they wrote.

    Attributes:
        era: Number of returns from a copy.
        revision: Revision of the latest change.
        items: Items by key.
        copies: Earlier states: revision and items.
        wanted: What each writer has stated last; None for a deletion.
        sequence: Number of the latest entry of each upstream.
    """

    era: int = 1
    revision: int = 1
    items: dict[str, StoredValue] = dataclasses.field(default_factory=dict)
    copies: list[tuple[int, dict[str, StoredValue]]] = dataclasses.field(
        default_factory=list
    )
    wanted: dict[str, str | None] = dataclasses.field(default_factory=dict)
    sequence: dict[str, int] = dataclasses.field(default_factory=dict)

    def state(self, key: str, text: str | None) -> WatchEvent:
        """Let a writer write a statement; returns the change."""
        self.wanted[key] = text
        if text is not None and key.startswith('servers/'):
            self.sequence[key] = self.sequence.get(key, 0) + 1
            text = f'here {text} {self.sequence[key]}'
        self.copies.append((self.revision, copy.copy(self.items)))
        self.revision += 1
        encoded = None if text is None else text.encode()
        if encoded is None:
            self.items.pop(key, None)
        else:
            self.items[key] = StoredValue(key, encoded, self.revision)
        return WatchEvent(key, encoded, self.revision)

    def roll_back(self, steps: int) -> set[str]:
        """Come back from an earlier copy; returns the keys that differ."""
        previous = self.items
        self.era += 1
        if steps:
            revision, items = self.copies[-steps]
            self.revision = revision
            self.items = copy.copy(items)
            del self.copies[-steps:]
        return {
            key
            for key in previous.keys() | self.items.keys()
            if previous.get(key) != self.items.get(key)
        }

    def listing(self) -> Listing:
        """Return a listing of all items."""
        return Listing(tuple(self.items.values()), at(self.revision, self.era))


class _Follower:
    """A publisher and a subscriber that follow a model of the store."""

    def __init__(self, store: StoreModel) -> None:
        self.store = store
        self.sender = PublisherHarness()
        self.receiver = SubscriberHarness()
        self.sender.publisher.on_subscription(
            peer_messages.Subscription('vm', FAR, 'here', 0, is_counted=True)
        )
        self.sender.state.replica.merge_listing(store.listing())
        self.receiver.catch_up(self.sender)

    @property
    def states(self) -> tuple[fixtures.ReplicaHarness, ...]:
        """The replicas of both."""
        return self.sender.state, self.receiver.state

    def read(self, events: list[WatchEvent]) -> None:
        """Let the publisher read changes, or a listing after a rollback."""
        before = self.sender.state.replica.position
        replica = self.sender.state.replica
        after = at(self.store.revision, self.store.era)
        if before.era == after.era:
            merged = replica.merge_changes(
                before, Changes(tuple(events), after)
            )
        else:
            merged = replica.merge_listing(self.store.listing())
        replica.confirm_newest(0)
        self.sender.publisher.announce_changes(
            before, merged, is_from_peer=False
        )

    def deliver(self, is_lossy: bool) -> None:
        """Deliver what the publisher announced, or lose it."""
        sent = self.sender.sent
        announcements = () if is_lossy else tuple(sent)
        sent.clear()
        for announcement in announcements:
            self.receiver.subscriber.on_announcement(announcement)
            if self.receiver.subscriber._fetch_needed.is_set():
                self.receiver.subscriber._fetch_needed.clear()
                self.receiver.catch_up(self.sender)

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        for state in self.states:
            advance(state, seconds)


@settings(deadline=None, max_examples=200)
@given(strategies.randoms(use_true_random=False))
def test_replicas_agree_with_the_writers_after_any_returns(
    randomness: random.Random,
) -> None:
    """Writers state, the store returns from copies, messages are lost."""
    store = StoreModel()
    store.state('op/config', '1')
    follower = _Follower(store)
    keys = ['servers/a', 'servers/b', 'servers/c', 'op/evacuate/there']
    version = 1
    for _ in range(randomness.randint(1, 12)):
        # A deletion within the grace may be a lapse and is not obeyed at once.
        follower.advance(LAPSE_GRACE_S)
        events = []
        for _ in range(randomness.randint(1, 4)):
            key = randomness.choice(keys)
            texts = ['ready', 'draining', None]
            events.append(store.state(key, randomness.choice(texts)))
        if randomness.randrange(10) < 3:
            version += 1
            events.append(store.state('op/config', str(version)))
        follower.read(events)
        follower.deliver(is_lossy=randomness.randrange(10) < 3)
        if randomness.randrange(10) < 4:
            _return_from_copies(store, follower, randomness)
        assert follower.sender.state.routing.config.version == version
    follower.sender.publisher.send_heartbeats()
    follower.deliver(is_lossy=False)
    follower.advance(OPERATOR_REWRITE_S)
    wanted = {
        key.removeprefix('servers/')
        for key, text in store.wanted.items()
        if text == 'ready' and key.startswith('servers/')
    }
    for state in follower.states:
        assert usable_names(state) == wanted
        assert state.routing.config.version == version
        is_evacuated = store.wanted.get('op/evacuate/there') is not None
        assert bool(state.routing.evacuated) == is_evacuated


def _return_from_copies(
    store: StoreModel, follower: _Follower, randomness: random.Random
) -> None:
    """Roll the store back once or twice; then let the writers repeat."""
    before = usable_names(follower.sender.state)
    left = {
        key.removeprefix('servers/')
        for key, text in store.wanted.items()
        if text != 'ready'
    }
    lost: set[str] = set()
    for _ in range(randomness.randint(1, 2)):
        # The first copy stays, so that there always is one.
        steps = min(randomness.randint(1, 6), len(store.copies) - 1)
        lost |= store.roll_back(steps)
        follower.read([])
        follower.deliver(is_lossy=randomness.randrange(10) < 3)
        # No upstream that drains or has left gets flows, and no other is lost.
        after = usable_names(follower.sender.state)
        assert not after & left
        assert before <= after
    events = [
        store.state(key, store.wanted[key])
        for key in sorted(lost)
        if key in store.wanted
    ]
    follower.read(events)
    follower.deliver(is_lossy=randomness.randrange(10) < 3)
