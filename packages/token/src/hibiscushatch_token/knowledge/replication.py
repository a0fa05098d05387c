"""Connects the parts that keep the replica of the store up to date."""

from hibiscushatch_core.busy_addresses import bind_when_free
from hibiscushatch_core.udp_receiver import UdpReceiver
from hibiscushatch_core.udp_socket import open_udp_socket
from hibiscushatch_token import http1
from hibiscushatch_token.environment import Environment
from hibiscushatch_token.health.outlier_detector import OutlierDetector
from hibiscushatch_token.knowledge import peer_messages
from hibiscushatch_token.knowledge.failure_reporter import FailureReporter
from hibiscushatch_token.knowledge.peer_socket import PeerSocket
from hibiscushatch_token.knowledge.publisher import Publisher
from hibiscushatch_token.knowledge.reading_turn import ReadingTurn
from hibiscushatch_token.knowledge.replica import StoreReplica
from hibiscushatch_token.knowledge.store_reader import StoreReader
from hibiscushatch_token.knowledge.subscriber import SNAPSHOT_PATH, Subscriber
from hibiscushatch_token.ports import (
    Changes,
    Position,
    Store,
)
from hibiscushatch_token.settings import TokenNodeSettings, socket_address


class Replication:
    """Keeps the replicas of the store up to date, here and at peers.

    Args:
        settings: Settings of this entry VM.
        store: The platform's store.
        replica: The replica; an earlier listing may be in it already.
        outliers: Receives the failures and ejections that peers report.
        environment: Counters, clock and randomness.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        store: Store,
        replica: StoreReplica,
        outliers: OutlierDetector,
        environment: Environment,
    ) -> None:
        clock = environment.clock
        counters = environment.counters
        control = socket_address(settings.control)
        self._settings = settings
        self._outliers = outliers
        udp_socket = bind_when_free(
            settings.control, lambda: open_udp_socket(control)
        )
        peers = PeerSocket(udp_socket, counters)
        self.receiver = UdpReceiver(udp_socket, peers.handle, counters)
        self.replica = replica
        self.subscriber = Subscriber(
            settings,
            self.replica,
            clock,
            peers.send,
            self._on_peer_changes,
            self._on_unchanged,
            self._count_served,
        )
        self.publisher = Publisher(
            settings,
            self.replica,
            clock,
            peers.send,
            outliers,
            self.subscriber.count_fleet,
        )
        self.failure_reporter = FailureReporter(
            settings,
            outliers,
            clock,
            peers.send,
            lambda: self.subscriber.followed,
            self._on_ejection,
        )
        peers.add_handler(
            peer_messages.Subscription, self.publisher.on_subscription
        )
        peers.add_handler(
            peer_messages.Unsubscription, self.publisher.on_unsubscription
        )
        peers.add_handler(peer_messages.Referral, self.subscriber.on_referral)
        peers.add_handler(peer_messages.Announcement, self._on_announcement)
        peers.add_handler(
            peer_messages.FailureReport, self.failure_reporter.on_report
        )
        self._turn = ReadingTurn(
            settings,
            self.replica,
            self.subscriber.has_live_source,
            self._count_fleet,
            environment.randomness,
        )
        self.reader = StoreReader(
            settings.store,
            store,
            self.replica,
            counters,
            self._turn,
            self._on_store_changes,
            self._on_confirmed,
        )
        self.server = http1.Server(
            control,
            {SNAPSHOT_PATH.encode(): self.publisher.respond_to_catch_up},
            counters,
        )

    @property
    def fleet_size(self) -> int:
        """Number of entry VMs; 0 when unknown."""
        return self._count_fleet()

    def _count_fleet(self) -> int:
        return max(self.subscriber.largest_fleet, self.subscriber.count_fleet())

    def _on_confirmed(self, before: Position, changes: Changes) -> None:
        # When another entry VM has read the store, the publishers most likely
        # could not. They get the changes and pass them on to the others.
        settings = self._settings
        if not settings.is_publisher:
            addresses = [
                socket_address(control) for control in settings.publishers
            ]
            self.publisher.send_update(addresses, before, changes)

    def _on_store_changes(self, before: Position, changes: Changes) -> None:
        self.publisher.announce_changes(before, changes, is_from_peer=False)

    def _on_peer_changes(self, before: Position, changes: Changes) -> None:
        self.publisher.announce_changes(before, changes, is_from_peer=True)

    def _on_announcement(self, message: peer_messages.Announcement) -> None:
        # A publisher decides on ejections itself because it gets all reports.
        if not self._settings.is_publisher:
            for ejection in message.ejections:
                remaining_s = ejection.left_ms / peer_messages.MS_PER_S
                self._outliers.adopt_ejection(
                    ejection.upstream, remaining_s, message.control
                )
        fresh_ms = self._settings.store.fresh_s * peer_messages.MS_PER_S
        is_current_era = message.era >= self.replica.position.era
        is_own_read = (
            message.read is not None and message.read.reader == message.control
        )
        if message.age_ms <= fresh_ms and is_current_era and is_own_read:
            self._turn.on_fresh_announcement(message.control)
        self.subscriber.on_announcement(message)

    def _on_ejection(self) -> None:
        if self._settings.is_publisher:
            self.publisher.send_heartbeats()

    def _on_unchanged(self) -> None:
        self.publisher.send_heartbeats()

    def _count_served(self) -> int:
        return self.publisher.served - 1
