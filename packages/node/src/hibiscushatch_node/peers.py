"""The connections with other entry VMs, and what is sent on them.

Of two VMs that should be connected, the VM whose name sorts first opens the
connection, in one task per peer. Both ends send heartbeats. A connection on
which nothing arrives in time is closed and opened again.
"""

import asyncio
import logging
from collections.abc import Iterator

import pydantic

from hibiscushatch_core.errors import HibiscushatchError, PeerError
from hibiscushatch_core.messages import PeerMessage
from hibiscushatch_core.ports import PeerChannel
from hibiscushatch_core.reasons import RetryReason
from hibiscushatch_node.admission import Admission
from hibiscushatch_node.membership import Member
from hibiscushatch_node.mover import BucketPublisher
from hibiscushatch_node.node_state import NodeState
from hibiscushatch_node.peer_intake import ChangeFlooder, PeerIntake
from hibiscushatch_node.peer_outflow import PeerOutflow
from hibiscushatch_node.peer_session import PeerSession

BATCH_DELAY_S = 0.02
RECONNECT_MIN_S = 0.2
RECONNECT_MAX_S = 1.0
SUPERVISE_INTERVAL_S = 0.25
REMOVE_DEAD_AFTER_S = 600.0

_log = logging.getLogger(__name__)


class PeerNetwork(BucketPublisher, ChangeFlooder):
    """All connections of this VM with other entry VMs."""

    def __init__(
        self, state: NodeState, intake: PeerIntake, outflow: PeerOutflow
    ) -> None:
        self._state = state
        self._timing = state.settings.timing
        self._intake = intake
        self._outflow = outflow
        self._sessions: dict[str, PeerSession] = {}
        self._dialers: dict[str, asyncio.Task[None]] = {}
        self._last_seen_at_s: dict[str, float] = {}
        self._background: set[asyncio.Task[None]] = set()
        intake.set_flooder(self)

    @property
    def sessions(self) -> tuple[PeerSession, ...]:
        """The open connections."""
        return tuple(self._sessions.values())

    def session(self, name: str) -> PeerSession | None:
        """Return the connection with a VM, if there is one."""
        return self._sessions.get(name)

    def publish_bucket(self, service: str, index: int) -> None:
        """Send a bucket's state to every live VM."""
        self.flood_bucket(service, index, except_peer='')

    def flood_bucket(
        self, service: str, index: int, *, except_peer: str
    ) -> None:
        """Send a bucket's state to all peers except one.

        Args:
            service: Name of the service.
            index: Index of the bucket.
            except_peer: Name of the peer that already has it; empty for none.
        """
        for session in self._flood_sessions(except_peer):
            session.outbox.buckets.add((service, index))
            session.wake()

    def flood_member(self, name: str, *, except_peer: str = '') -> None:
        """Send a VM's record to the peers that may not have it.

        The record of another VM is not sent to the peers from which that VM
        receives heartbeats, because it sends its record to them itself.

        Args:
            name: Name of the VM.
            except_peer: Name of the peer that already has it; empty for none.
        """
        member = self._state.membership.find(name)
        already_informed = (
            member.heartbeats_from
            if member and name != self._state.name
            else ()
        )
        for session in self._flood_sessions(except_peer):
            if session.name not in already_informed:
                session.outbox.members.add(name)
                session.wake()

    def flood_warmth(self, upstream: str, *, except_peer: str = '') -> None:
        """Send an upstream's warmth record to all peers except one.

        Args:
            upstream: Name of the upstream.
            except_peer: Name of the peer that already has it; empty for none.
        """
        for session in self._flood_sessions(except_peer):
            session.outbox.warmth.add(upstream)
            session.wake()

    def publish_admission(self, admission: Admission) -> None:
        """Publish changed claims, warmth and dead upstreams to peers.

        Args:
            admission: The claims, warmth and verdicts of this VM.
        """
        for record in admission.warmth.changed_records(self._state.now()):
            self.flood_warmth(record.upstream)
        if self._state.membership.update_own(dead=admission.dead_upstreams()):
            self.flood_member(self._state.name)
        for session in self.sessions:
            known = session.name in admission.ledger.member_names
            if known and admission.ledger.is_message_due(session.name):
                session.wake()

    async def wait_acknowledged(self, deadline_s: float) -> None:
        """Wait until all live VMs have acknowledged what was published so far.

        Args:
            deadline_s: Seconds to wait at most; VMs that have not
                acknowledged by then are ignored.
        """
        waits = [
            session.wait_acknowledged(session.next_number)
            for session in self.sessions
        ]
        others = self._state.membership.live - {self._state.name}
        if not others <= self._sessions.keys():
            waits.append(asyncio.sleep(deadline_s))
        try:
            async with asyncio.timeout(deadline_s):
                await asyncio.gather(*waits)
        except TimeoutError:
            return

    def copy_entry(self, service: str, index: int, key: int) -> None:
        """Queue an entry for the backup of its bucket."""
        owners = self._state.ownership.owners(service, index)
        session = self._sessions.get(owners.backup)
        if session is not None:
            self._outflow.queue_entry_if_needed(session, service, index, key)

    async def run(self) -> None:
        """Keep the required connections open until cancelled."""
        await self._state.ports.transport.listen(self._accept)
        while True:
            self._dial_missing()
            self._remove_dead_members()
            self._update_heartbeat_sources()
            await asyncio.sleep(SUPERVISE_INTERVAL_S)

    async def stop(self) -> None:
        """Close all connections."""
        tasks = (*self._dialers.values(), *self._background)
        for task in tasks:
            task.cancel()
        for session in self.sessions:
            await session.close()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _flood_sessions(self, except_peer: str) -> Iterator[PeerSession]:
        flood_names = self._state.membership.flood_names()
        for session in self.sessions:
            if session.name != except_peer and session.name in flood_names:
                yield session

    def _dial_missing(self) -> None:
        membership = self._state.membership
        for name in sorted(membership.link_names()):
            task = self._dialers.get(name)
            if self._state.name > name or (task and not task.done()):
                continue
            member = membership.find(name)
            if member is not None:
                self._dialers[name] = asyncio.create_task(self._dial(member))

    async def _dial(self, member: Member) -> None:
        """Keep a connection with one peer open while it is required."""
        retry_delay_s = RECONNECT_MIN_S
        while member.name in self._state.membership.link_names():
            known = self._state.membership.find(member.name) or member
            try:
                channel = await self._state.ports.transport.connect(
                    known.control
                )
            except PeerError:
                self._state.counters.retries[RetryReason.PEER_CONNECT] += 1
                await asyncio.sleep(
                    retry_delay_s * self._state.ports.randomness.uniform(1, 2)
                )
                retry_delay_s = min(retry_delay_s * 2, RECONNECT_MAX_S)
                continue
            retry_delay_s = RECONNECT_MIN_S
            await self._run_session(
                PeerSession(member.name, channel, self._state.counters)
            )
            await asyncio.sleep(retry_delay_s)

    async def _accept(self, channel: PeerChannel) -> None:
        session = PeerSession('', channel, self._state.counters)
        try:
            async with asyncio.timeout(self._timing.peer_silent_s):
                message = await session.receive()
        except (PeerError, pydantic.ValidationError, TimeoutError):
            await channel.close()
            return
        session.name = message.hello
        await self._run_session(session, message)

    async def _run_session(
        self, session: PeerSession, first_message: PeerMessage | None = None
    ) -> None:
        """Exchange messages on a connection until it fails or times out."""
        previous = self._sessions.get(session.name)
        self._sessions[session.name] = session
        if previous is not None:
            await previous.close()
        self._outflow.queue_initial_records(session)
        sender = asyncio.create_task(self._send_messages(session))
        try:
            await self._receive_messages(session, first_message)
        except TimeoutError:
            self._state.counters.retries[RetryReason.PEER_SILENT] += 1
        except (PeerError, pydantic.ValidationError) as error:
            _log.debug('peer connection ended: %s', error)
        finally:
            sender.cancel()
            await self._end_session(session)

    async def _end_session(self, session: PeerSession) -> None:
        if self._sessions.get(session.name) is session:
            self._sessions.pop(session.name)
        self._update_heartbeat_sources()
        await session.close()

    async def _receive_messages(
        self, session: PeerSession, first_message: PeerMessage | None
    ) -> None:
        if first_message is not None:
            self._apply_message(session, first_message)
        while True:
            async with asyncio.timeout(self._timing.peer_silent_s):
                message = await session.receive()
            self._apply_message(session, message)

    def _apply_message(
        self, session: PeerSession, message: PeerMessage
    ) -> None:
        session.last_received_at_s = self._state.now()
        self._last_seen_at_s[session.name] = session.last_received_at_s
        try:
            self._intake.apply(session, message)
        except (ValueError, IndexError) as error:
            reason = f'the message is inconsistent: {error}'
            raise PeerError('apply a message', session.name, reason) from error
        if not session.has_processed_message:
            session.has_processed_message = True
            self._update_heartbeat_sources()

    async def _send_messages(self, session: PeerSession) -> None:
        try:
            while True:
                await session.send(self._outflow.build_message(session))
                await session.wait_until_due(
                    self._timing.heartbeat_s, BATCH_DELAY_S
                )
        except HibiscushatchError:
            await session.close()

    def _update_heartbeat_sources(self) -> None:
        flood_names = self._state.membership.flood_names()
        heartbeats_from = frozenset(
            session.name
            for session in self.sessions
            if session.last_received_at_s and session.name in flood_names
        )
        if self._state.membership.update_own(heartbeats_from=heartbeats_from):
            self.flood_member(self._state.name)

    def _remove_dead_members(self) -> None:
        now_s = self._state.now()
        for member in self._state.membership.records:
            if member.name in self._state.membership.live:
                self._last_seen_at_s[member.name] = now_s
                continue
            last_seen_s = self._last_seen_at_s.setdefault(member.name, now_s)
            if now_s - last_seen_s > REMOVE_DEAD_AFTER_S:
                self._state.membership.remove(member.name)
                self._last_seen_at_s.pop(member.name)
