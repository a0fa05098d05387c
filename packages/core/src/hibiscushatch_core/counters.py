"""Counters of the packet path and the control plane.

The entry VM exports them as Prometheus metrics; tests read them directly.
"""

import collections

import msgspec

from hibiscushatch_core import reasons


class Counters(msgspec.Struct):
    """Totals since the process started.

    Attributes:
        drops: Packets dropped, by reason.
        refusals: Flows refused or reset, by reason.
        retries: Retries, by reason.
        failure_signals: Signals that an upstream failed a request, by signal.
        packets_in: Datagrams received from the fabric and upstreams.
        packets_relayed: Datagrams sent to another entry VM.
        packets_to_upstreams: Datagrams sent to upstreams.
        packets_to_callers: Datagrams sent to callers.
        flows_placed: New flows placed on an upstream.
        flows_deferred: Late flows that had to wait before they were placed.
        requests_held: Late requests on open flows that had to wait before they
            were sent on.
        control_bytes_sent: Bytes of peer messages sent.
        control_bytes_received: Bytes of peer messages received.
        platform_calls: Calls to the platform's key-value service.
        store_rollbacks: How often the platform's key-value service was seen to
            come back from an older copy of itself.
        bucket_moves: Moves of buckets that this VM started.
        unreadable_entries: Entries of the registry, read from the platform's
            key-value service, that name no upstream.
        unreadable_requests: Requests to the process's own HTTP servers that
            could not be parsed.
        unexpected_errors: Exceptions that no drop or retry reason covers.
    """

    drops: collections.Counter[reasons.DropReason] = msgspec.field(
        default_factory=collections.Counter
    )
    refusals: collections.Counter[reasons.RefusalReason] = msgspec.field(
        default_factory=collections.Counter
    )
    retries: collections.Counter[reasons.RetryReason] = msgspec.field(
        default_factory=collections.Counter
    )
    failure_signals: collections.Counter[reasons.FailureSignal] = msgspec.field(
        default_factory=collections.Counter
    )
    packets_in: int = 0
    packets_relayed: int = 0
    packets_to_upstreams: int = 0
    packets_to_callers: int = 0
    flows_placed: int = 0
    flows_deferred: int = 0
    requests_held: int = 0
    control_bytes_sent: int = 0
    control_bytes_received: int = 0
    platform_calls: int = 0
    store_rollbacks: int = 0
    bucket_moves: int = 0
    unreadable_entries: int = 0
    unreadable_requests: int = 0
    unexpected_errors: int = 0
