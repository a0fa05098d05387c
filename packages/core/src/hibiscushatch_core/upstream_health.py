"""Health of an upstream, judged from the handshakes of its flows.

Every answered and every failed handshake counts. The credit is the fraction of
the upstream's share that may be used. Failures multiply it by a factor below
one and answers add to it (additive increase, multiplicative decrease). Several
failures in a row make the upstream suspect and then dead. A dead upstream is
probed with single flows; the more often it died recently, the later the first
probe. A single attempt without an answer may be a lost packet and doesn't
reduce the credit. Health endpoints are not polled, because their results lag
and mislead.
"""

import enum
import random

import msgspec

from hibiscushatch_core.decaying_count import DecayingCount


class Verdict(enum.StrEnum):
    """Whether an upstream may get new flows.

    A suspect upstream still gets new flows within its credit, but no bucket is
    moved to it and no flow is retried on it. A dead upstream gets only probes.
    """

    USABLE = 'usable'
    SUSPECT = 'suspect'
    DEAD = 'dead'


class Failure(enum.StrEnum):
    """How an attempt to open a flow failed."""

    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    UNANSWERED = 'unanswered'


class HealthSettings(msgspec.Struct, frozen=True):
    """Thresholds for the verdict, the credit and probes.

    Attributes:
        credit_floor: Lowest credit.
        credit_step: Credit that each answer adds.
        credit_cut: Factor by which a failure multiplies the credit.
        cut_gap_s: Seconds after a cut of the credit in which failures don't
            cut it again.
        suspect_failures: Failures in a row that make the upstream suspect.
        dead_failures: Failures in a row that make the upstream dead.
        dead_after_s: Seconds since the first of these failures before the
            upstream is judged dead.
        answers_to_return: Answers in a row that make it usable again.
        damping_half_life_s: Half-life of the count of recent deaths, in
            seconds.
        probe_min_s: Seconds before the first probe after a first death;
            doubled for each further recent death.
        probe_max_s: Longest interval between probes, in seconds; jitter can
            extend it by half.
        slow_factor: A handshake is slow when it takes more than this many
            times its baseline.
        slow_floor_s: Handshakes shorter than this many seconds are never
            slow.
        cold_signs: Slow, refused or unanswered handshakes in a row after
            which the upstream looks cold.
    """

    credit_floor: float = 0.1
    credit_step: float = 0.02
    credit_cut: float = 0.5
    cut_gap_s: float = 0.5
    suspect_failures: int = 2
    dead_failures: int = 4
    dead_after_s: float = 1.0
    answers_to_return: int = 2
    damping_half_life_s: float = 60.0
    probe_min_s: float = 1.0
    probe_max_s: float = 30.0
    slow_factor: float = 4.0
    slow_floor_s: float = 0.02
    cold_signs: int = 3


DEFAULT_SETTINGS = HealthSettings()
_BASELINE_WEIGHT = 0.05
_PROBE_BACKOFF_FACTOR = 2.0


class UpstreamHealth:
    """The health of one upstream as one bucket owner observes it.

    Args:
        settings: Thresholds.
    """

    def __init__(self, settings: HealthSettings = DEFAULT_SETTINGS) -> None:
        self._settings = settings
        self._verdict = Verdict.USABLE
        self._credit = 1.0
        self._cut_at: float | None = None
        self._failures = 0
        self._failing_since = 0.0
        self._answers = 0
        self._cold_signs = 0
        self._baseline_s: float | None = None
        self._recent_deaths = DecayingCount(settings.damping_half_life_s)
        self._probes = _ProbeTimer(settings)

    @property
    def verdict(self) -> Verdict:
        """The current verdict."""
        return self._verdict

    @property
    def credit(self) -> float:
        """Fraction of the upstream's share that may be used."""
        return self._credit

    @property
    def looks_cold(self) -> bool:
        """Whether the latest handshakes look like those of a cold upstream."""
        return self._cold_signs >= self._settings.cold_signs

    def record_answer(self, handshake_s: float, now: float) -> None:
        """Record a handshake that the upstream answered.

        Args:
            handshake_s: Seconds from the SYN to its answer.
            now: Current time in seconds.
        """
        self._failures = 0
        self._answers += 1
        self._evaluate_handshake(handshake_s)
        self._probes.make_due()
        if self._answers >= self._settings.answers_to_return:
            self._verdict = Verdict.USABLE
        step = self._settings.credit_step
        self._credit = min(1.0, self._credit + step)

    def record_failure(self, failure: Failure, now: float) -> None:
        """Record an attempt that failed.

        Args:
            failure: How it failed.
            now: Current time in seconds.
        """
        if self._failures == 0:
            self._failing_since = now
        self._failures += 1
        self._answers = 0
        if failure is not Failure.UNREACHABLE:
            self._cold_signs += 1
        if failure is Failure.REFUSED or self._failures > 1:
            self._cut_credit(now)
        self._update_verdict(now)

    def reset_cold_signs(self) -> None:
        """Reset the count of cold signs and the baseline handshake time."""
        self._cold_signs = 0
        self._baseline_s = None

    def may_probe(self, now: float) -> bool:
        """Return whether a dead upstream may be probed with a single flow."""
        return self._verdict is Verdict.DEAD and self._probes.is_due(now)

    def record_probe(self, now: float, randomness: random.Random) -> None:
        """Record that a probe was started, and schedule the next one.

        Args:
            now: Current time in seconds.
            randomness: Source of jitter.
        """
        self._probes.schedule_next(now, randomness)

    def _evaluate_handshake(self, handshake_s: float) -> None:
        baseline_s = self._baseline_s
        if baseline_s is None:
            self._baseline_s = handshake_s
            self._cold_signs = 0
            return
        slow_s = max(
            self._settings.slow_floor_s, baseline_s * self._settings.slow_factor
        )
        if handshake_s > slow_s:
            self._cold_signs += 1
            return
        self._cold_signs = 0
        change = handshake_s - baseline_s
        self._baseline_s = baseline_s + change * _BASELINE_WEIGHT

    def _cut_credit(self, now: float) -> None:
        settings = self._settings
        if self._cut_at is None or now - self._cut_at >= settings.cut_gap_s:
            self._cut_at = now
            reduced = self._credit * settings.credit_cut
            self._credit = max(settings.credit_floor, reduced)

    def _update_verdict(self, now: float) -> None:
        if self._verdict is Verdict.DEAD:
            return
        settings = self._settings
        failures = self._failures
        elapsed_s = now - self._failing_since
        is_long_enough = elapsed_s >= settings.dead_after_s
        if failures >= settings.dead_failures and is_long_enough:
            self._verdict = Verdict.DEAD
            self._recent_deaths.add(now)
            self._probes.schedule_first(now, self._recent_deaths.value_at(now))
            self._credit = settings.credit_floor
        elif failures >= settings.suspect_failures:
            self._verdict = Verdict.SUSPECT


class _ProbeTimer:
    """Timer for probes, with growing intervals and jitter."""

    def __init__(self, settings: HealthSettings) -> None:
        self._settings = settings
        self._interval_s = settings.probe_min_s
        self._due_at = 0.0

    def schedule_first(self, now: float, deaths: float) -> None:
        """Schedule the first probe after the upstream was judged dead.

        Args:
            now: Current time in seconds.
            deaths: Decayed count of recent deaths, including this one.
        """
        factor = _PROBE_BACKOFF_FACTOR ** max(0.0, deaths - 1)
        first_s = self._settings.probe_min_s * factor
        self._interval_s = min(self._settings.probe_max_s, first_s)
        self._due_at = now + self._interval_s

    def make_due(self) -> None:
        """Allow the next probe at once, because the upstream answered."""
        self._due_at = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether the interval has passed."""
        return now >= self._due_at

    def schedule_next(self, now: float, randomness: random.Random) -> None:
        """Schedule the next probe after 0.5 to 1.5 times the interval."""
        self._due_at = now + self._interval_s * (0.5 + randomness.random())
        next_s = self._interval_s * _PROBE_BACKOFF_FACTOR
        self._interval_s = min(self._settings.probe_max_s, next_s)
