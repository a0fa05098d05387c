"""Builds the messages to other entry VMs from the tables of this VM."""

import collections
from collections.abc import Iterator

from hibiscushatch_core.admission_messages import (
    claims_to_message,
    warmth_to_message,
)
from hibiscushatch_core.hashing import FLOW_KEY_BYTES
from hibiscushatch_core.layout import Layout, pack_indexes
from hibiscushatch_core.manifest import Upstream
from hibiscushatch_core.messages import (
    BucketMessage,
    ClaimsMessage,
    DepartedMessage,
    EntriesMessage,
    LayoutMessage,
    MemberMessage,
    PeerMessage,
    ServiceDigest,
    WarmthMessage,
    bucket_to_message,
)
from hibiscushatch_node.admission import Admission
from hibiscushatch_node.flow_table import FlowEntry, FlowState
from hibiscushatch_node.membership import member_to_message
from hibiscushatch_node.node_state import NodeState
from hibiscushatch_node.peer_session import Outbox, PeerSession

BUCKETS_PER_MESSAGE = 512


class PeerOutflow:
    """Fills outboxes and builds messages from them."""

    def __init__(self, state: NodeState, admission: Admission) -> None:
        self._state = state
        self._admission = admission

    def queue_initial_records(self, session: PeerSession) -> None:
        """Queue the member and warmth records for a new connection.

        Args:
            session: The new connection.
        """
        membership = self._state.membership
        session.outbox.members.update(
            record.name for record in membership.records
        )
        records = self._admission.warmth.records(self._state.now())
        session.outbox.warmth.update(record.upstream for record in records)

    def queue_entry_if_needed(
        self, session: PeerSession, service: str, index: int, key: int
    ) -> None:
        """Queue an entry if its upstream doesn't follow from its bucket."""
        entry = self._state.flows.find(service, index, key)
        if entry is not None:
            self._queue_needed(session, service, index, {key: entry})

    def queue_needed_entries(
        self, session: PeerSession, service: str, index: int
    ) -> None:
        """Queue the entries whose upstream doesn't follow from the bucket.

        When a bucket has a single base, every flow without an entry is on
        that base, so the entries of flows on it are not needed.
        """
        entries = self._state.flows.bucket(service, index)
        self._queue_needed(session, service, index, entries)

    def queue_bucket_entries(
        self, session: PeerSession, service: str, index: int
    ) -> None:
        """Queue all entries of a bucket except those of closing flows."""
        entries = self._state.flows.bucket(service, index)
        live = {
            key: entry
            for key, entry in entries.items()
            if entry.state is not FlowState.CLOSING
        }
        self._queue(session, pack_entries(service, index, live))

    def _queue_needed(
        self,
        session: PeerSession,
        service: str,
        index: int,
        entries: dict[int, FlowEntry],
    ) -> None:
        bases = self._state.table.state(service, index).bases
        needed = {
            key: entry
            for key, entry in entries.items()
            if entry.state is not FlowState.CLOSING
            and (len(bases) > 1 or entry.upstream != bases[0])
        }
        self._queue(session, pack_entries(service, index, needed))

    def _queue(self, session: PeerSession, message: EntriesMessage) -> None:
        if message.upstreams:
            session.outbox.entries.append(message)
            session.wake()

    def build_message(self, session: PeerSession) -> PeerMessage:
        """Build the next message from an outbox and empty the outbox.

        Buckets beyond BUCKETS_PER_MESSAGE stay in the outbox for the next
        message.

        Args:
            session: The connection to send the message on.

        Returns:
            The message without sequence and acknowledgement number.
        """
        outbox = session.outbox
        session.outbox = Outbox()
        selected = tuple(sorted(outbox.buckets))[:BUCKETS_PER_MESSAGE]
        remaining = outbox.buckets.difference(selected)
        if remaining:
            session.outbox.buckets = remaining
            session.outbox.table_done = outbox.table_done
            session.wake()
        hello = '' if session.next_number > 1 else self._state.name
        return PeerMessage(
            g=self._state.generation,
            d=self._state.table.digest,
            hello=hello,
            members=tuple(self._members(outbox)),
            buckets=tuple(self._buckets(selected)),
            entries=tuple(outbox.entries),
            claims=self._claims(session),
            claim_members=self._claim_members(outbox),
            warmth=tuple(self._warmth(outbox)),
            departed=tuple(self._departed(outbox)),
            layouts=tuple(self._layouts(outbox)),
            want_manifest=outbox.want_manifest,
            want_table=outbox.want_table,
            digests=tuple(self._digests(outbox)),
            table_done=outbox.table_done and not remaining,
            manifest=self._manifest(outbox),
        )

    def _claims(self, session: PeerSession) -> ClaimsMessage | None:
        ledger = self._admission.ledger
        if session.name not in ledger.member_names:
            return None
        if not ledger.is_message_due(session.name):
            return None
        return claims_to_message(ledger.build_message(session.name))

    def _claim_members(self, outbox: Outbox) -> tuple[str, ...]:
        if not outbox.table_done:
            return ()
        return tuple(sorted(self._admission.ledger.member_names))

    def _warmth(self, outbox: Outbox) -> Iterator[WarmthMessage]:
        records = self._admission.warmth.records(
            self._state.now(), sorted(outbox.warmth)
        )
        for record in records:
            yield warmth_to_message(record)

    def _members(self, outbox: Outbox) -> Iterator[MemberMessage]:
        for name in sorted(outbox.members):
            member = self._state.membership.find(name)
            if member is not None:
                yield member_to_message(member)

    def _buckets(
        self, selected: tuple[tuple[str, int], ...]
    ) -> Iterator[BucketMessage]:
        for service, index in selected:
            if self._state.table.has_bucket(service, index):
                state = self._state.table.state(service, index)
                yield bucket_to_message(service, index, state)

    def _departed(self, outbox: Outbox) -> Iterator[DepartedMessage]:
        if outbox.table_done:
            for upstream in self._state.directory.departed:
                yield _departed_message(upstream)

    def _layouts(self, outbox: Outbox) -> Iterator[LayoutMessage]:
        for service in sorted(outbox.layouts):
            if self._state.table.has_bucket(service, 0):
                layout = self._state.table.layout(service)
                yield _layout_message(service, layout)

    def _digests(self, outbox: Outbox) -> Iterator[ServiceDigest]:
        if not outbox.want_table:
            return
        for service in self._state.table.services:
            digest = self._state.table.service_digest(service)
            yield ServiceDigest(s=service, d=digest)

    def _manifest(self, outbox: Outbox) -> str:
        committed = self._state.committed
        if outbox.send_manifest and committed is not None:
            return committed.blob.decode()
        return ''


def pack_entries(
    service: str, index: int, entries: dict[int, FlowEntry]
) -> EntriesMessage:
    """Pack the entries of one bucket, grouped by upstream.

    Args:
        service: Name of the service.
        index: Index of the bucket.
        entries: Entries by flow key.

    Returns:
        A message with seven to nine bytes per entry.
    """
    groups: dict[str, list[bytes]] = collections.defaultdict(list)
    for key, entry in entries.items():
        if entry.upstream:
            groups[entry.upstream].append(key.to_bytes(FLOW_KEY_BYTES, 'big'))
    return EntriesMessage.model_construct(
        s=service,
        i=index,
        upstreams=tuple(groups),
        keys=tuple(b''.join(keys) for keys in groups.values()),
    )


def _departed_message(upstream: Upstream) -> DepartedMessage:
    return DepartedMessage(
        s=upstream.service,
        name=upstream.name,
        domain=upstream.domain,
        address=upstream.address,
        port=upstream.tunnel_port,
    )


def _layout_message(service: str, layout: Layout) -> LayoutMessage:
    names = tuple(sorted(set(layout.upstreams)))
    positions = {name: position for position, name in enumerate(names)}
    return LayoutMessage.model_construct(
        s=service,
        g=layout.generation,
        upstreams=names,
        indexes=pack_indexes([positions[name] for name in layout.upstreams]),
    )
