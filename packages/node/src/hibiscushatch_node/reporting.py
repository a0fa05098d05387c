"""Builds reports on an entry VM from its tables."""

import collections
from collections.abc import Iterator

from hibiscushatch_core.manifest import Service
from hibiscushatch_core.report import (
    BucketReport,
    MemberReport,
    NodeReport,
    ServiceReport,
    UpstreamReport,
)
from hibiscushatch_node.admission import Admission
from hibiscushatch_node.membership import MemberState
from hibiscushatch_node.node_state import NodeState


def build_report(state: NodeState, admission: Admission) -> NodeReport:
    """Describe the state of an entry VM.

    Args:
        state: The tables of the entry VM.
        admission: Its open flows, shares and warmth by upstream.

    Returns:
        The report for operators.
    """
    own = state.membership.own
    manifest = state.manifest
    services = manifest.services if manifest else ()
    is_serving = own.state is MemberState.SERVING
    is_domain_in_service = (
        manifest is not None and own.domain in manifest.domains_in
    )
    return NodeReport(
        name=own.name,
        domain=own.domain,
        state=own.state.value,
        ready=is_serving and is_domain_in_service,
        generation=state.generation,
        commit_id=state.committed.commit_id if state.committed else '',
        members=tuple(_member_reports(state)),
        services=tuple(
            _service_report(state, admission, service) for service in services
        ),
    )


def build_bucket_reports(
    state: NodeState, service_name: str
) -> tuple[BucketReport, ...]:
    """Describe the buckets of a service.

    Args:
        state: The tables of an entry VM.
        service_name: Name of the service.

    Returns:
        One report per bucket; none when the service is unknown.
    """
    return tuple(
        BucketReport(
            index=index,
            version=bucket.stamp.version,
            through_owner=bucket.through_owner,
            bases=bucket.bases,
            current=bucket.current,
            owner=state.ownership.owners(service_name, index).owner,
        )
        for index, bucket in enumerate(state.table.states(service_name))
    )


def _member_reports(state: NodeState) -> Iterator[MemberReport]:
    live = state.membership.live
    for member in sorted(
        state.membership.records, key=lambda record: record.name
    ):
        if member.name != state.name:
            yield MemberReport(
                name=member.name,
                domain=member.domain,
                state=member.state.value,
                live=member.name in live,
                generation=member.generation,
            )


def _service_report(
    state: NodeState, admission: Admission, service: Service
) -> ServiceReport:
    buckets = state.table.states(service.name)
    return ServiceReport(
        name=service.name,
        buckets=len(buckets),
        buckets_in_motion=len(state.table.in_motion(service.name)),
        buckets_owned=sum(
            state.owns(service.name, index) for index in range(len(buckets))
        ),
        entries=state.flows.count(service.name),
        upstreams=tuple(_upstream_reports(state, admission, service)),
    )


def _upstream_reports(
    state: NodeState, admission: Admission, service: Service
) -> Iterator[UpstreamReport]:
    bucket_counts = collections.Counter(
        bucket.current for bucket in state.table.states(service.name)
    )
    for upstream in service.upstreams:
        yield UpstreamReport(
            name=upstream.name,
            domain=upstream.domain,
            accepts_new_flows=state.manifest.accepts_new_flows(upstream.name),
            buckets=bucket_counts[upstream.name],
            open_flows=admission.open_flows(upstream.name),
            share=admission.share(upstream.name),
            phase='warm' if admission.is_warm(upstream) else 'cold',
        )
