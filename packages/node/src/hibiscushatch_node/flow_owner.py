"""Handles the packets that are sent through the owner of their bucket.

The owner places new flows and keeps an entry for each flow whose packets it
has seen. The entry shows whether a reply comes from the upstream that the flow
is on, or from an upstream on which an attempt to place the flow failed.
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
    """Handles packets of buckets that this VM owns or owned until recently."""

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
        """Handle a packet from a caller.

        Args:
            located: The packet.
            relayed: The packet with its relay header.
        """
        entry = self._find(located)
        flags = located.headers.tcp_flags
        if _opens_flow(flags) and located.headers.payload_bytes:
            self._exit.drop(DropReason.SYN_WITH_PAYLOAD)
            return
        if _opens_flow(flags) and not _is_live(entry):
            self._connector.start_placement(located)
            return
        if entry is None and self._relay_to_previous_owner(located, relayed):
            return
        if entry is None:
            entry = self._create_unconfirmed_entry(located)
        self._record_caller_packet(located, entry)
        if entry.state is FlowState.CONNECTING:
            self._connector.handle_caller_packet(located, entry)
            return
        if self._is_silent(located, entry):
            self._reset_flow(located, entry, RefusalReason.SILENT_FLOW)
            return
        self._forward_to_upstream(located, entry)

    def handle_reply(
        self, located: LocatedPacket, relayed: RelayedPacket, sender: Upstream
    ) -> None:
        """Handle a packet from an upstream.

        Args:
            located: The packet.
            relayed: The packet with its relay header.
            sender: The upstream that sent it.
        """
        entry = self._find(located)
        if entry is None and self._relay_to_previous_owner(located, relayed):
            return
        if entry is None:
            self._handle_reply_without_entry(located, sender)
            return
        if entry.upstream != sender.name:
            self._reject_reply(located, sender)
            return
        if entry.unconfirmed and self._may_be_stale_reset(located):
            self._remove_entry(located, entry)
            self._exit.drop(DropReason.STALE_RESET)
            return
        self._record_reply(located, entry)
        if entry.state is FlowState.CONNECTING:
            self._connector.handle_answer(located, entry)
            return
        self._exit.to_caller(located.packet)

    def _find(self, located: LocatedPacket) -> FlowEntry | None:
        return self._state.flows.find(
            located.service.name, located.index, located.key
        )

    def _bucket(self, located: LocatedPacket) -> BucketState:
        return self._state.table.state(located.service.name, located.index)

    def _create_unconfirmed_entry(self, located: LocatedPacket) -> FlowEntry:
        """Create an entry for a flow whose beginning this VM didn't see.

        It is not stored when the packet is a control packet.
        """
        upstream = self._infer_upstream(located)
        entry = FlowEntry(
            upstream, FlowState.OPEN, self._state.now(), unconfirmed=True
        )
        if not located.headers.tcp_flags & packets.TCP_CONTROL:
            self._state.flows.put(
                located.service.name, located.index, located.key, entry
            )
            self._count_if_owned(located, entry)
        return entry

    def _count_if_owned(self, located: LocatedPacket, entry: FlowEntry) -> None:
        if self._state.owns(located.service.name, located.index):
            self._connector.admission.count(entry)

    def _infer_upstream(self, located: LocatedPacket) -> str:
        """Return the upstream for a caller's packet of a flow without entry.

        A TCP flow is assumed to be on the bucket's first base. A UDP packet
        may also begin a flow. It certainly does when the owner has seen all
        packets of the bucket for the idle timeout; then the flow is placed on
        the upstream for new flows. It is also placed there when packets may
        no longer be sent to the base.
        """
        bucket = self._bucket(located)
        base = bucket.bases[0]
        service = located.service
        if service.key.protocol == packets.TCP:
            return base
        observed_s = self._mover.observed_s(service.name, located.index)
        if observed_s >= service.idle_timeout_s:
            return bucket.current
        upstream = self._state.directory.find(base)
        if upstream and self._state.directory.may_receive(upstream):
            return base
        return bucket.current

    def _relay_to_previous_owner(
        self, located: LocatedPacket, relayed: RelayedPacket
    ) -> bool:
        """Relay a packet to the previous owner, which may have its entry.

        Returns:
            False when the packet was not relayed.
        """
        if relayed.direction is Direction.FROM_CALLER:
            direction = Direction.FROM_CALLER_TO_PREVIOUS_OWNER
        elif relayed.direction is Direction.FROM_UPSTREAM:
            direction = Direction.FROM_UPSTREAM_TO_PREVIOUS_OWNER
        else:
            return False
        has_syn = located.headers.tcp_flags & packets.TCP_SYN
        if self._bucket(located).is_stable and not has_syn:
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
                direction,
                relayed.sender_address,
                relayed.packet,
            ),
        )
        return True

    def _record_caller_packet(
        self, located: LocatedPacket, entry: FlowEntry
    ) -> None:
        now_s = self._state.now()
        entry.seen_at_s = now_s
        headers = located.headers
        if headers.payload_bytes:
            entry.waiting_since_s = entry.waiting_since_s or now_s
        self._record_closing(located, entry)

    def _record_reply(self, located: LocatedPacket, entry: FlowEntry) -> None:
        entry.seen_at_s = self._state.now()
        entry.waiting_since_s = 0
        entry.unconfirmed = False
        self._mover.record_reply(entry.upstream, entry.seen_at_s)
        if entry.state is not FlowState.CONNECTING:
            self._record_closing(located, entry)

    def _record_closing(self, located: LocatedPacket, entry: FlowEntry) -> None:
        ends = located.headers.tcp_flags & (packets.TCP_FIN | packets.TCP_RST)
        if not ends or entry.state is FlowState.CLOSING:
            return
        if entry.state is FlowState.CONNECTING:
            return
        entry.state = FlowState.CLOSING
        self._connector.admission.uncount(entry)

    def _is_silent(self, located: LocatedPacket, entry: FlowEntry) -> bool:
        """Return whether the upstream no longer responds to a flow.

        That is the case when no reply has followed the caller's payload for
        the silent timeout although the upstream has sent other packets since.
        The owner sees only some packets of a stable bucket and may have missed
        the reply. So it first puts the bucket in motion, which sends all
        packets through the owner.
        """
        if not entry.waiting_since_s:
            return False
        waited_s = self._state.now() - entry.waiting_since_s
        if waited_s <= located.service.silent_timeout_s:
            return False
        if self._bucket(located).is_stable:
            entry.waiting_since_s = 0
            self._mover.start_observing(located.service.name, located.index)
            return False
        return (
            self._mover.last_reply_at_s(entry.upstream) > entry.waiting_since_s
        )

    def _forward_to_upstream(
        self, located: LocatedPacket, entry: FlowEntry
    ) -> None:
        sent = self._exit.to_upstream(
            located.service, entry.upstream, located.packet
        )
        if sent:
            return
        self._reset_flow(located, entry, self._reason_not_sent(entry))

    def _reason_not_sent(self, entry: FlowEntry) -> RefusalReason:
        if self._state.directory.find(entry.upstream) is None:
            return RefusalReason.UPSTREAM_GONE
        return RefusalReason.DOMAIN_OUT

    def _reset_flow(
        self, located: LocatedPacket, entry: FlowEntry, reason: RefusalReason
    ) -> None:
        if not located.headers.tcp_flags & packets.TCP_RST:
            self._exit.refuse(located.service, located.packet, reason)
        self._remove_entry(located, entry)

    def _remove_entry(self, located: LocatedPacket, entry: FlowEntry) -> None:
        self._connector.admission.uncount(entry)
        self._state.flows.remove(
            located.service.name, located.index, located.key
        )

    def _may_be_stale_reset(self, located: LocatedPacket) -> bool:
        """Return whether a reset may come from an upstream the flow isn't on.

        While this VM sees no live VM in some failure domain, a flow that is
        unknown here may be placed on another upstream by a VM on the other
        side of the partition. The caller's next packet may arrive there, so
        the caller must not get the reset.
        """
        is_reset = located.headers.tcp_flags & packets.TCP_RST
        return bool(is_reset) and self._state.ownership.is_view_partial(
            self._state.now()
        )

    def _handle_reply_without_entry(
        self, located: LocatedPacket, sender: Upstream
    ) -> None:
        bucket = self._bucket(located)
        is_syn_ack = located.headers.tcp_flags & SYN_ACK == SYN_ACK
        if self._may_be_stale_reset(located):
            self._exit.drop(DropReason.STALE_RESET)
        elif sender.name in bucket.bases:
            self._exit.to_caller(located.packet)
        elif is_syn_ack and sender.name == bucket.current:
            self._add_placed_entry(located, sender)
            self._exit.to_caller(located.packet)
        else:
            self._reject_reply(located, sender)

    def _add_placed_entry(
        self, located: LocatedPacket, sender: Upstream
    ) -> None:
        """Add an entry for a flow that a failed owner had just placed."""
        entry = FlowEntry(sender.name, FlowState.OPEN, self._state.now())
        self._state.flows.put(
            located.service.name, located.index, located.key, entry
        )
        self._count_if_owned(located, entry)

    def _reject_reply(self, located: LocatedPacket, sender: Upstream) -> None:
        """Drop a reply of an upstream that the flow is not on.

        A SYN-ACK is answered with a reset, so that the upstream closes the
        connection.
        """
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
