"""Tests of hibiscushatch_node.connector."""

import node_fixtures

from hibiscushatch_core import packets
from hibiscushatch_core.reasons import (
    DropReason,
    RefusalReason,
    RetryReason,
)

SYN_ACK = packets.TCP_SYN | packets.TCP_ACK
RESET = packets.TCP_RST | packets.TCP_ACK


async def test_a_refused_flow_is_placed_on_another_upstream() -> None:
    async with node_fixtures.lone_vm() as lone:
        lone.from_caller(packets.TCP_SYN)
        await node_fixtures.pass_time(0.1)
        first = lone.last_upstream()
        lone.from_upstream(first, RESET)
        await node_fixtures.pass_time(0.5)
        second, packet = lone.sender.to_upstreams[-1]
        assert second != first
        assert packet.data.flags == packets.TCP_SYN
        assert not lone.sender.to_callers
        retries = lone.vm.counters.retries
        assert retries[RetryReason.CONNECT_REFUSED] == 1


async def test_an_abandoned_upstream_is_reset_and_its_answer_kept_back() -> (
    None
):
    async with node_fixtures.lone_vm() as lone:
        lone.from_caller(packets.TCP_SYN)
        await node_fixtures.pass_time(0.1)
        first = lone.last_upstream()
        await node_fixtures.pass_time(2.5)
        sent_to_first = [
            packet.data.flags
            for address, packet in lone.sender.to_upstreams
            if address == first
        ]
        assert sent_to_first == [packets.TCP_SYN, packets.TCP_RST]
        lone.from_upstream(first, SYN_ACK)
        assert not lone.sender.to_callers
        assert lone.vm.counters.drops[DropReason.LATE_REPLY] == 1
        address, answer = lone.sender.to_upstreams[-1]
        assert address == first
        assert answer.data.flags & packets.TCP_RST


async def test_a_caller_is_refused_at_once_when_nothing_is_left() -> None:
    async with node_fixtures.lone_vm() as lone:
        lone.from_caller(packets.TCP_SYN)
        await node_fixtures.pass_time(0.1)
        for _ in node_fixtures.UPSTREAMS:
            lone.from_upstream(lone.last_upstream(), RESET)
            await node_fixtures.pass_time(1.8)
        refusal = lone.sender.to_callers[-1]
        assert refusal.data.flags & packets.TCP_RST
        refusals = lone.vm.counters.refusals
        assert sum(refusals.values()) == 1
        assert refusals.keys() <= {
            RefusalReason.UPSTREAM_REFUSED,
            RefusalReason.RETRY_BUDGET,
        }


async def test_a_callers_reset_cancels_its_placement() -> None:
    async with node_fixtures.lone_vm() as lone:
        lone.from_caller(packets.TCP_SYN)
        await node_fixtures.pass_time(0.1)
        lone.from_caller(packets.TCP_RST)
        await node_fixtures.pass_time(8)
        flags = [packet.data.flags for _, packet in lone.sender.to_upstreams]
        assert flags == [packets.TCP_SYN, packets.TCP_RST]
        assert not lone.sender.to_callers
