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
    async with node_fixtures.single_vm() as harness:
        harness.from_caller(packets.TCP_SYN)
        await node_fixtures.pass_time(0.1)
        first = harness.last_upstream()
        harness.from_upstream(first, RESET)
        await node_fixtures.pass_time(0.5)
        second, packet = harness.sender.to_upstreams[-1]
        assert second != first
        assert packet.data.flags == packets.TCP_SYN
        assert not harness.sender.to_callers
        retries = harness.vm.counters.retries
        assert retries[RetryReason.CONNECT_REFUSED] == 1


async def test_a_timed_out_upstream_is_reset_and_its_late_answer_dropped() -> (
    None
):
    async with node_fixtures.single_vm() as harness:
        harness.from_caller(packets.TCP_SYN)
        await node_fixtures.pass_time(0.1)
        first = harness.last_upstream()
        await node_fixtures.pass_time(2.5)
        sent_to_first = [
            packet.data.flags
            for address, packet in harness.sender.to_upstreams
            if address == first
        ]
        assert sent_to_first == [packets.TCP_SYN, packets.TCP_RST]
        harness.from_upstream(first, SYN_ACK)
        assert not harness.sender.to_callers
        assert harness.vm.counters.drops[DropReason.LATE_REPLY] == 1
        address, answer = harness.sender.to_upstreams[-1]
        assert address == first
        assert answer.data.flags & packets.TCP_RST


async def test_a_caller_is_refused_at_once_when_no_upstream_is_left() -> None:
    async with node_fixtures.single_vm() as harness:
        harness.from_caller(packets.TCP_SYN)
        await node_fixtures.pass_time(0.1)
        for _ in node_fixtures.UPSTREAMS:
            harness.from_upstream(harness.last_upstream(), RESET)
            await node_fixtures.pass_time(1.8)
        refusal = harness.sender.to_callers[-1]
        assert refusal.data.flags & packets.TCP_RST
        refusals = harness.vm.counters.refusals
        assert sum(refusals.values()) == 1
        assert refusals.keys() <= {
            RefusalReason.UPSTREAM_REFUSED,
            RefusalReason.RETRY_BUDGET,
        }


async def test_a_reset_from_the_caller_cancels_the_placement() -> None:
    async with node_fixtures.single_vm() as harness:
        harness.from_caller(packets.TCP_SYN)
        await node_fixtures.pass_time(0.1)
        harness.from_caller(packets.TCP_RST)
        await node_fixtures.pass_time(8)
        flags = [packet.data.flags for _, packet in harness.sender.to_upstreams]
        assert flags == [packets.TCP_SYN, packets.TCP_RST]
        assert not harness.sender.to_callers
