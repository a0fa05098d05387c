"""Tests hibiscushatch_tools.demo_result."""

import dataclasses

from hibiscushatch_tools.demo_result import (
    MANIFEST_IN_FORCE_LIMIT_S,
    DemoResult,
)

RESULT_WITH_KEPT_PROMISES = DemoResult(
    flows=1, finished_flows=1, manifest_in_force_s=0.5
)


def test_a_run_that_kept_all_promises_reports_none_broken() -> None:
    assert not tuple(RESULT_WITH_KEPT_PROMISES.broken_promises())


def test_each_broken_promise_is_reported() -> None:
    table = (
        ('broken_flows', 1),
        ('misdelivered', 1),
        ('duplicated_payloads', 1),
        ('incomplete_answers', 1),
        ('late_flows_on_drained', 1),
        ('restart_exit_code', 3),
        ('stand_in_errors', 1),
        ('manifest_in_force_s', MANIFEST_IN_FORCE_LIMIT_S + 1),
        ('finished_flows', 0),
    )
    for name, value in table:
        result = dataclasses.replace(RESULT_WITH_KEPT_PROMISES, **{name: value})
        assert len(tuple(result.broken_promises())) == 1, name
