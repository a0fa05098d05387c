"""Computes the figures of a run from the counts of callers and upstreams."""

import collections
import math
from collections.abc import Iterable

from hibiscushatch_ops.callers import (
    BROKEN_OUTCOMES,
    FlowOutcome,
    FlowRecord,
)
from hibiscushatch_tools.memory_deployment import MemoryDeployment
from hibiscushatch_tools.scenario_history import History, Span, SpanKind
from hibiscushatch_tools.scenario_model import Scenario
from hibiscushatch_tools.scenario_observer import Observer
from hibiscushatch_tools.scenario_outcome import ScenarioOutcome
from hibiscushatch_tools.upstream_standin import UpstreamStandIn

MS_PER_S = 1000
NEVER = -1.0
FAILURES_SHOWN_MAX = 5


def compute_outcome(
    scenario: Scenario, deployment: MemoryDeployment, observer: Observer
) -> ScenarioOutcome:
    """Compute the outcome of a run that has ended.

    Args:
        scenario: The scenario that was run.
        deployment: The deployment at the end of the run.
        observer: The observer that sampled the run.

    Returns:
        All figures.
    """
    records = deployment.callers.records
    outcomes = collections.Counter(record.outcome for record in records)
    broken = [one for one in records if one.outcome in BROKEN_OUTCOMES]
    given_up = [one for one in broken if _is_given_up(one, deployment)]
    given_up_ids = {one.plan.flow_id for one in given_up}
    counters = [one.member.vm.counters for one in deployment.started]
    upstreams = tuple(deployment.upstreams.values())
    latencies_ms = sorted(
        one * MS_PER_S for one in deployment.callers.latencies_s
    )
    packets_in = sum(one.packets_in for one in counters)
    relayed = sum(one.packets_relayed for one in counters)
    return ScenarioOutcome(
        flows=len(records),
        finished_flows=outcomes[FlowOutcome.FINISHED],
        open_flows=outcomes[FlowOutcome.OPEN],
        broken_flows=len(broken) - len(given_up),
        given_up_flows=len(given_up),
        refused_flows=outcomes[FlowOutcome.REFUSED],
        unanswered_flows=outcomes[FlowOutcome.UNANSWERED],
        refused_after_payload=_count_refused_after_payload(records, deployment),
        misdelivered=_count_misdelivered(records, upstreams),
        duplicated_payloads=deployment.ledger.duplicated_payloads,
        incomplete_answers=sum(
            one.partial_answer and one.plan.flow_id not in given_up_ids
            for one in records
            if one.outcome is not FlowOutcome.OPEN
        ),
        cold_excess=_largest_excess(
            one.totals.peak_cold_open - one.plan.cold_allowance
            for one in upstreams
        ),
        silent_cold_overloads=sum(
            one.totals.silent_cold_overloads for one in upstreams
        ),
        connections_excess=_largest_excess(
            one.totals.peak_open - one.plan.connections for one in upstreams
        ),
        drained_new_flows=_count_drained_new_flows(scenario, deployment),
        domain_out_packets=_count_domain_out_packets(scenario, deployment),
        domain_out_s=_longest_domain_out_s(deployment),
        domain_back_s=_longest_domain_back_s(observer),
        manifest_in_force_s=_longest_manifest_in_force_s(deployment.history),
        manifest_reverts=observer.observations.reverts,
        imbalance=round(observer.compute_imbalance(), 3),
        control_bytes_per_s=_highest_control_rate(scenario, deployment),
        platform_calls_per_s=round(
            deployment.platform_calls / scenario.duration_s, 2
        ),
        entries_held=observer.observations.entries_held,
        extra_hops=round(relayed / packets_in, 3) if packets_in else 0,
        request_ms_median=_percentile(latencies_ms, 0.5),
        request_ms_p99=_percentile(latencies_ms, 0.99),
        bucket_moves=sum(one.bucket_moves for one in counters),
        refused_by_reason=_sum_by_reason(one.refusals for one in counters),
        drops_by_reason=_sum_by_reason(one.drops for one in counters),
        retries_by_reason=_sum_by_reason(one.retries for one in counters),
        failed_tasks=len(deployment.history.failures),
        failures=tuple(deployment.history.failures[:FAILURES_SHOWN_MAX]),
    )


def _is_given_up(record: FlowRecord, deployment: MemoryDeployment) -> bool:
    """Return whether an earlier fault or removal explains a broken flow."""
    name = deployment.ledger.admitted_by.get(record.plan.caller)
    if name is None:
        return False
    ended_s = record.ended_at_s
    domain = deployment.upstreams[name].plan.domain
    history = deployment.history
    causes = (
        history.has_begun(SpanKind.UPSTREAM_FAILED, name, ended_s),
        history.has_begun(SpanKind.UPSTREAM_REMOVED, name, ended_s),
        history.has_begun(SpanKind.DOMAIN_OUT, domain, ended_s),
        history.has_begun(SpanKind.DOMAIN_CUT, domain, ended_s),
    )
    return any(causes)


def _count_refused_after_payload(
    records: list[FlowRecord], deployment: MemoryDeployment
) -> int:
    with_payload = deployment.ledger.flows_with_payload
    return sum(
        record.outcome is FlowOutcome.REFUSED
        and record.plan.flow_id in with_payload
        for record in records
    )


def _count_misdelivered(
    records: list[FlowRecord], upstreams: tuple[UpstreamStandIn, ...]
) -> int:
    packets = sum(one.totals.misdelivered for one in upstreams)
    return packets + sum(one.wrong_segments for one in records)


def _count_drained_new_flows(
    scenario: Scenario, deployment: MemoryDeployment
) -> int:
    spans = deployment.history.spans_of_kind(SpanKind.DRAINED)
    return sum(
        _count_after_settling(
            deployment.upstreams[span.subject].totals.new_flow_times_s,
            span,
            scenario.settle_s,
        )
        for span in spans
    )


def _count_domain_out_packets(
    scenario: Scenario, deployment: MemoryDeployment
) -> int:
    return sum(
        _count_after_settling(
            upstream.totals.packet_times_s, span, scenario.settle_s
        )
        for span in deployment.history.spans_of_kind(SpanKind.DOMAIN_OUT)
        for upstream in _upstreams_in(deployment, span.subject)
    )


def _longest_domain_out_s(deployment: MemoryDeployment) -> float:
    """Return the longest time that packets still reached a domain taken out."""
    longest_s = 0.0
    for span in deployment.history.spans_of_kind(SpanKind.DOMAIN_OUT):
        for upstream in _upstreams_in(deployment, span.subject):
            times_s = [
                time_s
                for time_s in upstream.totals.packet_times_s
                if span.holds_at(time_s)
            ]
            if times_s:
                longest_s = max(longest_s, times_s[-1] - span.from_s)
    return round(longest_s, 3)


def _longest_domain_back_s(observer: Observer) -> float:
    if observer.returning_count:
        return NEVER
    return round(max(observer.observations.back_s, default=0), 3)


def _longest_manifest_in_force_s(history: History) -> float:
    if any(commit.pending_vms for commit in history.commits):
        return NEVER
    times_s = [commit.in_force_s for commit in history.commits]
    return round(max(0, *times_s), 3)


def _highest_control_rate(
    scenario: Scenario, deployment: MemoryDeployment
) -> float:
    highest_bytes = max(deployment.network.control_bytes.values(), default=0)
    return round(highest_bytes / scenario.duration_s, 1)


def _upstreams_in(
    deployment: MemoryDeployment, domain: str
) -> tuple[UpstreamStandIn, ...]:
    return tuple(
        upstream
        for upstream in deployment.upstreams.values()
        if upstream.plan.domain == domain
    )


def _count_after_settling(
    times_s: list[float], span: Span, settle_s: float
) -> int:
    settled_s = span.from_s + settle_s
    return sum(settled_s < time_s < span.until_s for time_s in times_s)


def _largest_excess(excesses: Iterable[int]) -> int:
    return max(0, max(excesses, default=0))


def _percentile(ascending: list[float], fraction: float) -> float:
    if not ascending:
        return 0
    index = math.ceil(fraction * len(ascending)) - 1
    return round(ascending[index], 2)


def _sum_by_reason(
    counts: Iterable[collections.Counter[str]],
) -> dict[str, int]:
    total: collections.Counter[str] = collections.Counter()
    for count in counts:
        total.update({str(reason): count[reason] for reason in count})
    return dict(sorted(total.items()))
