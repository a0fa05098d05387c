"""Takes the messages of other entry VMs into the tables of this one."""

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

MISMATCHES_BEFORE_TABLE = 6
MANIFEST_ANSWER_S = 0.5


class Spreader(abc.ABC):
    """Passes on what came from one peer to the others."""

    @abc.abstractmethod
    def spread_bucket(self, service: str, index: int, *, without: str) -> None:
        """Send a bucket's state to all peers but one."""

    @abc.abstractmethod
    def spread_member(self, name: str, *, without: str = '') -> None:
        """Send a VM's record to all peers but one."""

    @abc.abstractmethod
    def spread_warmth(self, upstream: str, *, without: str = '') -> None:
        """Send an upstream's warmth record to all peers but one."""


class PeerIntake:
    """Applies messages part by part."""

    def __init__(
        self, state: NodeState, keeper: ManifestKeeper, admission: Admission
    ) -> None:
        self._state = state
        self._keeper = keeper
        self._admission = admission
        self._spreader: Spreader | None = None
        self._table_complete = False
        self._manifest_due_s = 0.0

    @property
    def table_complete(self) -> bool:
        """Whether a peer has sent all bucket states it has."""
        return self._table_complete

    def attach(self, spreader: Spreader) -> None:
        """Set who passes changes on.

        Args:
            spreader: The connections with all peers.
        """
        self._spreader = spreader

    def forget_table(self) -> None:
        """Ask for bucket states again before they count as complete."""
        self._table_complete = False

    def take(self, session: PeerSession, message: PeerMessage) -> None:
        """Apply a message.

        Args:
            session: The connection it came on.
            message: The message.
        """
        self._take_members(session, message)
        self._take_manifest(session, message)
        self._take_table(session, message)
        for entries in message.entries:
            self._take_entries(entries)
        self._take_admission(session, message)
        self._answer_requests(session, message)
        self._compare_digests(session, message)
        if message.table_done:
            self._table_complete = True
        if message.buckets or message.entries or message.members:
            session.wake()

    def _take_admission(
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
                self._spreader.spread_warmth(record.u, without=session.name)

    def _take_members(self, session: PeerSession, message: PeerMessage) -> None:
        membership = self._state.membership
        for record in message.members:
            member = member_from_message(record)
            own = membership.own
            if member.name == own.name:
                if member.incarnation > own.incarnation:
                    membership.outlive(member.incarnation)
                    self._spreader.spread_member(own.name)
            elif membership.receive(member):
                self._spreader.spread_member(member.name, without=session.name)

    def _take_manifest(
        self, session: PeerSession, message: PeerMessage
    ) -> None:
        if message.manifest:
            self._keeper.offer(message.manifest.encode(), session.name)
        is_newer = message.g > self._state.generation
        now_s = self._state.now()
        if is_newer and now_s >= self._manifest_due_s:
            self._manifest_due_s = now_s + MANIFEST_ANSWER_S
            session.outbox.want_manifest = True
            session.wake()

    def _take_bucket(
        self, session: PeerSession, message: BucketMessage
    ) -> None:
        table = self._state.table
        if not table.has_bucket(message.s, message.i):
            return
        state = bucket_from_message(message)
        if table.merge(message.s, message.i, state):
            self._spread_if_unheard(session, message)
        joined = table.state(message.s, message.i)
        if joined.stamp != state.stamp:
            session.outbox.buckets.add((message.s, message.i))
            session.wake()

    def _take_table(self, session: PeerSession, message: PeerMessage) -> None:
        for departed in message.departed:
            self._state.directory.add_departed(departed)
        for layout in message.layouts:
            self._take_layout(layout)
        for bucket in message.buckets:
            self._take_bucket(session, bucket)

    def _take_layout(self, message: LayoutMessage) -> None:
        manifest = self._state.manifest
        if manifest is None or message.s not in manifest.services_by_name:
            return
        names = message.upstreams
        layout = Layout(
            message.g,
            tuple(names[one] for one in unpack_indexes(message.indexes)),
        )
        if self._state.table.has_bucket(message.s, 0):
            self._state.table.merge_layout(message.s, layout)
        elif len(layout.upstreams) == (
            manifest.services_by_name[message.s].buckets
        ):
            self._state.table.add_service(message.s, layout)

    def _spread_if_unheard(
        self, session: PeerSession, message: BucketMessage
    ) -> None:
        """Pass a bucket on unless its writer reaches everybody itself."""
        writer = self._state.membership.find(message.w)
        live = self._state.membership.live
        if writer is not None and live <= writer.hears | {writer.name}:
            return
        self._spreader.spread_bucket(message.s, message.i, without=session.name)

    def _take_entries(self, message: EntriesMessage) -> None:
        if not self._state.table.has_bucket(message.s, message.i):
            return
        now_s = self._state.now()
        for upstream, packed in zip(
            message.upstreams, message.keys, strict=True
        ):
            for start in range(0, len(packed), FLOW_KEY_BYTES):
                key = int.from_bytes(packed[start : start + FLOW_KEY_BYTES])
                self._enter(
                    message, key, FlowEntry(upstream, FlowState.OPEN, now_s)
                )

    def _enter(
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
            self._queue_table(outbox, message)
            outbox.table_done = True
            session.wake()

    def _queue_table(self, outbox: Outbox, message: PeerMessage) -> None:
        """Queue all that differs from what a peer says it has."""
        table = self._state.table
        theirs = {one.s: one.d for one in message.digests}
        for service in table.services:
            if theirs.get(service) == table.service_digest(service):
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
            session.mismatches = 0
            return
        session.mismatches += 1
        if session.mismatches >= MISMATCHES_BEFORE_TABLE:
            session.mismatches = 0
            session.outbox.want_table = True
            session.wake()
