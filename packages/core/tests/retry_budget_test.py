"""Tests of hibiscushatch_core.retry_budget."""

from hibiscushatch_core.retry_budget import RetryBudget, RetryBudgetSettings

SETTINGS = RetryBudgetSettings(ratio=0.1, floor_per_s=1, burst=10)


def retries_of(budget: RetryBudget, flows: int, now: float) -> int:
    """Open flows and retry each of them, and count the retries."""
    count = 0
    for _ in range(flows):
        budget.record_flow(now)
        count += budget.take(now)
    return count


def test_retries_are_a_tenth_of_new_flows_and_a_floor() -> None:
    table = (
        ('flows alone', 1000, 0, 101),
        ('time alone', 0, 5, 0),
        ('both', 100, 5, 16),
        ('burst', 100, 1000, 19),
    )
    for case, flows, waited_s, retries in table:
        budget = RetryBudget(SETTINGS, now=0)
        assert abs(retries_of(budget, flows, waited_s) - retries) <= 1, case


def test_a_service_with_few_flows_may_retry() -> None:
    budget = RetryBudget(SETTINGS, now=0)
    assert budget.take(0)
    assert not budget.take(0)
    assert not budget.take(0.9)
    assert budget.take(1)
    assert not budget.take(0.5)
