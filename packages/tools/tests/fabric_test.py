"""Tests of hibiscushatch_tools.fabric."""

import asyncio

import standins_fixtures

from hibiscushatch_ops.callers import FlowOutcome
from hibiscushatch_tools import host_loop


async def _packets_to_a_dead_vm_are_lost_until_refresh() -> None:
    with standins_fixtures.small_tier() as tier:
        tier.hosts[0].kill()
        tier.open_flows(20)
        await asyncio.sleep(1)
        assert FlowOutcome.FINISHED not in tier.count_outcomes()
        tier.fabric.refresh((standins_fixtures.DOMAIN,))
        await asyncio.sleep(60)
        assert tier.count_outcomes() == {FlowOutcome.FINISHED: 20}


async def _replies_go_only_to_reachable_vms() -> None:
    with standins_fixtures.small_tier() as tier:
        tier.network.cut(standins_fixtures.DOMAIN, standins_fixtures.DOMAIN)
        tier.fabric.refresh((standins_fixtures.DOMAIN,))
        endpoint = next(iter(tier.fabric.members)).host
        tier.fabric.spray_from_upstream(endpoint, '10.2.0.1', b'')
        assert tier.fabric.unroutable == 1


def test_spraying_during_faults() -> None:
    for case in (
        _packets_to_a_dead_vm_are_lost_until_refresh,
        _replies_go_only_to_reachable_vms,
    ):
        host_loop.run_on_host_loop(case())
