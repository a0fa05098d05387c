"""Tests of hibiscushatch_node.flow_owner."""

import node_fixtures

from hibiscushatch_core import packets
from hibiscushatch_core.reasons import DropReason

SYN_ACK = packets.TCP_SYN | packets.TCP_ACK


async def test_a_flow_is_placed_and_its_answer_reaches_the_caller() -> None:
    async with node_fixtures.lone_vm() as lone:
        lone.from_caller(packets.TCP_SYN)
        await node_fixtures.pass_time(0.1)
        lone.from_upstream(lone.last_upstream(), SYN_ACK)
        assert lone.sender.to_callers[-1].data.flags == SYN_ACK
        assert lone.vm.counters.flows_placed == 1


async def test_a_syn_with_payload_reaches_no_upstream() -> None:
    async with node_fixtures.lone_vm() as lone:
        lone.from_caller(packets.TCP_SYN, b'submit')
        await node_fixtures.pass_time(10)
        assert not lone.sender.to_upstreams
        assert lone.vm.counters.drops[DropReason.SYN_WITH_PAYLOAD] == 1


async def test_a_reset_of_an_upstream_without_the_flow_is_dropped() -> None:
    async with node_fixtures.lone_vm() as lone:
        lone.from_caller(packets.TCP_SYN)
        await node_fixtures.pass_time(0.1)
        placed = lone.last_upstream()
        lone.from_upstream(placed, SYN_ACK)
        seen = len(lone.sender.to_callers)
        others = {f'127.2.0.{index}' for index in (1, 2, 3)} - {placed}
        for other in sorted(others):
            lone.from_upstream(other, packets.TCP_RST)
        assert len(lone.sender.to_callers) == seen
        assert lone.vm.counters.drops[DropReason.STALE_RESET] == len(others)


async def test_a_reply_of_another_services_upstream_is_dropped() -> None:
    async with node_fixtures.lone_vm() as lone:
        lone.from_caller(packets.TCP_SYN)
        await node_fixtures.pass_time(0.1)
        lone.from_upstream('127.2.0.9', SYN_ACK)
        assert not lone.sender.to_callers
        assert lone.vm.counters.drops[DropReason.WRONG_SENDER] == 1
