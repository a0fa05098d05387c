"""Hands the entries of buckets to their next owners."""

import asyncio

from hibiscushatch_node.node_state import NodeState
from hibiscushatch_node.peer_outflow import PeerOutflow
from hibiscushatch_node.peers import PeerNetwork

CHECK_INTERVAL_S = 0.1


class Handover:
    """Follows the ownership of the buckets that this VM has entries of."""

    def __init__(
        self, state: NodeState, peers: PeerNetwork, outflow: PeerOutflow
    ) -> None:
        self._state = state
        self._peers = peers
        self._outflow = outflow

    async def run(self) -> None:
        """Hand over whenever owners change, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._state.manifest is None:
                continue
            if self._state.ownership.refresh(self._state.now()):
                self.hand_over_all()

    def hand_over_all(self) -> None:
        """Send the entries of each bucket in motion to its new keepers."""
        self._state.ownership.refresh(self._state.now())
        for service, index, _ in self._state.flows.buckets():
            if not self._state.table.has(service, index):
                continue
            if self._state.table.state(service, index).through_owner:
                self._hand_over(service, index)

    def _hand_over(self, service: str, index: int) -> None:
        owners = self._state.ownership.owners(service, index)
        keepers = frozenset((owners.owner, owners.backup))
        for name in keepers:
            session = self._peers.session(name)
            if session is not None:
                self._outflow.add_bucket_entries(session, service, index)
