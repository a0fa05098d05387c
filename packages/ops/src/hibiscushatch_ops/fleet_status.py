"""Merges the reports of entry VMs into the state of services and upstreams.

Each entry VM counts the flows that it owns, so flows are added up; buckets
are the same everywhere but for news on its way, so the highest count stands.
"""

import collections
import dataclasses
import itertools
from collections.abc import Iterable, Iterator, Mapping
from typing import TypeVar

from hibiscushatch_core.report import ServiceReport, UpstreamReport
from hibiscushatch_ops.admin_client import VmAnswer, VmCounters

ReportT = TypeVar('ReportT', ServiceReport, UpstreamReport)


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """An upstream over all entry VMs.

    Attributes:
        name: Its name.
        domain: Its failure domain.
        accepts_new_flows: Whether all entry VMs let it have new flows.
        phase: ``cold`` when any entry VM holds it for cold, else ``warm``.
        buckets: Buckets whose new flows go to it.
        open_flows: Open flows on it.
        share: Open flows that may be on it.
    """

    name: str
    domain: str
    accepts_new_flows: bool
    phase: str
    buckets: int
    open_flows: int
    share: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceStatus:
    """A service over all entry VMs."""

    name: str
    buckets: int
    buckets_in_motion: int
    upstreams: tuple[UpstreamStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetStatus:
    """What operators see of the whole system.

    Attributes:
        answering: Names of the entry VMs that answered.
        silent: Names of those that didn't.
        generations: How many entry VMs have each generation in force.
        services: The services.
        refusals: Flows refused or reset, by reason.
        drops: Packets dropped, by reason.
        retries: Attempts made again, by reason.
    """

    answering: tuple[str, ...]
    silent: tuple[str, ...]
    generations: Mapping[int, int]
    services: tuple[ServiceStatus, ...]
    refusals: Mapping[str, int]
    drops: Mapping[str, int]
    retries: Mapping[str, int]


def merge_answers(answers: Iterable[VmAnswer]) -> FleetStatus:
    """Merge what entry VMs answered.

    Args:
        answers: Answers with reports and counters.

    Returns:
        The state of the whole.
    """
    answers = tuple(answers)
    reports = [one.report for one in answers if one.report is not None]
    counters = [one.counters for one in answers if one.counters is not None]
    generations = collections.Counter(one.generation for one in reports)
    services = (one for report in reports for one in report.services)
    return FleetStatus(
        answering=tuple(one.name for one in reports),
        silent=tuple(one.target.name for one in answers if not one.report),
        generations=dict(sorted(generations.items())),
        services=tuple(_merge_services(services)),
        refusals=_add_up(counters, 'refusals'),
        drops=_add_up(counters, 'drops'),
        retries=_add_up(counters, 'retries'),
    )


def _merge_services(
    reports: Iterable[ServiceReport],
) -> Iterator[ServiceStatus]:
    for name, same in _group_by_name(reports):
        upstreams = itertools.chain.from_iterable(one.upstreams for one in same)
        yield ServiceStatus(
            name=name,
            buckets=max(one.buckets for one in same),
            buckets_in_motion=max(one.buckets_in_motion for one in same),
            upstreams=tuple(_merge_upstreams(upstreams)),
        )


def _merge_upstreams(
    reports: Iterable[UpstreamReport],
) -> Iterator[UpstreamStatus]:
    for name, same in _group_by_name(reports):
        is_cold = any(one.phase == 'cold' for one in same)
        yield UpstreamStatus(
            name=name,
            domain=same[0].domain,
            accepts_new_flows=all(one.accepts_new_flows for one in same),
            phase='cold' if is_cold else 'warm',
            buckets=max(one.buckets for one in same),
            open_flows=sum(one.open_flows for one in same),
            share=sum(one.share for one in same),
        )


def _group_by_name(
    reports: Iterable[ReportT],
) -> Iterator[tuple[str, list[ReportT]]]:
    by_name: dict[str, list[ReportT]] = {}
    for report in reports:
        by_name.setdefault(report.name, []).append(report)
    yield from sorted(by_name.items())


def _add_up(counters: Iterable[VmCounters], field: str) -> Mapping[str, int]:
    total: collections.Counter[str] = collections.Counter()
    for one in counters:
        total.update(getattr(one, field))
    return dict(sorted(total.items()))
