"""Moving buckets between upstreams, and bringing them to rest again.

A move has two steps. First the bucket is announced as in motion, so that
every VM sends its packets through the owner. Only when all live VMs have
acknowledged, or a deadline has passed, do new flows go to the new upstream.
The bucket rests when no flow of the old upstreams can be alive.
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
REBALANCED_AT_ONCE_DIVISOR = 8


class BucketPublisher(abc.ABC):
    """Tells other entry VMs of buckets and entries."""

    @abc.abstractmethod
    def publish_bucket(self, service: str, index: int) -> None:
        """Send a bucket's state to every live VM."""

    @abc.abstractmethod
    async def wait_acknowledged(self, deadline_s: float) -> None:
        """Wait until all live VMs have what was published before.

        Args:
            deadline_s: Seconds after which to go on without the rest.
        """

    @abc.abstractmethod
    def copy_entry(self, service: str, index: int, key: int) -> None:
        """Send an entry to the backup of its bucket, soon."""


@dataclasses.dataclass(slots=True)
class _Motion:
    """What the owner knows of a bucket in motion.

    Attributes:
        since_s: Since when this VM, or the owner whose backup it was, has
            seen all its packets.
    """

    since_s: float


class BucketMover:
    """Moves the buckets that this VM owns."""

    def __init__(
        self,
        state: NodeState,
        publisher: BucketPublisher,
        admission: Admission,
    ) -> None:
        self._state = state
        self._admission = admission
        self._publisher = publisher
        self._opening: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._motions: dict[tuple[str, int], _Motion] = {}
        # Since when this VM gets copies of what the owner of a bucket in
        # motion learns.
        self._backed_up_since_s: dict[tuple[str, int], float] = {}
        self._answered_at_s: dict[str, float] = {}
        self._planned_inputs = (0, 0, 0)
        self._planned_weights: tuple[int, ...] = ()
        self._planned_at_s = 0.0
        self._weighed_at_s = 0.0

    def is_eligible(self, upstream: str) -> bool:
        """Tell whether buckets may be moved to an upstream."""
        if upstream in self._state.membership.dead_upstreams():
            return False
        return self.accepts_new_flows(upstream)

    def is_reachable(self, upstream: str) -> bool:
        """Tell whether the failure domain of an upstream can be reached.

        A domain of which no entry VM is heard counts as cut off.
        """
        domain = self._state.directory.domain_of(upstream)
        return domain in self._state.membership.live_domains()

    def accepts_new_flows(self, upstream: str) -> bool:
        """Tell whether the manifest lets an upstream get new flows now."""
        manifest = self._state.manifest
        if manifest is None or not manifest.accepts_new_flows(upstream):
            return False
        return not self._state.directory.is_quarantined(
            upstream, self._state.now()
        )

    def alternatives(self, service_name: str, index: int) -> Iterator[str]:
        """Yield the upstreams of a service in a bucket's order of choice."""
        service = self._state.manifest.services_by_name[service_name]
        names = (one.name for one in service.upstreams)
        yield from rank_by_rendezvous(names, f'{service_name}#{index}')

    def note_answer(self, upstream: str, now_s: float) -> None:
        """Remember that an upstream sent something."""
        self._answered_at_s[upstream] = now_s

    def answered_at_s(self, upstream: str) -> float:
        """Return when an upstream last sent something; 0 for never."""
        return self._answered_at_s.get(upstream, 0)

    def watched_s(self, service: str, index: int) -> float:
        """Return for how long all packets of a bucket passed here.

        Args:
            service: Name of the service.
            index: Number of the bucket.

        Returns:
            Seconds; 0 when the bucket is not in motion.
        """
        key = (service, index)
        known = key in self._motions or key in self._backed_up_since_s
        if not known or not self._state.owns(service, index):
            return 0
        if self._state.table.state(service, index).is_stable:
            return 0
        return self._state.now() - self._begin_watch(service, index).since_s

    def note_entry(self, service: str, index: int, key: int) -> None:
        """Copy a flow's entry to the backup while its bucket needs it."""
        if self._state.table.state(service, index).through_owner:
            self._publisher.copy_entry(service, index, key)

    def inspect(self, service: str, index: int) -> None:
        """Begin to see all packets of a bucket."""
        self._open(service, index)

    async def open_bucket(self, service: str, index: int) -> None:
        """Put a bucket in motion and wait until all VMs know.

        Args:
            service: Name of the service.
            index: Number of the bucket.
        """
        task = self._open(service, index)
        if task is not None:
            await asyncio.shield(task)

    async def move(self, service: str, index: int, target: str) -> None:
        """Move a bucket's new flows to another upstream.

        Args:
            service: Name of the service.
            index: Number of the bucket.
            target: Name of the upstream.
        """
        await self.open_bucket(service, index)
        bucket = self._state.table.state(service, index)
        if bucket.current == target or not self.is_eligible(target):
            return
        if not self._state.owns(service, index):
            return
        self._state.counters.bucket_moves += 1
        self._change(
            service, index, dataclasses.replace(bucket, current=target)
        )

    async def run(self) -> None:
        """Move and rest buckets until cancelled."""
        while True:
            await asyncio.sleep(self._state.settings.timing.move_interval_s)
            if self._state.manifest is None:
                continue
            is_plan_due = self._is_plan_due()
            for service in self._state.manifest.services:
                self._rest_buckets(service)
                if is_plan_due:
                    await self._move_buckets(service)

    def _open(self, service: str, index: int) -> asyncio.Task[None] | None:
        key = (service, index)
        under_way = self._opening.get(key)
        if under_way is not None:
            return under_way
        bucket = self._state.table.state(service, index)
        if bucket.through_owner:
            self._begin_watch(service, index)
            return None
        task = asyncio.create_task(self._announce(service, index, bucket))
        self._opening[key] = task
        task.add_done_callback(lambda _: self._opening.pop(key, None))
        return task

    async def _announce(
        self, service: str, index: int, bucket: BucketState
    ) -> None:
        self._change(
            service, index, dataclasses.replace(bucket, through_owner=True)
        )
        timing = self._state.settings.timing
        await self._publisher.wait_acknowledged(timing.announce_deadline_s)
        self._motions[(service, index)] = _Motion(self._state.now())

    def _change(self, service: str, index: int, wanted: BucketState) -> None:
        before = self._state.table.state(service, index)
        changed = change_state(
            before,
            self._state.name,
            through_owner=wanted.through_owner,
            bases=wanted.bases,
            current=wanted.current,
        )
        self._state.table.put(service, index, changed)
        self._publisher.publish_bucket(service, index)

    def _is_plan_due(self) -> bool:
        """Tell whether the plan may differ from the one made last.

        Weights change with time alone, so they are compared at intervals.
        """
        inputs = (
            self._state.table.digest,
            self._state.membership.version,
            self._state.generation,
        )
        now_s = self._state.now()
        is_recent = now_s - self._weighed_at_s < PLAN_INTERVAL_S
        if inputs == self._planned_inputs and is_recent:
            return False
        self._weighed_at_s = now_s
        weights = tuple(
            self._admission.planned_weight(one)
            for one in self._state.manifest.upstreams_by_name.values()
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
            self.move(service.name, one.bucket, one.target)
            for one in self._plan(service)
            if self._state.owns(service.name, one.bucket)
        ]
        await asyncio.gather(*moves)

    def _plan(self, service: Service) -> Iterator[PlannedMove]:
        states = self._state.table.states(service.name)
        buckets = [
            BucketRow(
                index,
                bucket.current,
                in_motion=self._is_rebalanced(bucket),
                base_domain=self._state.directory.domain_of(bucket.bases[0]),
            )
            for index, bucket in enumerate(states)
        ]
        upstreams = [
            UpstreamRow(
                one.name,
                one.domain,
                self._admission.planned_weight(one),
                is_eligible=self.is_eligible(one.name),
            )
            for one in service.upstreams
        ]
        in_motion_max = max(len(buckets) // REBALANCED_AT_ONCE_DIVISOR, 1)
        pace = MovePace(in_motion_max=in_motion_max)
        yield from plan_moves(buckets, upstreams, pace)

    def _is_rebalanced(self, bucket: BucketState) -> bool:
        """Tell whether a bucket is in motion to even the load.

        One that had to leave its upstream may stay in motion for as long as
        that upstream's flows live; it does not hold up the rebalancing, nor
        does it when the upstream has come back since and is still cold.
        """
        base = bucket.bases[0]
        if not bucket.through_owner or not self.is_eligible(base):
            return False
        upstream = self._state.manifest.upstreams_by_name[base]
        return self._admission.planned_weight(upstream) >= upstream.connections

    def _rest_buckets(self, service: Service) -> None:
        self._forget_watches(service.name)
        for index in self._state.table.in_motion(service.name):
            self._note_backup(service.name, index)
            if not self._state.owns(service.name, index):
                continue
            bucket = self._state.table.state(service.name, index)
            motion = self._begin_watch(service.name, index)
            if self._can_rest(service, index, bucket, motion):
                self._motions.pop((service.name, index))
                self._change(
                    service.name,
                    index,
                    dataclasses.replace(
                        bucket, through_owner=False, bases=(bucket.current,)
                    ),
                )

    def _note_backup(self, service: str, index: int) -> None:
        key = (service, index)
        owners = self._state.ownership.owners(service, index)
        if owners.backup == self._state.name:
            self._backed_up_since_s.setdefault(key, self._state.now())
        elif owners.owner != self._state.name:
            self._backed_up_since_s.pop(key, None)

    def _forget_watches(self, service: str) -> None:
        in_motion = frozenset(self._state.table.in_motion(service))
        for watches in (self._motions, self._backed_up_since_s):
            for key in tuple(watches):
                if key[0] == service and key[1] not in in_motion:
                    watches.pop(key)

    def _begin_watch(self, service: str, index: int) -> _Motion:
        """Go on with what a lost owner learned, where this VM backed it up."""
        key = (service, index)
        known = self._motions.get(key)
        if known is None:
            now_s = self._state.now()
            known = _Motion(self._backed_up_since_s.pop(key, now_s))
            self._motions[key] = known
        return known

    def _can_rest(
        self, service: Service, index: int, bucket: BucketState, motion: _Motion
    ) -> bool:
        if not self.is_eligible(bucket.current):
            return False
        watched_s = self._state.now() - motion.since_s
        settled = bucket.bases == (bucket.current,)
        if not settled and watched_s < service.idle_timeout_s:
            return False
        entries = self._state.flows.bucket(service.name, index).values()
        return not any(_holds_motion(entry, bucket) for entry in entries)


def _holds_motion(entry: FlowEntry, bucket: BucketState) -> bool:
    if entry.upstream == bucket.current:
        waits = entry.waiting_since_s > 0
        return waits or entry.state is FlowState.CONNECTING
    return entry.state is not FlowState.CLOSING
