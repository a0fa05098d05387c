"""Applies the messages of other entry VMs to the tables of this VM."""

from __future__ import annotations

import abc

from hibiscushatch_core.admission_messages import (
    claims_from_message,
    warmth_from_message,
)
from hibiscushatch_core.hashing import FLOW_KEY_BYTES
from hibiscushatch_core.layout import Layout, unpack_indexes
from hibiscushatch_core.messages import (
    BucketMessage,
    EntriesMessage,
    LayoutMessage,
    PeerMessage,
    bucket_from_message,
)
from hibiscushatch_node.admission import Admission
from hibiscushatch_node.flow_table import FlowEntry, FlowState
from hibiscushatch_node.manifest_keeper import ManifestKeeper
from hibiscushatch_node.membership import MemberState, member_from_message
from hibiscushatch_node.node_state import NodeState
from hibiscushatch_node.peer_session import Outbox, PeerSession

MISMATCHES_BEFORE_TABLE_REQUEST = 6
MANIFEST_RESPONSE_TIMEOUT_S = 0.5


class ChangeFlooder(abc.ABC):
    """Floods changes: forwards what one peer sent to the other peers."""

    @abc.abstractmethod
    def flood_bucket(
        self, service: str, index: int, *, except_peer: str
    ) -> None:
        """Send a bucket's state to all peers except one."""

    @abc.abstractmethod
    def flood_member(self, name: str, *, except_peer: str = '') -> None:
        """Send a VM's record to all peers except one."""

    @abc.abstractmethod
    def flood_warmth(self, upstream: str, *, except_peer: str = '') -> None:
        """Send an upstream's warmth record to all peers except one."""


class PeerIntake:
    """Applies received messages part by part."""

    def __init__(
        self, state: NodeState, keeper: ManifestKeeper, admission: Admission
    ) -> None:
        self._state = state
        self._keeper = keeper
        self._admission = admission
        self._flooder: ChangeFlooder | None = None
        self._table_complete = False
        self._next_manifest_request_at_s = 0.0

    @property
    def table_complete(self) -> bool:
        """Whether a peer has sent all the bucket states that it has."""
        return self._table_complete

    def set_flooder(self, flooder: ChangeFlooder) -> None:
        """Set the object that floods changes.

        Args:
            flooder: Sends changes to the peers.
        """
        self._flooder = flooder

    def mark_table_incomplete(self) -> None:
        """Treat the bucket states as incomplete until a peer resends them."""
        self._table_complete = False

    def apply(self, session: PeerSession, message: PeerMessage) -> None:
        """Apply a message.

        Args:
            session: The connection on which the message arrived.
            message: The message.
        """
        self._apply_members(session, message)
        self._apply_manifest(session, message)
        self._apply_table(session, message)
        for entries in message.entries:
            self._apply_entries(entries)
        self._apply_admission(session, message)
        self._answer_requests(session, message)
        self._compare_digests(session, message)
        if message.table_done:
            self._table_complete = True
        if message.buckets or message.entries or message.members:
            session.wake()

    def _apply_admission(
        self, session: PeerSession, message: PeerMessage
    ) -> None:
        now_s = self._state.now()
        for name in message.claim_members:
            self._admission.ledger.add_member(name, now_s)
        if message.claims is not None:
            claims = claims_from_message(session.name, message.claims)
            self._admission.ledger.receive(claims, now_s)
            self._admission.ledger.refresh(now_s)
            if claims.announcements:
                session.wake()
        for record in message.warmth:
            if self._admission.warmth.receive(
                warmth_from_message(record), now_s
            ):
                self._flooder.flood_warmth(record.u, except_peer=session.name)

    def _apply_members(
        self, session: PeerSession, message: PeerMessage
    ) -> None:
        membership = self._state.membership
        for record in message.members:
            member = member_from_message(record)
            own = membership.own
            if member.name == own.name:
                if member.incarnation > own.incarnation:
                    membership.raise_incarnation(member.incarnation)
                    self._flooder.flood_member(own.name)
            elif membership.apply_record(member):
                self._flooder.flood_member(
                    member.name, except_peer=session.name
                )

    def _apply_manifest(
        self, session: PeerSession, message: PeerMessage
    ) -> None:
        if message.manifest:
            self._keeper.apply_if_newer(message.manifest.encode(), session.name)
        is_newer = message.g > self._state.generation
        now_s = self._state.now()
        if is_newer and now_s >= self._next_manifest_request_at_s:
            self._next_manifest_request_at_s = (
                now_s + MANIFEST_RESPONSE_TIMEOUT_S
            )
            session.outbox.want_manifest = True
            session.wake()

    def _apply_bucket(
        self, session: PeerSession, message: BucketMessage
    ) -> None:
        table = self._state.table
        if not table.has_bucket(message.s, message.i):
            return
        state = bucket_from_message(message)
        if table.merge(message.s, message.i, state):
            self._flood_bucket_if_needed(session, message)
        merged = table.state(message.s, message.i)
        if merged.stamp != state.stamp:
            session.outbox.buckets.add((message.s, message.i))
            session.wake()

    def _apply_table(self, session: PeerSession, message: PeerMessage) -> None:
        for departed in message.departed:
            self._state.directory.add_departed(departed)
        for layout in message.layouts:
            self._apply_layout(layout)
        for bucket in message.buckets:
            self._apply_bucket(session, bucket)

    def _apply_layout(self, message: LayoutMessage) -> None:
        manifest = self._state.manifest
        if manifest is None or message.s not in manifest.services_by_name:
            return
        names = message.upstreams
        layout = Layout(
            message.g,
            tuple(
                names[position] for position in unpack_indexes(message.indexes)
            ),
        )
        if self._state.table.has_bucket(message.s, 0):
            self._state.table.merge_layout(message.s, layout)
        elif len(layout.upstreams) == (
            manifest.services_by_name[message.s].buckets
        ):
            self._state.table.add_service(message.s, layout)

    def _flood_bucket_if_needed(
        self, session: PeerSession, message: BucketMessage
    ) -> None:
        """Flood a bucket unless its writer is connected with all live VMs."""
        writer = self._state.membership.find(message.w)
        live = self._state.membership.live
        if writer is not None and live <= writer.heartbeats_from | {
            writer.name
        }:
            return
        self._flooder.flood_bucket(
            message.s, message.i, except_peer=session.name
        )

    def _apply_entries(self, message: EntriesMessage) -> None:
        if not self._state.table.has_bucket(message.s, message.i):
            return
        now_s = self._state.now()
        for upstream, packed in zip(
            message.upstreams, message.keys, strict=True
        ):
            for start in range(0, len(packed), FLOW_KEY_BYTES):
                key = int.from_bytes(packed[start : start + FLOW_KEY_BYTES])
                self._apply_entry(
                    message, key, FlowEntry(upstream, FlowState.OPEN, now_s)
                )

    def _apply_entry(
        self, message: EntriesMessage, key: int, entry: FlowEntry
    ) -> None:
        known = self._state.flows.find(message.s, message.i, key)
        if known is not None and known.unconfirmed:
            self._admission.uncount(known)
            known = None
        if known is None or known.state is FlowState.CLOSING:
            self._state.flows.put(message.s, message.i, key, entry)
            if self._state.owns(message.s, message.i):
                self._admission.count(entry)
        else:
            known.seen_at_s = max(known.seen_at_s, entry.seen_at_s)

    def _answer_requests(
        self, session: PeerSession, message: PeerMessage
    ) -> None:
        outbox = session.outbox
        if message.want_manifest:
            outbox.send_manifest = True
            session.wake()
        is_joining = self._state.membership.own.state is MemberState.JOINING
        if message.want_table and not is_joining:
            self._queue_differing_buckets(outbox, message)
            outbox.table_done = True
            session.wake()

    def _queue_differing_buckets(
        self, outbox: Outbox, message: PeerMessage
    ) -> None:
        """Queue the buckets of services whose digest differs at the peer."""
        table = self._state.table
        peer_digests = {digest.s: digest.d for digest in message.digests}
        for service in table.services:
            if peer_digests.get(service) == table.service_digest(service):
                continue
            outbox.layouts.add(service)
            outbox.buckets.update(
                (service, index) for index, _ in table.changed_states(service)
            )

    def _compare_digests(
        self, session: PeerSession, message: PeerMessage
    ) -> None:
        same_generation = message.g == self._state.generation
        if message.d == self._state.table.digest or not same_generation:
            session.digest_mismatches = 0
            return
        session.digest_mismatches += 1
        if session.digest_mismatches >= MISMATCHES_BEFORE_TABLE_REQUEST:
            session.digest_mismatches = 0
            session.outbox.want_table = True
            session.wake()
