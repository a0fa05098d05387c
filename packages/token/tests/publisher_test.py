"""Tests of the publisher and the subscriber of hibiscushatch_token together."""

import random
import zlib

import token_fixtures as fixtures
from token_fixtures import change, listing, replica_harness

from hibiscushatch_core.ports import StoredValue, WatchEvent
from hibiscushatch_token.health.outlier_detector import OutlierDetector
from hibiscushatch_token.knowledge import peer_messages
from hibiscushatch_token.knowledge.known_state import KnownState
from hibiscushatch_token.knowledge.publisher import Publisher
from hibiscushatch_token.knowledge.subscriber import Subscriber
from hibiscushatch_token.ports import Changes, Listing
from hibiscushatch_token.settings import OutlierSettings

NEAR = '127.0.0.1:31'
FAR = '127.0.0.1:32'
OTHER = '127.0.0.1:33'


class PublisherHarness:
    """A publisher with a replica, and all messages that it sent."""

    def __init__(self) -> None:
        self.state = replica_harness()
        self.sent: list[peer_messages.Announcement] = []
        self.detector = OutlierDetector(
            OutlierSettings(),
            KnownState(self.state.routing, self.state.registry, int),
            self.state.clock,
        )
        self.publisher = Publisher(
            fixtures.settings(control=NEAR, publishers=[NEAR, FAR]),
            self.state.replica,
            self.state.clock,
            self._send,
            self.detector,
            self._count_fleet,
        )

    def write(self, key: str, value: str | None, revision: int) -> None:
        """Merge a change into the publisher's replica and announce it."""
        before = self.state.replica.position
        merged = self.state.replica.merge_changes(
            before, change(key, value, revision, before.era)
        )
        self.state.replica.confirm_newest(0)
        self.publisher.announce_changes(before, merged, is_from_peer=False)

    def _count_fleet(self) -> int:
        return self.publisher.served + 4

    def _send(self, datagram: bytes, _address: tuple[str, int]) -> None:
        self.sent.append(peer_messages.decode_datagram(datagram, 'publisher'))


def subscription(
    control: str,
    domain: str = 'here',
    served: int = 0,
    is_counted: bool = True,
) -> peer_messages.Subscription:
    """Build the subscription of an entry VM."""
    return peer_messages.Subscription('vm', control, domain, served, is_counted)


class SubscriberHarness:
    """A subscriber with a replica, and the messages that it sent."""

    def __init__(self, control: str = '127.0.0.1:3') -> None:
        self.state = replica_harness()
        self.subscriber = Subscriber(
            fixtures.settings(control=control, publishers=[FAR, NEAR]),
            self.state.replica,
            self.state.clock,
            self._send,
            lambda _before, _changes: None,
            self._count_unchanged,
            int,
        )
        self.unchanged_count = 0
        self.sent: list[tuple[str, peer_messages.Datagram]] = []

    def catch_up(self, sender: PublisherHarness) -> None:
        """Fetch the changes that are missing from a publisher."""
        for needs_all_keys in (False, True):
            query = self.subscriber._build_query(needs_all_keys)
            response = sender.publisher.respond_to_catch_up(
                peer_messages.build_query(query).encode()
            )
            if self.subscriber._merge_catch_up(response.body, 'publisher'):
                break

    def _send(self, datagram: bytes, address: tuple[str, int]) -> None:
        message = peer_messages.decode_datagram(datagram, 'subscriber')
        self.sent.append((':'.join(map(str, address)), message))

    def _count_unchanged(self) -> None:
        self.unchanged_count += 1

    def chosen_sources(self) -> list[str]:
        """Return the entry VMs that the subscriber would follow now."""
        return self.subscriber._choose_sources()


def heartbeat(
    control: str,
    domain: str,
    revision: int,
    age_ms: int = 0,
    fleet: int = 3,
    era: int = 0,
) -> peer_messages.Announcement:
    """Build an announcement without changes."""
    return peer_messages.Announcement(
        'vm', control, domain, revision, age_ms, fleet, fleet, revision, era=era
    )


def publisher_with_subscriber() -> tuple[PublisherHarness, SubscriberHarness]:
    """Build a publisher and a subscriber with equal replicas."""
    sender = PublisherHarness()
    receiver = SubscriberHarness()
    for state in (sender.state, receiver.state):
        state.replica.merge_listing(listing(5))
    sender.publisher.on_subscription(subscription(OTHER))
    sender.sent.clear()
    return sender, receiver


def test_a_subscriber_applies_a_change_that_follows_its_revision() -> None:
    sender = PublisherHarness()
    receiver = SubscriberHarness()
    for state in (sender.state, receiver.state):
        state.replica.merge_listing(listing(5, servers_a='here'))
    sender.publisher.on_subscription(subscription(OTHER))
    sender.write('servers/b', 'there', 6)
    receiver.subscriber.on_announcement(sender.sent[-1])
    assert set(receiver.state.registry.names) == {'a', 'b'}
    assert receiver.state.replica.age_s == 0


def test_a_subscriber_fetches_a_lost_announcement() -> None:
    sender, receiver = publisher_with_subscriber()
    sender.write('servers/a', 'here', 6)
    sender.write('servers/b', 'here', 7)
    receiver.subscriber.on_announcement(sender.sent[-1])
    assert receiver.subscriber._fetch_needed.is_set()
    receiver.catch_up(sender)
    assert set(receiver.state.registry.names) == {'a', 'b'}


def test_many_changes_are_split_into_consecutive_datagrams() -> None:
    sender, receiver = publisher_with_subscriber()
    randomness = random.Random(fixtures.SEED)
    events = tuple(
        WatchEvent(f'servers/{randomness.random()}', b'here', index)
        for index in range(6, 206)
    )
    sender.state.replica.merge_changes(
        fixtures.at(5), Changes(events, fixtures.at(210))
    )
    sender.publisher.announce_changes(
        fixtures.at(5), Changes(events, fixtures.at(210)), is_from_peer=False
    )
    assert 1 < len(sender.sent) < 20
    for announcement in sender.sent:
        encoded = peer_messages.encode(announcement)
        assert len(encoded) <= 1400
        receiver.subscriber.on_announcement(announcement)
    assert not receiver.subscriber._fetch_needed.is_set()
    assert receiver.state.replica.position.revision == 210
    assert len(receiver.state.registry.names) == 200


def test_a_first_listing_is_announced_without_its_items() -> None:
    sender = PublisherHarness()
    sender.publisher.on_subscription(subscription(OTHER))
    upstreams = {f'servers_{index:03}': 'here' for index in range(300)}
    changes = sender.state.replica.merge_listing(listing(5, **upstreams))
    sender.publisher.announce_changes(
        fixtures.at(0), changes, is_from_peer=False
    )
    assert [announcement.revision for announcement in sender.sent] == [5]
    assert sender.sent[0].items == []
    receiver = SubscriberHarness()
    receiver.catch_up(sender)
    assert len(receiver.state.registry.names) == 300


def test_a_subscriber_beyond_the_change_log_fetches_all_keys() -> None:
    sender = PublisherHarness()
    receiver = SubscriberHarness()
    for state in (sender.state, receiver.state):
        state.replica.merge_listing(listing(5, servers_gone='here'))
    sender.write('servers/gone', None, 6)
    for revision in range(7, 2107):
        sender.write('servers/a', 'here', revision)
    # The response leaves out deletions, which the reader detects.
    response = sender.publisher.respond_to_catch_up(b'5')
    message = peer_messages.decode_catch_up(response.body, 'publisher')
    assert isinstance(message, peer_messages.Refresh)
    assert not receiver.subscriber._merge_catch_up(response.body, 'publisher')
    receiver.catch_up(sender)
    assert set(receiver.state.registry.names) == {'a'}
    assert receiver.state.replica.position.revision == 2106


def test_a_subscriber_with_an_old_listing_fetches_only_newer_items() -> None:
    # The publisher has just started as well, so its change log is empty.
    sender = PublisherHarness()
    receiver = SubscriberHarness()
    known = [
        StoredValue(f'servers/{index:03}', b'here', 3) for index in range(299)
    ]
    newest = StoredValue('servers/new', b'here', 5)
    sender.state.replica.merge_listing(
        Listing((*known, newest), fixtures.at(5))
    )
    receiver.state.replica.merge_listing(Listing(tuple(known), fixtures.at(4)))
    assert len(sender.publisher.respond_to_catch_up(b'4').body) < 200
    receiver.catch_up(sender)
    assert len(receiver.state.registry.names) == 300
    assert receiver.state.replica.position.revision == 5


def test_changes_from_a_peer_are_not_sent_to_other_publishers() -> None:
    sender = PublisherHarness()
    sender.state.replica.merge_listing(listing(5))
    for control in (FAR, OTHER):
        sender.publisher.on_subscription(subscription(control))
    for is_from_peer, copies in ((False, 2), (True, 1)):
        sender.sent.clear()
        merged = change('servers/a', 'here', 6)
        sender.publisher.announce_changes(fixtures.at(5), merged, is_from_peer)
        assert len(sender.sent) == copies, is_from_peer


def test_a_gap_triggers_a_fetch_and_does_not_confirm_the_replica() -> None:
    receiver = SubscriberHarness()
    receiver.state.replica.merge_listing(listing(5))
    receiver.state.clock.now += 1
    receiver.subscriber.on_announcement(heartbeat(NEAR, 'here', 9))
    assert receiver.subscriber._fetch_needed.is_set()
    assert receiver.state.replica.age_s == 1


def test_a_fetch_returns_only_missing_changes() -> None:
    sender = PublisherHarness()
    receiver = SubscriberHarness()
    for state in (sender.state, receiver.state):
        state.replica.merge_listing(listing(5, servers_a='here'))
    sender.write('servers/c', 'here', 6)
    sender.write('servers/b', 'there', 7)
    sender.write('servers/a', None, 8)
    response = sender.publisher.respond_to_catch_up(b'6')
    message = peer_messages.decode_catch_up(response.body, 'publisher')
    assert [item.key for item in message.items] == ['servers/b', 'servers/a']
    receiver.catch_up(sender)
    assert set(receiver.state.registry.names) == {'b', 'c'}
    assert receiver.state.replica.position.revision == 8


def test_a_subscriber_without_a_revision_fetches_a_snapshot() -> None:
    sender = PublisherHarness()
    receiver = SubscriberHarness()
    sender.state.replica.merge_listing(listing(5, servers_a='here'))
    receiver.catch_up(sender)
    assert set(receiver.state.registry.names) == {'a'}
    assert receiver.state.replica.position.revision == 5


def test_a_change_too_large_for_a_datagram_is_fetched() -> None:
    sender, receiver = publisher_with_subscriber()
    version = random.Random(fixtures.SEED).getrandbits(13_000)
    sender.write('op/config', str(version), 6)
    receiver.subscriber.on_announcement(sender.sent[-1])
    assert receiver.subscriber._fetch_needed.is_set()
    receiver.catch_up(sender)
    assert receiver.state.routing.config.version == version


def test_a_subscriber_prefers_a_current_publisher_of_its_domain() -> None:
    receiver = SubscriberHarness()
    receiver.state.replica.merge_listing(listing(5))
    assert receiver.chosen_sources() == [FAR, NEAR]
    receiver.subscriber.on_announcement(heartbeat(FAR, 'there', 5))
    assert receiver.chosen_sources() == [FAR]
    receiver.subscriber.on_announcement(heartbeat(NEAR, 'here', 5))
    assert receiver.chosen_sources() == [NEAR]
    receiver.subscriber.on_announcement(heartbeat(NEAR, 'here', 5, age_ms=2500))
    assert receiver.chosen_sources() == [FAR]
    receiver.state.clock.now += 1.3
    assert receiver.chosen_sources() == [FAR, NEAR]


def test_a_publisher_follows_all_other_publishers() -> None:
    receiver = SubscriberHarness(control=NEAR)
    receiver.subscriber.on_announcement(heartbeat(FAR, 'there', 5))
    receiver.subscriber.on_referral(peer_messages.Referral(OTHER))
    receiver.subscriber.on_announcement(heartbeat(OTHER, 'here', 5))
    assert receiver.chosen_sources() == [FAR]
    assert receiver.subscriber.served_by_others() == 3


def test_a_subscriber_that_another_publisher_counts_is_not_counted() -> None:
    sender = PublisherHarness()
    sender.state.replica.merge_listing(listing(5))
    sender.publisher.on_subscription(subscription(OTHER))
    sender.publisher.on_subscription(subscription(FAR, is_counted=False))
    sender.publisher.send_heartbeats()
    assert sender.sent[-1].served == 2
    assert sender.sent[-1].fleet == 6


def test_a_subscriber_of_several_publishers_is_counted_by_one() -> None:
    receiver = SubscriberHarness()
    senders = {NEAR: PublisherHarness(), FAR: PublisherHarness()}
    receiver.state.replica.merge_listing(listing(5))
    receiver.subscriber.subscribe()
    deliver(receiver, senders)
    assert [sender.publisher.served for sender in senders.values()] == [1, 1]
    receiver.subscriber.on_announcement(heartbeat(FAR, 'there', 5))
    deliver(receiver, senders)
    assert [sender.publisher.served for sender in senders.values()] == [1, 2]
    receiver.subscriber.on_announcement(heartbeat(NEAR, 'here', 5))
    receiver.subscriber.subscribe()
    deliver(receiver, senders)
    assert [sender.publisher.served for sender in senders.values()] == [2, 1]


def deliver(
    receiver: SubscriberHarness, senders: dict[str, PublisherHarness]
) -> None:
    """Deliver the messages of a subscriber to the publishers."""
    for control, message in receiver.sent:
        publisher = senders[control].publisher
        if isinstance(message, peer_messages.Unsubscription):
            publisher.on_unsubscription(message)
        else:
            publisher.on_subscription(message)
    receiver.sent.clear()


def test_later_subscribers_of_a_domain_are_referred_to_its_relays() -> None:
    for domain, relays in (('there', 2), ('here', 24)):
        sender = PublisherHarness()
        sender.state.replica.merge_listing(listing(5))
        referred = set()
        for index in range(100, 160):
            sender.sent.clear()
            control = f'127.0.0.1:{index}'
            sender.publisher.on_subscription(subscription(control, domain))
            sender.publisher.on_subscription(subscription(control, domain))
            referrals = {
                one.control
                for one in sender.sent
                if isinstance(one, peer_messages.Referral)
            }
            assert len(referrals) == (index >= 100 + relays), index
            referred |= referrals
        relay_addresses = {f'127.0.0.1:{100 + one}' for one in range(relays)}
        assert referred <= relay_addresses
        assert len(referred) > 1


def test_a_subscriber_follows_a_relay_until_it_falls_silent() -> None:
    receiver = SubscriberHarness()
    receiver.state.replica.merge_listing(listing(5))
    receiver.subscriber.on_announcement(heartbeat(FAR, 'there', 5))
    receiver.subscriber.subscribe()
    receiver.sent.clear()
    receiver.subscriber.on_referral(peer_messages.Referral(OTHER))
    assert [control for control, _ in receiver.sent] == [OTHER]
    assert receiver.chosen_sources() == [FAR]
    receiver.subscriber.on_announcement(heartbeat(OTHER, 'here', 5))
    assert receiver.chosen_sources() == [OTHER]
    receiver.state.clock.now += 1.3
    assert set(receiver.chosen_sources()) == {FAR, NEAR, OTHER}
    receiver.subscriber.on_announcement(heartbeat(FAR, 'there', 5))
    assert receiver.chosen_sources() == [FAR]


def test_a_relay_passes_on_only_heartbeats_of_publishers() -> None:
    receiver = SubscriberHarness()
    receiver.state.replica.merge_listing(listing(5))
    receiver.subscriber.on_announcement(heartbeat(FAR, 'there', 5))
    assert receiver.unchanged_count == 1
    receiver.subscriber.on_announcement(heartbeat(OTHER, 'here', 5))
    assert receiver.unchanged_count == 1


def test_entry_vms_behind_a_relay_are_counted_until_it_falls_silent() -> None:
    sender = PublisherHarness()
    sender.publisher.on_subscription(subscription(OTHER, served=7))
    assert sender.publisher.served == 9
    # The entry VMs behind a silent relay subscribe to a publisher again, and
    # would be counted twice.
    sender.state.clock.now += 1.3
    assert sender.publisher.served == 2


def test_invalid_datagrams_raise_errors_that_name_the_peer() -> None:
    encoded = peer_messages.encode(subscription(NEAR))
    decoded = peer_messages.decode_datagram(encoded, 'peer')
    assert decoded == subscription(NEAR)
    with_invalid_address = [
        peer_messages.encode(subscription(control))
        for control in ('10.0.0.1', 'name:80', '10.0.0.1:70000')
    ]
    oversized = zlib.compress(bytes(20_000_000))
    for datagram in (
        b'',
        b'{}',
        encoded[:-1],
        zlib.compress(b'other'),
        oversized,
        *with_invalid_address,
    ):
        try:
            peer_messages.decode_datagram(datagram, 'peer-7')
        except peer_messages.PeerError as error:
            assert error.peer == 'peer-7'
        else:
            raise AssertionError(datagram)
