"""The figures of a run of a scenario."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ScenarioOutcome:
    """Figures counted at callers and upstreams or read from the entry VMs.

    Attributes:
        flows: Flows that callers opened.
        finished_flows: Flows that completed all their requests.
        open_flows: Flows that were still open at the end of the run.
        broken_flows: Flows that were reset or no longer answered after
            payload, except given-up flows.
        given_up_flows: Broken flows whose upstream died, restarted, stopped
            answering, was removed, or was in a domain that was out or cut
            off.
        refused_flows: Flows refused before any payload.
        unanswered_flows: Flows that could not connect.
        refused_after_payload: Flows refused although payload was accepted.
        misdelivered: Packets that reached an upstream of another service,
            and answers that reached the wrong flow.
        duplicated_payloads: Requests that ran more than once or reached two
            upstreams.
        incomplete_answers: Flows that ended in the middle of an answer, except
            given-up flows.
        cold_excess: Largest number of open flows by which a cold upstream
            exceeded its cold allowance.
        silent_cold_overloads: New flows above the cold allowance of upstreams
            that turned cold without announcing it.
        connections_excess: Largest number of open flows by which an upstream
            exceeded its connections.
        drained_new_flows: New flows at drained upstreams after the settling
            time.
        domain_out_packets: Packets to domains that are out, after the
            settling time.
        domain_out_s: Longest time from a commit to the last packet to the
            domain that it took out.
        domain_back_s: Longest time from a commit until the domain that it
            brought back had its part of the load again; -1 if that never
            happened.
        manifest_in_force_s: Longest time from a commit until all reachable
            entry VMs had it in force; -1 if a commit never was.
        manifest_reverts: How often an entry VM went back to an older manifest.
        imbalance: Highest ratio of the open flows of a warm upstream to the
            mean of its service, each averaged over the measured period.
        control_bytes_per_s: Bytes of peer messages per second of the entry VM
            that sent the most.
        platform_calls_per_s: Calls to the platform per second, by all callers
            of it together.
        entries_held: Highest number of flow entries held by one entry VM.
        extra_hops: Packets relayed between entry VMs per packet received.
        request_ms_median: Median request latency in milliseconds.
        request_ms_p99: 99th percentile of the request latency in milliseconds.
        bucket_moves: Bucket moves started.
        refused_by_reason: Flows refused or reset by entry VMs, by reason.
        drops_by_reason: Packets dropped by entry VMs, by reason.
        retries_by_reason: Retries of entry VMs, by reason.
        failed_tasks: Exceptions not handled by tasks and callbacks of entry
            VMs, and events that could not be applied.
        failures: Descriptions of the first few failed tasks.
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
