"""The timed events of a scenario and the deployment they are applied to.

Events change a deployment only through the abstract class Deployment, so the
same scenario can run on a deployment in memory or on one of processes.
"""

import abc
import dataclasses
import enum


class CutTarget(enum.StrEnum):
    """What a failure domain is cut off from."""

    OTHERS = 'others'
    PLATFORM = 'platform'
    EVERYTHING = 'everything'


class PlatformCondition(enum.StrEnum):
    """Normal operation or a fault of the platform.

    Members:
        WELL: No fault.
        OUTAGE: Calls fail and watches break.
        SLOW: Answers and changes are delayed.
        STALE: Reads and watches see nothing newer than the revision at the
            time of the event.
        SILENT: Watches stay open but yield no changes.
        LOSE_ANSWERS: The next writes take effect without an answer.
    """

    WELL = 'well'
    OUTAGE = 'outage'
    SLOW = 'slow'
    STALE = 'stale'
    SILENT = 'silent'
    LOSE_ANSWERS = 'lose-answers'


class UpstreamChange(enum.StrEnum):
    """A change of an upstream that operators did not commit.

    Members:
        DIES: It receives nothing any more.
        RESTARTS: It starts anew and has lost its flows.
        COLD: It turns cold without announcing it and keeps its flows.
        SHEDS: It answers each SYN with a reset and serves its open flows.
        MUTE: It no longer answers on flows that were opened earlier.
        RECOVERS: It serves normally again.
    """

    DIES = 'dies'
    RESTARTS = 'restarts'
    COLD = 'cold'
    SHEDS = 'sheds'
    MUTE = 'mute'
    RECOVERS = 'recovers'


class Deployment(abc.ABC):
    """Operations that events perform on a running deployment."""

    @abc.abstractmethod
    async def set_draining(self, upstream: str, draining: bool) -> None:
        """Commit that an upstream is draining or active."""

    @abc.abstractmethod
    async def set_domain_state(self, domain: str, state: str) -> None:
        """Commit that a failure domain is ``in`` or ``out``."""

    @abc.abstractmethod
    async def add_upstream(
        self, upstream: str, service: str, domain: str
    ) -> None:
        """Start an upstream and commit a manifest with it."""

    @abc.abstractmethod
    async def remove_upstream(self, upstream: str) -> None:
        """Commit a manifest that no longer contains an upstream."""

    @abc.abstractmethod
    async def touch_manifest(self) -> None:
        """Commit a new generation that is otherwise unchanged."""

    @abc.abstractmethod
    async def race_commits(self, count: int) -> None:
        """Commit several different manifests at the same time."""

    @abc.abstractmethod
    async def kill_vm(self, vm: str) -> None:
        """End an entry VM abruptly."""

    @abc.abstractmethod
    async def stop_vm(self, vm: str) -> None:
        """Stop an entry VM gracefully."""

    @abc.abstractmethod
    async def start_vm(self, vm: str) -> None:
        """Start an entry VM, under a name that may have been used before."""

    @abc.abstractmethod
    async def roll_vms(self, every_s: float) -> None:
        """Restart all entry VMs gracefully, one after the other."""

    @abc.abstractmethod
    async def freeze_vm(self, vm: str, for_s: float) -> None:
        """Pause an entry VM for a number of seconds."""

    @abc.abstractmethod
    async def cut(self, domain: str, target: CutTarget) -> None:
        """Cut a failure domain off from a target."""

    @abc.abstractmethod
    async def lose_one_way(self, source: str, target: str) -> None:
        """Drop all that one entry VM sends to another."""

    @abc.abstractmethod
    async def set_loss(self, fraction: float) -> None:
        """Drop a fraction of all packets."""

    @abc.abstractmethod
    async def heal(self) -> None:
        """Remove all network faults."""

    @abc.abstractmethod
    async def set_platform(
        self, condition: PlatformCondition, amount: float
    ) -> None:
        """Set the condition of the platform.

        Args:
            condition: Normal operation or a fault.
            amount: Delay in seconds for SLOW; number of writes for
                LOSE_ANSWERS; otherwise unused.
        """

    @abc.abstractmethod
    async def change_upstream(
        self, upstream: str, change: UpstreamChange
    ) -> None:
        """Apply a change to an upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event(abc.ABC):
    """A change of the deployment at a time, in seconds from the start."""

    at_s: float

    @abc.abstractmethod
    async def apply(self, deployment: Deployment) -> None:
        """Apply the event to a deployment."""


@dataclasses.dataclass(frozen=True, slots=True)
class SetDraining(Event):
    """Operators drain an upstream or make it active again."""

    upstream: str
    draining: bool

    async def apply(self, deployment: Deployment) -> None:
        """Apply the event to a deployment."""
        await deployment.set_draining(self.upstream, self.draining)


@dataclasses.dataclass(frozen=True, slots=True)
class SetDomainState(Event):
    """Operators take a failure domain out or bring it back in."""

    domain: str
    state: str

    async def apply(self, deployment: Deployment) -> None:
        """Apply the event to a deployment."""
        await deployment.set_domain_state(self.domain, self.state)


@dataclasses.dataclass(frozen=True, slots=True)
class AddUpstream(Event):
    """Operators add an upstream."""

    upstream: str
    service: str
    domain: str

    async def apply(self, deployment: Deployment) -> None:
        """Apply the event to a deployment."""
        await deployment.add_upstream(self.upstream, self.service, self.domain)


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveUpstream(Event):
    """Operators remove an upstream."""

    upstream: str

    async def apply(self, deployment: Deployment) -> None:
        """Apply the event to a deployment."""
        await deployment.remove_upstream(self.upstream)


@dataclasses.dataclass(frozen=True, slots=True)
class TouchManifest(Event):
    """Operators commit a new generation that is otherwise unchanged."""

    async def apply(self, deployment: Deployment) -> None:
        """Apply the event to a deployment."""
        await deployment.touch_manifest()


@dataclasses.dataclass(frozen=True, slots=True)
class RaceCommits(Event):
    """Several operators commit at the same time."""

    count: int

    async def apply(self, deployment: Deployment) -> None:
        """Apply the event to a deployment."""
        await deployment.race_commits(self.count)


@dataclasses.dataclass(frozen=True, slots=True)
class KillVm(Event):
    """An entry VM ends abruptly."""

    vm: str

    async def apply(self, deployment: Deployment) -> None:
        """Apply the event to a deployment."""
        await deployment.kill_vm(self.vm)


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceVm(Event):
    """An entry VM ends abruptly; one with its name and addresses starts."""

    vm: str

    async def apply(self, deployment: Deployment) -> None:
        """Apply the event to a deployment."""
        await deployment.kill_vm(self.vm)
        await deployment.start_vm(self.vm)


@dataclasses.dataclass(frozen=True, slots=True)
class StopVm(Event):
    """An entry VM is stopped gracefully."""

    vm: str

    async def apply(self, deployment: Deployment) -> None:
        """Apply the event to a deployment."""
        await deployment.stop_vm(self.vm)


@dataclasses.dataclass(frozen=True, slots=True)
class StartVm(Event):
    """An entry VM is started."""

    vm: str

    async def apply(self, deployment: Deployment) -> None:
        """Apply the event to a deployment."""
        await deployment.start_vm(self.vm)


@dataclasses.dataclass(frozen=True, slots=True)
class RollVms(Event):
    """All entry VMs are restarted gracefully, one after the other."""

    every_s: float

    async def apply(self, deployment: Deployment) -> None:
        """Apply the event to a deployment."""
        await deployment.roll_vms(self.every_s)


@dataclasses.dataclass(frozen=True, slots=True)
class FreezeVm(Event):
    """An entry VM is paused for a while."""

    vm: str
    for_s: float

    async def apply(self, deployment: Deployment) -> None:
        """Apply the event to a deployment."""
        await deployment.freeze_vm(self.vm, self.for_s)


@dataclasses.dataclass(frozen=True, slots=True)
class CutDomain(Event):
    """A failure domain is cut off."""

    domain: str
    target: CutTarget

    async def apply(self, deployment: Deployment) -> None:
        """Apply the event to a deployment."""
        await deployment.cut(self.domain, self.target)


@dataclasses.dataclass(frozen=True, slots=True)
class OneWayLoss(Event):
    """All that one entry VM sends to another is lost from now on."""

    source: str
    target: str

    async def apply(self, deployment: Deployment) -> None:
        """Apply the event to a deployment."""
        await deployment.lose_one_way(self.source, self.target)


@dataclasses.dataclass(frozen=True, slots=True)
class PacketLoss(Event):
    """A fraction of all packets is lost from now on."""

    fraction: float

    async def apply(self, deployment: Deployment) -> None:
        """Apply the event to a deployment."""
        await deployment.set_loss(self.fraction)


@dataclasses.dataclass(frozen=True, slots=True)
class Heal(Event):
    """All network faults end."""

    async def apply(self, deployment: Deployment) -> None:
        """Apply the event to a deployment."""
        await deployment.heal()


@dataclasses.dataclass(frozen=True, slots=True)
class SetPlatform(Event):
    """The condition of the platform changes."""

    condition: PlatformCondition
    amount: float

    async def apply(self, deployment: Deployment) -> None:
        """Apply the event to a deployment."""
        await deployment.set_platform(self.condition, self.amount)


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeUpstream(Event):
    """An upstream fails, recovers or changes its behaviour."""

    upstream: str
    change: UpstreamChange

    async def apply(self, deployment: Deployment) -> None:
        """Apply the event to a deployment."""
        await deployment.change_upstream(self.upstream, self.change)
