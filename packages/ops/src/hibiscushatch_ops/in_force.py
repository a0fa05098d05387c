"""Decides from the answers of entry VMs where a generation is in force.

An entry VM that does not answer the operator counts as live while another one
sees it alive, and then has the generation it told that one. One that nobody
sees is not waited for: the platform's list lags, and a failure domain may be
cut off.
"""

import dataclasses
from collections.abc import Iterable, Iterator

from hibiscushatch_core.report import MemberReport
from hibiscushatch_ops.admin_client import VmAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class VmGeneration:
    """The generation that an entry VM has in force.

    Attributes:
        name: Its name.
        domain: Its failure domain; empty when unknown.
        generation: The generation; 0 when it has none.
    """

    name: str
    domain: str
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """Where a generation is in force.

    Attributes:
        generation: The generation asked about.
        done: Live entry VMs that have it or a higher one.
        pending: Live entry VMs that have a lower one.
        unreachable: Listed entry VMs that nobody reaches.
        unreachable_domains: Failure domains of which no entry VM is live.
    """

    generation: int
    done: tuple[VmGeneration, ...]
    pending: tuple[VmGeneration, ...]
    unreachable: tuple[VmGeneration, ...]
    unreachable_domains: tuple[str, ...]

    @property
    def everywhere(self) -> bool:
        """Whether some entry VM is live and none of the live is pending."""
        return bool(self.done) and not self.pending


def evaluate_in_force(generation: int, answers: Iterable[VmAnswer]) -> InForce:
    """Decide where a generation is in force.

    Args:
        generation: The generation asked about.
        answers: What the listed entry VMs answered.

    Returns:
        The entry VMs by what they have.
    """
    answers = tuple(answers)
    live = {one.name: one for one in _seen_by_peers(answers)}
    live |= {one.name: one for one in _answering(answers)}
    unreachable = tuple(
        VmGeneration(one.target.name, one.target.domain, 0)
        for one in answers
        if one.report is None and one.target.name not in live
    )
    ranked = sorted(live.values(), key=lambda one: one.name)
    live_domains = {one.domain for one in ranked}
    lost_domains = {one.domain for one in unreachable} - live_domains - {''}
    return InForce(
        generation=generation,
        done=tuple(one for one in ranked if one.generation >= generation),
        pending=tuple(one for one in ranked if one.generation < generation),
        unreachable=unreachable,
        unreachable_domains=tuple(sorted(lost_domains)),
    )


def _answering(answers: tuple[VmAnswer, ...]) -> Iterator[VmGeneration]:
    for answer in answers:
        if answer.report is not None:
            yield VmGeneration(
                answer.report.name,
                answer.report.domain,
                answer.report.generation,
            )


def _seen_by_peers(answers: tuple[VmAnswer, ...]) -> Iterator[VmGeneration]:
    seen = (
        member
        for answer in answers
        if answer.report is not None
        for member in answer.report.members
        if member.live
    )
    for member in sorted(seen, key=_generation_of):
        yield VmGeneration(member.name, member.domain, member.generation)


def _generation_of(member: MemberReport) -> int:
    return member.generation
