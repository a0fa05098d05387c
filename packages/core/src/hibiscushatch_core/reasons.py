"""Why packets are dropped, flows refused, requests failed and calls repeated.

The value of each member is the ``reason`` label of a metric;
docs/OPERATIONS.md explains them to operators.
"""

import enum


class DropReason(enum.StrEnum):
    """Why a packet was dropped without an answer."""

    TRUNCATED = 'truncated'
    NOT_IPV4 = 'not_ipv4'
    FRAGMENTED = 'fragmented'
    OVERSIZED = 'oversized'
    UNSUPPORTED_PROTOCOL = 'unsupported_protocol'
    UNKNOWN_SERVICE = 'unknown_service'
    LOOPED = 'looped'
    UNKNOWN_PEER = 'unknown_peer'
    WRONG_SENDER = 'wrong_sender'
    LATE_REPLY = 'late_reply'
    STALE_RESET = 'stale_reset'
    ISOLATION = 'isolation'
    NO_MANIFEST = 'no_manifest'
    NO_OWNER = 'no_owner'
    SEND_FAILED = 'send_failed'
    PLACEMENT_PENDING = 'placement_pending'
    SYN_WITH_PAYLOAD = 'syn_with_payload'
    UNKNOWN_TOKEN = 'unknown_token'
    SUPERSEDED = 'superseded'


class RefusalReason(enum.StrEnum):
    """Why a flow was refused or reset."""

    NO_ROOM = 'no_room'
    NO_UPSTREAM = 'no_upstream'
    CONNECT_DEADLINE = 'connect_deadline'
    RETRY_BUDGET = 'retry_budget'
    UPSTREAM_REFUSED = 'upstream_refused'
    DOMAIN_OUT = 'domain_out'
    UPSTREAM_GONE = 'upstream_gone'
    SILENT_FLOW = 'silent_flow'
    NO_ROUTE = 'no_route'
    OVERLOAD = 'overload'


class FailureSignal(enum.StrEnum):
    """Signals that an upstream failed a request."""

    OVERDUE = 'overdue'
    EARLY_END = 'early_end'


class RetryReason(enum.StrEnum):
    """Why an operation was repeated."""

    CONNECT_UNANSWERED = 'connect_unanswered'
    CONNECT_REFUSED = 'connect_refused'
    PEER_CONNECT = 'peer_connect'
    PEER_SILENT = 'peer_silent'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    PLATFORM_HISTORY = 'platform_history'
