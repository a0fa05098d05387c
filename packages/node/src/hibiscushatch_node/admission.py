"""Which upstreams may get how many flows from this entry VM.

Counts the open flows owned here, keeps this VM's claims on each upstream's
limit, and follows how warm and how healthy upstreams are. An entry is counted
once, while it is placed, not closed, and its bucket is owned here; copies
held as a backup are not counted. One ledger of claims spans all entry VMs that
this one knows, whatever their failure domain.
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
    """Open flows, claims, warmth and health of upstreams."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._health: dict[str, UpstreamHealth] = {}
        self._followed = (0, 0, 0)
        self._refreshed_at_s = 0.0
        self._renewals = 0
        self.warmth = WarmthTable(state.name)
        self.ledger = ShareLedger(
            state.name, state.ports.incarnation, CLAIM_HOLD_S
        )

    def renew_ledger(self) -> None:
        """Begin a new ledger after a pause, in which claims may have lapsed.

        The open flows owned here are counted again; what was granted before
        has to be confirmed anew.
        """
        self._renewals += 1
        self.ledger = ShareLedger(
            self._state.name,
            self._state.ports.incarnation + self._renewals,
            CLAIM_HOLD_S,
        )
        self._followed = (0, 0, 0)
        for _, _, entries in self._state.flows.buckets():
            for entry in entries.values():
                if entry.counted:
                    self.ledger.record_opened(entry.upstream)

    def follows_owners(self) -> bool:
        """Tell whether the due shares are those of the present owners."""
        return self._followed[0] == self._state.ownership.changes

    def open_flows(self, upstream: str) -> int:
        """Return the open flows owned here on an upstream."""
        return self.ledger.open_flows(upstream)

    def share(self, upstream: str) -> int:
        """Return how many open flows may be owned here on an upstream."""
        return self.ledger.granted(upstream)

    def is_warm(self, upstream: Upstream) -> bool:
        """Tell whether an upstream bears its full number of flows."""
        return self.warmth.is_warm(upstream, self._state.now())

    def weight(self, upstream: Upstream) -> int:
        """Return how many open flows an upstream bears now."""
        return self.warmth.allowance(upstream, self._state.now())

    def planned_weight(self, upstream: Upstream) -> int:
        """Return what an upstream counts for when buckets are moved.

        The first assignment already gave an upstream its full part, and it
        warms up with the others; moving buckets off it for that time would
        only bring them back later.
        """
        if self.warmth.is_first_warm_up(upstream.name):
            return upstream.connections
        return self.weight(upstream)

    def may_open(self, upstream: str) -> bool:
        """Tell whether this VM may place one more flow on an upstream."""
        credit = self._health_of(upstream).credit
        return self.ledger.may_open(upstream, credit)

    def verdict(self, upstream: str) -> Verdict:
        """Return what this VM's own attempts say of an upstream."""
        return self._health_of(upstream).verdict

    def may_probe(self, upstream: str) -> bool:
        """Tell whether a dead upstream is due for a single flow."""
        return self._health_of(upstream).may_probe(self._state.now())

    def probe_started(self, upstream: str) -> None:
        """Note that a single flow is tried on a dead upstream."""
        self._health_of(upstream).record_probe(
            self._state.now(), self._state.ports.randomness
        )

    def placed(self, entry: FlowEntry) -> None:
        """Count a flow that is sent to its upstream for the first time."""
        self.count(entry)
        self.warmth.record_flow(entry.upstream, self._state.now())

    def answered(self, upstream: str, handshake_s: float) -> None:
        """Note that an upstream took a flow.

        Args:
            upstream: Name of the upstream.
            handshake_s: Time from the SYN to its answer, in seconds.
        """
        self._health_of(upstream).record_answer(handshake_s, self._state.now())
        self._note_cold_signs(upstream)

    def failed(self, upstream: str, failure: Failure) -> None:
        """Note that an upstream did not take a flow.

        Args:
            upstream: Name of the upstream.
            failure: How it failed.
        """
        self._health_of(upstream).record_failure(failure, self._state.now())
        self._note_cold_signs(upstream)

    def count(self, entry: FlowEntry) -> None:
        """Count a flow on its upstream unless it is counted already."""
        if entry.upstream and not entry.counted:
            entry.counted = True
            self.ledger.record_opened(entry.upstream)

    def uncount(self, entry: FlowEntry) -> None:
        """Stop counting a flow; call it before its upstream changes."""
        if entry.counted:
            entry.counted = False
            self.ledger.record_closed(entry.upstream)

    def follow_manifest(self, old: Manifest | None, new: Manifest) -> None:
        """Take over a generation.

        Args:
            old: The one in force before.
            new: The one in force now.
        """
        if old is None:
            return
        for name in new.upstreams_by_name:
            returned = not old.accepts_new_flows(name)
            if returned and new.accepts_new_flows(name):
                self.warmth.record_return(name, new.generation)
        gone = old.upstreams_by_name.keys() - new.upstreams_by_name.keys()
        for name in gone:
            self.ledger.remove_upstream(name)
            self.warmth.remove_upstream(name)
            self._health.pop(name, None)

    def refresh_if_due(self) -> bool:
        """Refresh at intervals, and at once when owners have changed.

        Returns:
            True when it was done.
        """
        now_s = self._state.now()
        changes = self._state.ownership.changes
        is_recent = now_s - self._refreshed_at_s < REFRESH_INTERVAL_S
        if is_recent and changes == self._followed[0]:
            return False
        self._refreshed_at_s = now_s
        self.refresh()
        return True

    def refresh(self) -> None:
        """Follow members, owners and limits, and renew this VM's claims."""
        now_s = self._state.now()
        self._follow_members(now_s)
        for upstream in self._state.manifest.upstreams_by_name.values():
            self.ledger.set_limit(upstream.name, self._limit(upstream, now_s))
        self._follow_weights()
        if self._state.membership.own.state is MemberState.SERVING:
            self.ledger.activate()
        self.ledger.refresh(now_s)

    def _limit(self, upstream: Upstream, now_s: float) -> int:
        """Return how many flows all entry VMs may open on an upstream.

        One that came back is filled in steps even after its warm-up time.
        """
        if self.warmth.is_first_warm_up(upstream.name):
            return self.warmth.allowance(upstream, now_s)
        return self.warmth.ramped_allowance(upstream, now_s)

    def dead_upstreams(self) -> frozenset[str]:
        """Name the upstreams that this VM judges dead."""
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

    def _note_cold_signs(self, upstream: str) -> None:
        health = self._health_of(upstream)
        if health.looks_cold:
            health.reset_cold_signs()
            self.warmth.record_reset(upstream, self._state.now())

    def _follow_members(self, now_s: float) -> None:
        membership = self._state.membership
        for member in membership.records:
            if member.name in membership.live:
                self.ledger.add_member(member.name, now_s)
                self.ledger.record_contact(member.name, now_s)
            elif member.state is MemberState.LEAVING:
                self.ledger.remove_member(member.name)
        self.ledger.expire_silent(now_s)

    def _follow_weights(self) -> None:
        version = (
            self._state.ownership.changes,
            self._state.table.digest,
            self._state.generation,
        )
        if version == self._followed:
            return
        self._followed = version
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
        """Yield the upstream for new flows and the owner of each bucket."""
        for service in self._state.table.services:
            for index, bucket in enumerate(self._state.table.states(service)):
                owner = self._state.ownership.owners(service, index).owner
                if owner:
                    yield bucket.current, owner
