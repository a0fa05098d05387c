"""Tests of hibiscushatch_ops.in_force."""

import ops_fixtures

from hibiscushatch_core.errors import PeerError
from hibiscushatch_core.report import MemberReport
from hibiscushatch_ops.admin_client import VmAnswer, VmTarget
from hibiscushatch_ops.in_force import evaluate_in_force


def _answer(
    name: str, domain: str, generation: int, *members: MemberReport
) -> VmAnswer:
    target = VmTarget(name, domain, '127.0.0.1', 1)
    report = ops_fixtures.node_report(name, domain, generation, members)
    return VmAnswer(target, report)


def _no_answer(name: str, domain: str) -> VmAnswer:
    target = VmTarget(name, domain, '127.0.0.1', 1)
    return VmAnswer(target, failure=PeerError('test', name, 'silent'))


def _dead_member(name: str, domain: str) -> MemberReport:
    return MemberReport(name, domain, 'serving', live=False, generation=1)


def test_entry_vms_are_listed_by_generation_and_reachability() -> None:
    ahead = _answer('a1', 'a', 6)
    behind = _answer('a2', 'a', 4)
    reports_b1 = _answer('a1', 'a', 5, ops_fixtures.member('b1', 'b', 5))
    reports_b1_behind = _answer('a2', 'a', 5, ops_fixtures.member('b1', 'b', 4))
    reports_b1_dead = _answer('a1', 'a', 5, _dead_member('b1', 'b'))
    b1_unanswered = _no_answer('b1', 'b')
    table = (
        ((ahead,), True, ['a1'], [], [], ()),
        ((ahead, behind), False, ['a1'], ['a2'], [], ()),
        ((), False, [], [], [], ()),
        ((b1_unanswered,), False, [], [], ['b1'], ('b',)),
        ((ahead, b1_unanswered), True, ['a1'], [], ['b1'], ('b',)),
        ((ahead, _no_answer('a3', 'a')), True, ['a1'], [], ['a3'], ()),
        ((reports_b1, b1_unanswered), True, ['a1', 'b1'], [], [], ()),
        ((reports_b1_behind, b1_unanswered), False, ['a2'], ['b1'], [], ()),
        ((reports_b1, reports_b1_behind), True, ['a1', 'a2', 'b1'], [], [], ()),
        ((reports_b1_dead, b1_unanswered), True, ['a1'], [], ['b1'], ('b',)),
        ((reports_b1, _answer('b1', 'b', 3)), False, ['a1'], ['b1'], [], ()),
    )
    for answers, everywhere, done, pending, unreachable, domains in table:
        found = evaluate_in_force(5, answers)
        assert found.everywhere is everywhere, found
        assert [one.name for one in found.done] == done, found
        assert [one.name for one in found.pending] == pending, found
        assert [one.name for one in found.unreachable] == unreachable, found
        assert found.unreachable_domains == domains, found
