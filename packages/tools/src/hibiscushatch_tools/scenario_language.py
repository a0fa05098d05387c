"""Reading scenario files.

docs/SCENARIOS.md shows every statement. A file is read line by line into a
Scenario; an error names the file and the line.
"""

import dataclasses
import pathlib
from collections.abc import Callable

from hibiscushatch_core.settings import TimingSettings
from hibiscushatch_tools import scenario_event_language
from hibiscushatch_tools.memory_network import NetworkSettings
from hibiscushatch_tools.scenario_events import Event
from hibiscushatch_tools.scenario_model import (
    Comparison,
    DomainSpec,
    LoadSpec,
    Promise,
    Scenario,
    ServiceSpec,
    UpstreamSpec,
)
from hibiscushatch_tools.scenario_outcome import FIGURES
from hibiscushatch_tools.scenario_statements import (
    ScenarioSyntaxError,
    Statement,
    read_statements,
)

SUFFIX = '.scenario'
AFTER_DEFAULT_S = 5.0


@dataclasses.dataclass(slots=True)
class _Draft:
    """A scenario of which some lines are still to be read."""

    name: str = ''
    seed: int = 1
    duration_s: float = 0
    measure_from_s: float = 0
    measure_until_s: float = 0
    settle_s: float = AFTER_DEFAULT_S
    fabric_lag_s: float = 1.0
    domains: list[DomainSpec] = dataclasses.field(default_factory=list)
    services: dict[str, ServiceSpec] = dataclasses.field(default_factory=dict)
    network: NetworkSettings = dataclasses.field(
        default_factory=NetworkSettings
    )
    timing: dict[str, float] = dataclasses.field(default_factory=dict)
    loads: list[LoadSpec] = dataclasses.field(default_factory=list)
    events: list[Event] = dataclasses.field(default_factory=list)
    promises: list[Promise] = dataclasses.field(default_factory=list)


def read_scenario(path: pathlib.Path) -> Scenario:
    """Read a scenario file.

    Args:
        path: The file.

    Returns:
        The scenario.

    Raises:
        ScenarioSyntaxError: When a line can't be understood or the whole
            lacks something.
    """
    draft = _Draft()
    for statement in read_statements(path):
        keyword = statement.take_word_of(tuple(_READERS), 'statement')
        _READERS[keyword](draft, statement)
        statement.finish()
    return _finish(draft, path)


def _finish(draft: _Draft, path: pathlib.Path) -> Scenario:
    needed = {
        'scenario': draft.name,
        'duration': draft.duration_s,
        'domain': draft.domains,
        'service': draft.services,
    }
    for keyword, found in needed.items():
        if not found:
            reason = f'there is no {keyword} statement'
            raise ScenarioSyntaxError('read scenario', str(path), reason)
    return Scenario(
        name=draft.name,
        path=str(path),
        seed=draft.seed,
        duration_s=draft.duration_s,
        measure_from_s=draft.measure_from_s or draft.duration_s / 2,
        measure_until_s=draft.measure_until_s or draft.duration_s,
        settle_s=draft.settle_s,
        fabric_lag_s=draft.fabric_lag_s,
        domains=tuple(draft.domains),
        services=tuple(draft.services.values()),
        network=draft.network,
        timing=TimingSettings.model_validate(draft.timing),
        loads=tuple(draft.loads),
        events=tuple(sorted(draft.events, key=lambda event: event.at_s)),
        promises=tuple(draft.promises),
    )


def _read_name(draft: _Draft, statement: Statement) -> None:
    draft.name = statement.take_rest()


def _read_seed(draft: _Draft, statement: Statement) -> None:
    draft.seed = statement.take_count('seed')


def _read_duration(draft: _Draft, statement: Statement) -> None:
    draft.duration_s = statement.take_seconds('duration')


def _read_measure(draft: _Draft, statement: Statement) -> None:
    statement.skip('from')
    draft.measure_from_s = statement.take_seconds('start')
    statement.skip('until')
    draft.measure_until_s = statement.take_seconds('end')


def _read_domain(draft: _Draft, statement: Statement) -> None:
    name = statement.take('name of the domain')
    statement.skip('entry-vms')
    draft.domains.append(
        DomainSpec(name, statement.take_count('number of entry VMs'))
    )


def _read_service(draft: _Draft, statement: Statement) -> None:
    """Read ``service NAME ADDRESS PORT PROTOCOL buckets N upstreams N ...``."""
    name = statement.take('name of the service')
    address = statement.take('address')
    port = statement.take_count('port')
    protocol = statement.take_word_of(('tcp', 'udp'), 'protocol')
    statement.skip('buckets')
    buckets = statement.take_count('number of buckets')
    statement.skip('upstreams')
    upstreams = statement.take_count('number of upstreams')
    upstream = _read_upstream(statement)
    service = ServiceSpec(
        name, address, port, protocol, buckets, upstreams, upstream
    )
    draft.services[name] = _read_limits(service, statement)


def _read_upstream(statement: Statement) -> UpstreamSpec:
    statement.skip('slots')
    slots = statement.take_count('slots')
    statement.skip('connections')
    connections = statement.take_count('connections')
    statement.skip('cold')
    cold = statement.take_count('cold allowance')
    statement.skip('warm-up')
    warm_up_s = statement.take_seconds('warm-up time')
    statement.skip('work')
    work_s = statement.take_seconds('time of a request')
    return UpstreamSpec(slots, connections, cold, warm_up_s, work_s)


def _read_limits(service: ServiceSpec, statement: Statement) -> ServiceSpec:
    changes: dict[str, float] = {}
    for word, field in (
        ('connect-deadline', 'connect_deadline_s'),
        ('idle', 'idle_timeout_s'),
        ('silent', 'silent_timeout_s'),
    ):
        if statement.skip_if(word):
            changes[field] = statement.take_seconds(word)
    return dataclasses.replace(service, **changes)


def _read_network(draft: _Draft, statement: Statement) -> None:
    changes: dict[str, float] = {}
    for word, field in (
        ('within', 'within_domain_s'),
        ('between', 'between_domains_s'),
        ('clients', 'to_clients_s'),
    ):
        if statement.skip_if(word):
            changes[field] = statement.take_seconds(word)
    for fraction in ('jitter', 'reorder', 'loss'):
        if statement.skip_if(fraction):
            changes[fraction] = statement.take_number(fraction)
    draft.network = dataclasses.replace(draft.network, **changes)


def _read_timing(draft: _Draft, statement: Statement) -> None:
    known = tuple(TimingSettings.model_fields)
    field = statement.take_word_of(known, 'setting')
    draft.timing[field] = statement.take_seconds(field)


def _read_fabric(draft: _Draft, statement: Statement) -> None:
    statement.skip('lag')
    draft.fabric_lag_s = statement.take_seconds('lag of the list')


def _read_load(draft: _Draft, statement: Statement) -> None:
    services = tuple(draft.services)
    service = statement.take_word_of(services, 'service')
    statement.skip('new')
    new_per_s = statement.take_rate('rate of new flows')
    statement.skip('from')
    from_s = statement.take_seconds('start')
    statement.skip('until')
    until_s = statement.take_seconds('end')
    statement.skip('length')
    length_s = statement.take_seconds('length of a flow')
    statement.skip('every')
    every_s = statement.take_seconds('time between requests')
    load = LoadSpec(service, new_per_s, from_s, until_s, length_s, every_s)
    if statement.skip_if('segments'):
        load = dataclasses.replace(
            load,
            request_segments=statement.take_count('segments of a request'),
            answer_segments=statement.take_count('segments of an answer'),
        )
    draft.loads.append(load)


def _read_event(draft: _Draft, statement: Statement) -> None:
    draft.events.append(scenario_event_language.read_event(statement))


def _read_promise(draft: _Draft, statement: Statement) -> None:
    """Read ``promise FIGURE [after TIME] <= BOUND [s]``."""
    figure = statement.take_word_of(FIGURES, 'figure')
    if statement.skip_if('after'):
        draft.settle_s = statement.take_seconds('time to settle')
    sign = statement.take_word_of(tuple(Comparison), 'comparison')
    bound = statement.take_number('bound')
    draft.promises.append(
        Promise(figure, Comparison(sign), bound, statement.line)
    )


_READERS: dict[str, Callable[[_Draft, Statement], None]] = {
    'scenario': _read_name,
    'seed': _read_seed,
    'duration': _read_duration,
    'measure': _read_measure,
    'domain': _read_domain,
    'service': _read_service,
    'network': _read_network,
    'timing': _read_timing,
    'fabric': _read_fabric,
    'load': _read_load,
    'at': _read_event,
    'promise': _read_promise,
}
