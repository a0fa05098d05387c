"""Merges the reports of entry VMs into the state of services and upstreams.

Each entry VM counts only the flows that it owns, so counts of flows are added
up. Buckets are the same on all entry VMs, except for changes that have not yet
reached all of them, so the highest count of buckets is taken.
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
    """The state of an upstream, merged from all entry VMs that answered.

    Attributes:
        name: Its name.
        domain: Its failure domain.
        accepts_new_flows: Whether it may get new flows according to all entry
            VMs.
        phase: ``cold`` when any entry VM reports it as cold, else ``warm``.
        buckets: Number of buckets whose new flows go to it.
        open_flows: Number of open flows on it.
        share: Number of open flows that the entry VMs together may have on
            it.
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
    """The state of a service, merged from all entry VMs that answered."""

    name: str
    buckets: int
    buckets_in_motion: int
    upstreams: tuple[UpstreamStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetStatus:
    """The state of all entry VMs, services and upstreams.

    Attributes:
        answering: Names of the entry VMs that answered.
        silent: Names of the entry VMs that did not answer.
        generations: Number of entry VMs by the generation they have in force.
        services: The services.
        refusals: Number of flows refused or reset, by reason.
        drops: Number of packets dropped, by reason.
        retries: Number of retries, by reason.
    """

    answering: tuple[str, ...]
    silent: tuple[str, ...]
    generations: Mapping[int, int]
    services: tuple[ServiceStatus, ...]
    refusals: Mapping[str, int]
    drops: Mapping[str, int]
    retries: Mapping[str, int]


def merge_answers(answers: Iterable[VmAnswer]) -> FleetStatus:
    """Merge the answers of entry VMs.

    Args:
        answers: Answers with reports and counters.

    Returns:
        The state of all entry VMs, services and upstreams.
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
        refusals=_sum_by_reason(counters, 'refusals'),
        drops=_sum_by_reason(counters, 'drops'),
        retries=_sum_by_reason(counters, 'retries'),
    )


def _merge_services(
    reports: Iterable[ServiceReport],
) -> Iterator[ServiceStatus]:
    for name, group in _group_by_name(reports):
        upstreams = itertools.chain.from_iterable(
            report.upstreams for report in group
        )
        yield ServiceStatus(
            name=name,
            buckets=max(report.buckets for report in group),
            buckets_in_motion=max(report.buckets_in_motion for report in group),
            upstreams=tuple(_merge_upstreams(upstreams)),
        )


def _merge_upstreams(
    reports: Iterable[UpstreamReport],
) -> Iterator[UpstreamStatus]:
    for name, group in _group_by_name(reports):
        is_cold = any(report.phase == 'cold' for report in group)
        yield UpstreamStatus(
            name=name,
            domain=group[0].domain,
            accepts_new_flows=all(report.accepts_new_flows for report in group),
            phase='cold' if is_cold else 'warm',
            buckets=max(report.buckets for report in group),
            open_flows=sum(report.open_flows for report in group),
            share=sum(report.share for report in group),
        )


def _group_by_name(
    reports: Iterable[ReportT],
) -> Iterator[tuple[str, list[ReportT]]]:
    by_name: dict[str, list[ReportT]] = {}
    for report in reports:
        by_name.setdefault(report.name, []).append(report)
    yield from sorted(by_name.items())


def _sum_by_reason(
    counters: Iterable[VmCounters], field: str
) -> Mapping[str, int]:
    total: collections.Counter[str] = collections.Counter()
    for vm_counters in counters:
        total.update(getattr(vm_counters, field))
    return dict(sorted(total.items()))
