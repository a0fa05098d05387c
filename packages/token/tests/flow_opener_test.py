"""Tests of hibiscushatch_token.traffic.flow_opener."""

from token_fixtures import LAST, VmHarness, upstream, vm_harness

from hibiscushatch_core.reasons import RetryReason

RETRIES = RetryReason.CONNECT_UNANSWERED


def test_a_silent_upstream_costs_a_caller_a_twentieth_of_a_second() -> None:
    scene = vm_harness(upstream('a1'), upstream('a2'))
    first = scene.open('f001')
    assert scene.advance(0.04) == ''
    second = scene.advance(0.02)
    assert {first, second} == {'a1', 'a2'}
    assert scene.flows.outstanding(first) == 0
    assert scene.send_after_answer('f001', second) == second
    assert scene.advance(0.2) == ''
    assert scene.counters.retries[RETRIES] == 1


def test_the_upstream_that_the_caller_goes_on_with_keeps_the_flow() -> None:
    scene = vm_harness(upstream('a1'), upstream('a2'))
    first = scene.open('f001')
    second = scene.advance(0.06)
    assert scene.send_after_answer('f001', first) == first
    assert scene.send_after_answer('f001', second) == first
    assert scene.flows.outstanding(first) == 1
    assert scene.flows.outstanding(second) == 0
    assert scene.reachability.verdict(upstream(first)).value == 'usable'


def test_the_callers_copy_goes_on_where_the_retry_was_silent_too() -> None:
    scene = vm_harness(upstream('a1'), upstream('a2'), upstream('a3'))
    first = scene.open('f001')
    second = scene.advance(0.06)
    scene.advance(0.06)
    scene.clock.now += 0.08
    third = scene.open('f001', copy=1)
    assert {first, second, third} == {'a1', 'a2', 'a3'}
    assert scene.send_after_answer('f001', third) == third


def test_nothing_is_sent_again_without_another_upstream_that_answers() -> None:
    scene = vm_harness(upstream('a1'))
    scene.open('f001')
    assert scene.advance(0.06) == ''
    assert scene.flows.outstanding('a1') == 0


def test_retries_are_bounded_when_every_upstream_is_silent() -> None:
    scene = vm_harness(
        *(upstream(f'a{one}', f'domain-{one}') for one in range(40))
    )
    for index in range(200):
        scene.open(f'{index:04}')
        scene.advance(0.06)
    assert 1 < scene.counters.retries[RETRIES] <= 200 * 0.2 + 12 * 2 + 1


def test_a_pause_of_the_process_is_no_evidence() -> None:
    scene = vm_harness(upstream('a1'), upstream('a2'))
    first = scene.open('f001')
    assert scene.advance(0.6) == ''
    assert scene.flows.outstanding(first) == 0
    assert scene.reachability.verdict(upstream(first)).value == 'usable'


def _serve(scene: VmHarness, flow: str, answer_s: float) -> None:
    chosen = scene.open(flow)
    scene.clock.now += answer_s
    scene.send_after_answer(flow, chosen)
    scene.send(flow, upstream(chosen).token, LAST)


def test_callers_that_are_far_away_are_given_the_time_they_need() -> None:
    scene = vm_harness(upstream('a1'), upstream('a2'))
    for index in range(60):
        _serve(scene, f'{index:04}', answer_s=0.03)
    scene.open('f001')
    assert scene.advance(0.06) == ''
    assert scene.advance(0.06) != ''
