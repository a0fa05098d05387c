"""The figures that a run of a scenario comes to."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ScenarioOutcome:
    """What was counted at the ends and read from the entry VMs.

    Attributes:
        flows: Flows that callers opened.
        finished_flows: Flows that did all they were to do.
        open_flows: Flows that had not ended when the run did.
        broken_flows: Flows that were reset or fell silent after payload, but
            for those given up.
        given_up_flows: Broken flows whose upstream died, forgot them, was
            removed, or was in a domain that was out or cut off.
        refused_flows: Flows refused before any payload.
        unanswered_flows: Flows that could not connect.
        refused_after_payload: Flows refused although payload was accepted.
        misdelivered: Packets that reached an upstream of another service,
            and answers that reached the wrong flow.
        duplicated_payloads: Requests that ran twice or reached two upstreams.
        incomplete_answers: Flows, but for those given up, that ended amid an
            answer.
        cold_excess: Most flows by which a cold upstream was exceeded.
        silent_cold_overloads: New flows above the cold allowance of upstreams
            that went cold without telling.
        connections_excess: Most flows by which an upstream's connections were
            exceeded.
        drained_new_flows: New flows at drained upstreams after settling.
        domain_out_packets: Packets to domains that are out after settling.
        domain_out_s: Longest time from a commit to the last packet to the
            domain that it took out.
        domain_back_s: Longest time from a commit until the domain that it
            brought back bears its part; -1 when one never did.
        manifest_in_force_s: Longest time from a commit until all reachable
            entry VMs had it in force; -1 when one never had.
        manifest_reverts: Times that an entry VM went back to an older one.
        imbalance: Largest open flows of a warm upstream over the mean of its
            service, each averaged over the measured time.
        control_bytes_per_s: Bytes of peer messages sent by the busiest entry
            VM, a second.
        platform_calls_per_s: Calls to the platform by all, a second.
        entries_held: Most flow entries held by one entry VM.
        extra_hops: Packets relayed between entry VMs over packets taken in.
        request_ms_median: Time of a request, in milliseconds.
        request_ms_p99: Its 99th percentile.
        bucket_moves: Bucket moves begun.
        refused_by_reason: Refusals by the entry VMs' reasons.
        drops_by_reason: Drops by the entry VMs' reasons.
        retries_by_reason: Retries by the entry VMs' reasons.
        failed_tasks: Exceptions that left tasks and callbacks of entry VMs,
            and events that could not be played.
        failures: The first of them in words.
    """

    flows: int
    finished_flows: int
    open_flows: int
    broken_flows: int
    given_up_flows: int
    refused_flows: int
    unanswered_flows: int
    refused_after_payload: int
    misdelivered: int
    duplicated_payloads: int
    incomplete_answers: int
    cold_excess: int
    silent_cold_overloads: int
    connections_excess: int
    drained_new_flows: int
    domain_out_packets: int
    domain_out_s: float
    domain_back_s: float
    manifest_in_force_s: float
    manifest_reverts: int
    imbalance: float
    control_bytes_per_s: float
    platform_calls_per_s: float
    entries_held: int
    extra_hops: float
    request_ms_median: float
    request_ms_p99: float
    bucket_moves: int
    refused_by_reason: dict[str, int]
    drops_by_reason: dict[str, int]
    retries_by_reason: dict[str, int]
    failed_tasks: int
    failures: tuple[str, ...]


FIGURES = tuple(
    field.name
    for field in dataclasses.fields(ScenarioOutcome)
    if field.type in (int, float)
)
