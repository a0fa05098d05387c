"""Tests of hibiscushatch_node.flow_owner."""

import node_fixtures

from hibiscushatch_core import packets
from hibiscushatch_core.reasons import DropReason

SYN_ACK = packets.TCP_SYN | packets.TCP_ACK


async def test_a_flow_is_placed_and_its_answer_reaches_the_caller() -> None:
    async with node_fixtures.single_vm() as harness:
        harness.from_caller(packets.TCP_SYN)
        await node_fixtures.pass_time(0.1)
        harness.from_upstream(harness.last_upstream(), SYN_ACK)
        assert harness.sender.to_callers[-1].data.flags == SYN_ACK
        assert harness.vm.counters.flows_placed == 1


async def test_a_syn_with_payload_reaches_no_upstream() -> None:
    async with node_fixtures.single_vm() as harness:
        harness.from_caller(packets.TCP_SYN, b'submit')
        await node_fixtures.pass_time(10)
        assert not harness.sender.to_upstreams
        assert harness.vm.counters.drops[DropReason.SYN_WITH_PAYLOAD] == 1


async def test_a_reset_from_an_upstream_without_the_flow_is_dropped() -> None:
    async with node_fixtures.single_vm() as harness:
        harness.from_caller(packets.TCP_SYN)
        await node_fixtures.pass_time(0.1)
        placed = harness.last_upstream()
        harness.from_upstream(placed, SYN_ACK)
        sent_count = len(harness.sender.to_callers)
        others = {f'127.2.0.{index}' for index in (1, 2, 3)} - {placed}
        for other in sorted(others):
            harness.from_upstream(other, packets.TCP_RST)
        assert len(harness.sender.to_callers) == sent_count
        assert harness.vm.counters.drops[DropReason.STALE_RESET] == len(others)


async def test_a_reply_from_an_upstream_of_another_service_is_dropped() -> None:
    async with node_fixtures.single_vm() as harness:
        harness.from_caller(packets.TCP_SYN)
        await node_fixtures.pass_time(0.1)
        harness.from_upstream('127.2.0.9', SYN_ACK)
        assert not harness.sender.to_callers
        assert harness.vm.counters.drops[DropReason.WRONG_SENDER] == 1
