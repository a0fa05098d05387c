"""Tests of hibiscushatch_core.retry_budget."""

from hibiscushatch_core.retry_budget import RetryBudget, RetryBudgetSettings

SETTINGS = RetryBudgetSettings(ratio=0.1, floor_per_s=1, burst=10)


def count_retries(budget: RetryBudget, flows: int, now: float) -> int:
    """Record flows, try to retry each, and count the allowed retries."""
    count = 0
    for _ in range(flows):
        budget.record_flow(now)
        count += budget.take(now)
    return count


def test_retries_are_limited_by_new_flows_time_and_burst() -> None:
    table = (
        ('flows alone', 1000, 0, 101),
        ('time alone', 0, 5, 0),
        ('both', 100, 5, 16),
        ('burst', 100, 1000, 19),
    )
    for case, flows, waited_s, retries in table:
        budget = RetryBudget(SETTINGS, now=0)
        assert abs(count_retries(budget, flows, waited_s) - retries) <= 1, case


def test_the_budget_grows_with_time_without_new_flows() -> None:
    budget = RetryBudget(SETTINGS, now=0)
    assert budget.take(0)
    assert not budget.take(0)
    assert not budget.take(0.9)
    assert budget.take(1)
    assert not budget.take(0.5)
