"""The baseline that keeps an entry for each flow at one owner.

Every packet of a flow, either way, passes the owner, an entry VM chosen by
rendezvous hashing over the live ones. Entries are neither handed over nor
backed up: an owner that lacks one places the flow by the same hash anew, or
learns its upstream from a reply.
"""

import asyncio

from hibiscushatch_core import packets
from hibiscushatch_core.hashing import rank_by_rendezvous
from hibiscushatch_core.manifest import Manifest, Upstream
from hibiscushatch_core.reasons import DropReason, RefusalReason
from hibiscushatch_core.relay import Direction, decode_relayed
from hibiscushatch_core.settings import NodeSettings, PeerSettings
from hibiscushatch_core.vm_list import VmListEntry
from hibiscushatch_node.admission import Admission
from hibiscushatch_node.flow_table import FlowEntry, FlowState
from hibiscushatch_node.lifecycle import Lifecycle
from hibiscushatch_node.located_packet import LocatedPacket
from hibiscushatch_node.membership import introduced_member
from hibiscushatch_node.node_state import EntryVmPorts
from hibiscushatch_node.packet_exit import first_hop
from hibiscushatch_node.peer_intake import PeerIntake
from hibiscushatch_node.peer_outflow import PeerOutflow
from hibiscushatch_node.peers import PeerNetwork
from hibiscushatch_tools.baselines import (
    BaselineVm,
    choose_by_rendezvous,
    list_accepting,
)

SWEEP_S = 1.0
CLOSING_HOLD_S = 5.0


class OwnerVm(BaselineVm):
    """Passes every packet of a flow through the flow's owner."""

    def __init__(self, settings: NodeSettings, ports: EntryVmPorts) -> None:
        super().__init__(settings, ports)
        admission = Admission(self._state)
        intake = PeerIntake(self._state, self._keeper, admission)
        outflow = PeerOutflow(self._state, admission)
        self._peers = PeerNetwork(self._state, intake, outflow)
        self._lifecycle = Lifecycle(
            self._state, self._peers, intake, self._applier, admission
        )
        self._owners: dict[str, str] = {}
        self._owners_version = (0, 0)

    async def start(self) -> None:
        """Begin to watch the manifest and to talk to peers."""
        for peer in self._settings.seed_peers:
            self._introduce(peer)
        await super().start()
        self._spawn(self._peers.run(), self._lifecycle.run(), self._sweep())

    async def stop(self) -> None:
        """Leave, forward for a moment more, then stop."""
        await self._lifecycle.leave()
        await super().stop()
        await self._peers.stop()

    def handle_relay(self, datagram: bytes, sender_address: str) -> None:
        """Decide on a packet that another entry VM passed to its owner.

        Args:
            datagram: A relay header and an inner packet.
            sender_address: Source IPv4 address of the datagram, dotted.
        """
        relayed = decode_relayed(datagram)
        located = self.locate(relayed.packet)
        if located is None:
            return
        if relayed.direction is Direction.FROM_CALLER:
            self._decide(located)
            return
        sender = self.find_sender(located.service, relayed.sender_address)
        if sender is not None:
            self._decide_on_reply(located, sender)

    def _apply_manifest(self, manifest: Manifest) -> None:
        super()._apply_manifest(manifest)
        if self._state.membership.update_own(generation=manifest.generation):
            self._peers.spread_member(self._state.name)

    def _introduce(self, vm: VmListEntry | PeerSettings) -> None:
        """Know a VM until its own record comes."""
        self._state.membership.receive(introduced_member(vm))

    def _handle_caller_packet(self, located: LocatedPacket) -> None:
        owner = self._find_owner(located)
        if owner == self._state.name:
            self._decide(located)
        elif owner:
            relayed = first_hop(Direction.FROM_CALLER, located.packet)
            self._exit.relay(owner, relayed)
        else:
            self._exit.drop(DropReason.NO_OWNER)

    def _handle_reply(self, located: LocatedPacket, sender: Upstream) -> None:
        owner = self._find_owner(located)
        if owner == self._state.name:
            self._decide_on_reply(located, sender)
        elif owner:
            relayed = first_hop(
                Direction.FROM_UPSTREAM, located.packet, sender.address
            )
            self._exit.relay(owner, relayed)
        else:
            self._exit.drop(DropReason.NO_OWNER)

    def _find_owner(self, located: LocatedPacket) -> str:
        """Name the owner of a flow; all flows of a bucket have the same."""
        version = (self._state.membership.version, self._state.generation)
        if version != self._owners_version:
            self._owners.clear()
            self._owners_version = version
        subject = f'{located.service.name}/{located.index}'
        if subject not in self._owners:
            self._owners[subject] = self._rank_owner(subject)
        return self._owners[subject]

    def _rank_owner(self, subject: str) -> str:
        domains_in = self._state.manifest.domains_in
        names = [
            one.name
            for one in self._state.membership.serving()
            if one.domain in domains_in
        ]
        return rank_by_rendezvous(names, subject)[0] if names else ''

    def _decide(self, located: LocatedPacket) -> None:
        """Send a caller's packet to the upstream of its flow."""
        entry = self._find_entry(located) or self._place(located)
        if entry is None:
            reason = RefusalReason.NO_UPSTREAM
            self._exit.refuse(located.service, located.packet, reason)
            return
        self._note(located, entry)
        name = entry.upstream
        if not self._exit.to_upstream(located.service, name, located.packet):
            self._drop_entry(located)
            reason = RefusalReason.UPSTREAM_GONE
            self._exit.refuse(located.service, located.packet, reason)

    def _decide_on_reply(
        self, located: LocatedPacket, sender: Upstream
    ) -> None:
        """Send a reply to its caller if its flow is on the sender."""
        entry = self._find_entry(located)
        if entry is None:
            entry = self._enter(located, sender.name)
        if entry.upstream != sender.name:
            self._exit.drop(DropReason.LATE_REPLY)
            return
        self._note(located, entry)
        self._exit.to_caller(located.packet)

    def _place(self, located: LocatedPacket) -> FlowEntry | None:
        names = list_accepting(self._state.manifest, located.service)
        if not names:
            return None
        self.counters.flows_placed += 1
        return self._enter(located, choose_by_rendezvous(names, located.key))

    def _enter(self, located: LocatedPacket, upstream: str) -> FlowEntry:
        entry = FlowEntry(upstream, FlowState.OPEN, self._state.now())
        self._state.flows.put(
            located.service.name, located.index, located.key, entry
        )
        return entry

    def _find_entry(self, located: LocatedPacket) -> FlowEntry | None:
        return self._state.flows.find(
            located.service.name, located.index, located.key
        )

    def _drop_entry(self, located: LocatedPacket) -> None:
        self._state.flows.remove(
            located.service.name, located.index, located.key
        )

    def _note(self, located: LocatedPacket, entry: FlowEntry) -> None:
        entry.seen_at_s = self._state.now()
        if located.headers.tcp_flags & (packets.TCP_FIN | packets.TCP_RST):
            entry.state = FlowState.CLOSING

    async def _sweep(self) -> None:
        """Drop the entries of flows that ended or are idle."""
        while True:
            await asyncio.sleep(SWEEP_S)
            if self._state.manifest is not None:
                self._sweep_once()

    def _sweep_once(self) -> None:
        now_s = self._state.now()
        services = self._state.manifest.services_by_name
        for service, index, entries in self._state.flows.buckets():
            idle_s = services[service].idle_timeout_s
            for key, entry in tuple(entries.items()):
                closing = entry.state is FlowState.CLOSING
                hold_s = CLOSING_HOLD_S if closing else idle_s
                if entry.seen_at_s + hold_s < now_s:
                    self._state.flows.remove(service, index, key)
