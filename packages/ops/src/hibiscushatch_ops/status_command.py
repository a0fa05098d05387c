"""The command ``hibiscushatch status``."""

from collections.abc import Iterator, Mapping

import click

from hibiscushatch_core.errors import PeerError
from hibiscushatch_ops import console, session
from hibiscushatch_ops.fleet_status import (
    FleetStatus,
    ServiceStatus,
    UpstreamStatus,
    merge_answers,
)
from hibiscushatch_ops.settings import OperatorSettings


@click.command()
@console.vm_option
@console.settings_option
@console.json_option
@click.pass_obj
def status(
    out: console.Console, vms: tuple[str, ...], settings: OperatorSettings
) -> None:
    """Show services, upstreams, buckets in motion, and counts by reason."""
    fleet = session.run(_fetch_status(settings, vms))
    out.show(fleet, _lines(fleet))


async def _fetch_status(
    settings: OperatorSettings, vms: tuple[str, ...]
) -> FleetStatus:
    targets = await session.find_targets(settings, vms)
    async with session.open_admin_client(settings) as client:
        answers = await client.query_all(targets, with_counters=True)
    fleet = merge_answers(answers)
    if not fleet.answering:
        names = ', '.join(fleet.silent)
        reasons = '; '.join(str(answer.failure) for answer in answers)
        raise PeerError('read status', names, reasons)
    return fleet


def _lines(fleet: FleetStatus) -> Iterator[str]:
    generations = ', '.join(
        f'{generation} on {count}'
        for generation, count in fleet.generations.items()
    )
    yield f'entry VMs: {len(fleet.answering)} answer; generation {generations}'
    for name in fleet.silent:
        yield f'no answer: {name}'
    for service in fleet.services:
        yield from _service_lines(service)
    yield from _count_lines('refusals', fleet.refusals)
    yield from _count_lines('drops', fleet.drops)
    yield from _count_lines('retries', fleet.retries)


def _service_lines(service: ServiceStatus) -> Iterator[str]:
    yield (
        f'{service.name}: {service.buckets} buckets, '
        f'{service.buckets_in_motion} in motion'
    )
    for upstream in service.upstreams:
        yield _upstream_line(upstream)


def _upstream_line(upstream: UpstreamStatus) -> str:
    accepts = 'new flows' if upstream.accepts_new_flows else 'no new flows'
    return (
        f'  {upstream.name:20} {upstream.domain:16} {upstream.phase:4} '
        f'{upstream.buckets:5} buckets {upstream.open_flows:7} of '
        f'{upstream.share} flows, {accepts}'
    )


def _count_lines(title: str, counts: Mapping[str, int]) -> Iterator[str]:
    for reason, count in counts.items():
        yield f'{title} {reason}: {count}'
