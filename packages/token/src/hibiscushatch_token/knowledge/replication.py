"""Puts together what keeps this entry VM's knowledge up to date."""

from hibiscushatch_core.udp_receiver import UdpReceiver, open_udp_socket
from hibiscushatch_token import http1
from hibiscushatch_token.environment import Environment
from hibiscushatch_token.health.outlier_detector import OutlierDetector
from hibiscushatch_token.knowledge import peer_messages
from hibiscushatch_token.knowledge.failure_reporter import FailureReporter
from hibiscushatch_token.knowledge.known_state import KnownState
from hibiscushatch_token.knowledge.peer_socket import PeerSocket
from hibiscushatch_token.knowledge.publisher import Publisher
from hibiscushatch_token.knowledge.reading_turn import ReadingTurn
from hibiscushatch_token.knowledge.replica import StoreReplica
from hibiscushatch_token.knowledge.store_reader import StoreReader
from hibiscushatch_token.knowledge.subscriber import SNAPSHOT_PATH, Subscriber
from hibiscushatch_token.ports import Changes, Documents, Store
from hibiscushatch_token.settings import TokenNodeSettings, socket_address


class Replication:
    """What keeps the replica of the store up to date, here and at peers.

    Args:
        settings: Settings of this entry VM.
        store: The platform's store.
        documents: Reads what lies in the store.
        known: Told what is new.
        outliers: Told what peers report of upstreams.
        environment: Counters, clock and randomness.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        store: Store,
        documents: Documents,
        known: KnownState,
        outliers: OutlierDetector,
        environment: Environment,
    ) -> None:
        clock = environment.clock
        counters = environment.counters
        control = socket_address(settings.control)
        self._settings = settings
        self._outliers = outliers
        udp_socket = open_udp_socket(control)
        peers = PeerSocket(udp_socket, counters)
        self.receiver = UdpReceiver(udp_socket, peers.handle, counters)
        self.replica = StoreReplica(
            documents,
            known.routing,
            known.registry,
            clock,
            settings.store.lapse_grace_s,
            settings.store.outage_s,
        )
        self.subscriber = Subscriber(
            settings,
            self.replica,
            clock,
            peers.send,
            self._told,
            self._renewed,
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
        self.failures = FailureReporter(
            settings,
            outliers,
            clock,
            peers.send,
            lambda: self.subscriber.followed,
            self._ejected,
        )
        peers.connect(peer_messages.Subscription, self.publisher.subscribed)
        peers.connect(peer_messages.Unsubscription, self.publisher.unsubscribed)
        peers.connect(peer_messages.Referral, self.subscriber.referred)
        peers.connect(peer_messages.Announcement, self._announced)
        peers.connect(peer_messages.FailureReport, self.failures.received)
        self._turn = ReadingTurn(
            settings,
            self.replica,
            self.subscriber.hears_source,
            self._count_fleet,
            environment.randomness,
        )
        self.reader = StoreReader(
            settings.store,
            store,
            self.replica,
            counters,
            self._turn,
            self._changed,
            self._proved,
        )
        self.server = http1.Server(
            control, {SNAPSHOT_PATH.encode(): self.publisher.snapshot}
        )

    @property
    def fleet(self) -> int:
        """Number of entry VMs as far as it is known; 0 when it is not."""
        return self._count_fleet()

    def _count_fleet(self) -> int:
        return max(self.subscriber.fleet, self.subscriber.count_fleet())

    def _proved(self, before: int, changes: Changes) -> None:
        # Publishers that could not read the store tell the others.
        settings = self._settings
        if not settings.is_publisher:
            addresses = [socket_address(one) for one in settings.publishers]
            self.publisher.tell(addresses, before, changes)

    def _changed(self, before: int, changes: Changes) -> None:
        self.publisher.changed(before, changes, is_told=False)

    def _told(self, before: int, changes: Changes) -> None:
        self.publisher.changed(before, changes, is_told=True)

    def _announced(self, message: peer_messages.Announcement) -> None:
        # A publisher comes to its own verdicts: it gets all reports.
        if not self._settings.is_publisher:
            for one in message.ejections:
                left_s = one.left_ms / peer_messages.MS_PER_S
                self._outliers.adopt_ejection(
                    one.upstream, left_s, message.control
                )
        if (
            message.age_ms
            <= self._settings.store.fresh_s * peer_messages.MS_PER_S
        ):
            self._turn.told(message.control)
        self.subscriber.announced(message)

    def _ejected(self) -> None:
        if self._settings.is_publisher:
            self.publisher.announce()

    def _renewed(self) -> None:
        self.publisher.announce()

    def _count_served(self) -> int:
        return self.publisher.served - 1
