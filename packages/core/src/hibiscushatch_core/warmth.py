"""Which upstreams are warm, agreed among entry VMs without a coordinator.

Until its warm-up time has passed since its first flow, an upstream is cold and
can handle only its cold allowance. A new warm-up begins when the upstream
returns to service, and when it responds like a cold upstream; the latter is
called a reset. Entry VMs exchange one record for each upstream. Records are
merged, so the order, loss and repetition of messages do no harm.

A record contains the manifest generation at which the upstream returned and
how many resets followed; the record with the later of these versions wins.
Several entry VMs may record the same reset, each with the age of the first
flow after it. The upstream is warm when the warm-up time has passed since all
of these first flows. Ages are sent instead of times because clocks differ. A
delayed message makes a warm-up look younger, never older.
"""

import dataclasses
from collections.abc import Iterable, Iterator

from hibiscushatch_core.manifest import Upstream

# Cold signs within this time of the start of a warm-up cause no other reset.
RESET_GAP_S = 1.0
RAMP_DOUBLING_S = 2.0
RAMP_DOUBLINGS_MAX = 20
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class WarmUpAge:
    """How long ago the first flow of a warm-up was placed.

    Attributes:
        origin: Entry VM that recorded the reset; empty when the warm-up
            didn't begin with a reset.
        age_ms: Milliseconds since the first flow, rounded down; None before
            the first flow.
    """

    origin: str
    age_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class WarmthRecord:
    """What one entry VM knows about the warm-up of one upstream.

    Attributes:
        upstream: Name of the upstream.
        generation: Manifest generation at which it last returned to service;
            0 when it hasn't returned.
        resets: How often it responded like a cold upstream since then.
        ages: Ages of the warm-ups that began with the latest reset or return,
            one for each origin, sorted by origin.
    """

    upstream: str
    generation: int
    resets: int
    ages: tuple[WarmUpAge, ...]

    @property
    def version(self) -> tuple[int, int]:
        """Orders records of one upstream; the higher version is later."""
        return (self.generation, self.resets)


def merge_records(left: WarmthRecord, right: WarmthRecord) -> WarmthRecord:
    """Merge two records of an upstream whose ages refer to the same time.

    Args:
        left: A record.
        right: Another record of the same upstream.

    Returns:
        The later record; for equal versions, a record with the ages of both.
    """
    if left.version != right.version:
        return max(left, right, key=lambda record: record.version)
    ages: dict[str, int | None] = {}
    for age in left.ages + right.ages:
        ages[age.origin] = _longer_age(ages.get(age.origin), age.age_ms)
    merged = tuple(WarmUpAge(name, ages[name]) for name in sorted(ages))
    return dataclasses.replace(left, ages=merged)


def _longer_age(left: int | None, right: int | None) -> int | None:
    if left is None or right is None:
        return left if right is None else right
    return max(left, right)


@dataclasses.dataclass(slots=True)
class _WarmUp:
    """A warmth record with local start times in place of ages."""

    generation: int = 0
    resets: int = 0
    started_at: dict[str, float | None] = dataclasses.field(
        default_factory=lambda: {'': None}
    )

    @property
    def last_start(self) -> float | None:
        """The latest start time; None when a warm-up has no flow yet."""
        times = self.started_at.values()
        return None if None in times else max(times)


class WarmthTable:
    """The warm-up records of one entry VM for all upstreams.

    Args:
        own_name: Name of this entry VM.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._warm_ups: dict[str, _WarmUp] = {}
        self._changed: set[str] = set()

    def is_warm(self, upstream: Upstream, now: float) -> bool:
        """Return whether the warm-up time of an upstream has passed.

        Args:
            upstream: The upstream as listed in the manifest.
            now: Current time in seconds.

        Returns:
            True when it has passed; False also for an unknown upstream.
        """
        warm_at = self.warm_at(upstream)
        return warm_at is not None and now >= warm_at

    def warm_at(self, upstream: Upstream) -> float | None:
        """Return when an upstream becomes warm; None before its first flow."""
        warm_up = self._warm_ups.get(upstream.name)
        if warm_up is None or warm_up.last_start is None:
            return None
        return warm_up.last_start + upstream.warm_up_s

    def allowance(self, upstream: Upstream, now: float) -> int:
        """Return how many open flows an upstream can handle now."""
        if self.is_warm(upstream, now):
            return upstream.connections
        return min(upstream.cold_allowance, upstream.connections)

    def ramped_allowance(self, upstream: Upstream, now: float) -> int:
        """Return the most open flows to place on an upstream.

        After the warm-up time, this doubles at fixed intervals from the cold
        allowance to the full number. If the upstream isn't warm after all,
        its answers show that before it has far more flows than it can handle.

        Args:
            upstream: The upstream as listed in the manifest.
            now: Current time in seconds.

        Returns:
            Number of open flows.
        """
        allowance = self.allowance(upstream, now)
        warm_at = self.warm_at(upstream)
        if warm_at is None or now < warm_at:
            return allowance
        doublings = 1 + int((now - warm_at) // RAMP_DOUBLING_S)
        if doublings > RAMP_DOUBLINGS_MAX:
            return allowance
        return min(upstream.cold_allowance << doublings, allowance)

    def record_flow(self, name: str, now: float) -> None:
        """Record that a new flow was placed on an upstream."""
        warm_up = self._warm_up_of(name)
        if warm_up.last_start is not None:
            return
        for origin, time in warm_up.started_at.items():
            if time is None:
                warm_up.started_at[origin] = now
        self._changed.add(name)

    def is_first_warm_up(self, name: str) -> bool:
        """Return whether an upstream has neither returned nor been reset."""
        warm_up = self._warm_ups.get(name)
        return warm_up is None or (warm_up.generation, warm_up.resets) == (0, 0)

    def record_return(self, name: str, generation: int) -> None:
        """Record that an upstream returned to service and is therefore cold.

        Not to be called for the upstreams of an entry VM's first manifest.

        Args:
            name: Name of the upstream.
            generation: Manifest generation at which it returned.
        """
        warm_up = self._warm_ups.get(name)
        if warm_up is None or warm_up.generation < generation:
            self._warm_ups[name] = _WarmUp(generation)
            self._changed.add(name)

    def record_reset(self, name: str, now: float) -> None:
        """Record that an upstream responds like a cold upstream.

        This begins a new warm-up unless the current one has just begun.

        Args:
            name: Name of the upstream.
            now: Current time in seconds.
        """
        warm_up = self._warm_up_of(name)
        start = warm_up.last_start
        if start is None or now - start < RESET_GAP_S:
            return
        warm_up.resets += 1
        warm_up.started_at = {self._own_name: None}
        self._changed.add(name)

    def remove_upstream(self, name: str) -> None:
        """Drop the record of an upstream that was removed from the manifest."""
        self._warm_ups.pop(name, None)
        self._changed.discard(name)

    def records(
        self, now: float, names: Iterable[str] | None = None
    ) -> Iterator[WarmthRecord]:
        """Yield the records of some or all upstreams, sorted by name.

        Args:
            now: Current time in seconds.
            names: Names of upstreams; all known upstreams when None.
        """
        for name in sorted(self._warm_ups if names is None else names):
            if name in self._warm_ups:
                yield self._record_of(name, now)

    def changed_records(self, now: float) -> tuple[WarmthRecord, ...]:
        """Return the records that changed since the last call."""
        changed = tuple(self.records(now, self._changed))
        self._changed.clear()
        return changed

    def receive(self, record: WarmthRecord, now: float) -> bool:
        """Merge a record that another entry VM sent.

        Args:
            record: The record as it was sent.
            now: Current time in seconds.

        Returns:
            Whether the record kept here has changed.
        """
        self._warm_up_of(record.upstream)
        own = self._record_of(record.upstream, now)
        merged = merge_records(own, record)
        if merged == own:
            return False
        self._warm_ups[record.upstream] = _WarmUp(
            merged.generation,
            merged.resets,
            {age.origin: _time_of(age, now) for age in merged.ages},
        )
        return True

    def _warm_up_of(self, name: str) -> _WarmUp:
        return self._warm_ups.setdefault(name, _WarmUp())

    def _record_of(self, name: str, now: float) -> WarmthRecord:
        warm_up = self._warm_ups[name]
        ages = tuple(
            WarmUpAge(origin, _age_of(time, now))
            for origin, time in sorted(warm_up.started_at.items())
        )
        return WarmthRecord(name, warm_up.generation, warm_up.resets, ages)


def _age_of(time: float | None, now: float) -> int | None:
    return None if time is None else int((now - time) * MS_PER_S)


def _time_of(age: WarmUpAge, now: float) -> float | None:
    return None if age.age_ms is None else now - age.age_ms / MS_PER_S
