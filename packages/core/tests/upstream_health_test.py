"""Tests of hibiscushatch_core.upstream_health."""

import itertools
import math
import random

from hibiscushatch_core.upstream_health import (
    DEFAULT_SETTINGS,
    Failure,
    UpstreamHealth,
    Verdict,
)

HANDSHAKE_S = 0.003


def fail_until_dead(health: UpstreamHealth, start: float) -> float:
    """Record failures until the upstream is dead; return the time."""
    for index in range(5):
        health.record_failure(Failure.UNANSWERED, start + index)
    assert health.verdict is Verdict.DEAD
    return start + 5


def first_probe_delay(health: UpstreamHealth, died_at: float) -> float:
    """Return the seconds from the death to the first due probe."""
    waited_s = 0.0
    while not health.may_probe(died_at + waited_s):
        waited_s += 0.1
    return waited_s


def test_verdicts_need_consecutive_failures_over_time() -> None:
    table = (
        ('one failure', (0.0,), Verdict.USABLE),
        ('two in a row', (0.0, 0.1), Verdict.SUSPECT),
        ('a burst', (0.0, 0.01, 0.02, 0.03, 0.04), Verdict.SUSPECT),
        ('four over time', (0.0, 0.5, 0.9, 1.0), Verdict.DEAD),
    )
    for case, times, verdict in table:
        for failure in Failure:
            health = UpstreamHealth()
            for time in times:
                health.record_failure(failure, time)
            assert health.verdict is verdict, (case, failure)


def test_an_answer_between_failures_keeps_the_upstream_usable() -> None:
    health = UpstreamHealth()
    for time in range(20):
        health.record_failure(Failure.REFUSED, time)
        health.record_answer(HANDSHAKE_S, time + 0.5)
    assert health.verdict is Verdict.USABLE
    assert not math.isclose(health.credit, 1, rel_tol=0.5)


def test_credit_is_halved_at_most_once_per_gap_and_rises_in_steps() -> None:
    health = UpstreamHealth()
    for _ in range(50):
        health.record_failure(Failure.REFUSED, 1.0)
    assert math.isclose(health.credit, DEFAULT_SETTINGS.credit_cut)
    for time in range(2, 20):
        health.record_failure(Failure.REFUSED, time)
    assert math.isclose(health.credit, DEFAULT_SETTINGS.credit_floor)
    for _ in range(100):
        health.record_answer(HANDSHAKE_S, 30)
    assert math.isclose(health.credit, 1)


def test_repeated_deaths_delay_probes_until_they_decay() -> None:
    health = UpstreamHealth()
    now = 0.0
    delays_s = []
    for _ in range(4):
        now = fail_until_dead(health, now)
        delays_s.append(first_probe_delay(health, now))
        health.record_answer(HANDSHAKE_S, now)
        assert health.verdict is Verdict.DEAD
        assert health.may_probe(now)
        health.record_answer(HANDSHAKE_S, now)
        assert health.verdict is Verdict.USABLE
    assert delays_s == sorted(delays_s)
    assert delays_s[3] > delays_s[2] + 1
    now = fail_until_dead(
        health, now + 20 * DEFAULT_SETTINGS.damping_half_life_s
    )
    assert first_probe_delay(health, now) <= delays_s[0]


def test_one_unanswered_attempt_cuts_no_credit_and_a_refusal_does() -> None:
    table = (
        ((Failure.UNANSWERED,), 1),
        ((Failure.UNREACHABLE,), 1),
        ((Failure.UNANSWERED, Failure.UNANSWERED), 0.5),
        ((Failure.REFUSED,), 0.5),
    )
    for failures, credit in table:
        health = UpstreamHealth()
        for failure in failures:
            health.record_failure(failure, 1)
        assert math.isclose(health.credit, credit), failures


def test_probes_come_one_at_a_time_at_growing_intervals() -> None:
    health = UpstreamHealth()
    now = fail_until_dead(health, 0)
    source = random.Random(1)
    times = []
    for step in range(20000):
        at = now + step * 0.01
        if health.may_probe(at):
            times.append(at)
            health.record_probe(at, source)
    gaps = [after - before for before, after in itertools.pairwise(times)]
    assert len(times) < 20
    assert gaps[0] <= 1.5 * DEFAULT_SETTINGS.probe_min_s + 0.01
    assert max(gaps) > 10
    assert max(gaps) <= 1.5 * DEFAULT_SETTINGS.probe_max_s + 0.01


def test_slow_or_refused_handshakes_look_cold() -> None:
    health = UpstreamHealth()
    for _ in range(20):
        health.record_answer(HANDSHAKE_S, 0)
    health.record_answer(0.1, 1)
    health.record_answer(0.1, 1)
    health.record_answer(HANDSHAKE_S, 1)
    assert not health.looks_cold
    for _ in range(2):
        health.record_answer(0.1, 2)
    health.record_failure(Failure.REFUSED, 2)
    assert health.looks_cold
    health.reset_cold_signs()
    assert not health.looks_cold
