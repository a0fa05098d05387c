"""Tests hibiscushatch_ops.callers against the upstream stand-in."""

import asyncio

import standins_fixtures

from hibiscushatch_core import packets
from hibiscushatch_ops.callers import FlowOutcome
from hibiscushatch_tools.memory_network import NetworkSettings
from hibiscushatch_tools.upstream_standin import UpstreamMode

FLOWS = 20
RUN_DURATION_S = 60


async def test_flows_finish_with_whole_answers_despite_loss() -> None:
    for loss in (0, 0.05):
        settings = NetworkSettings(loss=loss)
        with standins_fixtures.small_tier(settings=settings) as tier:
            tier.open_flows(FLOWS)
            await asyncio.sleep(RUN_DURATION_S)
            assert tier.count_outcomes() == {FlowOutcome.FINISHED: FLOWS}
            assert all(record.answers == 4 for record in tier.callers.records)
            assert not any(
                record.wrong_segments for record in tier.callers.records
            )
            assert tier.ledger.duplicated_payloads == 0
            assert tier.ledger.runs.total() == 4 * FLOWS
            assert tier.upstream.open_flows == 0
            assert bool(tier.network.lost) == bool(loss)


async def test_the_outcome_shows_how_a_flow_failed() -> None:
    table = (
        (0.0, UpstreamMode.SHEDDING, FlowOutcome.REFUSED),
        (0.0, UpstreamMode.DEAD, FlowOutcome.UNANSWERED),
        (1.0, UpstreamMode.DEAD, FlowOutcome.SILENT),
        (1.0, UpstreamMode.MUTE, FlowOutcome.SILENT),
        (1.0, UpstreamMode.SHEDDING, FlowOutcome.FINISHED),
    )
    for switch_at_s, mode, outcome in table:
        with standins_fixtures.small_tier() as tier:
            tier.open_flows(1)
            await asyncio.sleep(switch_at_s)
            tier.upstream.set_mode(mode)
            await asyncio.sleep(RUN_DURATION_S)
            assert tier.count_outcomes() == {outcome: 1}, (mode, outcome)


async def test_a_reset_breaks_a_flow_that_sent_payload() -> None:
    with standins_fixtures.small_tier() as tier:
        tier.open_flows(1)
        await asyncio.sleep(1)
        tier.upstream.restart()
        await asyncio.sleep(RUN_DURATION_S)
        assert tier.count_outcomes() == {FlowOutcome.RESET: 1}


async def test_udp_flows_finish_or_go_unanswered() -> None:
    service = (*standins_fixtures.SERVICE[:2], packets.UDP)
    plan = standins_fixtures.dataclasses.replace(
        standins_fixtures.UPSTREAM, service=service
    )
    for mode, outcome in (
        (UpstreamMode.SERVING, FlowOutcome.FINISHED),
        (UpstreamMode.DEAD, FlowOutcome.UNANSWERED),
    ):
        with standins_fixtures.small_tier(plan) as tier:
            tier.upstream.set_mode(mode)
            tier.open_flows(FLOWS, protocol=packets.UDP)
            await asyncio.sleep(RUN_DURATION_S)
            assert tier.count_outcomes() == {outcome: FLOWS}
            assert tier.ledger.duplicated_payloads == 0
