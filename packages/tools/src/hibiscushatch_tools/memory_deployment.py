"""A whole deployment in memory, in virtual time.

The entry VMs run their real code. The network, the fabric, the platform, the
upstreams and the callers are stand-ins.
"""

import asyncio
import dataclasses
import ipaddress
import random
from collections.abc import Callable
from functools import partial

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.manifest import PROTOCOL_NUMBERS
from hibiscushatch_core.settings import (
    NodeSettings,
    PeerSettings,
    PlatformSettings,
    SocketAddress,
)
from hibiscushatch_node.entry_vm import EntryVm, EntryVmPorts
from hibiscushatch_ops.callers import Callers
from hibiscushatch_tools.fabric import (
    AttachedUpstream,
    FabricMember,
    MemoryFabric,
    MemoryPacketSender,
)
from hibiscushatch_tools.host_loop import Host
from hibiscushatch_tools.memory_network import (
    ExternalEndpoint,
    MemoryNetwork,
    MemoryPeerTransport,
)
from hibiscushatch_tools.memory_platform import MemoryPlatform
from hibiscushatch_tools.payload_ledger import PayloadLedger
from hibiscushatch_tools.platform_store import PlatformFaults, PlatformStore
from hibiscushatch_tools.scenario_events import (
    CutTarget,
    Deployment,
    PlatformCondition,
    UpstreamChange,
)
from hibiscushatch_tools.scenario_history import (
    CommitRecord,
    History,
    SpanKind,
)
from hibiscushatch_tools.scenario_manifest import (
    DeclaredUpstream,
    DesiredManifest,
    ManifestOperator,
)
from hibiscushatch_tools.scenario_model import Scenario
from hibiscushatch_tools.upstream_standin import (
    UpstreamMode,
    UpstreamPlan,
    UpstreamStandIn,
)

FABRIC_ADDRESS = '10.3.0.1'
EDGE_PORT = 6635
RELAY_PORT = 6636
CONTROL_PORT = 6637
ADMIN_PORT = 6638
PEER_KEY = 'a-key-that-all-peers-share'
STOP_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 15.0
READY_POLL_S = 0.2
CANCEL_ROUNDS = 5
CANCEL_TIMEOUT_S = 0.1
FAILED_MODES = {
    UpstreamChange.DIES: UpstreamMode.DEAD,
    UpstreamChange.MUTE: UpstreamMode.MUTE,
}
VmFactory = Callable[[NodeSettings, EntryVmPorts], EntryVm]


@dataclasses.dataclass(frozen=True, slots=True)
class StartedVm:
    """An entry VM that was started in a run, and its platform client."""

    member: FabricMember
    platform: MemoryPlatform
    settings: NodeSettings


class MemoryDeployment(Deployment):
    """A deployment whose entry VMs, upstreams and network a scenario changes.

    Attributes:
        history: Commits, time spans of faults and failures of the run.
        desired: The manifest that operators want to be in force.
        upstreams: All upstreams of the run, by name, removed ones included.
        started: All entry VMs of the run, one entry for each start.
        network: The network.
        fabric: The fabric.
        callers: The callers.
        ledger: The payload that upstreams accepted.
    """

    def __init__(
        self, scenario: Scenario, seed: int, vm_factory: VmFactory
    ) -> None:
        self.history = History()
        self.desired = DesiredManifest(scenario)
        self.upstreams: dict[str, UpstreamStandIn] = {}
        self.started: list[StartedVm] = []
        self.ledger = PayloadLedger()
        self._scenario = scenario
        self._vm_factory = vm_factory
        self._randomness = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._vms: dict[str, StartedVm] = {}
        self._starts: list[asyncio.Task[None]] = []
        self._cut_from_platform: set[str] = set()
        self.network = MemoryNetwork(scenario.network, self._new_random())
        self.callers = Callers(self._new_random(), self._spray)
        self.fabric = MemoryFabric(
            self.network,
            self._new_random(),
            FABRIC_ADDRESS,
            self.callers.receive,
        )
        self._store = PlatformStore(self._loop.time)
        self._platform_settings = PlatformSettings(endpoints=['memory'])
        self._operator = ManifestOperator(
            MemoryPlatform(self._store, self._platform_settings, Counters()),
            self._platform_settings.key_prefix,
        )

    @property
    def platform_calls(self) -> int:
        """Calls to the platform by all clients together."""
        return self._store.calls

    def is_connected(self, domain: str) -> bool:
        """Return whether a domain reaches the platform or another domain."""
        if domain not in self._cut_from_platform:
            return True
        return any(
            self.network.are_connected(domain, other)
            for other in self.desired.domains
            if other != domain
        )

    async def open(self) -> None:
        """Commit the first manifest and start all upstreams and entry VMs."""
        for declared in self.desired.upstreams.values():
            self._start_upstream(declared)
        await self._commit()
        for name in self._scenario.vm_names:
            await self.start_vm(name)

    async def refresh_fabric(self) -> None:
        """Refresh the fabric's list of entry VMs until cancelled."""
        domains = tuple(self.desired.domains)
        while True:
            self.fabric.refresh(domains)
            await asyncio.sleep(self._scenario.fabric_lag_s)

    async def close(self) -> None:
        """Close the callers, shut down all hosts and cancel all tasks."""
        await self.callers.close()
        for started_vm in self.started:
            started_vm.member.host.shut_down()
        for _ in range(CANCEL_ROUNDS):
            await _cancel_other_tasks()

    async def set_draining(self, upstream: str, draining: bool) -> None:
        """Commit that an upstream is draining, or active again."""
        self.desired.upstreams[upstream].draining = draining
        await self._commit()
        self._record_span(SpanKind.DRAINED, upstream, draining)

    async def set_domain_state(self, domain: str, state: str) -> None:
        """Commit that a failure domain is ``in`` or ``out``."""
        self.desired.domains[domain] = state
        await self._commit()
        self._record_span(SpanKind.DOMAIN_OUT, domain, state == 'out')

    async def add_upstream(
        self, upstream: str, service: str, domain: str
    ) -> None:
        """Start an upstream and commit it."""
        declared = self.desired.add_upstream(upstream, service, domain)
        self._start_upstream(declared)
        await self._commit()

    async def remove_upstream(self, upstream: str) -> None:
        """Commit that an upstream is removed."""
        del self.desired.upstreams[upstream]
        await self._commit()
        self._record_span(SpanKind.UPSTREAM_REMOVED, upstream, begins=True)

    async def touch_manifest(self) -> None:
        """Commit a new generation without other changes."""
        await self._commit()

    async def race_commits(self, count: int) -> None:
        """Commit several different manifests at the same moment."""
        builds = [self.desired.build for _ in range(count)]
        self.history.race_accepted_counts.append(
            await self._operator.race(builds)
        )

    async def kill_vm(self, vm: str) -> None:
        """Kill an entry VM without warning."""
        self._host_of(vm).kill()

    async def stop_vm(self, vm: str) -> None:
        """Stop an entry VM gracefully."""
        member = self._vms[vm].member
        stopping = member.host.create_task(member.vm.stop())
        await asyncio.wait((stopping,), timeout=STOP_TIMEOUT_S)
        if not stopping.done():
            self.history.failures.append(f'{vm} did not stop')
        member.host.kill()

    async def start_vm(self, vm: str) -> None:
        """Start an entry VM; the name may have been used before."""
        settings = self._settings_of(vm)
        host = Host(vm, settings.domain)
        started_vm = self._build_vm(host, settings)
        self._vms[vm] = started_vm
        self.started.append(started_vm)
        self.fabric.add_member(started_vm.member)
        self._starts.append(host.create_task(started_vm.member.vm.start()))

    async def roll_vms(self, every_s: float) -> None:
        """Restart all entry VMs gracefully, one after the other."""
        for vm in self._scenario.vm_names:
            await self.stop_vm(vm)
            await self.start_vm(vm)
            await self._wait_ready(self._vms[vm].member)
            await asyncio.sleep(every_s)

    async def freeze_vm(self, vm: str, for_s: float) -> None:
        """Pause an entry VM for some seconds."""
        host = self._host_of(vm)
        host.freeze()
        await asyncio.sleep(for_s)
        host.thaw()

    async def cut(self, domain: str, target: CutTarget) -> None:
        """Cut a failure domain off from the platform, other domains or both."""
        if target is not CutTarget.PLATFORM:
            self._record_span(SpanKind.DOMAIN_CUT, domain, begins=True)
            for other in self.desired.domains:
                if other != domain:
                    self.network.cut(domain, other)
        if target is not CutTarget.OTHERS:
            self._cut_from_platform.add(domain)
        self._update_platform_cuts()

    async def lose_one_way(self, source: str, target: str) -> None:
        """Lose all that one entry VM sends to another."""
        self.network.lose_one_way(source, target)

    async def set_loss(self, fraction: float) -> None:
        """Lose a fraction of all packets."""
        self.network.loss = fraction

    async def heal(self) -> None:
        """Undo all cuts, one-way losses and changes of packet loss."""
        self._cut_from_platform.clear()
        self._update_platform_cuts()
        self.network.loss = self._scenario.network.loss
        self.network.heal()
        for domain in self.desired.domains:
            self._record_span(SpanKind.DOMAIN_CUT, domain, begins=False)

    async def set_platform(
        self, condition: PlatformCondition, amount: float
    ) -> None:
        """Replace the faults of the platform by one condition.

        Args:
            condition: Fault to inject.
            amount: Delay in seconds when slow, or number of lost answers;
                not used by other conditions.
        """
        is_stale = condition is PlatformCondition.STALE
        is_slow = condition is PlatformCondition.SLOW
        loses_answers = condition is PlatformCondition.LOSE_ANSWERS
        self._store.inject(
            PlatformFaults(
                outage=condition is PlatformCondition.OUTAGE,
                delay_s=amount if is_slow else 0,
                stale_revision=self._store.revision if is_stale else None,
                lost_answers=int(amount) if loses_answers else 0,
                silent_watches=condition is PlatformCondition.SILENT,
            )
        )

    async def change_upstream(
        self, upstream: str, change: UpstreamChange
    ) -> None:
        """Apply a change, such as a failure or a recovery, to an upstream."""
        standin = self.upstreams[upstream]
        if change is UpstreamChange.COLD:
            standin.go_cold_silently()
        elif change is UpstreamChange.SHEDS:
            standin.set_mode(UpstreamMode.SHEDDING)
        elif change is UpstreamChange.RECOVERS:
            standin.set_mode(UpstreamMode.SERVING)
        elif change is UpstreamChange.RESTARTS:
            standin.restart()
            self._record_span(SpanKind.UPSTREAM_FAILED, upstream, begins=True)
        else:
            standin.set_mode(FAILED_MODES[change])
            self._record_span(SpanKind.UPSTREAM_FAILED, upstream, begins=True)

    def _host_of(self, vm: str) -> Host:
        return self._vms[vm].member.host

    def _record_span(self, kind: SpanKind, subject: str, begins: bool) -> None:
        now_s = self._loop.time()
        if begins:
            self.history.begin(kind, subject, now_s)
        else:
            self.history.end(kind, subject, now_s)

    def _new_random(self) -> random.Random:
        return random.Random(self._randomness.getrandbits(64))

    def _spray(self, packet: bytes) -> None:
        self.fabric.spray_from_caller(packet)

    async def _commit(self) -> None:
        generation = await self._operator.commit(self.desired.build)
        waiting = {
            member.name
            for member in self.fabric.members
            if member.is_healthy and self.is_connected(member.host.domain)
        }
        self.history.commits.append(
            CommitRecord(generation, self._loop.time(), waiting)
        )

    def _start_upstream(self, declared: DeclaredUpstream) -> None:
        endpoint = ExternalEndpoint(declared.name, declared.domain)
        plan = UpstreamPlan(
            name=declared.name,
            domain=declared.domain,
            address=declared.address,
            service=(
                int(ipaddress.IPv4Address(declared.service.address)),
                declared.service.port,
                PROTOCOL_NUMBERS[declared.service.protocol],
            ),
            service_id=self._scenario.services.index(declared.service),
            slots=declared.spec.slots,
            connections=declared.spec.connections,
            cold_allowance=declared.spec.cold_allowance,
            warm_up_s=declared.spec.warm_up_s,
            work_s=declared.spec.work_s,
        )
        send = partial(
            self.fabric.spray_from_upstream, endpoint, declared.address
        )
        standin = UpstreamStandIn(plan, self.ledger, self._new_random(), send)
        self.upstreams[declared.name] = standin
        self.fabric.add_upstream(
            declared.tunnel_address, AttachedUpstream(endpoint, standin)
        )

    def _build_vm(self, host: Host, settings: NodeSettings) -> StartedVm:
        counters = Counters()
        platform = MemoryPlatform(
            self._store, self._platform_settings, counters
        )
        platform.cut_off = host.domain in self._cut_from_platform
        ports = EntryVmPorts(
            sender=MemoryPacketSender(self.fabric, host, settings.relay.pair),
            platform=platform,
            transport=MemoryPeerTransport(
                self.network, host, settings.control.pair
            ),
            clock=self._loop.time,
            randomness=self._new_random(),
            counters=counters,
            incarnation=len(self.started) + 1,
        )
        member = FabricMember(
            host,
            self._vm_factory(settings, ports),
            str(settings.edge.address),
            settings.relay.pair,
        )
        return StartedVm(member, platform, settings)

    def _update_platform_cuts(self) -> None:
        for started_vm in self._vms.values():
            domain = started_vm.member.host.domain
            started_vm.platform.cut_off = domain in self._cut_from_platform

    def _settings_of(self, vm: str) -> NodeSettings:
        domain = vm.rpartition('-vm-')[0]
        address = self._address_of(vm)
        peers = [
            PeerSettings(
                name=name,
                domain=domain,
                control=_socket_address(self._address_of(name), CONTROL_PORT),
                relay=_socket_address(self._address_of(name), RELAY_PORT),
            )
            for name in self._scenario.vm_names
            if name != vm and name.startswith(f'{domain}-vm-')
        ]
        return NodeSettings(
            name=vm,
            domain=domain,
            edge=_socket_address(address, EDGE_PORT),
            relay=_socket_address(address, RELAY_PORT),
            control=_socket_address(address, CONTROL_PORT),
            admin=_socket_address(address, ADMIN_PORT),
            fabric=_socket_address(FABRIC_ADDRESS, EDGE_PORT),
            platform=self._platform_settings,
            peer_keys=[PEER_KEY],
            admin_keys=[PEER_KEY],
            seed_peers=peers,
            timing=self._scenario.timing,
        )

    def _address_of(self, vm: str) -> str:
        domain, _, number = vm.rpartition('-vm-')
        index = tuple(self.desired.domains).index(domain)
        return f'10.1.{index + 1}.{number}'

    async def _wait_ready(self, member: FabricMember) -> None:
        deadline_s = self._loop.time() + READY_TIMEOUT_S
        while self._loop.time() < deadline_s:
            if member.is_healthy:
                return
            await asyncio.sleep(READY_POLL_S)
        self.history.failures.append(f'{member.host.name} is not ready')


async def _cancel_other_tasks() -> None:
    """Cancel all other tasks.

    Call it several times: a task that is just being woken may miss the
    cancellation.
    """
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    if others:
        await asyncio.wait(others, timeout=CANCEL_TIMEOUT_S)


def _socket_address(address: str, port: int) -> SocketAddress:
    return SocketAddress.model_validate({'address': address, 'port': port})
