"""Sends flow entries to the new owners and to the backups of buckets.

When the owner of a bucket changes, the old owner sends all entries of the
bucket to the new one, so that the new owner knows every open flow. An entry
whose upstream doesn't follow from the state of its bucket is also held by the
bucket's backup. The owner sends these entries again at intervals; an entry
that is not sent again expires on the backup like an idle flow.
"""

import asyncio

from hibiscushatch_node.admission import Admission
from hibiscushatch_node.flow_table import FlowEntry, FlowState
from hibiscushatch_node.node_state import NodeState
from hibiscushatch_node.ownership import HANDOVER_GRACE_S
from hibiscushatch_node.peer_outflow import PeerOutflow
from hibiscushatch_node.peers import PeerNetwork

CHECK_INTERVAL_S = 0.1
BACKUP_REFRESHES_PER_IDLE_TIMEOUT = 4


class Handover:
    """Reacts to ownership changes of the buckets that have entries here."""

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
        self._handled_version = (0, 0)
        self._is_unfinished = False
        self._drop_due_s = 0.0
        self._refreshed_at_s: dict[str, float] = {}

    async def run(self) -> None:
        """Hand over buckets whenever owners change, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._state.manifest is None:
                continue
            now_s = self._state.now()
            self._state.ownership.refresh(now_s)
            is_changed = self._handled_version != self._owners_version()
            if is_changed or self._is_unfinished:
                self._drop_due_s = now_s + HANDOVER_GRACE_S
                self.hand_over_buckets()
            self._refresh_backups(now_s)
            if self._drop_due_s and now_s > self._drop_due_s:
                self._drop_due_s = 0
                self._drop_unneeded()

    def hand_over_buckets(self) -> None:
        """Hand over buckets that this VM no longer owns; adopt those it owns.

        The entries of a bucket that is handed over are sent to its new owner.
        When a bucket is adopted, its flows are counted here and its entries
        are sent to its backup.
        """
        self._state.ownership.refresh(self._state.now())
        self._handled_version = self._owners_version()
        self._is_unfinished = False
        for service, index, entries in self._state.flows.buckets():
            if self._is_owned(service, index):
                if not all(map(_is_accounted_for, entries.values())):
                    self._adopt_bucket(service, index)
            elif any(map(_is_counted, entries.values())):
                self._release_bucket(service, index)

    def _is_owned(self, service: str, index: int) -> bool:
        if not self._state.table.has_bucket(service, index):
            return False
        return self._state.owns(service, index)

    def _owners_version(self) -> tuple[int, int]:
        """Return a value that changes whenever owners or backups may change."""
        return (self._state.ownership.changes, self._state.table.digest)

    def _adopt_bucket(self, service: str, index: int) -> None:
        for entry in self._state.flows.bucket(service, index).values():
            if entry.state is not FlowState.CLOSING:
                self._admission.count(entry)
        self._send_to_backup(service, index)

    def _release_bucket(self, service: str, index: int) -> None:
        """Send a bucket's entries to its new owner and stop counting them.

        While there is no connection to the new owner, nothing is done, and the
        handover is tried again later.
        """
        if self._state.table.has_bucket(service, index):
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
            period_s = (
                service.idle_timeout_s / BACKUP_REFRESHES_PER_IDLE_TIMEOUT
            )
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

    def _drop_unneeded(self) -> None:
        """Drop entries of buckets that this VM neither owns nor backs up."""
        for service, index, entries in self._state.flows.buckets():
            if not self._state.table.has_bucket(service, index):
                continue
            owners = self._state.ownership.owners(service, index)
            if self._state.name in {owners.owner, owners.backup}:
                continue
            for key, entry in tuple(entries.items()):
                if not entry.counted:
                    self._state.flows.remove(service, index, key)


def _is_counted(entry: FlowEntry) -> bool:
    return entry.counted


def _is_accounted_for(entry: FlowEntry) -> bool:
    return entry.counted or entry.state is FlowState.CLOSING
