"""What an owner concludes about an upstream from the packets it sees.

Every answer and every failure of a handshake counts. Failures cut the credit,
the factor by which the share of the upstream is used, and answers add to it
(additive increase, multiplicative decrease). Several failures without an
answer between them make the upstream suspect and then dead; a dead one is
probed with single flows, the later the oftener it died of late. A single
attempt without an answer may be a lost packet and cuts no credit.
Health endpoints are not asked: they lag and mislead.
"""

import enum
import random

import msgspec

from hibiscushatch_core.decaying_count import DecayingCount


class Verdict(enum.StrEnum):
    """Whether an upstream may be given new flows.

    A suspect one still gets new flows within its credit, but no bucket is
    moved to it and no flow is tried again there; a dead one gets probes only.
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
    """Thresholds of the verdicts.

    Attributes:
        credit_floor: Least credit.
        credit_step: What an answer adds to the credit.
        credit_cut: Factor that a failure multiplies the credit by.
        cut_gap_s: Failures closer than this cut the credit once, in seconds.
        suspect_failures: Failures in a row that make it suspect.
        dead_failures: Failures in a row that make it dead.
        dead_after_s: Time that they have to span, in seconds.
        answers_to_return: Answers in a row that make it usable again.
        damping_half_life_s: Time in which half a death is forgotten.
        probe_min_s: Time before the first probe after a first death; it
            doubles with each death that is not forgotten.
        probe_max_s: Longest interval between probes.
        slow_factor: Handshakes this much longer than usual are slow.
        slow_floor_s: Handshakes shorter than this are never slow.
        cold_signs: Slow or refused handshakes in a row that look cold.
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
_USUAL_HANDSHAKE_WEIGHT = 0.05
_PROBE_GROWTH = 2.0


class UpstreamHealth:
    """The state of one upstream as one owner sees it.

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
        self._usual_handshake_s: float | None = None
        self._deaths = DecayingCount(settings.damping_half_life_s)
        self._probes = _ProbeTimer(settings)

    @property
    def verdict(self) -> Verdict:
        """The present verdict."""
        return self._verdict

    @property
    def credit(self) -> float:
        """Factor by which the share of the upstream is used."""
        return self._credit

    @property
    def looks_cold(self) -> bool:
        """Whether the latest handshakes are like those of a cold one."""
        return self._cold_signs >= self._settings.cold_signs

    def answered(self, handshake_s: float, now: float) -> None:
        """Count a handshake that the upstream answered.

        Args:
            handshake_s: From the SYN to its answer, in seconds.
            now: Seconds.
        """
        self._failures = 0
        self._answers += 1
        self._note_handshake(handshake_s)
        self._probes.hasten()
        if self._answers >= self._settings.answers_to_return:
            self._verdict = Verdict.USABLE
        step = self._settings.credit_step
        self._credit = min(1.0, self._credit + step)

    def failed(self, failure: Failure, now: float) -> None:
        """Count an attempt that failed.

        Args:
            failure: How it failed.
            now: Seconds.
        """
        if self._failures == 0:
            self._failing_since = now
        self._failures += 1
        self._answers = 0
        if failure is not Failure.UNREACHABLE:
            self._cold_signs += 1
        if failure is Failure.REFUSED or self._failures > 1:
            self._cut_credit(now)
        self._judge_failures(now)

    def cold_noted(self) -> None:
        """Start to count signs of a cold upstream anew."""
        self._cold_signs = 0
        self._usual_handshake_s = None

    def may_probe(self, now: float) -> bool:
        """Tell whether a dead upstream is due for a single flow."""
        return self._verdict is Verdict.DEAD and self._probes.is_due(now)

    def probe_started(self, now: float, randomness: random.Random) -> None:
        """Set the time of the next probe.

        Args:
            now: Seconds.
            randomness: Source of jitter.
        """
        self._probes.start(now, randomness)

    def _note_handshake(self, handshake_s: float) -> None:
        usual = self._usual_handshake_s
        if usual is None:
            self._usual_handshake_s = handshake_s
            self._cold_signs = 0
            return
        slow_s = max(
            self._settings.slow_floor_s, usual * self._settings.slow_factor
        )
        if handshake_s > slow_s:
            self._cold_signs += 1
            return
        self._cold_signs = 0
        change = handshake_s - usual
        self._usual_handshake_s = usual + change * _USUAL_HANDSHAKE_WEIGHT

    def _cut_credit(self, now: float) -> None:
        settings = self._settings
        if self._cut_at is None or now - self._cut_at >= settings.cut_gap_s:
            self._cut_at = now
            cut = self._credit * settings.credit_cut
            self._credit = max(settings.credit_floor, cut)

    def _judge_failures(self, now: float) -> None:
        if self._verdict is Verdict.DEAD:
            return
        settings = self._settings
        failures = self._failures
        lasted_s = now - self._failing_since
        is_long = lasted_s >= settings.dead_after_s
        if failures >= settings.dead_failures and is_long:
            self._verdict = Verdict.DEAD
            self._deaths.add(now)
            self._probes.begin(now, self._deaths.value_at(now))
            self._credit = settings.credit_floor
        elif failures >= settings.suspect_failures:
            self._verdict = Verdict.SUSPECT


class _ProbeTimer:
    """Growing intervals between probes, with jitter."""

    def __init__(self, settings: HealthSettings) -> None:
        self._settings = settings
        self._interval_s = settings.probe_min_s
        self._due_at = 0.0

    def begin(self, now: float, deaths: float) -> None:
        """Set the first interval after a death.

        Args:
            now: Seconds.
            deaths: How often it died of late, this time included.
        """
        growth = _PROBE_GROWTH ** max(0.0, deaths - 1)
        first_s = self._settings.probe_min_s * growth
        self._interval_s = min(self._settings.probe_max_s, first_s)
        self._due_at = now + self._interval_s

    def hasten(self) -> None:
        """Let the next probe follow an answer at once."""
        self._due_at = 0.0

    def is_due(self, now: float) -> bool:
        """Tell whether the interval has passed."""
        return now >= self._due_at

    def start(self, now: float, randomness: random.Random) -> None:
        """Begin the next interval, between half and one and a half."""
        self._due_at = now + self._interval_s * (0.5 + randomness.random())
        longer = self._interval_s * _PROBE_GROWTH
        self._interval_s = min(self._settings.probe_max_s, longer)
