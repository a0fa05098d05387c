"""Tests of hibiscushatch_tools.demo_result."""

import dataclasses

from hibiscushatch_tools.demo_result import IN_FORCE_LIMIT_S, DemoResult

KEPT = DemoResult(flows=1, finished_flows=1, manifest_in_force_s=0.5)


def test_a_run_that_kept_all_promises_names_none() -> None:
    assert not tuple(KEPT.broken_promises())


def test_each_broken_promise_is_named() -> None:
    table = (
        ('broken_flows', 1),
        ('misdelivered', 1),
        ('duplicated_payloads', 1),
        ('incomplete_answers', 1),
        ('late_flows_on_drained', 1),
        ('restart_exit_code', 3),
        ('stand_in_errors', 1),
        ('manifest_in_force_s', IN_FORCE_LIMIT_S + 1),
        ('finished_flows', 0),
    )
    for name, bad in table:
        worse = dataclasses.replace(KEPT, **{name: bad})
        assert len(tuple(worse.broken_promises())) == 1, name
