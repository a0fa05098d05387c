"""Moves buckets between upstreams and makes them stable again.

A move has two steps. First the bucket is announced as in motion, so that
every VM sends its packets through the owner. When all live VMs have
acknowledged this, or a deadline has passed, new flows are sent to the new
upstream. The bucket becomes stable again when no flow on its old upstreams can
be alive any more.
"""

import abc
import asyncio
import dataclasses
from collections.abc import Iterator

from hibiscushatch_core.buckets import BucketState, change_state
from hibiscushatch_core.hashing import rank_by_rendezvous
from hibiscushatch_core.manifest import Service
from hibiscushatch_core.move_plan import (
    BucketRow,
    MovePace,
    PlannedMove,
    UpstreamRow,
    plan_moves,
)
from hibiscushatch_node.admission import Admission
from hibiscushatch_node.flow_table import FlowEntry, FlowState
from hibiscushatch_node.node_state import NodeState

PLAN_INTERVAL_S = 2.0
REPLAN_INTERVAL_S = 20.0
# At most one eighth of a service's buckets are rebalanced at one time.
REBALANCING_MAX_DIVISOR = 8


class BucketPublisher(abc.ABC):
    """Sends bucket states and flow entries to other entry VMs."""

    @abc.abstractmethod
    def publish_bucket(self, service: str, index: int) -> None:
        """Send a bucket's state to every live VM."""

    @abc.abstractmethod
    async def wait_acknowledged(self, deadline_s: float) -> None:
        """Wait until all live VMs have acknowledged what was published before.

        Args:
            deadline_s: Seconds after which to stop waiting.
        """

    @abc.abstractmethod
    def copy_entry(self, service: str, index: int, key: int) -> None:
        """Queue a flow's entry to be sent to the backup of its bucket."""


@dataclasses.dataclass(slots=True)
class _Observation:
    """The start of the time in which all packets of a bucket are seen.

    Attributes:
        since_s: Time since which this VM has seen all packets of the bucket,
            either itself or, as a backup, through the copies of entries from
            the earlier owner.
    """

    since_s: float


class BucketMover:
    """Moves the buckets that this VM owns, and makes them stable again."""

    def __init__(
        self,
        state: NodeState,
        publisher: BucketPublisher,
        admission: Admission,
    ) -> None:
        self._state = state
        self._admission = admission
        self._publisher = publisher
        self._announcements: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._observations: dict[tuple[str, int], _Observation] = {}
        # Time since which this VM, as the backup of a bucket in motion, gets
        # copies of its entries from the owner.
        self._backed_up_since_s: dict[tuple[str, int], float] = {}
        self._last_reply_at_s: dict[str, float] = {}
        self._planned_inputs = (0, 0, 0)
        self._planned_weights: tuple[int, ...] = ()
        self._planned_at_s = 0.0
        self._weights_checked_at_s = 0.0

    def is_eligible(self, upstream: str) -> bool:
        """Return whether buckets may be moved to an upstream."""
        if upstream in self._state.membership.dead_upstreams():
            return False
        return self.accepts_new_flows(upstream)

    def is_reachable(self, upstream: str) -> bool:
        """Return whether the failure domain of an upstream can be reached.

        A domain counts as unreachable when no entry VM in it is live.
        """
        domain = self._state.directory.domain_of(upstream)
        return domain in self._state.membership.live_domains()

    def accepts_new_flows(self, upstream: str) -> bool:
        """Return whether an upstream may get new flows.

        The manifest must allow it, and the upstream's address must not be in
        quarantine.
        """
        manifest = self._state.manifest
        if manifest is None or not manifest.accepts_new_flows(upstream):
            return False
        return not self._state.directory.is_quarantined(
            upstream, self._state.now()
        )

    def ranked_upstreams(self, service_name: str, index: int) -> Iterator[str]:
        """Yield a service's upstreams in a bucket's order of preference."""
        service = self._state.manifest.services_by_name[service_name]
        names = (upstream.name for upstream in service.upstreams)
        yield from rank_by_rendezvous(names, f'{service_name}#{index}')

    def record_reply(self, upstream: str, now_s: float) -> None:
        """Record that an upstream sent a packet."""
        self._last_reply_at_s[upstream] = now_s

    def last_reply_at_s(self, upstream: str) -> float:
        """Return when an upstream last sent a packet; 0 if it never did."""
        return self._last_reply_at_s.get(upstream, 0)

    def observed_s(self, service: str, index: int) -> float:
        """Return for how long all packets of a bucket have been seen.

        Args:
            service: Name of the service.
            index: Index of the bucket.

        Returns:
            Seconds; 0 when the bucket is not in motion, not owned by this VM
            or not observed yet.
        """
        key = (service, index)
        known = key in self._observations or key in self._backed_up_since_s
        if not known or not self._state.owns(service, index):
            return 0
        if self._state.table.state(service, index).is_stable:
            return 0
        return (
            self._state.now() - self._ensure_observation(service, index).since_s
        )

    def back_up_entry(self, service: str, index: int, key: int) -> None:
        """Send a flow's entry to the backup if its bucket is in motion."""
        if self._state.table.state(service, index).through_owner:
            self._publisher.copy_entry(service, index, key)

    def start_observing(self, service: str, index: int) -> None:
        """Put a bucket in motion, without waiting, to see all its packets."""
        self._start_motion(service, index)

    async def put_in_motion(self, service: str, index: int) -> None:
        """Put a bucket in motion and wait until the other VMs know it.

        Args:
            service: Name of the service.
            index: Index of the bucket.
        """
        task = self._start_motion(service, index)
        if task is not None:
            await asyncio.shield(task)

    async def move(self, service: str, index: int, target: str) -> None:
        """Put a bucket in motion and send its new flows to another upstream.

        Args:
            service: Name of the service.
            index: Index of the bucket.
            target: Name of the other upstream.
        """
        await self.put_in_motion(service, index)
        bucket = self._state.table.state(service, index)
        if bucket.current == target or not self.is_eligible(target):
            return
        if not self._state.owns(service, index):
            return
        self._state.counters.bucket_moves += 1
        self._update_bucket(
            service, index, dataclasses.replace(bucket, current=target)
        )

    async def run(self) -> None:
        """Move buckets and make them stable until cancelled."""
        while True:
            await asyncio.sleep(self._state.settings.timing.move_interval_s)
            if self._state.manifest is None:
                continue
            is_plan_due = self._is_plan_due()
            for service in self._state.manifest.services:
                self._stabilize_buckets(service)
                if is_plan_due:
                    await self._move_buckets(service)

    def _start_motion(
        self, service: str, index: int
    ) -> asyncio.Task[None] | None:
        key = (service, index)
        announcement = self._announcements.get(key)
        if announcement is not None:
            return announcement
        bucket = self._state.table.state(service, index)
        if bucket.through_owner:
            self._ensure_observation(service, index)
            return None
        task = asyncio.create_task(self._announce(service, index, bucket))
        self._announcements[key] = task
        task.add_done_callback(lambda _: self._announcements.pop(key, None))
        return task

    async def _announce(
        self, service: str, index: int, bucket: BucketState
    ) -> None:
        self._update_bucket(
            service, index, dataclasses.replace(bucket, through_owner=True)
        )
        timing = self._state.settings.timing
        await self._publisher.wait_acknowledged(timing.announce_deadline_s)
        self._observations[(service, index)] = _Observation(self._state.now())

    def _update_bucket(
        self, service: str, index: int, wanted: BucketState
    ) -> None:
        old = self._state.table.state(service, index)
        changed = change_state(
            old,
            self._state.name,
            through_owner=wanted.through_owner,
            bases=wanted.bases,
            current=wanted.current,
        )
        self._state.table.put(service, index, changed)
        self._publisher.publish_bucket(service, index)

    def _is_plan_due(self) -> bool:
        """Return whether a new plan may differ from the last plan.

        Weights can change merely because time passes, so they are compared at
        intervals even when nothing else has changed.
        """
        inputs = (
            self._state.table.digest,
            self._state.membership.version,
            self._state.generation,
        )
        now_s = self._state.now()
        is_recent = now_s - self._weights_checked_at_s < PLAN_INTERVAL_S
        if inputs == self._planned_inputs and is_recent:
            return False
        self._weights_checked_at_s = now_s
        weights = tuple(
            self._admission.planned_weight(upstream)
            for upstream in self._state.manifest.upstreams_by_name.values()
        )
        is_same = (inputs, weights) == (
            self._planned_inputs,
            self._planned_weights,
        )
        if is_same and now_s - self._planned_at_s < REPLAN_INTERVAL_S:
            return False
        self._planned_inputs = inputs
        self._planned_weights = weights
        self._planned_at_s = now_s
        return True

    async def _move_buckets(self, service: Service) -> None:
        moves = [
            self.move(service.name, planned.bucket, planned.target)
            for planned in self._plan(service)
            if self._state.owns(service.name, planned.bucket)
        ]
        await asyncio.gather(*moves)

    def _plan(self, service: Service) -> Iterator[PlannedMove]:
        states = self._state.table.states(service.name)
        buckets = [
            BucketRow(
                index,
                bucket.current,
                in_motion=self._is_rebalancing(bucket),
                base_domain=self._state.directory.domain_of(bucket.bases[0]),
            )
            for index, bucket in enumerate(states)
        ]
        upstreams = [
            UpstreamRow(
                upstream.name,
                upstream.domain,
                self._admission.planned_weight(upstream),
                is_eligible=self.is_eligible(upstream.name),
            )
            for upstream in service.upstreams
        ]
        in_motion_max = max(len(buckets) // REBALANCING_MAX_DIVISOR, 1)
        pace = MovePace(in_motion_max=in_motion_max)
        yield from plan_moves(buckets, upstreams, pace)

    def _is_rebalancing(self, bucket: BucketState) -> bool:
        """Return whether a bucket is in motion to balance the load.

        Only such buckets count towards the limit of buckets that are
        rebalanced at one time. A bucket whose upstream stopped being eligible
        doesn't count, because it may stay in motion for as long as flows on
        that upstream live. It also doesn't count when that upstream has become
        eligible again but is still cold.
        """
        base = bucket.bases[0]
        if not bucket.through_owner or not self.is_eligible(base):
            return False
        upstream = self._state.manifest.upstreams_by_name[base]
        return self._admission.planned_weight(upstream) >= upstream.connections

    def _stabilize_buckets(self, service: Service) -> None:
        self._drop_observations(service.name)
        for index in self._state.table.in_motion(service.name):
            self._update_backup_time(service.name, index)
            if not self._state.owns(service.name, index):
                continue
            bucket = self._state.table.state(service.name, index)
            observation = self._ensure_observation(service.name, index)
            if self._can_stabilize(service, index, bucket, observation):
                self._observations.pop((service.name, index))
                self._update_bucket(
                    service.name,
                    index,
                    dataclasses.replace(
                        bucket, through_owner=False, bases=(bucket.current,)
                    ),
                )

    def _update_backup_time(self, service: str, index: int) -> None:
        key = (service, index)
        owners = self._state.ownership.owners(service, index)
        if owners.backup == self._state.name:
            self._backed_up_since_s.setdefault(key, self._state.now())
        elif owners.owner != self._state.name:
            self._backed_up_since_s.pop(key, None)

    def _drop_observations(self, service: str) -> None:
        in_motion = frozenset(self._state.table.in_motion(service))
        for times in (self._observations, self._backed_up_since_s):
            for key in tuple(times):
                if key[0] == service and key[1] not in in_motion:
                    times.pop(key)

    def _ensure_observation(self, service: str, index: int) -> _Observation:
        """Return the observation of a bucket; start it if there is none.

        Where this VM was the bucket's backup, the observation continues that
        of the earlier owner.
        """
        key = (service, index)
        observation = self._observations.get(key)
        if observation is None:
            now_s = self._state.now()
            observation = _Observation(self._backed_up_since_s.pop(key, now_s))
            self._observations[key] = observation
        return observation

    def _can_stabilize(
        self,
        service: Service,
        index: int,
        bucket: BucketState,
        observation: _Observation,
    ) -> bool:
        if not self.is_eligible(bucket.current):
            return False
        observed_s = self._state.now() - observation.since_s
        is_on_current = bucket.bases == (bucket.current,)
        if not is_on_current and observed_s < service.idle_timeout_s:
            return False
        entries = self._state.flows.bucket(service.name, index).values()
        return not any(_needs_motion(entry, bucket) for entry in entries)


def _needs_motion(entry: FlowEntry, bucket: BucketState) -> bool:
    if entry.upstream == bucket.current:
        waits = entry.waiting_since_s > 0
        return waits or entry.state is FlowState.CONNECTING
    return entry.state is not FlowState.CLOSING
