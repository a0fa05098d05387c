"""Tests of hibiscushatch_tools.upstream_standin."""

import asyncio

import standins_fixtures

from hibiscushatch_core import packets
from hibiscushatch_ops import segments
from hibiscushatch_ops.callers import FlowOutcome

COLD_ALLOWANCE = standins_fixtures.UPSTREAM.cold_allowance
LONG_REQUESTS = 100


async def test_refuses_flows_above_the_cold_allowance_until_warm() -> None:
    with standins_fixtures.small_tier() as tier:
        tier.open_flows(COLD_ALLOWANCE + 5, requests=LONG_REQUESTS)
        await asyncio.sleep(4)
        assert tier.count_outcomes()[FlowOutcome.REFUSED] == 5
        assert tier.upstream.totals.peak_cold_open == COLD_ALLOWANCE + 1
        await asyncio.sleep(2)
        assert tier.upstream.is_warm
        tier.open_flows(COLD_ALLOWANCE, requests=LONG_REQUESTS)
        await asyncio.sleep(1)
        assert tier.upstream.open_flows == 2 * COLD_ALLOWANCE


async def test_going_cold_silently_keeps_open_flows() -> None:
    with standins_fixtures.small_tier() as tier:
        tier.open_flows(COLD_ALLOWANCE, requests=20)
        await asyncio.sleep(6)
        tier.upstream.go_cold_silently()
        tier.open_flows(COLD_ALLOWANCE + 3, requests=20)
        await asyncio.sleep(30)
        outcomes = tier.count_outcomes()
        assert outcomes[FlowOutcome.REFUSED] == 3
        assert outcomes[FlowOutcome.FINISHED] == 2 * COLD_ALLOWANCE
        assert tier.upstream.totals.silent_cold_overloads == 3
        assert tier.upstream.totals.peak_cold_open <= COLD_ALLOWANCE


async def test_counts_packets_of_other_services_and_unknown_flows() -> None:
    with standins_fixtures.small_tier() as tier:
        address, port, protocol = standins_fixtures.SERVICE
        unknown_flow = segments.Segment(
            protocol, 1, address, 2, port, flags=packets.TCP_ACK
        )
        other_service = unknown_flow._replace(destination=address + 1)
        tier.upstream.receive(segments.build_segment(unknown_flow))
        tier.upstream.receive(segments.build_segment(other_service))
        assert tier.upstream.totals.unknown_flows == 1
        assert tier.upstream.totals.misdelivered == 1


async def test_a_repeated_request_runs_once_and_is_answered_again() -> None:
    with standins_fixtures.small_tier() as tier:
        tier.open_flows(1, requests=1)
        await asyncio.sleep(0.1)
        tier.fabric.refresh(())
        await asyncio.sleep(3)
        tier.fabric.refresh((standins_fixtures.DOMAIN,))
        await asyncio.sleep(30)
        assert tier.count_outcomes() == {FlowOutcome.FINISHED: 1}
        assert tier.ledger.runs.total() == 1
