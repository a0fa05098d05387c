"""Tests hibiscushatch_ops.load_run against one upstream stand-in."""

import contextlib
import random
from collections.abc import Iterator

import standins_fixtures
from click.testing import CliRunner

from hibiscushatch_core import udp_receiver, udp_socket
from hibiscushatch_core.counters import Counters
from hibiscushatch_core.packets import TCP
from hibiscushatch_ops import load_run
from hibiscushatch_ops.main import main
from hibiscushatch_tools import loopback_net
from hibiscushatch_tools.payload_ledger import PayloadLedger
from hibiscushatch_tools.testing import real_time
from hibiscushatch_tools.upstream_standin import UpstreamStandIn

FLOWS = 12
REQUESTS = 3
NET = loopback_net.net_of_process()
EDGE = (NET.entry_address(0), 6735)
FABRIC = (NET.fabric_address, 6739)
PLAN = load_run.LoadPlan(
    edges=[EDGE],
    fabric=FABRIC,
    service=standins_fixtures.SERVICE[:2],
    protocol=TCP,
    service_id=standins_fixtures.UPSTREAM.service_id,
    callers_net=standins_fixtures.FLOW.caller[0],
    flows=FLOWS,
    rate=200.0,
    duration_s=10.0,
    drain_s=20.0,
    requests=REQUESTS,
    gap_s=0.01,
    request_segments=2,
    answer_segments=3,
    seed=1,
)


@contextlib.contextmanager
def _upstream_at_edge() -> Iterator[None]:
    with udp_socket.open_udp_socket(EDGE) as edge:
        standin = UpstreamStandIn(
            standins_fixtures.UPSTREAM,
            PayloadLedger(),
            random.Random(1),
            lambda packet: edge.sendto(packet, FABRIC),
        )
        receiver = udp_receiver.UdpReceiver(
            edge, lambda packet, _: standin.receive(packet), Counters()
        )
        receiver.start()
        yield
        receiver.stop()


@real_time
async def test_all_flows_are_opened_answered_and_timed() -> None:
    with _upstream_at_edge():
        outcome = await load_run.run_load(PLAN)
    assert outcome.flows == FLOWS
    assert outcome.outcomes['finished'] == FLOWS
    assert outcome.answers == FLOWS * REQUESTS
    assert (outcome.broken_flows, outcome.incomplete_answers) == (0, 0)
    assert 0 < outcome.latency_ms['p50'] <= outcome.latency_ms['p100']
    assert outcome.connect_ms['p50'] > 0


def test_percentiles_come_from_all_durations() -> None:
    percentiles = load_run.percentiles_ms(
        [index / 1000 for index in range(1, 101)]
    )
    assert round(percentiles['p50']) == 50
    assert round(percentiles['p99']) == 99
    assert round(percentiles['p100']) == 100
    assert not load_run.percentiles_ms([])


def test_an_invalid_address_is_a_usage_error() -> None:
    for invalid_address in ('nowhere:1', '10.0.0.1', '10.0.0.1:x'):
        arguments = [
            'load',
            '--edge',
            invalid_address,
            '--fabric',
            '10.0.0.1:1',
        ]
        outcome = CliRunner().invoke(
            main, [*arguments, '--service', '10.0.0.1:443']
        )
        assert outcome.exit_code == 2, outcome.output
        assert invalid_address in outcome.output
