"""Tests of hibiscushatch_token.knowledge.publisher and subscriber together."""

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


class PublisherScene:
    """A publisher with a replica, and what it sent to one subscriber."""

    def __init__(self) -> None:
        self.scene = replica_harness()
        self.sent: list[peer_messages.Announcement] = []
        self.detector = OutlierDetector(
            OutlierSettings(),
            KnownState(self.scene.routing, self.scene.registry, int),
            self.scene.clock,
        )
        self.publisher = Publisher(
            fixtures.settings(control=NEAR, publishers=[NEAR, FAR]),
            self.scene.replica,
            self.scene.clock,
            self._send,
            self.detector,
            self._count_fleet,
        )

    def write(self, key: str, value: str | None, revision: int) -> None:
        """Merge a change and announce it."""
        before = self.scene.replica.revision
        merged = self.scene.replica.merge_changes(
            before, change(key, value, revision)
        )
        self.scene.replica.prove(0)
        self.publisher.changed(before, merged, is_told=False)

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


class SubscriberScene:
    """A subscriber with a replica, and whom it subscribed to."""

    def __init__(self, control: str = '127.0.0.1:3') -> None:
        self.scene = replica_harness()
        self.subscriber = Subscriber(
            fixtures.settings(control=control, publishers=[FAR, NEAR]),
            self.scene.replica,
            self.scene.clock,
            self._send,
            lambda _before, _changes: None,
            self._renew,
            int,
        )
        self.renewed = 0
        self.told: list[tuple[str, peer_messages.Datagram]] = []

    def catch_up(self, sender: PublisherScene) -> None:
        """Fetch from a publisher what is missing."""
        before = self.scene.replica.revision
        for option in (b'', b'&keys'):
            response = sender.publisher.snapshot(b'%d%s' % (before, option))
            if self.subscriber._merge(before, response.body, 'publisher'):
                break

    def _send(self, datagram: bytes, address: tuple[str, int]) -> None:
        message = peer_messages.decode_datagram(datagram, 'subscriber')
        self.told.append((':'.join(map(str, address)), message))

    def _renew(self) -> None:
        self.renewed += 1

    def wanted(self) -> list[str]:
        """Return the publishers that it subscribes to next."""
        return self.subscriber._wanted_sources()


def heartbeat(
    control: str, domain: str, revision: int, age_ms: int = 0, fleet: int = 3
) -> peer_messages.Announcement:
    """Build an announcement without changes."""
    return peer_messages.Announcement(
        'vm', control, domain, revision, age_ms, fleet, fleet, revision
    )


def followed_publisher() -> tuple[PublisherScene, SubscriberScene]:
    """Make a publisher and a subscriber that know the same."""
    sender = PublisherScene()
    receiver = SubscriberScene()
    for scene in (sender.scene, receiver.scene):
        scene.replica.merge_listing(listing(5))
    sender.publisher.subscribed(subscription(OTHER))
    sender.sent.clear()
    return sender, receiver


def test_a_change_reaches_a_subscriber_that_has_what_came_before() -> None:
    sender = PublisherScene()
    receiver = SubscriberScene()
    for scene in (sender.scene, receiver.scene):
        scene.replica.merge_listing(listing(5, servers_a='here'))
    sender.publisher.subscribed(subscription(OTHER))
    sender.write('servers/b', 'there', 6)
    receiver.subscriber.announced(sender.sent[-1])
    assert set(receiver.scene.registry.names) == {'a', 'b'}
    assert receiver.scene.replica.age_s == 0


def test_a_lost_announcement_is_noticed_and_made_up_for() -> None:
    sender, receiver = followed_publisher()
    sender.write('servers/a', 'here', 6)
    sender.write('servers/b', 'here', 7)
    receiver.subscriber.announced(sender.sent[-1])
    assert receiver.subscriber._wanted.is_set()
    receiver.catch_up(sender)
    assert set(receiver.scene.registry.names) == {'a', 'b'}


def test_many_changes_go_out_in_several_datagrams_that_follow_on() -> None:
    sender, receiver = followed_publisher()
    randomness = random.Random(fixtures.SEED)
    events = tuple(
        WatchEvent(f'servers/{randomness.random()}', b'here', index)
        for index in range(6, 206)
    )
    sender.scene.replica.merge_changes(5, Changes(events, 210))
    sender.publisher.changed(5, Changes(events, 210), is_told=False)
    assert 1 < len(sender.sent) < 20
    for announcement in sender.sent:
        encoded = peer_messages.encode(announcement)
        assert len(encoded) <= 1400
        receiver.subscriber.announced(announcement)
    assert not receiver.subscriber._wanted.is_set()
    assert receiver.scene.replica.revision == 210
    assert len(receiver.scene.registry.names) == 200


def test_a_first_listing_is_not_announced_item_by_item() -> None:
    sender = PublisherScene()
    sender.publisher.subscribed(subscription(OTHER))
    upstreams = {f'servers_{index:03}': 'here' for index in range(300)}
    changes = sender.scene.replica.merge_listing(listing(5, **upstreams))
    sender.publisher.changed(0, changes, is_told=False)
    assert [one.revision for one in sender.sent] == [5]
    assert sender.sent[0].items == []
    receiver = SubscriberScene()
    receiver.catch_up(sender)
    assert len(receiver.scene.registry.names) == 300


def test_who_misses_more_than_the_log_has_gets_everything() -> None:
    sender = PublisherScene()
    receiver = SubscriberScene()
    for scene in (sender.scene, receiver.scene):
        scene.replica.merge_listing(listing(5, servers_gone='here'))
    sender.write('servers/gone', None, 6)
    for revision in range(7, 2107):
        sender.write('servers/a', 'here', revision)
    # What was deleted is not in the answer, which the reader notices.
    response = sender.publisher.snapshot(b'5')
    message = peer_messages.decode_catch_up(response.body, 'publisher')
    assert isinstance(message, peer_messages.Refresh)
    assert not receiver.subscriber._merge(5, response.body, 'publisher')
    receiver.catch_up(sender)
    assert set(receiver.scene.registry.names) == {'a'}
    assert receiver.scene.replica.revision == 2106


def test_whoever_starts_with_an_old_listing_fetches_what_it_lacks() -> None:
    # The publisher has just started as well and has no changes to tell.
    sender = PublisherScene()
    receiver = SubscriberScene()
    known = [StoredValue(f'servers/{one:03}', b'here', 3) for one in range(299)]
    newest = StoredValue('servers/new', b'here', 5)
    sender.scene.replica.merge_listing(Listing((*known, newest), 5))
    receiver.scene.replica.merge_listing(Listing(tuple(known), 4))
    assert len(sender.publisher.snapshot(b'4').body) < 200
    receiver.catch_up(sender)
    assert len(receiver.scene.registry.names) == 300
    assert receiver.scene.replica.revision == 5


def test_what_a_publisher_was_told_is_not_told_to_publishers() -> None:
    sender = PublisherScene()
    sender.scene.replica.merge_listing(listing(5))
    for control in (FAR, OTHER):
        sender.publisher.subscribed(subscription(control))
    for is_told, copies in ((False, 2), (True, 1)):
        sender.sent.clear()
        merged = change('servers/a', 'here', 6)
        sender.publisher.changed(5, merged, is_told)
        assert len(sender.sent) == copies, is_told


def test_a_gap_asks_for_a_snapshot_and_proves_nothing() -> None:
    receiver = SubscriberScene()
    receiver.scene.replica.merge_listing(listing(5))
    receiver.scene.clock.now += 1
    receiver.subscriber.announced(heartbeat(NEAR, 'here', 9))
    assert receiver.subscriber._wanted.is_set()
    assert receiver.scene.replica.age_s == 1


def test_only_what_is_missing_is_fetched() -> None:
    sender = PublisherScene()
    receiver = SubscriberScene()
    for scene in (sender.scene, receiver.scene):
        scene.replica.merge_listing(listing(5, servers_a='here'))
    sender.write('servers/c', 'here', 6)
    sender.write('servers/b', 'there', 7)
    sender.write('servers/a', None, 8)
    response = sender.publisher.snapshot(b'6')
    message = peer_messages.decode_catch_up(response.body, 'publisher')
    assert [one.key for one in message.items] == ['servers/b', 'servers/a']
    receiver.catch_up(sender)
    assert set(receiver.scene.registry.names) == {'b', 'c'}
    assert receiver.scene.replica.revision == 8


def test_an_entry_vm_that_starts_gets_a_snapshot() -> None:
    sender = PublisherScene()
    receiver = SubscriberScene()
    sender.scene.replica.merge_listing(listing(5, servers_a='here'))
    receiver.catch_up(sender)
    assert set(receiver.scene.registry.names) == {'a'}
    assert receiver.scene.replica.revision == 5


def test_large_changes_are_fetched_at_once() -> None:
    sender, receiver = followed_publisher()
    version = random.Random(fixtures.SEED).getrandbits(13_000)
    sender.write('op/config', str(version), 6)
    receiver.subscriber.announced(sender.sent[-1])
    assert receiver.subscriber._wanted.is_set()
    receiver.catch_up(sender)
    assert receiver.scene.routing.config.version == version


def test_a_subscriber_prefers_a_near_publisher_that_is_up_to_date() -> None:
    receiver = SubscriberScene()
    receiver.scene.replica.merge_listing(listing(5))
    assert receiver.wanted() == [FAR, NEAR]
    receiver.subscriber.announced(heartbeat(FAR, 'there', 5))
    assert receiver.wanted() == [FAR]
    receiver.subscriber.announced(heartbeat(NEAR, 'here', 5))
    assert receiver.wanted() == [NEAR]
    receiver.subscriber.announced(heartbeat(NEAR, 'here', 5, age_ms=2500))
    assert receiver.wanted() == [FAR]
    receiver.scene.clock.now += 1.3
    assert receiver.wanted() == [FAR, NEAR]


def test_a_publisher_follows_all_others() -> None:
    receiver = SubscriberScene(control=NEAR)
    receiver.subscriber.announced(heartbeat(FAR, 'there', 5))
    receiver.subscriber.referred(peer_messages.Referral(OTHER))
    receiver.subscriber.announced(heartbeat(OTHER, 'here', 5))
    assert receiver.wanted() == [FAR]
    assert receiver.subscriber.served_by_others() == 3


def test_the_fleet_is_counted_once() -> None:
    sender = PublisherScene()
    sender.scene.replica.merge_listing(listing(5))
    sender.publisher.subscribed(subscription(OTHER))
    sender.publisher.subscribed(subscription(FAR, is_counted=False))
    sender.publisher.announce()
    assert sender.sent[-1].served == 2
    assert sender.sent[-1].fleet == 6


def test_an_entry_vm_that_asks_several_publishers_is_counted_once() -> None:
    receiver = SubscriberScene()
    senders = {NEAR: PublisherScene(), FAR: PublisherScene()}
    receiver.scene.replica.merge_listing(listing(5))
    receiver.subscriber.subscribe()
    deliver(receiver, senders)
    assert [one.publisher.served for one in senders.values()] == [1, 1]
    receiver.subscriber.announced(heartbeat(FAR, 'there', 5))
    deliver(receiver, senders)
    assert [one.publisher.served for one in senders.values()] == [1, 2]
    receiver.subscriber.announced(heartbeat(NEAR, 'here', 5))
    receiver.subscriber.subscribe()
    deliver(receiver, senders)
    assert [one.publisher.served for one in senders.values()] == [2, 1]


def deliver(
    receiver: SubscriberScene, senders: dict[str, PublisherScene]
) -> None:
    """Give publishers what a subscriber told them."""
    for control, message in receiver.told:
        publisher = senders[control].publisher
        if isinstance(message, peer_messages.Unsubscription):
            publisher.unsubscribed(message)
        else:
            publisher.subscribed(message)
    receiver.told.clear()


def test_others_of_a_domain_are_referred_to_its_relays() -> None:
    for domain, relays in (('there', 2), ('here', 24)):
        sender = PublisherScene()
        sender.scene.replica.merge_listing(listing(5))
        referred = set()
        for index in range(100, 160):
            sender.sent.clear()
            control = f'127.0.0.1:{index}'
            sender.publisher.subscribed(subscription(control, domain))
            sender.publisher.subscribed(subscription(control, domain))
            referrals = {
                one.control
                for one in sender.sent
                if isinstance(one, peer_messages.Referral)
            }
            assert len(referrals) == (index >= 100 + relays), index
            referred |= referrals
        first = {f'127.0.0.1:{100 + one}' for one in range(relays)}
        assert referred <= first
        assert len(referred) > 1


def test_a_relay_is_followed_as_long_as_it_is_heard() -> None:
    receiver = SubscriberScene()
    receiver.scene.replica.merge_listing(listing(5))
    receiver.subscriber.announced(heartbeat(FAR, 'there', 5))
    receiver.subscriber.subscribe()
    receiver.told.clear()
    receiver.subscriber.referred(peer_messages.Referral(OTHER))
    assert [control for control, _ in receiver.told] == [OTHER]
    assert receiver.wanted() == [FAR]
    receiver.subscriber.announced(heartbeat(OTHER, 'here', 5))
    assert receiver.wanted() == [OTHER]
    receiver.scene.clock.now += 1.3
    assert set(receiver.wanted()) == {FAR, NEAR, OTHER}
    receiver.subscriber.announced(heartbeat(FAR, 'there', 5))
    assert receiver.wanted() == [FAR]


def test_a_relay_passes_on_what_publishers_tell_and_nothing_else() -> None:
    receiver = SubscriberScene()
    receiver.scene.replica.merge_listing(listing(5))
    receiver.subscriber.announced(heartbeat(FAR, 'there', 5))
    assert receiver.renewed == 1
    receiver.subscriber.announced(heartbeat(OTHER, 'here', 5))
    assert receiver.renewed == 1


def test_the_entry_vms_of_a_relay_are_counted() -> None:
    sender = PublisherScene()
    sender.publisher.subscribed(subscription(OTHER, served=7))
    assert sender.publisher.served == 9
    # They come back to the publisher and would be counted twice.
    sender.scene.clock.now += 1.3
    assert sender.publisher.served == 2


def test_datagrams_that_make_no_sense_are_errors_with_the_peer() -> None:
    encoded = peer_messages.encode(subscription(NEAR))
    decoded = peer_messages.decode_datagram(encoded, 'peer')
    assert decoded == subscription(NEAR)
    nowhere = [
        peer_messages.encode(subscription(control))
        for control in ('10.0.0.1', 'name:80', '10.0.0.1:70000')
    ]
    bomb = zlib.compress(bytes(20_000_000))
    for datagram in (
        b'',
        b'{}',
        encoded[:-1],
        zlib.compress(b'other'),
        bomb,
        *nowhere,
    ):
        try:
            peer_messages.decode_datagram(datagram, 'peer-7')
        except peer_messages.PeerError as error:
            assert error.peer == 'peer-7'
        else:
            raise AssertionError(datagram)
