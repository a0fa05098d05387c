"""Limits how many flows this entry VM may place on each upstream.

Counts the open flows that this VM owns, keeps its claims on each upstream's
limit, and tracks the warmth and health of the upstreams. A flow entry is
counted once, as long as the flow is placed on an upstream, is not closed, and
its bucket is owned by this VM. Copies that this VM holds as a backup are not
counted. One ledger contains the claims of all entry VMs that this one knows,
whatever their failure domain.
"""

import collections
from collections.abc import Iterator

from hibiscushatch_core.manifest import Manifest, Upstream
from hibiscushatch_core.shares import ShareLedger
from hibiscushatch_core.upstream_health import (
    Failure,
    UpstreamHealth,
    Verdict,
)
from hibiscushatch_core.warmth import WarmthTable
from hibiscushatch_node.flow_table import FlowEntry
from hibiscushatch_node.membership import MemberState
from hibiscushatch_node.node_state import NodeState

REFRESH_INTERVAL_S = 0.5
CLAIM_HOLD_S = 300.0


class Admission:
    """Open flows, claims, warmth and health, by upstream."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._health: dict[str, UpstreamHealth] = {}
        self._weights_version = (0, 0, 0)
        self._refreshed_at_s = 0.0
        self._renewals = 0
        self.warmth = WarmthTable(state.name)
        self.ledger = ShareLedger(
            state.name, state.ports.incarnation, CLAIM_HOLD_S
        )

    def renew_ledger(self) -> None:
        """Begin a new ledger after a pause of this process.

        Claims may have expired during the pause. So the open flows owned by
        this VM are counted again, and the other VMs must confirm its claims
        again before it is granted anything.
        """
        self._renewals += 1
        self.ledger = ShareLedger(
            self._state.name,
            self._state.ports.incarnation + self._renewals,
            CLAIM_HOLD_S,
        )
        self._weights_version = (0, 0, 0)
        for _, _, entries in self._state.flows.buckets():
            for entry in entries.values():
                if entry.counted:
                    self.ledger.record_opened(entry.upstream)

    def reflects_current_owners(self) -> bool:
        """Return whether the claims are based on the current bucket owners."""
        return self._weights_version[0] == self._state.ownership.changes

    def open_flows(self, upstream: str) -> int:
        """Return how many open flows on an upstream this VM owns."""
        return self.ledger.open_flows(upstream)

    def share(self, upstream: str) -> int:
        """Return how many open flows on an upstream this VM may own."""
        return self.ledger.granted(upstream)

    def is_warm(self, upstream: Upstream) -> bool:
        """Return whether an upstream can bear its full number of flows."""
        return self.warmth.is_warm(upstream, self._state.now())

    def weight(self, upstream: Upstream) -> int:
        """Return how many open flows an upstream can bear now."""
        return self.warmth.allowance(upstream, self._state.now())

    def planned_weight(self, upstream: Upstream) -> int:
        """Return the weight of an upstream for planning bucket moves.

        An upstream in its first warm-up has its full weight: the layout
        already gave it its full number of buckets, and it warms up together
        with the others. Buckets moved off it now would be moved back later.
        """
        if self.warmth.is_first_warm_up(upstream.name):
            return upstream.connections
        return self.weight(upstream)

    def may_open(self, upstream: str) -> bool:
        """Return whether this VM may place one more flow on an upstream."""
        credit = self._health_of(upstream).credit
        return self.ledger.may_open(upstream, credit)

    def verdict(self, upstream: str) -> Verdict:
        """Return the verdict on an upstream from this VM's own handshakes."""
        return self._health_of(upstream).verdict

    def may_probe(self, upstream: str) -> bool:
        """Return whether a dead upstream may be probed with a single flow."""
        return self._health_of(upstream).may_probe(self._state.now())

    def record_probe(self, upstream: str) -> None:
        """Record that a dead upstream is probed with a single flow."""
        self._health_of(upstream).record_probe(
            self._state.now(), self._state.ports.randomness
        )

    def record_placement(self, entry: FlowEntry) -> None:
        """Count a flow that is sent to its upstream for the first time."""
        self.count(entry)
        self.warmth.record_flow(entry.upstream, self._state.now())

    def record_answer(self, upstream: str, handshake_s: float) -> None:
        """Record that an upstream accepted a flow.

        Args:
            upstream: Name of the upstream.
            handshake_s: Seconds from the SYN to its answer.
        """
        self._health_of(upstream).record_answer(handshake_s, self._state.now())
        self._check_cold_signs(upstream)

    def record_failure(self, upstream: str, failure: Failure) -> None:
        """Record that an upstream did not accept a flow.

        Args:
            upstream: Name of the upstream.
            failure: How it failed.
        """
        self._health_of(upstream).record_failure(failure, self._state.now())
        self._check_cold_signs(upstream)

    def count(self, entry: FlowEntry) -> None:
        """Count a flow on its upstream unless it is counted already."""
        if entry.upstream and not entry.counted:
            entry.counted = True
            self.ledger.record_opened(entry.upstream)

    def uncount(self, entry: FlowEntry) -> None:
        """Stop counting a flow; to be called before its upstream changes."""
        if entry.counted:
            entry.counted = False
            self.ledger.record_closed(entry.upstream)

    def apply_manifest(self, old: Manifest | None, new: Manifest) -> None:
        """Apply a new manifest generation.

        Args:
            old: The manifest in force until now; None when there was none.
            new: The manifest to put in force.
        """
        if old is None:
            return
        for name in new.upstreams_by_name:
            was_refusing = not old.accepts_new_flows(name)
            if was_refusing and new.accepts_new_flows(name):
                self.warmth.record_return(name, new.generation)
        removed = old.upstreams_by_name.keys() - new.upstreams_by_name.keys()
        for name in removed:
            self.ledger.remove_upstream(name)
            self.warmth.remove_upstream(name)
            self._health.pop(name, None)

    def refresh_if_due(self) -> bool:
        """Refresh at intervals, and at once when bucket owners changed.

        Returns:
            True when it refreshed.
        """
        now_s = self._state.now()
        changes = self._state.ownership.changes
        is_recent = now_s - self._refreshed_at_s < REFRESH_INTERVAL_S
        if is_recent and changes == self._weights_version[0]:
            return False
        self._refreshed_at_s = now_s
        self.refresh()
        return True

    def refresh(self) -> None:
        """Update members, limits and weights, then this VM's claims."""
        now_s = self._state.now()
        self._update_members(now_s)
        for upstream in self._state.manifest.upstreams_by_name.values():
            self.ledger.set_limit(upstream.name, self._limit(upstream, now_s))
        self._update_weights()
        if self._state.membership.own.state is MemberState.SERVING:
            self.ledger.activate()
        self.ledger.refresh(now_s)

    def _limit(self, upstream: Upstream, now_s: float) -> int:
        """Return how many open flows all entry VMs may have on an upstream.

        For an upstream that returned to service, the limit rises in steps,
        also after its warm-up time has passed.
        """
        if self.warmth.is_first_warm_up(upstream.name):
            return self.warmth.allowance(upstream, now_s)
        return self.warmth.ramped_allowance(upstream, now_s)

    def dead_upstreams(self) -> frozenset[str]:
        """Return the names of the upstreams that this VM judges dead."""
        return frozenset(
            name
            for name, health in self._health.items()
            if health.verdict is Verdict.DEAD
        )

    def _health_of(self, upstream: str) -> UpstreamHealth:
        health = self._health.get(upstream)
        if health is None:
            health = UpstreamHealth()
            self._health[upstream] = health
        return health

    def _check_cold_signs(self, upstream: str) -> None:
        health = self._health_of(upstream)
        if health.looks_cold:
            health.reset_cold_signs()
            self.warmth.record_reset(upstream, self._state.now())

    def _update_members(self, now_s: float) -> None:
        membership = self._state.membership
        for member in membership.records:
            if member.name in membership.live:
                self.ledger.add_member(member.name, now_s)
                self.ledger.record_contact(member.name, now_s)
            elif member.state is MemberState.LEAVING:
                self.ledger.remove_member(member.name)
        self.ledger.expire_silent(now_s)

    def _update_weights(self) -> None:
        version = (
            self._state.ownership.changes,
            self._state.table.digest,
            self._state.generation,
        )
        if version == self._weights_version:
            return
        self._weights_version = version
        weights: dict[str, collections.Counter[str]] = {
            name: collections.Counter()
            for name in self._state.manifest.upstreams_by_name
        }
        for current, owner in self._owned_buckets():
            if current in weights:
                weights[current][owner] += 1
        for name, owners in weights.items():
            self.ledger.set_weights(name, owners)

    def _owned_buckets(self) -> Iterator[tuple[str, str]]:
        """Yield, for each bucket, its upstream for new flows and its owner."""
        for service in self._state.table.services:
            for index, bucket in enumerate(self._state.table.states(service)):
                owner = self._state.ownership.owners(service, index).owner
                if owner:
                    yield bucket.current, owner
