"""The command ``hibiscushatch load``."""

import asyncio
import functools
import ipaddress
from collections.abc import Callable, Iterator
from typing import Any

import click

from hibiscushatch_core.manifest import PROTOCOL_NUMBERS
from hibiscushatch_ops import console
from hibiscushatch_ops.load_run import LoadOutcome, LoadPlan, run_load


class SocketAddressType(click.ParamType):
    """A command line value HOST:PORT with an IPv4 address."""

    name = 'address'

    def convert(
        self,
        value: object,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> tuple[str, int]:
        """Parse HOST:PORT."""
        host, _, port = str(value).rpartition(':')
        try:
            return (str(ipaddress.IPv4Address(host)), int(port))
        except ValueError as error:
            self.fail(f'{value}: {error}', param, ctx)


ADDRESS = SocketAddressType()


OPTIONS = (
    click.option(
        '--edge',
        'edges',
        type=ADDRESS,
        multiple=True,
        required=True,
        metavar='HOST:PORT',
        help='Edge address of an entry VM; may be repeated.',
    ),
    click.option(
        '--fabric',
        type=ADDRESS,
        required=True,
        metavar='HOST:PORT',
        help='Address to bind: the fabric in the settings of the entry VMs.',
    ),
    click.option(
        '--service',
        type=ADDRESS,
        required=True,
        metavar='HOST:PORT',
        help='Address of the service to call.',
    ),
    click.option(
        '--protocol', type=click.Choice(sorted(PROTOCOL_NUMBERS)), default='tcp'
    ),
    click.option(
        '--service-id', default=0, help='Number of the service in the payload.'
    ),
    click.option(
        '--callers-net',
        default='10.9.0.1',
        help='First address of the callers.',
    ),
    click.option(
        '--flows', default=1000, help='Maximum number of flows to open.'
    ),
    click.option('--rate', default=100.0, help='Flows to open per second.'),
    click.option(
        '--duration-s', default=10.0, help='Seconds in which flows are opened.'
    ),
    click.option(
        '--drain-s',
        default=30.0,
        help='Seconds to wait at the end for open flows.',
    ),
    click.option(
        '--requests', default=4, help='Number of requests on each flow.'
    ),
    click.option('--gap-s', default=0.5, help='Mean seconds between requests.'),
    click.option(
        '--request-segments', default=2, help='Payload segments of a request.'
    ),
    click.option(
        '--answer-segments', default=2, help='Payload segments of an answer.'
    ),
    click.option(
        '--seed',
        default=1,
        help='Seed of all random choices; the same seed repeats them.',
    ),
)


def _load_options(command: Callable[..., Any]) -> Callable[..., Any]:
    return functools.reduce(
        lambda decorated, option: option(decorated), reversed(OPTIONS), command
    )


@click.command('load')
@_load_options
@console.json_option
@click.pass_obj
def load_command(
    out: console.Console,
    service: tuple[str, int],
    protocol: str,
    callers_net: str,
    **options: object,
) -> None:
    """Open flows through entry VMs and report how they went.

    The upstreams must answer the payload of these callers as the stand-ins do.
    """
    plan = LoadPlan(
        service=(int(ipaddress.IPv4Address(service[0])), service[1]),
        protocol=PROTOCOL_NUMBERS[protocol],
        callers_net=int(ipaddress.IPv4Address(callers_net)),
        **options,
    )
    outcome = asyncio.run(run_load(plan))
    out.show(outcome, _lines(outcome))


def _lines(outcome: LoadOutcome) -> Iterator[str]:
    yield f'flows: {outcome.flows}, {outcome.broken_flows} broken'
    for name, count in outcome.outcomes.items():
        yield f'  {name}: {count}'
    yield (
        f'answers: {outcome.answers}, {outcome.incomplete_answers} flows with '
        'an incomplete answer'
    )
    yield f'packets: {outcome.resends} sent again, {outcome.unsent} not sent'
    yield f'connect: {_percentiles_text(outcome.connect_ms)}'
    yield f'request: {_percentiles_text(outcome.latency_ms)}'


def _percentiles_text(percentiles: dict[str, float]) -> str:
    return ', '.join(f'{name} {ms} ms' for name, ms in percentiles.items())
