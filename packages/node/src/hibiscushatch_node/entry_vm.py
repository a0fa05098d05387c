"""One entry VM: builds and connects the classes that make its decisions.

The adapters call ``handle_edge`` and ``handle_relay`` with each datagram.
Everything that the entry VM sends goes through its ports.
"""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.manifest import Manifest
from hibiscushatch_core.report import BucketReport, NodeReport
from hibiscushatch_core.settings import NodeSettings, PeerSettings
from hibiscushatch_core.vm_list import VmListEntry
from hibiscushatch_node import reporting
from hibiscushatch_node.admission import Admission
from hibiscushatch_node.connector import Connector
from hibiscushatch_node.flow_owner import FlowOwner
from hibiscushatch_node.flow_sweeper import FlowSweeper
from hibiscushatch_node.forwarder import Forwarder
from hibiscushatch_node.generation import GenerationApplier
from hibiscushatch_node.handover import Handover
from hibiscushatch_node.lifecycle import Lifecycle
from hibiscushatch_node.manifest_keeper import ManifestKeeper
from hibiscushatch_node.membership import placeholder_member
from hibiscushatch_node.mover import BucketMover
from hibiscushatch_node.node_state import EntryVmPorts, NodeState
from hibiscushatch_node.packet_exit import PacketExit
from hibiscushatch_node.peer_intake import PeerIntake
from hibiscushatch_node.peer_outflow import PeerOutflow
from hibiscushatch_node.peers import PeerNetwork

__all__ = ('EntryVm', 'EntryVmPorts')

ADMISSION_POLL_INTERVAL_S = 0.1

_log = logging.getLogger(__name__)


class EntryVm:
    """Builds, starts and stops the parts of one entry VM."""

    def __init__(self, settings: NodeSettings, ports: EntryVmPorts) -> None:
        self._settings = settings
        self._state = NodeState(settings, ports)
        self._admission = Admission(self._state)
        self._keeper = ManifestKeeper(
            self._state, self._apply_manifest, self._add_placeholder
        )
        self._applier = GenerationApplier(self._state)
        self._intake = PeerIntake(self._state, self._keeper, self._admission)
        self._outflow = PeerOutflow(self._state, self._admission)
        self._peers = PeerNetwork(self._state, self._intake, self._outflow)
        self._mover = BucketMover(self._state, self._peers, self._admission)
        self._exit = PacketExit(self._state)
        self._connector = Connector(
            self._state, self._exit, self._mover, self._admission
        )
        self._handover = Handover(
            self._state, self._peers, self._outflow, self._admission
        )
        self._lifecycle = Lifecycle(
            self._state,
            self._peers,
            self._intake,
            self._applier,
            self._admission,
        )
        self._forwarder = Forwarder(
            self._state,
            self._exit,
            FlowOwner(self._state, self._exit, self._connector, self._mover),
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def counters(self) -> Counters:
        """The counters of this entry VM."""
        return self._state.counters

    @property
    def state(self) -> NodeState:
        """The tables of this entry VM, for reports and tests."""
        return self._state

    async def start(self) -> None:
        """Start the background tasks of this entry VM."""
        for peer in self._settings.seed_peers:
            self._add_placeholder(peer)
        sweeper = FlowSweeper(self._state, self._admission)
        coroutines = {
            'manifest': self._keeper.run(),
            'registration': self._keeper.register(),
            'peers': self._peers.run(),
            'mover': self._mover.run(),
            'admission': self._run_admission(),
            'handover': self._handover.run(),
            'sweeper': sweeper.run(),
            'lifecycle': self._lifecycle.run(),
        }
        for task_name, coroutine in coroutines.items():
            self._spawn(task_name, coroutine)

    async def stop(self) -> None:
        """Hand over the owned buckets, then stop all tasks."""
        await self._lifecycle.leave()
        self._handover.hand_over_buckets()
        async with asyncio.timeout(self._settings.timing.stop_grace_s):
            await self._connector.stop()
            await self._peers.wait_acknowledged(
                self._settings.timing.announce_deadline_s
            )
            await asyncio.sleep(self._lifecycle.forwarding_after_leave_s)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._peers.stop()

    def handle_edge(self, packet: bytes, sender_address: str) -> None:
        """Route a packet from the fabric or an upstream.

        Args:
            packet: The inner packet.
            sender_address: Source IPv4 address of the datagram, dotted.
        """
        self._apply_current_time()
        self._forwarder.handle_edge(packet, sender_address)

    def handle_relay(self, datagram: bytes, sender_address: str) -> None:
        """Route a datagram from another entry VM's relay socket.

        Args:
            datagram: A relay header and an inner packet.
            sender_address: Source IPv4 address of the datagram, dotted.
        """
        self._apply_current_time()
        self._forwarder.handle_relay(datagram, sender_address)

    def report(self) -> NodeReport:
        """Describe the state of this entry VM."""
        return reporting.build_report(self._state, self._admission)

    def bucket_reports(self, service_name: str) -> tuple[BucketReport, ...]:
        """Describe the buckets of a service; none when it is unknown."""
        return reporting.build_bucket_reports(self._state, service_name)

    def _apply_current_time(self) -> None:
        now_s = self._state.now()
        self._lifecycle.detect_pause(now_s)
        self._state.ownership.refresh(now_s)

    def _spawn(
        self, task_name: str, coroutine: Coroutine[Any, Any, None]
    ) -> None:
        task = asyncio.create_task(
            coroutine, name=f'{self._state.name} {task_name}'
        )
        task.add_done_callback(_log_failure)
        self._tasks.append(task)

    async def _run_admission(self) -> None:
        """Keep claims current and publish them to peers until cancelled."""
        while True:
            await asyncio.sleep(ADMISSION_POLL_INTERVAL_S)
            if self._state.manifest is None:
                continue
            if self._admission.refresh_if_due():
                self._peers.publish_admission(self._admission)

    def _apply_manifest(self, manifest: Manifest) -> None:
        self._admission.apply_manifest(self._state.manifest, manifest)
        self._applier.apply(manifest)
        if self._state.membership.update_own(generation=manifest.generation):
            self._peers.flood_member(self._state.name)

    def _add_placeholder(self, vm: VmListEntry | PeerSettings) -> None:
        """Add a placeholder record until the VM's own record arrives."""
        self._state.membership.apply_record(placeholder_member(vm))


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.error(
            'task failed: %s', task.get_name(), exc_info=task.exception()
        )
