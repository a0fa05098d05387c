"""The store of the platform stand-in, with faults that can be injected.

Both the in-memory adapter and the HTTP server use this store, so that both
fail in the same ways. It has revisions, compare-and-swap, leases and watches.
"""

import asyncio
import dataclasses
import itertools
from collections.abc import AsyncGenerator, Callable
from typing import TypeVar

from hibiscushatch_core.errors import HibiscushatchError
from hibiscushatch_core.ports import StoredValue, WatchEvent

ResultT = TypeVar('ResultT')
PROGRESS_S = 5.0

WAIT_MIN_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformFaults:
    """Faults of the store, in effect as long as they are set.

    Attributes:
        outage: Whether calls fail and watches break.
        delay_s: Seconds by which each answer and each watched change is
            delayed; a write takes effect before the delay.
        stale_revision: Newest revision that reads and watches see; None when
            they see all revisions.
        lost_answers: How many of the next writes take effect without an
            answer.
        silent_watches: Whether watches stay open but yield nothing.
    """

    outage: bool = False
    delay_s: float = 0
    stale_revision: int | None = None
    lost_answers: int = 0
    silent_watches: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The selected keys at a revision."""

    revision: int
    stored: tuple[StoredValue, ...]


@dataclasses.dataclass(slots=True)
class _Lease:
    ttl_s: float
    expires_at: float
    keys: set[str] = dataclasses.field(default_factory=set)


class NoAnswerError(HibiscushatchError):
    """The store does not answer a call, because of an injected fault."""


class LeaseNotFoundError(HibiscushatchError):
    """A write names a lease that has lapsed or never existed."""


class PlatformStore:
    """A key-value store with one revision for each write.

    Args:
        clock: Returns the time in seconds; used to expire leases.
        progress_s: Interval in seconds at which a watch without changes
            yields an empty batch.

    Attributes:
        calls: Calls made so far; a watch counts as one.
    """

    def __init__(
        self, clock: Callable[[], float], progress_s: float = PROGRESS_S
    ) -> None:
        self.calls = 0
        self._clock = clock
        self._progress_s = progress_s
        self._faults = PlatformFaults()
        self._change_log: list[WatchEvent] = []
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(1)
        self._changed = asyncio.Event()

    @property
    def faults(self) -> PlatformFaults:
        """The faults that are in effect."""
        return self._faults

    @property
    def revision(self) -> int:
        """Number of writes and deletions so far."""
        return len(self._change_log)

    def inject(self, faults: PlatformFaults) -> None:
        """Replace the injected faults; PlatformFaults() clears them."""
        self._faults = faults
        self._wake_watches()

    def read_key(self, key: str) -> Snapshot:
        """Read one key."""
        return self._read(lambda name: name == key)

    def read_prefix(self, prefix: str) -> Snapshot:
        """Read the keys with a prefix."""
        return self._read(lambda name: name.startswith(prefix))

    def swap(self, key: str, expected_revision: int, value: bytes) -> bool:
        """Write a key if its mod_revision is as expected; 0 means absent."""
        self._expire_leases()
        stored = self._state_at(self.revision).get(key)
        found_revision = stored.mod_revision if stored else 0
        if found_revision != expected_revision:
            return False
        self.put(key, value)
        return True

    def put(self, key: str, value: bytes, lease_id: int = 0) -> None:
        """Write a key, attached to a lease unless its identifier is 0.

        Raises:
            LeaseNotFoundError: When the lease has lapsed.
        """
        self._expire_leases()
        if lease_id and lease_id not in self._leases:
            raise LeaseNotFoundError('write key', key, 'lease not found')
        for lease in self._leases.values():
            lease.keys.discard(key)
        if lease_id:
            self._leases[lease_id].keys.add(key)
        self._append(key, value)

    def grant(self, ttl_s: float) -> int:
        """Grant a lease and return its identifier."""
        lease_id = next(self._lease_ids)
        self._leases[lease_id] = _Lease(ttl_s, self._clock() + ttl_s)
        return lease_id

    def renew(self, lease_id: int) -> float:
        """Renew a lease; return its time to live, or 0 when it has lapsed."""
        self._expire_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at = self._clock() + lease.ttl_s
        return lease.ttl_s

    def revoke(self, lease_id: int) -> bool:
        """End a lease and delete its keys; return False when it has lapsed."""
        self._expire_leases()
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return False
        for key in sorted(lease.keys):
            self._append(key, None)
        return True

    async def answer_read(self, operation: Callable[[], ResultT]) -> ResultT:
        """Run a read, subject to the injected faults.

        Raises:
            NoAnswerError: When the store does not answer.
        """
        self.calls += 1
        self._raise_in_outage()
        outcome = operation()
        await asyncio.sleep(self._faults.delay_s)
        return outcome

    async def answer_write(self, operation: Callable[[], ResultT]) -> ResultT:
        """Run a write, subject to the injected faults.

        Raises:
            NoAnswerError: When the store does not answer; the write has
                taken effect unless there is an outage.
        """
        outcome = await self.answer_read(operation)
        if self._faults.lost_answers:
            remaining = self._faults.lost_answers - 1
            self._faults = dataclasses.replace(
                self._faults, lost_answers=remaining
            )
            raise NoAnswerError('answer', reason='the answer is lost')
        return outcome

    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncGenerator[tuple[WatchEvent, ...], None]:
        """Yield batches of changes from a revision on.

        Args:
            prefix: Prefix of the keys to watch.
            start_revision: First revision whose changes are yielded.

        Yields:
            Changes in order; an empty batch shows that the watch still works.

        Raises:
            NoAnswerError: When there is an outage.
        """
        self.calls += 1
        next_revision = start_revision
        while True:
            self._raise_in_outage()
            self._expire_leases()
            changed = self._changed
            visible = self._visible_revision()
            if not self._faults.silent_watches:
                batch = tuple(
                    event
                    for event in self._change_log[next_revision - 1 : visible]
                    if event.key.startswith(prefix)
                )
                await asyncio.sleep(self._faults.delay_s)
                yield batch
                next_revision = max(next_revision, visible + 1)
            await self._wait_for_change(changed)

    def _read(self, is_selected: Callable[[str], bool]) -> Snapshot:
        self._expire_leases()
        revision = self._visible_revision()
        state = self._state_at(revision)
        selected = (state[key] for key in sorted(state) if is_selected(key))
        return Snapshot(revision, tuple(selected))

    def _state_at(self, revision: int) -> dict[str, StoredValue]:
        state: dict[str, StoredValue] = {}
        for event in self._change_log[:revision]:
            if event.value is None:
                state.pop(event.key, None)
            else:
                state[event.key] = StoredValue(
                    event.key, event.value, event.mod_revision
                )
        return state

    def _visible_revision(self) -> int:
        stale_revision = self._faults.stale_revision
        if stale_revision is None:
            return self.revision
        return min(self.revision, stale_revision)

    def _append(self, key: str, value: bytes | None) -> None:
        self._change_log.append(WatchEvent(key, value, self.revision + 1))
        self._wake_watches()

    def _expire_leases(self) -> None:
        now = self._clock()
        lapsed = [
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.expires_at <= now
        ]
        for lease_id in lapsed:
            for key in sorted(self._leases.pop(lease_id).keys):
                self._append(key, None)

    def _raise_in_outage(self) -> None:
        if self._faults.outage:
            raise NoAnswerError('answer', reason='outage')

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _wait_for_change(self, changed: asyncio.Event) -> None:
        now = self._clock()
        lease_times_s = (
            lease.expires_at - now for lease in self._leases.values()
        )
        timeout_s = max(min((self._progress_s, *lease_times_s)), WAIT_MIN_S)
        try:
            await asyncio.wait_for(changed.wait(), timeout_s)
        except TimeoutError:
            return
