"""Connections with other entry VMs: one task a peer, and what they exchange.

Of two VMs that should be connected, the one whose name sorts first opens the
connection. Heartbeats go both ways on it; one that falls silent is closed and
opened anew.
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
from hibiscushatch_node.peer_intake import PeerIntake, Spreader
from hibiscushatch_node.peer_outflow import PeerOutflow
from hibiscushatch_node.peer_session import PeerSession

BATCH_S = 0.02
RECONNECT_MIN_S = 0.2
RECONNECT_MAX_S = 1.0
SUPERVISE_INTERVAL_S = 0.25
FORGET_DEAD_S = 600.0

_logger = logging.getLogger(__name__)


class PeerNetwork(BucketPublisher, Spreader):
    """All connections of this VM with others."""

    def __init__(
        self, state: NodeState, intake: PeerIntake, outflow: PeerOutflow
    ) -> None:
        self._state = state
        self._timing = state.settings.timing
        self._intake = intake
        self._outflow = outflow
        self._sessions: dict[str, PeerSession] = {}
        self._dialers: dict[str, asyncio.Task[None]] = {}
        self._heard_at_s: dict[str, float] = {}
        self._background: set[asyncio.Task[None]] = set()
        intake.attach(self)

    @property
    def sessions(self) -> tuple[PeerSession, ...]:
        """The live connections."""
        return tuple(self._sessions.values())

    def session(self, name: str) -> PeerSession | None:
        """Return the connection with a VM, if there is one."""
        return self._sessions.get(name)

    def publish_bucket(self, service: str, index: int) -> None:
        """Send a bucket's state to every live VM."""
        self.spread_bucket(service, index, without='')

    def spread_bucket(self, service: str, index: int, *, without: str) -> None:
        """Send a bucket's state to all peers but one.

        Args:
            service: Name of the service.
            index: Number of the bucket.
            without: Name of the peer that has it already.
        """
        for session in self._flood_sessions(without):
            session.outbox.buckets.add((service, index))
            session.wake()

    def spread_member(self, name: str, *, without: str = '') -> None:
        """Send a VM's record to the peers that may lack it.

        A VM tells those that it hears itself.

        Args:
            name: Whose record.
            without: Name of the peer that has it already.
        """
        member = self._state.membership.find(name)
        told = member.hears if member and name != self._state.name else ()
        for session in self._flood_sessions(without):
            if session.name not in told:
                session.outbox.members.add(name)
                session.wake()

    def spread_warmth(self, upstream: str, *, without: str = '') -> None:
        """Send an upstream's warmth record to all peers but one.

        Args:
            upstream: Name of the upstream.
            without: Name of the peer that has it already.
        """
        for session in self._flood_sessions(without):
            session.outbox.warmth.add(upstream)
            session.wake()

    def publish_admission(self, admission: Admission) -> None:
        """Tell peers of changed claims, warmth and dead upstreams.

        Args:
            admission: What this VM knows of upstreams.
        """
        for record in admission.warmth.changed_records(self._state.now()):
            self.spread_warmth(record.upstream)
        if self._state.membership.update_own(dead=admission.dead_upstreams()):
            self.spread_member(self._state.name)
        for session in self.sessions:
            known = session.name in admission.ledger.member_names
            if known and admission.ledger.is_message_due(session.name):
                session.wake()

    async def wait_acknowledged(self, deadline_s: float) -> None:
        """Wait until all live VMs have what was published before.

        Args:
            deadline_s: Seconds after which to go on without the rest.
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
        """Send an entry to the backup of its bucket, soon."""
        owners = self._state.ownership.owners(service, index)
        session = self._sessions.get(owners.backup)
        if session is not None:
            self._outflow.add_entry(session, service, index, key)

    async def run(self) -> None:
        """Keep the wanted connections open until cancelled."""
        await self._state.ports.transport.listen(self._accept)
        while True:
            self._dial_missing()
            self._judge_silence()
            self._update_hears()
            await asyncio.sleep(SUPERVISE_INTERVAL_S)

    async def stop(self) -> None:
        """Close all connections."""
        tasks = (*self._dialers.values(), *self._background)
        for task in tasks:
            task.cancel()
        for session in self.sessions:
            await session.close()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _flood_sessions(self, without: str) -> Iterator[PeerSession]:
        flood_names = self._state.membership.flood_names()
        for session in self.sessions:
            if session.name != without and session.name in flood_names:
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
        """Keep a connection with one peer open while it is wanted."""
        pause_s = RECONNECT_MIN_S
        while member.name in self._state.membership.link_names():
            known = self._state.membership.find(member.name) or member
            try:
                channel = await self._state.ports.transport.connect(
                    known.control
                )
            except PeerError:
                self._state.counters.retries[RetryReason.PEER_CONNECT] += 1
                await asyncio.sleep(
                    pause_s * self._state.ports.randomness.uniform(1, 2)
                )
                pause_s = min(pause_s * 2, RECONNECT_MAX_S)
                continue
            pause_s = RECONNECT_MIN_S
            await self._converse(
                PeerSession(member.name, channel, self._state.counters)
            )
            await asyncio.sleep(pause_s)

    async def _accept(self, channel: PeerChannel) -> None:
        session = PeerSession('', channel, self._state.counters)
        try:
            async with asyncio.timeout(self._timing.peer_silent_s):
                message = await session.receive()
        except (PeerError, pydantic.ValidationError, TimeoutError):
            await channel.close()
            return
        session.name = message.hello
        await self._converse(session, message)

    async def _converse(
        self, session: PeerSession, first: PeerMessage | None = None
    ) -> None:
        """Talk on a connection until it breaks or falls silent."""
        before = self._sessions.get(session.name)
        self._sessions[session.name] = session
        if before is not None:
            await before.close()
        self._outflow.greet(session)
        sender = asyncio.create_task(self._send_messages(session))
        try:
            await self._receive_messages(session, first)
        except TimeoutError:
            self._state.counters.retries[RetryReason.PEER_SILENT] += 1
        except (PeerError, pydantic.ValidationError) as error:
            _logger.debug('peer connection ended: %s', error)
        finally:
            sender.cancel()
            await self._end(session)

    async def _end(self, session: PeerSession) -> None:
        if self._sessions.get(session.name) is session:
            self._sessions.pop(session.name)
        self._update_hears()
        await session.close()

    async def _receive_messages(
        self, session: PeerSession, first: PeerMessage | None
    ) -> None:
        if first is not None:
            self._take(session, first)
        while True:
            async with asyncio.timeout(self._timing.peer_silent_s):
                message = await session.receive()
            self._take(session, message)

    def _take(self, session: PeerSession, message: PeerMessage) -> None:
        session.heard_at_s = self._state.now()
        self._heard_at_s[session.name] = session.heard_at_s
        try:
            self._intake.take(session, message)
        except (ValueError, IndexError) as error:
            reason = f'the message is inconsistent: {error}'
            raise PeerError('take a message', session.name, reason) from error
        if not session.is_counted:
            session.is_counted = True
            self._update_hears()

    async def _send_messages(self, session: PeerSession) -> None:
        try:
            while True:
                await session.send(self._outflow.collect(session))
                await session.wait_due(self._timing.heartbeat_s, BATCH_S)
        except HibiscushatchError:
            await session.close()

    def _update_hears(self) -> None:
        flood_names = self._state.membership.flood_names()
        hears = frozenset(
            session.name
            for session in self.sessions
            if session.heard_at_s and session.name in flood_names
        )
        if self._state.membership.update_own(hears=hears):
            self.spread_member(self._state.name)

    def _judge_silence(self) -> None:
        now_s = self._state.now()
        for member in self._state.membership.records:
            if member.name in self._state.membership.live:
                self._heard_at_s[member.name] = now_s
                continue
            heard_s = self._heard_at_s.setdefault(member.name, now_s)
            if now_s - heard_s > FORGET_DEAD_S:
                self._state.membership.forget(member.name)
                self._heard_at_s.pop(member.name)
