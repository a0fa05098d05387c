"""Keeps the entries of buckets with those who need them.

When owners change, all entries of a bucket go to its next owner, so that it
knows every open flow. Entries that a bucket can't explain are also held by
its backup; the owner sends them again at intervals, and what a backup has
not been sent again is dropped like an idle flow.
"""

import asyncio

from hibiscushatch_node.admission import Admission
from hibiscushatch_node.flow_table import FlowEntry, FlowState
from hibiscushatch_node.node_state import NodeState
from hibiscushatch_node.ownership import HANDOVER_GRACE_S
from hibiscushatch_node.peer_outflow import PeerOutflow
from hibiscushatch_node.peers import PeerNetwork

CHECK_INTERVAL_S = 0.1
BACKUP_REFRESHES_AN_IDLE_TIMEOUT = 4


class Handover:
    """Follows the ownership of the buckets that this VM has entries of."""

    def __init__(
        self,
        state: NodeState,
        peers: PeerNetwork,
        outflow: PeerOutflow,
        admission: Admission,
    ) -> None:
        self._state = state
        self._peers = peers
        self._outflow = outflow
        self._admission = admission
        self._followed = (0, 0)
        self._is_unfinished = False
        self._drop_due_s = 0.0
        self._refreshed_at_s: dict[str, float] = {}

    async def run(self) -> None:
        """Hand over whenever owners change, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._state.manifest is None:
                continue
            now_s = self._state.now()
            self._state.ownership.refresh(now_s)
            is_changed = self._followed != self._owners_version()
            if is_changed or self._is_unfinished:
                self._drop_due_s = now_s + HANDOVER_GRACE_S
                self.follow_owners()
            self._refresh_backups(now_s)
            if self._drop_due_s and now_s > self._drop_due_s:
                self._drop_due_s = 0
                self._drop_foreign()

    def follow_owners(self) -> None:
        """Send the entries of lost buckets on, and take over gained ones."""
        self._state.ownership.refresh(self._state.now())
        self._followed = self._owners_version()
        self._is_unfinished = False
        for service, index, entries in self._state.flows.buckets():
            if self._is_owned(service, index):
                if not all(map(_is_settled, entries.values())):
                    self._take_over(service, index)
            elif any(map(_is_counted, entries.values())):
                self._give_up(service, index)

    def _is_owned(self, service: str, index: int) -> bool:
        if not self._state.table.has(service, index):
            return False
        return self._state.owns(service, index)

    def _owners_version(self) -> tuple[int, int]:
        """Return what differs whenever owners or backups may differ."""
        return (self._state.ownership.changes, self._state.table.digest)

    def _take_over(self, service: str, index: int) -> None:
        for entry in self._state.flows.bucket(service, index).values():
            if entry.state is not FlowState.CLOSING:
                self._admission.count(entry)
        self._send_to_backup(service, index)

    def _give_up(self, service: str, index: int) -> None:
        """Send a lost bucket's entries to its owner once it is connected."""
        if self._state.table.has(service, index):
            owner = self._state.ownership.owners(service, index).owner
            session = self._peers.session(owner)
            if session is None:
                self._is_unfinished = True
                return
            self._outflow.queue_bucket_entries(session, service, index)
        for entry in self._state.flows.bucket(service, index).values():
            self._admission.uncount(entry)

    def _send_to_backup(self, service: str, index: int) -> None:
        if self._state.table.state(service, index).is_stable:
            return
        backup = self._state.ownership.owners(service, index).backup
        session = self._peers.session(backup)
        if session is not None:
            self._outflow.queue_needed_entries(session, service, index)

    def _refresh_backups(self, now_s: float) -> None:
        for service in self._state.manifest.services:
            period_s = service.idle_timeout_s / BACKUP_REFRESHES_AN_IDLE_TIMEOUT
            last_s = self._refreshed_at_s.setdefault(service.name, now_s)
            if now_s - last_s < period_s:
                continue
            self._refreshed_at_s[service.name] = now_s
            for index in range(service.buckets):
                if self._state.flows.bucket(service.name, index):
                    self._refresh_backup(service.name, index)

    def _refresh_backup(self, service: str, index: int) -> None:
        if self._state.owns(service, index):
            self._send_to_backup(service, index)

    def _drop_foreign(self) -> None:
        """Drop entries of buckets that are neither owned nor backed up."""
        for service, index, entries in self._state.flows.buckets():
            if not self._state.table.has(service, index):
                continue
            owners = self._state.ownership.owners(service, index)
            if self._state.name in {owners.owner, owners.backup}:
                continue
            for key, entry in tuple(entries.items()):
                if not entry.counted:
                    self._state.flows.remove(service, index, key)


def _is_counted(entry: FlowEntry) -> bool:
    return entry.counted


def _is_settled(entry: FlowEntry) -> bool:
    return entry.counted or entry.state is FlowState.CLOSING
