"""Entry VMs of the simplest kinds, to weigh the real one against.

They learn the manifest and serve the fabric as ``entry_vm.EntryVm`` does and
differ in how a packet finds its upstream: by a hash alone, or by an entry that
one owner of the flow holds. They neither limit nor retry flows.
"""

import abc
import asyncio
from collections.abc import Coroutine, Iterator, Sequence
from typing import Any

from hibiscushatch_core import hashing, packets
from hibiscushatch_core.counters import Counters
from hibiscushatch_core.manifest import Manifest, Service, Upstream
from hibiscushatch_core.reasons import DropReason, RefusalReason
from hibiscushatch_core.report import NodeReport, ServiceReport
from hibiscushatch_core.settings import NodeSettings
from hibiscushatch_core.vm_list import VmListEntry
from hibiscushatch_node.generation import GenerationApplier
from hibiscushatch_node.lifecycle import LEAVE_S
from hibiscushatch_node.located_packet import LocatedPacket
from hibiscushatch_node.manifest_keeper import ManifestKeeper
from hibiscushatch_node.membership import MemberState
from hibiscushatch_node.node_state import EntryVmPorts, NodeState
from hibiscushatch_node.packet_exit import PacketExit


class BaselineVm(abc.ABC):
    """What all baselines share: the manifest, and who sent a packet."""

    def __init__(self, settings: NodeSettings, ports: EntryVmPorts) -> None:
        self._settings = settings
        self._state = NodeState(settings, ports)
        self._exit = PacketExit(self._state)
        self._applier = GenerationApplier(self._state)
        self._keeper = ManifestKeeper(
            self._state, self._apply_manifest, self._introduce
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def counters(self) -> Counters:
        """What this entry VM counted."""
        return self._state.counters

    async def start(self) -> None:
        """Begin to watch the manifest."""
        self._spawn(self._keeper.run(), self._keeper.register())

    async def stop(self) -> None:
        """Leave the fabric's list, forward for a moment more, then stop."""
        self._leave()
        await asyncio.sleep(LEAVE_S)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def handle_edge(self, packet: bytes, sender_address: str) -> None:
        """Route a packet from the fabric or an upstream.

        Args:
            packet: The inner packet.
            sender_address: Source IPv4 address of the datagram, dotted.
        """
        self.counters.packets_in += 1
        located = self.locate(packet)
        if located is None:
            return
        if _is_from_caller(located):
            self._handle_caller_packet(located)
            return
        sender = self.find_sender(located.service, sender_address)
        if sender is not None:
            self._handle_reply(located, sender)

    @abc.abstractmethod
    def handle_relay(self, datagram: bytes, sender_address: str) -> None:
        """Route a datagram from another entry VM's relay socket.

        Args:
            datagram: A relay header and an inner packet.
            sender_address: Source IPv4 address of the datagram, dotted.
        """

    def report(self) -> NodeReport:
        """Describe the state of this entry VM."""
        own = self._state.membership.own
        manifest = self._state.manifest
        serving = own.state is MemberState.SERVING
        in_domain = manifest is not None and own.domain in manifest.domains_in
        return NodeReport(
            name=own.name,
            domain=own.domain,
            state=own.state.value,
            ready=serving and in_domain,
            generation=self._state.generation,
            commit_id='',
            members=(),
            services=tuple(self._report_services(manifest)),
        )

    def locate(self, packet: bytes) -> LocatedPacket | None:
        """Find the service, bucket and flow of a packet.

        Args:
            packet: An inner packet.

        Returns:
            Where it belongs; None when it was dropped and counted.
        """
        headers = packets.read_headers(packet)
        if isinstance(headers, DropReason):
            return self._exit.drop(headers)
        if self._state.manifest is None:
            return self._exit.drop(DropReason.NO_MANIFEST)
        services = self._state.manifest.services_by_key
        protocol = headers.protocol
        towards = (headers.destination, headers.destination_port, protocol)
        back = (headers.source, headers.source_port, protocol)
        if towards in services:
            service = services[towards]
            key = hashing.flow_key(headers.source, headers.source_port)
        elif back in services:
            service = services[back]
            key = hashing.flow_key(
                headers.destination, headers.destination_port
            )
        else:
            return self._exit.drop(DropReason.UNKNOWN_SERVICE)
        index = hashing.hash_flow(key, service.key.port) % service.buckets
        return LocatedPacket(packet, headers, service, index, key)

    def find_sender(self, service: Service, address: str) -> Upstream | None:
        """Find the upstream of a service that sent a reply.

        Args:
            service: The service that the reply comes from.
            address: Where its datagram came from, dotted.

        Returns:
            The upstream; None when the reply was dropped and counted.
        """
        sender = self._state.directory.find_address(address)
        if sender is None or sender.service != service.name:
            return self._exit.drop(DropReason.WRONG_SENDER)
        return sender

    @abc.abstractmethod
    def _handle_caller_packet(self, located: LocatedPacket) -> None:
        """Route a packet that the fabric brought."""

    @abc.abstractmethod
    def _handle_reply(self, located: LocatedPacket, sender: Upstream) -> None:
        """Route a packet that an upstream of the service sent."""

    def _apply_manifest(self, manifest: Manifest) -> None:
        self._applier.apply(manifest)

    @abc.abstractmethod
    def _introduce(self, entry: VmListEntry) -> None:
        """Hear of another entry VM on the platform's list."""

    def _leave(self) -> None:
        """Be served no more packets by the fabric."""
        self._state.membership.update_own(state=MemberState.LEAVING)

    def _spawn(self, *work: Coroutine[Any, Any, None]) -> None:
        self._tasks.extend(asyncio.create_task(one) for one in work)

    def _report_services(
        self, manifest: Manifest | None
    ) -> Iterator[ServiceReport]:
        for service in manifest.services if manifest else ():
            yield ServiceReport(
                name=service.name,
                buckets=service.buckets,
                buckets_in_motion=0,
                buckets_owned=0,
                entries=self._state.flows.count(service.name),
                upstreams=(),
            )


class StatelessVm(BaselineVm):
    """Places each packet by a hash over the upstreams of the moment."""

    def handle_relay(self, datagram: bytes, sender_address: str) -> None:
        """Drop what comes from another entry VM; none sends anything.

        Args:
            datagram: A relay header and an inner packet.
            sender_address: Source IPv4 address of the datagram, dotted.
        """
        self._exit.drop(DropReason.UNKNOWN_PEER)

    @abc.abstractmethod
    def _choose(self, names: Sequence[str], located: LocatedPacket) -> str:
        """Choose one of the upstreams that may have new flows."""

    def _introduce(self, entry: VmListEntry) -> None:
        """Need no other entry VM."""

    def _apply_manifest(self, manifest: Manifest) -> None:
        super()._apply_manifest(manifest)
        if self._state.membership.own.state is MemberState.JOINING:
            self._state.membership.update_own(state=MemberState.SERVING)

    def _handle_caller_packet(self, located: LocatedPacket) -> None:
        names = list_accepting(self._state.manifest, located.service)
        if not names:
            self._exit.refuse(
                located.service, located.packet, RefusalReason.NO_UPSTREAM
            )
            return
        name = self._choose(names, located)
        self._exit.to_upstream(located.service, name, located.packet)

    def _handle_reply(self, located: LocatedPacket, sender: Upstream) -> None:
        self._exit.to_caller(located.packet)


class ModuloVm(StatelessVm):
    """Takes the hash of the flow modulo the number of upstreams."""

    def _choose(self, names: Sequence[str], located: LocatedPacket) -> str:
        return choose_by_modulo(names, located.key, located.service.key.port)


class RendezvousVm(StatelessVm):
    """Takes the upstream with the highest hash together with the flow."""

    def _choose(self, names: Sequence[str], located: LocatedPacket) -> str:
        return choose_by_rendezvous(names, located.key)


def list_accepting(manifest: Manifest, service: Service) -> tuple[str, ...]:
    """List the upstreams of a service that may have new flows.

    Args:
        manifest: The generation in force.
        service: One of its services.

    Returns:
        Names in the order of the manifest.
    """
    return tuple(
        one.name
        for one in service.upstreams
        if manifest.accepts_new_flows(one.name)
    )


def choose_by_modulo(names: Sequence[str], key: int, seed: int) -> str:
    """Choose an upstream by hash modulo their number.

    Args:
        names: The upstreams, at least one.
        key: The flow.
        seed: Of the service.

    Returns:
        The name chosen.
    """
    return names[hashing.hash_flow(key, seed) % len(names)]


def choose_by_rendezvous(names: Sequence[str], key: int) -> str:
    """Choose an upstream by the highest hash of its name and the flow.

    Args:
        names: The upstreams, at least one.
        key: The flow.

    Returns:
        The name chosen.
    """
    return hashing.rank_by_rendezvous(names, str(key))[0]


def _is_from_caller(located: LocatedPacket) -> bool:
    service = located.service.key
    headers = located.headers
    towards = (headers.destination, headers.destination_port)
    return towards == (service.address, service.port)
