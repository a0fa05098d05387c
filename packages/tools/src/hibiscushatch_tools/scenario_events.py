"""The timed events of a scenario, and the stage that they are played on.

Each event is a data class that knows which one thing to ask of the stage, so
that the same scenario can be played on a stage in memory or of processes.
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
    """How the platform behaves."""

    WELL = 'well'
    OUTAGE = 'outage'
    SLOW = 'slow'
    STALE = 'stale'
    SILENT = 'silent'
    LOSE_ANSWERS = 'lose-answers'


class UpstreamChange(enum.StrEnum):
    """What happens to an upstream by itself."""

    DIES = 'dies'
    RESTARTS = 'restarts'
    COLD = 'cold'
    SHEDS = 'sheds'
    MUTE = 'mute'
    RECOVERS = 'recovers'


class Stage(abc.ABC):
    """A deployment that events happen to."""

    @abc.abstractmethod
    async def set_draining(self, upstream: str, draining: bool) -> None:
        """Commit that an upstream drains, or is active again."""

    @abc.abstractmethod
    async def set_domain_state(self, domain: str, state: str) -> None:
        """Commit that a failure domain is ``in`` or ``out``."""

    @abc.abstractmethod
    async def add_upstream(
        self, upstream: str, service: str, domain: str
    ) -> None:
        """Start an upstream and commit it."""

    @abc.abstractmethod
    async def remove_upstream(self, upstream: str) -> None:
        """Commit that an upstream is no more."""

    @abc.abstractmethod
    async def touch_manifest(self) -> None:
        """Commit a generation that changes nothing else."""

    @abc.abstractmethod
    async def race_commits(self, count: int) -> None:
        """Commit several different manifests at the same moment."""

    @abc.abstractmethod
    async def kill_vm(self, vm: str) -> None:
        """End an entry VM without warning."""

    @abc.abstractmethod
    async def stop_vm(self, vm: str) -> None:
        """Stop an entry VM by plan."""

    @abc.abstractmethod
    async def start_vm(self, vm: str) -> None:
        """Start an entry VM of a name that was used before."""

    @abc.abstractmethod
    async def roll_vms(self, every_s: float) -> None:
        """Stop and start all entry VMs by plan, one after the other."""

    @abc.abstractmethod
    async def freeze_vm(self, vm: str, for_s: float) -> None:
        """Pause an entry VM."""

    @abc.abstractmethod
    async def cut(self, domain: str, target: CutTarget) -> None:
        """Cut a failure domain off."""

    @abc.abstractmethod
    async def lose_one_way(self, source: str, target: str) -> None:
        """Lose all that one entry VM sends another."""

    @abc.abstractmethod
    async def set_loss(self, fraction: float) -> None:
        """Lose a fraction of all packets."""

    @abc.abstractmethod
    async def heal(self) -> None:
        """Undo all cuts and loss."""

    @abc.abstractmethod
    async def set_platform(
        self, condition: PlatformCondition, amount: float
    ) -> None:
        """Change how the platform behaves."""

    @abc.abstractmethod
    async def change_upstream(
        self, upstream: str, change: UpstreamChange
    ) -> None:
        """Let something happen to an upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event(abc.ABC):
    """Something that happens at a time, in seconds from the start."""

    at_s: float

    @abc.abstractmethod
    async def play(self, stage: Stage) -> None:
        """Let it happen."""


@dataclasses.dataclass(frozen=True, slots=True)
class SetDraining(Event):
    """Operators drain an upstream or take it back."""

    upstream: str
    draining: bool

    async def play(self, stage: Stage) -> None:
        """Let it happen."""
        await stage.set_draining(self.upstream, self.draining)


@dataclasses.dataclass(frozen=True, slots=True)
class SetDomainState(Event):
    """Operators take a failure domain out or in."""

    domain: str
    state: str

    async def play(self, stage: Stage) -> None:
        """Let it happen."""
        await stage.set_domain_state(self.domain, self.state)


@dataclasses.dataclass(frozen=True, slots=True)
class AddUpstream(Event):
    """Operators add an upstream."""

    upstream: str
    service: str
    domain: str

    async def play(self, stage: Stage) -> None:
        """Let it happen."""
        await stage.add_upstream(self.upstream, self.service, self.domain)


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveUpstream(Event):
    """Operators remove an upstream."""

    upstream: str

    async def play(self, stage: Stage) -> None:
        """Let it happen."""
        await stage.remove_upstream(self.upstream)


@dataclasses.dataclass(frozen=True, slots=True)
class TouchManifest(Event):
    """Operators commit a generation without other changes."""

    async def play(self, stage: Stage) -> None:
        """Let it happen."""
        await stage.touch_manifest()


@dataclasses.dataclass(frozen=True, slots=True)
class RaceCommits(Event):
    """Several operators commit at the same moment."""

    count: int

    async def play(self, stage: Stage) -> None:
        """Let it happen."""
        await stage.race_commits(self.count)


@dataclasses.dataclass(frozen=True, slots=True)
class KillVm(Event):
    """An entry VM dies."""

    vm: str

    async def play(self, stage: Stage) -> None:
        """Let it happen."""
        await stage.kill_vm(self.vm)


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceVm(Event):
    """An entry VM dies and one with its name and addresses starts."""

    vm: str

    async def play(self, stage: Stage) -> None:
        """Let it happen."""
        await stage.kill_vm(self.vm)
        await stage.start_vm(self.vm)


@dataclasses.dataclass(frozen=True, slots=True)
class StopVm(Event):
    """An entry VM leaves by plan."""

    vm: str

    async def play(self, stage: Stage) -> None:
        """Let it happen."""
        await stage.stop_vm(self.vm)


@dataclasses.dataclass(frozen=True, slots=True)
class StartVm(Event):
    """An entry VM comes back."""

    vm: str

    async def play(self, stage: Stage) -> None:
        """Let it happen."""
        await stage.start_vm(self.vm)


@dataclasses.dataclass(frozen=True, slots=True)
class RollVms(Event):
    """All entry VMs are replaced by plan, one after the other."""

    every_s: float

    async def play(self, stage: Stage) -> None:
        """Let it happen."""
        await stage.roll_vms(self.every_s)


@dataclasses.dataclass(frozen=True, slots=True)
class FreezeVm(Event):
    """An entry VM is paused for a while."""

    vm: str
    for_s: float

    async def play(self, stage: Stage) -> None:
        """Let it happen."""
        await stage.freeze_vm(self.vm, self.for_s)


@dataclasses.dataclass(frozen=True, slots=True)
class CutDomain(Event):
    """A failure domain is cut off."""

    domain: str
    target: CutTarget

    async def play(self, stage: Stage) -> None:
        """Let it happen."""
        await stage.cut(self.domain, self.target)


@dataclasses.dataclass(frozen=True, slots=True)
class OneWayLoss(Event):
    """One entry VM is no longer heard by another."""

    source: str
    target: str

    async def play(self, stage: Stage) -> None:
        """Let it happen."""
        await stage.lose_one_way(self.source, self.target)


@dataclasses.dataclass(frozen=True, slots=True)
class PacketLoss(Event):
    """A fraction of all packets is lost from now on."""

    fraction: float

    async def play(self, stage: Stage) -> None:
        """Let it happen."""
        await stage.set_loss(self.fraction)


@dataclasses.dataclass(frozen=True, slots=True)
class Heal(Event):
    """The network is whole again."""

    async def play(self, stage: Stage) -> None:
        """Let it happen."""
        await stage.heal()


@dataclasses.dataclass(frozen=True, slots=True)
class SetPlatform(Event):
    """The platform behaves otherwise."""

    condition: PlatformCondition
    amount: float

    async def play(self, stage: Stage) -> None:
        """Let it happen."""
        await stage.set_platform(self.condition, self.amount)


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeUpstream(Event):
    """Something happens to an upstream."""

    upstream: str
    change: UpstreamChange

    async def play(self, stage: Stage) -> None:
        """Let it happen."""
        await stage.change_upstream(self.upstream, self.change)
