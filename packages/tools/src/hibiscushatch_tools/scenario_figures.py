"""Computes the figures of a run from what the stand-ins counted."""

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

MILLISECONDS = 1000
NEVER = -1.0
FAILURES_SHOWN = 5


def compute_outcome(
    scenario: Scenario, stage: MemoryDeployment, observer: Observer
) -> ScenarioOutcome:
    """Compute the outcome of a run that has ended.

    Args:
        scenario: What was run.
        stage: The stage at the end.
        observer: What was sampled.

    Returns:
        All figures.
    """
    records = stage.callers.records
    outcomes = collections.Counter(record.outcome for record in records)
    broken = [one for one in records if one.outcome in BROKEN_OUTCOMES]
    given_up = [one for one in broken if _is_given_up(one, stage)]
    given_up_ids = {one.plan.flow_id for one in given_up}
    counters = [one.member.vm.counters for one in stage.started]
    upstreams = tuple(stage.upstreams.values())
    latencies_ms = sorted(
        one * MILLISECONDS for one in stage.callers.latencies_s
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
        refused_after_payload=_count_false_refusals(records, stage),
        misdelivered=_count_misdelivered(records, upstreams),
        duplicated_payloads=stage.ledger.duplicated_payloads,
        incomplete_answers=sum(
            one.partial_answer and one.plan.flow_id not in given_up_ids
            for one in records
            if one.outcome is not FlowOutcome.OPEN
        ),
        cold_excess=_largest(
            one.totals.peak_cold_open - one.plan.cold_allowance
            for one in upstreams
        ),
        silent_cold_overloads=sum(
            one.totals.silent_cold_overloads for one in upstreams
        ),
        connections_excess=_largest(
            one.totals.peak_open - one.plan.connections for one in upstreams
        ),
        drained_new_flows=_count_drained_new_flows(scenario, stage),
        domain_out_packets=_count_out_packets(scenario, stage),
        domain_out_s=_longest_out_s(stage),
        domain_back_s=_longest_back_s(observer),
        manifest_in_force_s=_longest_in_force_s(stage.history),
        manifest_reverts=observer.observed.reverts,
        imbalance=round(observer.imbalance(), 3),
        control_bytes_per_s=_busiest_control_rate(scenario, stage),
        platform_calls_per_s=round(
            stage.platform_calls / scenario.duration_s, 2
        ),
        entries_held=observer.observed.entries_held,
        extra_hops=round(relayed / packets_in, 3) if packets_in else 0,
        request_ms_median=_percentile(latencies_ms, 0.5),
        request_ms_p99=_percentile(latencies_ms, 0.99),
        bucket_moves=sum(one.bucket_moves for one in counters),
        refused_by_reason=_add_up(one.refusals for one in counters),
        drops_by_reason=_add_up(one.drops for one in counters),
        retries_by_reason=_add_up(one.retries for one in counters),
        failed_tasks=len(stage.history.failures),
        failures=tuple(stage.history.failures[:FAILURES_SHOWN]),
    )


def _is_given_up(record: FlowRecord, stage: MemoryDeployment) -> bool:
    """Tell whether a broken flow's upstream explains it."""
    name = stage.ledger.admitted_by.get(record.plan.caller)
    if name is None:
        return False
    ended_s = record.ended_at_s
    domain = stage.upstreams[name].plan.domain
    history = stage.history
    explained = (
        history.began(SpanKind.UPSTREAM_FAILED, name, ended_s),
        history.began(SpanKind.UPSTREAM_REMOVED, name, ended_s),
        history.began(SpanKind.DOMAIN_OUT, domain, ended_s),
        history.began(SpanKind.DOMAIN_CUT, domain, ended_s),
    )
    return any(explained)


def _count_false_refusals(
    records: list[FlowRecord], stage: MemoryDeployment
) -> int:
    taken = stage.ledger.flows_with_payload
    return sum(
        one.outcome is FlowOutcome.REFUSED and one.plan.flow_id in taken
        for one in records
    )


def _count_misdelivered(
    records: list[FlowRecord], upstreams: tuple[UpstreamStandIn, ...]
) -> int:
    packets = sum(one.totals.misdelivered for one in upstreams)
    return packets + sum(one.wrong_answers for one in records)


def _count_drained_new_flows(
    scenario: Scenario, stage: MemoryDeployment
) -> int:
    spans = stage.history.of_kind(SpanKind.DRAINED)
    return sum(
        _count_within(
            stage.upstreams[span.subject].totals.new_flow_times_s,
            span,
            scenario.settle_s,
        )
        for span in spans
    )


def _count_out_packets(scenario: Scenario, stage: MemoryDeployment) -> int:
    return sum(
        _count_within(one.totals.packet_times_s, span, scenario.settle_s)
        for span in stage.history.of_kind(SpanKind.DOMAIN_OUT)
        for one in _upstreams_in(stage, span.subject)
    )


def _longest_out_s(stage: MemoryDeployment) -> float:
    """Find the longest time until the last packet to a domain gone out."""
    longest_s = 0.0
    for span in stage.history.of_kind(SpanKind.DOMAIN_OUT):
        for one in _upstreams_in(stage, span.subject):
            times_s = [
                time_s
                for time_s in one.totals.packet_times_s
                if span.holds_at(time_s)
            ]
            if times_s:
                longest_s = max(longest_s, times_s[-1] - span.from_s)
    return round(longest_s, 3)


def _longest_back_s(observer: Observer) -> float:
    if observer.returning:
        return NEVER
    return round(max(observer.observed.back_s, default=0), 3)


def _longest_in_force_s(history: History) -> float:
    if any(commit.waiting for commit in history.commits):
        return NEVER
    times_s = [commit.in_force_s for commit in history.commits]
    return round(max(0, *times_s), 3)


def _busiest_control_rate(scenario: Scenario, stage: MemoryDeployment) -> float:
    busiest = max(stage.network.control_bytes.values(), default=0)
    return round(busiest / scenario.duration_s, 1)


def _upstreams_in(
    stage: MemoryDeployment, domain: str
) -> tuple[UpstreamStandIn, ...]:
    return tuple(
        one for one in stage.upstreams.values() if one.plan.domain == domain
    )


def _count_within(times_s: list[float], span: Span, settle_s: float) -> int:
    start_s = span.from_s + settle_s
    return sum(start_s < time_s < span.until_s for time_s in times_s)


def _largest(excesses: Iterable[int]) -> int:
    return max(0, max(excesses, default=0))


def _percentile(ordered: list[float], fraction: float) -> float:
    if not ordered:
        return 0
    index = math.ceil(fraction * len(ordered)) - 1
    return round(ordered[index], 2)


def _add_up(
    counts: Iterable[collections.Counter[str]],
) -> dict[str, int]:
    total: collections.Counter[str] = collections.Counter()
    for one in counts:
        total.update({str(reason): one[reason] for reason in one})
    return dict(sorted(total.items()))
