"""The stage in memory: real entry VMs among stand-ins, under virtual time."""

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
    FabricMember,
    MemoryFabric,
    MemoryPacketSender,
    UpstreamEnd,
)
from hibiscushatch_tools.host_loop import Host
from hibiscushatch_tools.memory_network import (
    MemoryNetwork,
    MemoryPeerTransport,
    Place,
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
STOP_LIMIT_S = 30.0
READY_LIMIT_S = 15.0
READY_POLL_S = 0.2
CANCEL_ROUNDS = 5
CANCEL_LIMIT_S = 0.1
FAILED_MODES = {
    UpstreamChange.DIES: UpstreamMode.DEAD,
    UpstreamChange.MUTE: UpstreamMode.MUTE,
}
VmFactory = Callable[[NodeSettings, EntryVmPorts], EntryVm]


@dataclasses.dataclass(frozen=True, slots=True)
class StagedVm:
    """An entry VM that was started in a run, with its own platform client."""

    member: FabricMember
    platform: MemoryPlatform
    settings: NodeSettings


class MemoryStage(Deployment):
    """A whole deployment in memory.

    Attributes:
        history: What happened and when.
        desired: What operators want to be in force.
        upstreams: Every upstream that ever was, by name.
        started: Every entry VM that was ever started.
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
        self.started: list[StagedVm] = []
        self.ledger = PayloadLedger()
        self._scenario = scenario
        self._vm_factory = vm_factory
        self._randomness = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._vms: dict[str, StagedVm] = {}
        self._starts: list[asyncio.Task[None]] = []
        self._cut_from_platform: set[str] = set()
        self.network = MemoryNetwork(scenario.network, self._draw_random())
        self.callers = Callers(self._draw_random(), self._spray)
        self.fabric = MemoryFabric(
            self.network,
            self._draw_random(),
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
        """Calls that the platform was sent by all."""
        return self._store.calls

    def reaches(self, domain: str) -> bool:
        """Tell whether a domain is joined to the platform or to others."""
        if domain not in self._cut_from_platform:
            return True
        return any(
            self.network.joins(domain, other)
            for other in self.desired.domains
            if other != domain
        )

    async def open(self) -> None:
        """Commit the first manifest and start all upstreams and entry VMs."""
        for site in self.desired.upstreams.values():
            self._start_upstream(site)
        await self._commit()
        for name in self._scenario.vm_names:
            await self.start_vm(name)

    async def refresh_fabric(self) -> None:
        """Keep the fabric's list of entry VMs up to date."""
        domains = tuple(self.desired.domains)
        while True:
            self.fabric.refresh(domains)
            await asyncio.sleep(self._scenario.fabric_lag_s)

    async def close(self) -> None:
        """End everything that runs."""
        await self.callers.close()
        for one in self.started:
            one.member.host.end()
        for _ in range(CANCEL_ROUNDS):
            await _cancel_others()

    async def set_draining(self, upstream: str, draining: bool) -> None:
        """Commit that an upstream drains, or is active again."""
        self.desired.upstreams[upstream].draining = draining
        await self._commit()
        self._note(SpanKind.DRAINED, upstream, draining)

    async def set_domain_state(self, domain: str, state: str) -> None:
        """Commit that a failure domain is ``in`` or ``out``."""
        self.desired.domains[domain] = state
        await self._commit()
        self._note(SpanKind.DOMAIN_OUT, domain, state == 'out')

    async def add_upstream(
        self, upstream: str, service: str, domain: str
    ) -> None:
        """Start an upstream and commit it."""
        site = self.desired.add_upstream(upstream, service, domain)
        self._start_upstream(site)
        await self._commit()

    async def remove_upstream(self, upstream: str) -> None:
        """Commit that an upstream is no more."""
        del self.desired.upstreams[upstream]
        await self._commit()
        self._note(SpanKind.UPSTREAM_REMOVED, upstream, holds=True)

    async def touch_manifest(self) -> None:
        """Commit a generation that changes nothing else."""
        await self._commit()

    async def race_commits(self, count: int) -> None:
        """Commit several different manifests at the same moment."""
        builds = [self.desired.build for _ in range(count)]
        self.history.race_accepted_counts.append(
            await self._operator.race(builds)
        )

    async def kill_vm(self, vm: str) -> None:
        """End an entry VM without warning."""
        self._host_of(vm).kill()

    async def stop_vm(self, vm: str) -> None:
        """Stop an entry VM by plan."""
        member = self._vms[vm].member
        stopping = member.host.start(member.vm.stop())
        await asyncio.wait((stopping,), timeout=STOP_LIMIT_S)
        if not stopping.done():
            self.history.failures.append(f'{vm} did not stop')
        member.host.kill()

    async def start_vm(self, vm: str) -> None:
        """Start an entry VM, under a name that may have been used before."""
        settings = self._settings_of(vm)
        host = Host(vm, settings.domain)
        staged = self._stage_vm(host, settings)
        self._vms[vm] = staged
        self.started.append(staged)
        self.fabric.add_member(staged.member)
        self._starts.append(host.start(staged.member.vm.start()))

    async def roll_vms(self, every_s: float) -> None:
        """Stop and start all entry VMs by plan, one after the other."""
        for vm in self._scenario.vm_names:
            await self.stop_vm(vm)
            await self.start_vm(vm)
            await self._wait_ready(self._vms[vm].member)
            await asyncio.sleep(every_s)

    async def freeze_vm(self, vm: str, for_s: float) -> None:
        """Pause an entry VM."""
        host = self._host_of(vm)
        host.freeze()
        await asyncio.sleep(for_s)
        host.thaw()

    async def cut(self, domain: str, target: CutTarget) -> None:
        """Cut a failure domain off."""
        if target is not CutTarget.PLATFORM:
            self._note(SpanKind.DOMAIN_CUT, domain, holds=True)
            for other in self.desired.domains:
                if other != domain:
                    self.network.cut(domain, other)
        if target is not CutTarget.OTHERS:
            self._cut_from_platform.add(domain)
        self._cut_platform_clients()

    async def lose_one_way(self, source: str, target: str) -> None:
        """Lose all that one entry VM sends another."""
        self.network.lose_one_way(source, target)

    async def set_loss(self, fraction: float) -> None:
        """Lose a fraction of all packets."""
        self.network.loss = fraction

    async def heal(self) -> None:
        """Undo all cuts and loss."""
        self._cut_from_platform.clear()
        self._cut_platform_clients()
        self.network.loss = self._scenario.network.loss
        self.network.heal()
        for domain in self.desired.domains:
            self._note(SpanKind.DOMAIN_CUT, domain, holds=False)

    async def set_platform(
        self, condition: PlatformCondition, amount: float
    ) -> None:
        """Change how the platform behaves."""
        is_stale = condition is PlatformCondition.STALE
        is_slow = condition is PlatformCondition.SLOW
        loses = condition is PlatformCondition.LOSE_ANSWERS
        self._store.inject(
            PlatformFaults(
                outage=condition is PlatformCondition.OUTAGE,
                delay_s=amount if is_slow else 0,
                stale_revision=self._store.revision if is_stale else None,
                lost_answers=int(amount) if loses else 0,
                silent_watches=condition is PlatformCondition.SILENT,
            )
        )

    async def change_upstream(
        self, upstream: str, change: UpstreamChange
    ) -> None:
        """Let something happen to an upstream."""
        standin = self.upstreams[upstream]
        if change is UpstreamChange.COLD:
            standin.go_cold_silently()
        elif change is UpstreamChange.SHEDS:
            standin.switch(UpstreamMode.SHEDDING)
        elif change is UpstreamChange.RECOVERS:
            standin.switch(UpstreamMode.SERVING)
        elif change is UpstreamChange.RESTARTS:
            standin.restart()
            self._note(SpanKind.UPSTREAM_FAILED, upstream, holds=True)
        else:
            standin.switch(FAILED_MODES[change])
            self._note(SpanKind.UPSTREAM_FAILED, upstream, holds=True)

    def _host_of(self, vm: str) -> Host:
        return self._vms[vm].member.host

    def _note(self, kind: SpanKind, subject: str, holds: bool) -> None:
        now_s = self._loop.time()
        if holds:
            self.history.begin(kind, subject, now_s)
        else:
            self.history.end(kind, subject, now_s)

    def _draw_random(self) -> random.Random:
        return random.Random(self._randomness.getrandbits(64))

    def _spray(self, packet: bytes) -> None:
        self.fabric.spray_from_caller(packet)

    async def _commit(self) -> None:
        generation = await self._operator.commit(self.desired.build)
        waiting = {
            member.name
            for member in self.fabric.members
            if member.is_healthy and self.reaches(member.host.domain)
        }
        self.history.commits.append(
            CommitRecord(generation, self._loop.time(), waiting)
        )

    def _start_upstream(self, site: DeclaredUpstream) -> None:
        place = Place(site.name, site.domain)
        plan = UpstreamPlan(
            name=site.name,
            domain=site.domain,
            address=site.address,
            service=(
                int(ipaddress.IPv4Address(site.service.address)),
                site.service.port,
                PROTOCOL_NUMBERS[site.service.protocol],
            ),
            service_id=self._scenario.services.index(site.service),
            slots=site.spec.slots,
            connections=site.spec.connections,
            cold_allowance=site.spec.cold_allowance,
            warm_up_s=site.spec.warm_up_s,
            work_s=site.spec.work_s,
        )
        send = partial(self.fabric.spray_from_upstream, place, site.address)
        standin = UpstreamStandIn(plan, self.ledger, self._draw_random(), send)
        self.upstreams[site.name] = standin
        self.fabric.add_upstream(
            site.tunnel_address, UpstreamEnd(place, standin)
        )

    def _stage_vm(self, host: Host, settings: NodeSettings) -> StagedVm:
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
            randomness=self._draw_random(),
            counters=counters,
            incarnation=len(self.started) + 1,
        )
        member = FabricMember(
            host,
            self._vm_factory(settings, ports),
            str(settings.edge.address),
            settings.relay.pair,
        )
        return StagedVm(member, platform, settings)

    def _cut_platform_clients(self) -> None:
        for one in self._vms.values():
            domain = one.member.host.domain
            one.platform.cut_off = domain in self._cut_from_platform

    def _settings_of(self, vm: str) -> NodeSettings:
        domain = vm.rpartition('-vm-')[0]
        address = self._address_of(vm)
        peers = [
            PeerSettings(
                name=name,
                domain=domain,
                control=_at(self._address_of(name), CONTROL_PORT),
                relay=_at(self._address_of(name), RELAY_PORT),
            )
            for name in self._scenario.vm_names
            if name != vm and name.startswith(f'{domain}-vm-')
        ]
        return NodeSettings(
            name=vm,
            domain=domain,
            edge=_at(address, EDGE_PORT),
            relay=_at(address, RELAY_PORT),
            control=_at(address, CONTROL_PORT),
            admin=_at(address, ADMIN_PORT),
            fabric=_at(FABRIC_ADDRESS, EDGE_PORT),
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
        deadline_s = self._loop.time() + READY_LIMIT_S
        while self._loop.time() < deadline_s:
            if member.is_healthy:
                return
            await asyncio.sleep(READY_POLL_S)
        self.history.failures.append(f'{member.host.name} is not ready')


async def _cancel_others() -> None:
    """Cancel all other tasks; one that wakes just then may miss it."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    if others:
        await asyncio.wait(others, timeout=CANCEL_LIMIT_S)


def _at(address: str, port: int) -> SocketAddress:
    return SocketAddress.model_validate({'address': address, 'port': port})
