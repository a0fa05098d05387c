"""Determines from the answers of entry VMs where a generation is in force.

An entry VM that does not answer the operator counts as live while another
entry VM reports it as live, with the generation that is reported there. An
entry VM that nobody reaches is not waited for: the platform's list may be out
of date, and a failure domain may be cut off.
"""

import dataclasses
from collections.abc import Iterable, Iterator

from hibiscushatch_core.report import MemberReport
from hibiscushatch_ops.admin_client import VmAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class VmGeneration:
    """The generation that an entry VM has in force.

    Attributes:
        name: Name of the entry VM.
        domain: Its failure domain; empty when unknown.
        generation: The generation; 0 when it has none or is not reached.
    """

    name: str
    domain: str
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class InForceStatus:
    """Where a generation is in force.

    Attributes:
        generation: The generation asked about.
        done: Live entry VMs that have this generation or a higher one.
        pending: Live entry VMs that have a lower generation or none.
        unreachable: Queried entry VMs that neither answered nor were reported
            as live.
        unreachable_domains: Failure domains of the unreachable entry VMs in
            which no entry VM is live.
    """

    generation: int
    done: tuple[VmGeneration, ...]
    pending: tuple[VmGeneration, ...]
    unreachable: tuple[VmGeneration, ...]
    unreachable_domains: tuple[str, ...]

    @property
    def everywhere(self) -> bool:
        """Whether all live entry VMs, at least one, have the generation."""
        return bool(self.done) and not self.pending


def evaluate_in_force(
    generation: int, answers: Iterable[VmAnswer]
) -> InForceStatus:
    """Determine where a generation is in force.

    Args:
        generation: The generation asked about.
        answers: The answers of all entry VMs that were queried.

    Returns:
        The entry VMs, by whether they have the generation.
    """
    answers = tuple(answers)
    live = {vm.name: vm for vm in _read_peer_generations(answers)}
    live |= {vm.name: vm for vm in _read_own_generations(answers)}
    unreachable = tuple(
        VmGeneration(vm.target.name, vm.target.domain, 0)
        for vm in answers
        if vm.report is None and vm.target.name not in live
    )
    sorted_live = sorted(live.values(), key=lambda vm: vm.name)
    live_domains = {vm.domain for vm in sorted_live}
    lost_domains = {vm.domain for vm in unreachable} - live_domains - {''}
    return InForceStatus(
        generation=generation,
        done=tuple(vm for vm in sorted_live if vm.generation >= generation),
        pending=tuple(vm for vm in sorted_live if vm.generation < generation),
        unreachable=unreachable,
        unreachable_domains=tuple(sorted(lost_domains)),
    )


def _read_own_generations(
    answers: tuple[VmAnswer, ...],
) -> Iterator[VmGeneration]:
    for answer in answers:
        if answer.report is not None:
            yield VmGeneration(
                answer.report.name,
                answer.report.domain,
                answer.report.generation,
            )


def _read_peer_generations(
    answers: tuple[VmAnswer, ...],
) -> Iterator[VmGeneration]:
    reported = (
        member
        for answer in answers
        if answer.report is not None
        for member in answer.report.members
        if member.live
    )
    # In ascending order: among several reports of one entry VM, the caller
    # keeps the last one, which has the highest generation.
    for member in sorted(reported, key=_generation_of):
        yield VmGeneration(member.name, member.domain, member.generation)


def _generation_of(member: MemberReport) -> int:
    return member.generation
