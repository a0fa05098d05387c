"""What forwards packets of callers, before and while the event loop runs.

Importing asyncio and the control plane takes longer than all that forwarding
needs. So this part of an entry VM does without them. It is built first, and the
start handles packets with it between the remaining imports. Then the entry VM
takes it over, with the flows, upstreams and counts that it has by then.
"""

import logging
import random
import time
from collections.abc import Callable

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.unexpected_errors import UnexpectedErrors
from hibiscushatch_token.caller_socket import CallerReader, CallerSocket
from hibiscushatch_token.environment import Environment
from hibiscushatch_token.knowledge.replica import StoreReplica
from hibiscushatch_token.ports import Documents, Listing, PacketCodec
from hibiscushatch_token.settings import TokenNodeSettings
from hibiscushatch_token.traffic.packet_path import PacketPath

_log = logging.getLogger(__name__)


class DataPlane:
    """The packet path of an entry VM, its socket and what it knows.

    Args:
        settings: Settings of this entry VM.
        caller_socket: The bound socket of callers' packets.
        codec: The packet format.
        documents: Decodes the items of the store.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        caller_socket: CallerSocket,
        codec: PacketCodec,
        documents: Documents,
    ) -> None:
        self.settings = settings
        self.udp_socket = caller_socket.udp_socket
        self.environment = Environment(
            codec,
            Counters(),
            time.monotonic,
            random.Random(settings.random_seed),  # noqa: S311
        )
        # Whether the replica has all items of the listings that were applied.
        self.has_history = True
        self._count_fleet: Callable[[], int] | None = None
        self.traffic = PacketPath(
            settings, self.environment, self.udp_socket.sendto, self.count_fleet
        )
        self.replica = StoreReplica(
            documents,
            self.traffic.known.routing,
            self.traffic.known.registry,
            time.monotonic,
            settings.store,
            self.environment.counters,
        )
        counters = self.environment.counters
        self.reader = CallerReader(
            caller_socket,
            self.traffic.forwarder.handle,
            self.traffic.backlog.handle,
            counters,
            time.monotonic,
        )
        self._errors = UnexpectedErrors(counters)
        self._bound_at = caller_socket.bound_at
        self._is_forwarding = False

    def count_fleet(self) -> int:
        """Return the number of entry VMs; 0 when unknown."""
        return 0 if self._count_fleet is None else self._count_fleet()

    def count_fleet_by(self, count_fleet: Callable[[], int]) -> None:
        """Set the function that counts the entry VMs."""
        self._count_fleet = count_fleet

    def apply_listing(self, listing: Listing) -> None:
        """Apply the first listing of the store."""
        self.has_history = False
        try:
            self.replica.merge_listing(listing)
        except Exception as error:
            # What was read may be merged in part only.
            self._errors.record('reading the store', error)
            return
        # A first listing without a configuration is from before the operators
        # wrote one; the next read is another listing.
        self.has_history = self.replica.has_config

    def forward_waiting(self) -> None:
        """Handle the packets that are waiting in the socket.

        Without a configuration, they are left there.
        """
        if not self.replica.has_config:
            return
        waited_max_s = time.monotonic() - self._bound_at
        packets = self.reader.read_backlog()
        if not self._is_forwarding:
            self._is_forwarding = True
            _log.info(
                'early packets handled',
                extra={
                    'packets': packets,
                    'waited_max_s': round(waited_max_s, 3),
                },
            )
        self._errors.guard('retrying flows', self.retry_flows)

    def retry_flows(self) -> float | None:
        """Place again what is unanswered, and place what was deferred.

        Returns:
            Seconds until the next call is due; None if packets are waiting,
            among which answers may be.
        """
        # An answer may have arrived since the last packet was handled: all
        # waiting packets are handled before flows count as unanswered.
        if not self.reader.read_waiting():
            return None
        pause_s = self.traffic.opener.retry_unanswered()
        self.traffic.opener.place_late_flows()
        self.traffic.request_watch.record_overdue()
        return pause_s
