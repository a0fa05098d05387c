"""Removes the entries of flows that have ended or been idle too long."""

import asyncio

from hibiscushatch_node.admission import Admission
from hibiscushatch_node.flow_table import FlowEntry, FlowState
from hibiscushatch_node.node_state import NodeState

SWEEP_INTERVAL_S = 1.0
CLOSED_FLOW_LINGER_S = 4.0


class FlowSweeper:
    """Sweeps the flow table at intervals."""

    def __init__(self, state: NodeState, admission: Admission) -> None:
        self._state = state
        self._admission = admission

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            if self._state.manifest is not None:
                self._sweep()

    def _sweep(self) -> None:
        now_s = self._state.now()
        services = self._state.manifest.services_by_name
        for service_name, index, entries in self._state.flows.buckets():
            service = services.get(service_name)
            idle_s = service.idle_timeout_s if service else 0
            ended = [
                key
                for key, entry in entries.items()
                if _is_ended(entry, now_s, idle_s)
            ]
            for key in ended:
                self._drop(service_name, index, key)

    def _drop(self, service: str, index: int, key: int) -> None:
        entry = self._state.flows.remove(service, index, key)
        if entry is not None:
            self._admission.uncount(entry)


def _is_ended(entry: FlowEntry, now_s: float, idle_s: float) -> bool:
    silent_s = now_s - entry.seen_at_s
    if entry.state is FlowState.CLOSING:
        return silent_s > CLOSED_FLOW_LINGER_S
    return entry.state is FlowState.OPEN and silent_s > idle_s
