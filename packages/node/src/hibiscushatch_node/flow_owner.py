"""What the owner of a bucket does with the packets that pass it.

The owner places new flows, keeps an entry for each flow it has seen, and
tells replies of a flow's upstream from those of an abandoned placement.
"""

from hibiscushatch_core import packets
from hibiscushatch_core.buckets import BucketState
from hibiscushatch_core.manifest import Upstream
from hibiscushatch_core.reasons import DropReason, RefusalReason
from hibiscushatch_core.relay import Direction, RelayedPacket
from hibiscushatch_node.connector import Connector
from hibiscushatch_node.flow_table import FlowEntry, FlowState
from hibiscushatch_node.located_packet import LocatedPacket
from hibiscushatch_node.mover import BucketMover
from hibiscushatch_node.node_state import NodeState
from hibiscushatch_node.packet_exit import PacketExit

SYN_ACK = packets.TCP_SYN | packets.TCP_ACK


class FlowOwner:
    """Handles the packets of buckets that this VM owns."""

    def __init__(
        self,
        state: NodeState,
        exit_: PacketExit,
        connector: Connector,
        mover: BucketMover,
    ) -> None:
        self._state = state
        self._exit = exit_
        self._connector = connector
        self._mover = mover

    def handle_caller_packet(
        self, located: LocatedPacket, relayed: RelayedPacket
    ) -> None:
        """Route a packet of a caller.

        Args:
            located: The packet.
            relayed: How it came here.
        """
        entry = self._find(located)
        flags = located.headers.tcp_flags
        if _opens_flow(flags) and located.headers.payload_bytes:
            self._exit.drop(DropReason.SYN_WITH_PAYLOAD)
            return
        if _opens_flow(flags) and not _is_live(entry):
            self._connector.begin(located)
            return
        if entry is None and self._ask_previous_owner(located, relayed):
            return
        if entry is None:
            entry = self._learn(located)
        self._note_caller_packet(located, entry)
        if entry.state is FlowState.CONNECTING:
            self._connector.repeat(located, entry)
            return
        if self._is_silent(located, entry):
            self._reset_flow(located, entry, RefusalReason.SILENT_FLOW)
            return
        self._forward_to_upstream(located, entry)

    def handle_reply(
        self, located: LocatedPacket, relayed: RelayedPacket, sender: Upstream
    ) -> None:
        """Route a packet of an upstream.

        Args:
            located: The packet.
            relayed: How it came here.
            sender: The upstream that sent it.
        """
        entry = self._find(located)
        if entry is None and self._ask_previous_owner(located, relayed):
            return
        if entry is None:
            self._handle_reply_without_entry(located, sender)
            return
        if entry.upstream != sender.name:
            self._turn_away_reply(located, sender)
            return
        if entry.learned and self._is_doubtful_reset(located):
            self._forget(located, entry)
            self._exit.drop(DropReason.STALE_RESET)
            return
        self._note_reply(located, entry)
        if entry.state is FlowState.CONNECTING:
            self._connector.take_answer(located, entry)
            return
        self._exit.to_caller(located.packet)

    def _find(self, located: LocatedPacket) -> FlowEntry | None:
        return self._state.flows.find(
            located.service.name, located.index, located.key
        )

    def _bucket(self, located: LocatedPacket) -> BucketState:
        return self._state.table.state(located.service.name, located.index)

    def _learn(self, located: LocatedPacket) -> FlowEntry:
        """Enter a flow that began before this VM saw it."""
        base = self._usable_base(located)
        entry = FlowEntry(base, FlowState.OPEN, self._state.now(), learned=True)
        if not located.headers.tcp_flags & packets.TCP_CONTROL:
            self._state.flows.put(
                located.service.name, located.index, located.key, entry
            )
            self._count(located, entry)
        return entry

    def _count(self, located: LocatedPacket, entry: FlowEntry) -> None:
        if self._state.owns(located.service.name, located.index):
            self._connector.admission.count(entry)

    def _usable_base(self, located: LocatedPacket) -> str:
        """Choose where a flow without an entry is.

        A datagram may begin a flow. It is new for certain once the owner has
        seen all packets of the bucket for the idle timeout, and it has to go
        where new flows go when the base takes no packets any more.
        """
        bucket = self._bucket(located)
        base = bucket.bases[0]
        service = located.service
        if service.key.protocol == packets.TCP:
            return base
        watched_s = self._mover.watched_s(service.name, located.index)
        if watched_s >= service.idle_timeout_s:
            return bucket.current
        upstream = self._state.directory.find(base)
        if upstream and self._state.directory.may_receive(upstream):
            return base
        return bucket.current

    def _ask_previous_owner(
        self, located: LocatedPacket, relayed: RelayedPacket
    ) -> bool:
        if relayed.direction is Direction.FROM_CALLER:
            onward = Direction.FROM_CALLER_TO_PREVIOUS_OWNER
        elif relayed.direction is Direction.FROM_UPSTREAM:
            onward = Direction.FROM_UPSTREAM_TO_PREVIOUS_OWNER
        else:
            return False
        opens = located.headers.tcp_flags & packets.TCP_SYN
        if self._bucket(located).is_stable and not opens:
            return False
        previous = self._state.ownership.previous_owner(
            located.service.name, located.index, self._state.now()
        )
        if not previous or previous == self._state.name:
            return False
        self._exit.relay(
            previous,
            RelayedPacket(
                relayed.hops,
                onward,
                relayed.sender_address,
                relayed.packet,
            ),
        )
        return True

    def _note_caller_packet(
        self, located: LocatedPacket, entry: FlowEntry
    ) -> None:
        now_s = self._state.now()
        entry.seen_at_s = now_s
        headers = located.headers
        if headers.payload_bytes:
            entry.waiting_since_s = entry.waiting_since_s or now_s
        self._note_closing(located, entry)

    def _note_reply(self, located: LocatedPacket, entry: FlowEntry) -> None:
        entry.seen_at_s = self._state.now()
        entry.waiting_since_s = 0
        entry.learned = False
        self._mover.note_answer(entry.upstream, entry.seen_at_s)
        if entry.state is not FlowState.CONNECTING:
            self._note_closing(located, entry)

    def _note_closing(self, located: LocatedPacket, entry: FlowEntry) -> None:
        ends = located.headers.tcp_flags & (packets.TCP_FIN | packets.TCP_RST)
        if not ends or entry.state is FlowState.CLOSING:
            return
        if entry.state is FlowState.CONNECTING:
            return
        entry.state = FlowState.CLOSING
        self._connector.admission.uncount(entry)

    def _is_silent(self, located: LocatedPacket, entry: FlowEntry) -> bool:
        """Tell whether the upstream has lost track of a flow.

        A stable bucket shows its owner only some packets, so a suspect flow
        first has its bucket put in motion, where the owner sees them all.
        """
        if not entry.waiting_since_s:
            return False
        waited_s = self._state.now() - entry.waiting_since_s
        if waited_s <= located.service.silent_timeout_s:
            return False
        if self._bucket(located).is_stable:
            entry.waiting_since_s = 0
            self._mover.inspect(located.service.name, located.index)
            return False
        return self._mover.answered_at_s(entry.upstream) > entry.waiting_since_s

    def _forward_to_upstream(
        self, located: LocatedPacket, entry: FlowEntry
    ) -> None:
        sent = self._exit.to_upstream(
            located.service, entry.upstream, located.packet
        )
        if sent:
            return
        self._reset_flow(located, entry, self._reason_unsent(entry))

    def _reason_unsent(self, entry: FlowEntry) -> RefusalReason:
        if self._state.directory.find(entry.upstream) is None:
            return RefusalReason.UPSTREAM_GONE
        return RefusalReason.DOMAIN_OUT

    def _reset_flow(
        self, located: LocatedPacket, entry: FlowEntry, reason: RefusalReason
    ) -> None:
        if not located.headers.tcp_flags & packets.TCP_RST:
            self._exit.refuse(located.service, located.packet, reason)
        self._forget(located, entry)

    def _forget(self, located: LocatedPacket, entry: FlowEntry) -> None:
        self._connector.admission.uncount(entry)
        self._state.flows.remove(
            located.service.name, located.index, located.key
        )

    def _is_doubtful_reset(self, located: LocatedPacket) -> bool:
        """Tell whether a reset may come from a wrong upstream.

        While a failure domain is out of touch, a flow that is unknown here
        may be placed on the other side. Its caller's next packet may arrive
        there, so the reset is kept from it.
        """
        is_reset = located.headers.tcp_flags & packets.TCP_RST
        return bool(is_reset) and self._state.ownership.is_view_partial(
            self._state.now()
        )

    def _handle_reply_without_entry(
        self, located: LocatedPacket, sender: Upstream
    ) -> None:
        bucket = self._bucket(located)
        placed = located.headers.tcp_flags & SYN_ACK == SYN_ACK
        if self._is_doubtful_reset(located):
            self._exit.drop(DropReason.STALE_RESET)
        elif sender.name in bucket.bases:
            self._exit.to_caller(located.packet)
        elif placed and sender.name == bucket.current:
            self._enter_placed(located, sender)
            self._exit.to_caller(located.packet)
        else:
            self._turn_away_reply(located, sender)

    def _enter_placed(self, located: LocatedPacket, sender: Upstream) -> None:
        """Enter a flow that a lost owner placed just before."""
        entry = FlowEntry(sender.name, FlowState.OPEN, self._state.now())
        self._state.flows.put(
            located.service.name, located.index, located.key, entry
        )
        self._count(located, entry)

    def _turn_away_reply(
        self, located: LocatedPacket, sender: Upstream
    ) -> None:
        """Keep a reply of an abandoned placement from the caller."""
        flags = located.headers.tcp_flags
        if flags & packets.TCP_RST:
            self._exit.drop(DropReason.STALE_RESET)
            return
        if flags & packets.TCP_SYN:
            self._exit.drop(DropReason.LATE_REPLY)
        else:
            self._exit.drop(DropReason.WRONG_SENDER)
        if flags & SYN_ACK == SYN_ACK:
            self._exit.reset_upstream(
                located.service, sender.name, located.packet
            )


def _opens_flow(flags: int) -> bool:
    return flags & SYN_ACK == packets.TCP_SYN


def _is_live(entry: FlowEntry | None) -> bool:
    return entry is not None and entry.state is not FlowState.CLOSING
