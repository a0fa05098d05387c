"""Parses scenario files into a Scenario, statement by statement.

docs/SCENARIOS.md describes every statement. Syntax errors name the file and
the line.
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
SETTLE_DEFAULT_S = 5.0


@dataclasses.dataclass(slots=True)
class _Draft:
    """The statements of a scenario parsed so far."""

    name: str = ''
    seed: int = 1
    duration_s: float = 0
    measure_from_s: float = 0
    measure_until_s: float = 0
    settle_s: float = SETTLE_DEFAULT_S
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
        path: The file to read.

    Returns:
        The scenario.

    Raises:
        ScenarioSyntaxError: If a file can't be read, a statement can't be
            parsed or a required statement is missing.
    """
    draft = _Draft()
    for statement in read_statements(path):
        keyword = statement.take_word_of(tuple(_PARSERS), 'statement')
        _PARSERS[keyword](draft, statement)
        statement.expect_end()
    return _build_scenario(draft, path)


def _build_scenario(draft: _Draft, path: pathlib.Path) -> Scenario:
    required = {
        'scenario': draft.name,
        'duration': draft.duration_s,
        'domain': draft.domains,
        'service': draft.services,
    }
    for keyword, value in required.items():
        if not value:
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


def _parse_name(draft: _Draft, statement: Statement) -> None:
    draft.name = statement.take_rest()


def _parse_seed(draft: _Draft, statement: Statement) -> None:
    draft.seed = statement.take_count('seed')


def _parse_duration(draft: _Draft, statement: Statement) -> None:
    draft.duration_s = statement.take_seconds('duration')


def _parse_measure(draft: _Draft, statement: Statement) -> None:
    statement.expect_word('from')
    draft.measure_from_s = statement.take_seconds('start')
    statement.expect_word('until')
    draft.measure_until_s = statement.take_seconds('end')


def _parse_domain(draft: _Draft, statement: Statement) -> None:
    name = statement.take('name of the domain')
    statement.expect_word('entry-vms')
    draft.domains.append(
        DomainSpec(name, statement.take_count('number of entry VMs'))
    )


def _parse_service(draft: _Draft, statement: Statement) -> None:
    """Parse ``service NAME ADDRESS PORT PROTOCOL buckets N ...``."""
    name = statement.take('name of the service')
    address = statement.take('address')
    port = statement.take_count('port')
    protocol = statement.take_word_of(('tcp', 'udp'), 'protocol')
    statement.expect_word('buckets')
    buckets = statement.take_count('number of buckets')
    statement.expect_word('upstreams')
    upstreams = statement.take_count('number of upstreams')
    upstream = _parse_upstream(statement)
    service = ServiceSpec(
        name, address, port, protocol, buckets, upstreams, upstream
    )
    draft.services[name] = _parse_timeouts(service, statement)


def _parse_upstream(statement: Statement) -> UpstreamSpec:
    statement.expect_word('slots')
    slots = statement.take_count('slots')
    statement.expect_word('connections')
    connections = statement.take_count('connections')
    statement.expect_word('cold')
    cold = statement.take_count('cold allowance')
    statement.expect_word('warm-up')
    warm_up_s = statement.take_seconds('warm-up time')
    statement.expect_word('work')
    work_s = statement.take_seconds('work time of a request')
    return UpstreamSpec(slots, connections, cold, warm_up_s, work_s)


def _parse_timeouts(service: ServiceSpec, statement: Statement) -> ServiceSpec:
    changes: dict[str, float] = {}
    for word, field in (
        ('connect-deadline', 'connect_deadline_s'),
        ('idle', 'idle_timeout_s'),
        ('silent', 'silent_timeout_s'),
    ):
        if statement.accept_word(word):
            changes[field] = statement.take_seconds(word)
    return dataclasses.replace(service, **changes)


def _parse_network(draft: _Draft, statement: Statement) -> None:
    changes: dict[str, float] = {}
    for word, field in (
        ('within', 'within_domain_s'),
        ('between', 'between_domains_s'),
        ('clients', 'to_clients_s'),
    ):
        if statement.accept_word(word):
            changes[field] = statement.take_seconds(word)
    for parameter in ('jitter', 'reorder', 'loss'):
        if statement.accept_word(parameter):
            changes[parameter] = statement.take_number(parameter)
    draft.network = dataclasses.replace(draft.network, **changes)


def _parse_timing(draft: _Draft, statement: Statement) -> None:
    names = tuple(TimingSettings.model_fields)
    field = statement.take_word_of(names, 'setting')
    draft.timing[field] = statement.take_seconds(field)


def _parse_fabric(draft: _Draft, statement: Statement) -> None:
    statement.expect_word('lag')
    draft.fabric_lag_s = statement.take_seconds('lag of the fabric')


def _parse_load(draft: _Draft, statement: Statement) -> None:
    services = tuple(draft.services)
    service = statement.take_word_of(services, 'service')
    statement.expect_word('new')
    new_flows_per_s = statement.take_rate('rate of new flows')
    statement.expect_word('from')
    from_s = statement.take_seconds('start')
    statement.expect_word('until')
    until_s = statement.take_seconds('end')
    statement.expect_word('length')
    flow_length_s = statement.take_seconds('length of a flow')
    statement.expect_word('every')
    request_interval_s = statement.take_seconds('time between requests')
    load = LoadSpec(
        service,
        new_flows_per_s,
        from_s,
        until_s,
        flow_length_s,
        request_interval_s,
    )
    if statement.accept_word('segments'):
        load = dataclasses.replace(
            load,
            request_segments=statement.take_count('segments of a request'),
            answer_segments=statement.take_count('segments of an answer'),
        )
    draft.loads.append(load)


def _parse_event(draft: _Draft, statement: Statement) -> None:
    draft.events.append(scenario_event_language.parse_event(statement))


def _parse_promise(draft: _Draft, statement: Statement) -> None:
    """Parse ``promise FIGURE [after TIME] <= BOUND [s]``."""
    figure = statement.take_word_of(FIGURES, 'figure')
    if statement.accept_word('after'):
        draft.settle_s = statement.take_seconds('settling time')
    sign = statement.take_word_of(tuple(Comparison), 'comparison')
    bound = statement.take_number('bound')
    draft.promises.append(
        Promise(figure, Comparison(sign), bound, statement.line)
    )


_PARSERS: dict[str, Callable[[_Draft, Statement], None]] = {
    'scenario': _parse_name,
    'seed': _parse_seed,
    'duration': _parse_duration,
    'measure': _parse_measure,
    'domain': _parse_domain,
    'service': _parse_service,
    'network': _parse_network,
    'timing': _parse_timing,
    'fabric': _parse_fabric,
    'load': _parse_load,
    'at': _parse_event,
    'promise': _parse_promise,
}
