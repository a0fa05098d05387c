"""Which upstreams are warm, agreed among entry VMs without a keeper.

An upstream bears its cold allowance until its warm-up time has passed since
its first flow. It starts anew when it returns to service, and when a warm one
answers as a cold one does. Entry VMs exchange one record for each upstream;
records join, so order, loss and repetition of messages do no harm.

A record names the manifest generation at which the upstream returned and how
often it turned cold since; the later one wins. Several entry VMs may note the
same turn, each with the age of the first flow after it: the upstream is warm
when it is warm after every one of them. Ages are sent in place of times, as
clocks differ. A delayed message makes an upstream look younger, never older.
"""

import dataclasses
from collections.abc import Iterable, Iterator

from hibiscushatch_core.manifest import Upstream

REPEATED_TURN_S = 1.0
RAMP_DOUBLING_S = 2.0
RAMP_DOUBLINGS_MAX = 20
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class WarmUpAge:
    """How long ago the first flow after a turn to cold was placed.

    Attributes:
        origin: Entry VM that noted the turn; empty for a return to service.
        age_ms: Milliseconds since the first flow, rounded down; None when
            there was none yet.
    """

    origin: str
    age_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class WarmthRecord:
    """What one entry VM knows of the warmth of one upstream.

    Attributes:
        upstream: Name of the upstream.
        generation: Manifest generation at which it returned to service; 0
            when it was there before.
        turns: How often it turned cold since.
        ages: One for each entry VM that noted the latest turn, by origin.
    """

    upstream: str
    generation: int
    turns: int
    ages: tuple[WarmUpAge, ...]

    @property
    def version(self) -> tuple[int, int]:
        """What decides which of two records is later."""
        return (self.generation, self.turns)


def join_records(one: WarmthRecord, other: WarmthRecord) -> WarmthRecord:
    """Unite what two records of an upstream say at the same moment.

    Args:
        one: A record.
        other: Another one of the same upstream.

    Returns:
        The later one, or one with all ages of both when neither is later.
    """
    if one.version != other.version:
        return max(one, other, key=lambda record: record.version)
    ages: dict[str, int | None] = {}
    for known in one.ages + other.ages:
        ages[known.origin] = _longer_age(ages.get(known.origin), known.age_ms)
    united = tuple(WarmUpAge(name, ages[name]) for name in sorted(ages))
    return dataclasses.replace(one, ages=united)


def _longer_age(one: int | None, other: int | None) -> int | None:
    if one is None or other is None:
        return one if other is None else other
    return max(one, other)


@dataclasses.dataclass(slots=True)
class _State:
    """A record whose ages are kept as times of the own clock."""

    generation: int = 0
    turns: int = 0
    started_at: dict[str, float | None] = dataclasses.field(
        default_factory=lambda: {'': None}
    )

    @property
    def last_start(self) -> float | None:
        """When the latest of the warm-ups began; None before a first flow."""
        times = self.started_at.values()
        return None if None in times else max(times)


class WarmthTable:
    """The warmth of all upstreams as one entry VM knows it.

    Args:
        own_name: Name of this entry VM.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._states: dict[str, _State] = {}
        self._changed: set[str] = set()

    def is_warm(self, upstream: Upstream, now: float) -> bool:
        """Tell whether the warm-up time of an upstream has passed.

        Args:
            upstream: The upstream as the manifest has it.
            now: Seconds.

        Returns:
            False also for one that is unknown here.
        """
        warm_at = self.warm_at(upstream)
        return warm_at is not None and now >= warm_at

    def warm_at(self, upstream: Upstream) -> float | None:
        """Return when an upstream is warm; None before its first flow."""
        state = self._states.get(upstream.name)
        if state is None or state.last_start is None:
            return None
        return state.last_start + upstream.warm_up_s

    def allowance(self, upstream: Upstream, now: float) -> int:
        """Return how many open flows an upstream bears now."""
        if self.is_warm(upstream, now):
            return upstream.connections
        return min(upstream.cold_allowance, upstream.connections)

    def ramped_allowance(self, upstream: Upstream, now: float) -> int:
        """Return how many open flows to place on an upstream at most.

        Once it is warm this doubles at fixed intervals, from the cold
        allowance to the full number. Should the upstream not be warm after
        all, its answers show that before it has many flows too many.

        Args:
            upstream: The upstream as the manifest has it.
            now: Seconds.

        Returns:
            Open flows.
        """
        bears = self.allowance(upstream, now)
        warm_at = self.warm_at(upstream)
        if warm_at is None or now < warm_at:
            return bears
        doublings = 1 + int((now - warm_at) // RAMP_DOUBLING_S)
        if doublings > RAMP_DOUBLINGS_MAX:
            return bears
        return min(upstream.cold_allowance << doublings, bears)

    def flow_placed(self, name: str, now: float) -> None:
        """Note that an upstream was given a new flow."""
        state = self._state_of(name)
        if state.last_start is not None:
            return
        for origin, time in state.started_at.items():
            if time is None:
                state.started_at[origin] = now
        self._changed.add(name)

    def is_first_warm_up(self, name: str) -> bool:
        """Tell whether an upstream neither returned nor turned cold yet."""
        state = self._states.get(name)
        return state is None or (state.generation, state.turns) == (0, 0)

    def returned(self, name: str, generation: int) -> None:
        """Note that an upstream came back into service, hence is cold.

        Args:
            name: Name of the upstream.
            generation: Manifest generation that lists it again. An entry VM
                doesn't call this for what its first manifest lists.
        """
        state = self._states.get(name)
        if state is None or state.generation < generation:
            self._states[name] = _State(generation)
            self._changed.add(name)

    def turned_cold(self, name: str, now: float) -> None:
        """Note that an upstream answers as a cold one does.

        Args:
            name: Name of the upstream.
            now: Seconds.
        """
        state = self._state_of(name)
        start = state.last_start
        if start is None or now - start < REPEATED_TURN_S:
            return
        state.turns += 1
        state.started_at = {self._own_name: None}
        self._changed.add(name)

    def forget(self, name: str) -> None:
        """Drop an upstream that is in the manifest no more."""
        self._states.pop(name, None)
        self._changed.discard(name)

    def records(
        self, now: float, names: Iterable[str] | None = None
    ) -> Iterator[WarmthRecord]:
        """Yield the records of the named or all upstreams.

        Args:
            now: Seconds.
            names: Names of upstreams; all known ones when None.
        """
        for name in sorted(self._states if names is None else names):
            if name in self._states:
                yield self._record_of(name, now)

    def changed_records(self, now: float) -> tuple[WarmthRecord, ...]:
        """Return the records that changed since the last call."""
        changed = tuple(self.records(now, self._changed))
        self._changed.clear()
        return changed

    def receive(self, record: WarmthRecord, now: float) -> bool:
        """Join a record of another entry VM.

        Args:
            record: The record as it was sent.
            now: Seconds.

        Returns:
            Whether it changed what is known here.
        """
        self._state_of(record.upstream)
        known = self._record_of(record.upstream, now)
        joined = join_records(known, record)
        if joined == known:
            return False
        self._states[record.upstream] = _State(
            joined.generation,
            joined.turns,
            {age.origin: _time_of(age, now) for age in joined.ages},
        )
        return True

    def _state_of(self, name: str) -> _State:
        return self._states.setdefault(name, _State())

    def _record_of(self, name: str, now: float) -> WarmthRecord:
        state = self._states[name]
        ages = tuple(
            WarmUpAge(origin, _age_of(time, now))
            for origin, time in sorted(state.started_at.items())
        )
        return WarmthRecord(name, state.generation, state.turns, ages)


def _age_of(time: float | None, now: float) -> int | None:
    return None if time is None else int((now - time) * MS_PER_S)


def _time_of(age: WarmUpAge, now: float) -> float | None:
    return None if age.age_ms is None else now - age.age_ms / MS_PER_S
