"""Reading the timed events of a scenario: what follows ``at <time>``."""

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

EventReader = Callable[[Statement, float], Event]
UPSTREAM = 'upstream'
VM = 'vm'


def read_event(statement: Statement) -> Event:
    """Read an event.

    Args:
        statement: A line whose ``at`` was taken.

    Returns:
        The event.

    Raises:
        ScenarioSyntaxError: When it can't be understood.
    """
    at_s = statement.take_seconds('time of the event')
    verb = statement.take_word_of(tuple(READERS), 'event')
    event = READERS[verb](statement, at_s)
    statement.finish()
    return event


def _read_drain(statement: Statement, at_s: float) -> Event:
    return SetDraining(at_s, statement.take(UPSTREAM), draining=True)


def _read_activate(statement: Statement, at_s: float) -> Event:
    return SetDraining(at_s, statement.take(UPSTREAM), draining=False)


def _read_domain(statement: Statement, at_s: float) -> Event:
    state = statement.take_word_of(('in', 'out'), 'state of the domain')
    return SetDomainState(at_s, statement.take('domain'), state)


def _read_add(statement: Statement, at_s: float) -> Event:
    statement.skip(UPSTREAM)
    upstream = statement.take(UPSTREAM)
    statement.skip('to')
    service = statement.take('service')
    statement.skip('in')
    return AddUpstream(at_s, upstream, service, statement.take('domain'))


def _read_remove(statement: Statement, at_s: float) -> Event:
    statement.skip(UPSTREAM)
    return RemoveUpstream(at_s, statement.take(UPSTREAM))


def _read_touch(statement: Statement, at_s: float) -> Event:
    statement.skip('manifest')
    return TouchManifest(at_s)


def _read_race(statement: Statement, at_s: float) -> Event:
    count = statement.take_count('number of commits')
    statement.skip('commits')
    return RaceCommits(at_s, count)


def _read_kill(statement: Statement, at_s: float) -> Event:
    return KillVm(at_s, _take_vm(statement))


def _read_replace(statement: Statement, at_s: float) -> Event:
    return ReplaceVm(at_s, _take_vm(statement))


def _read_stop(statement: Statement, at_s: float) -> Event:
    return StopVm(at_s, _take_vm(statement))


def _read_start(statement: Statement, at_s: float) -> Event:
    return StartVm(at_s, _take_vm(statement))


def _read_roll(statement: Statement, at_s: float) -> Event:
    statement.skip('all')
    statement.skip('vms')
    statement.skip('every')
    return RollVms(at_s, statement.take_seconds('interval'))


def _read_freeze(statement: Statement, at_s: float) -> Event:
    vm = _take_vm(statement)
    statement.skip('for')
    return FreezeVm(at_s, vm, statement.take_seconds('length of the pause'))


def _read_cut(statement: Statement, at_s: float) -> Event:
    statement.skip_if('domain')
    domain = statement.take('domain')
    statement.skip('from')
    target = statement.take_word_of(tuple(CutTarget), 'cut off')
    return CutDomain(at_s, domain, CutTarget(target))


def _read_one_way(statement: Statement, at_s: float) -> Event:
    statement.skip('loss')
    source = statement.take('sending vm')
    return OneWayLoss(at_s, source, statement.take('receiving vm'))


def _read_loss(statement: Statement, at_s: float) -> Event:
    return PacketLoss(at_s, statement.take_number('fraction'))


def _read_heal(statement: Statement, at_s: float) -> Event:
    return Heal(at_s)


def _read_platform(statement: Statement, at_s: float) -> Event:
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


def _read_upstream(statement: Statement, at_s: float) -> Event:
    upstream = statement.take(UPSTREAM)
    change = statement.take_word_of(tuple(UpstreamChange), 'change')
    return ChangeUpstream(at_s, upstream, UpstreamChange(change))


def _take_vm(statement: Statement) -> str:
    statement.skip(VM)
    return statement.take(VM)


READERS: dict[str, EventReader] = {
    'drain': _read_drain,
    'activate': _read_activate,
    'domain': _read_domain,
    'add': _read_add,
    'remove': _read_remove,
    'touch': _read_touch,
    'race': _read_race,
    'kill': _read_kill,
    'replace': _read_replace,
    'stop': _read_stop,
    'start': _read_start,
    'roll': _read_roll,
    'freeze': _read_freeze,
    'cut': _read_cut,
    'one-way': _read_one_way,
    'loss': _read_loss,
    'heal': _read_heal,
    'platform': _read_platform,
    'upstream': _read_upstream,
}
