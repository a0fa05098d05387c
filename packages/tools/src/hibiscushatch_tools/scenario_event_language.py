"""Parses the timed events of a scenario: statements ``at <time> <event>``."""

from collections.abc import Callable

from hibiscushatch_tools.scenario_events import (
    AddUpstream,
    ChangeUpstream,
    CutDomain,
    CutTarget,
    Event,
    FreezeVm,
    Heal,
    KillVm,
    OneWayLoss,
    PacketLoss,
    PlatformCondition,
    RaceCommits,
    RemoveUpstream,
    ReplaceVm,
    RollVms,
    SetDomainState,
    SetDraining,
    SetPlatform,
    StartVm,
    StopVm,
    TouchManifest,
    UpstreamChange,
)
from hibiscushatch_tools.scenario_statements import Statement

EventParser = Callable[[Statement, float], Event]
UPSTREAM = 'upstream'
VM = 'vm'


def parse_event(statement: Statement) -> Event:
    """Parse an event statement.

    Args:
        statement: A statement whose first word, ``at``, is already read.

    Returns:
        The event.

    Raises:
        ScenarioSyntaxError: If the statement can't be parsed.
    """
    at_s = statement.take_seconds('time of the event')
    keyword = statement.take_word_of(tuple(PARSERS), 'event')
    event = PARSERS[keyword](statement, at_s)
    statement.expect_end()
    return event


def _parse_drain(statement: Statement, at_s: float) -> Event:
    return SetDraining(at_s, statement.take(UPSTREAM), draining=True)


def _parse_activate(statement: Statement, at_s: float) -> Event:
    return SetDraining(at_s, statement.take(UPSTREAM), draining=False)


def _parse_domain(statement: Statement, at_s: float) -> Event:
    state = statement.take_word_of(('in', 'out'), 'state of the domain')
    return SetDomainState(at_s, statement.take('domain'), state)


def _parse_add(statement: Statement, at_s: float) -> Event:
    statement.expect_word(UPSTREAM)
    upstream = statement.take(UPSTREAM)
    statement.expect_word('to')
    service = statement.take('service')
    statement.expect_word('in')
    return AddUpstream(at_s, upstream, service, statement.take('domain'))


def _parse_remove(statement: Statement, at_s: float) -> Event:
    statement.expect_word(UPSTREAM)
    return RemoveUpstream(at_s, statement.take(UPSTREAM))


def _parse_touch(statement: Statement, at_s: float) -> Event:
    statement.expect_word('manifest')
    return TouchManifest(at_s)


def _parse_race(statement: Statement, at_s: float) -> Event:
    count = statement.take_count('number of commits')
    statement.expect_word('commits')
    return RaceCommits(at_s, count)


def _parse_kill(statement: Statement, at_s: float) -> Event:
    return KillVm(at_s, _take_vm(statement))


def _parse_replace(statement: Statement, at_s: float) -> Event:
    return ReplaceVm(at_s, _take_vm(statement))


def _parse_stop(statement: Statement, at_s: float) -> Event:
    return StopVm(at_s, _take_vm(statement))


def _parse_start(statement: Statement, at_s: float) -> Event:
    return StartVm(at_s, _take_vm(statement))


def _parse_roll(statement: Statement, at_s: float) -> Event:
    statement.expect_word('all')
    statement.expect_word('vms')
    statement.expect_word('every')
    return RollVms(at_s, statement.take_seconds('interval'))


def _parse_freeze(statement: Statement, at_s: float) -> Event:
    vm = _take_vm(statement)
    statement.expect_word('for')
    return FreezeVm(at_s, vm, statement.take_seconds('duration of the pause'))


def _parse_cut(statement: Statement, at_s: float) -> Event:
    statement.accept_word('domain')
    domain = statement.take('domain')
    statement.expect_word('from')
    target = statement.take_word_of(tuple(CutTarget), 'target of the cut')
    return CutDomain(at_s, domain, CutTarget(target))


def _parse_one_way(statement: Statement, at_s: float) -> Event:
    statement.expect_word('loss')
    source = statement.take('sending vm')
    return OneWayLoss(at_s, source, statement.take('receiving vm'))


def _parse_loss(statement: Statement, at_s: float) -> Event:
    return PacketLoss(at_s, statement.take_number('fraction'))


def _parse_heal(statement: Statement, at_s: float) -> Event:
    return Heal(at_s)


def _parse_platform(statement: Statement, at_s: float) -> Event:
    choices = tuple(PlatformCondition)
    condition = PlatformCondition(
        statement.take_word_of(choices, 'condition of the platform')
    )
    amount = 0.0
    if condition is PlatformCondition.SLOW:
        amount = statement.take_seconds('delay')
    if condition is PlatformCondition.LOSE_ANSWERS:
        amount = statement.take_count('number of answers')
    return SetPlatform(at_s, condition, amount)


def _parse_upstream(statement: Statement, at_s: float) -> Event:
    upstream = statement.take(UPSTREAM)
    change = statement.take_word_of(tuple(UpstreamChange), 'change')
    return ChangeUpstream(at_s, upstream, UpstreamChange(change))


def _take_vm(statement: Statement) -> str:
    statement.expect_word(VM)
    return statement.take(VM)


PARSERS: dict[str, EventParser] = {
    'drain': _parse_drain,
    'activate': _parse_activate,
    'domain': _parse_domain,
    'add': _parse_add,
    'remove': _parse_remove,
    'touch': _parse_touch,
    'race': _parse_race,
    'kill': _parse_kill,
    'replace': _parse_replace,
    'stop': _parse_stop,
    'start': _parse_start,
    'roll': _parse_roll,
    'freeze': _parse_freeze,
    'cut': _parse_cut,
    'one-way': _parse_one_way,
    'loss': _parse_loss,
    'heal': _parse_heal,
    'platform': _parse_platform,
    'upstream': _parse_upstream,
}
