"""Runs nine entry VM processes through planned changes while they carry flows.

The demo starts all processes on loopback addresses, commits a second manifest
and restarts an entry VM while flows are open, and prints its result as a JSON
object in the last line.
"""

import asyncio
import contextlib
import dataclasses
import json
import random
import signal
import sys
import time
from collections.abc import Sequence

import click

from hibiscushatch_core.settings import NodeSettings
from hibiscushatch_ops.callers import Callers, FlowOutcome, FlowPlan
from hibiscushatch_tools import demo_plan, entry_processes, loopback_net
from hibiscushatch_tools.admin_client import AdminClient
from hibiscushatch_tools.demo_result import NO_NEW_FLOWS_AFTER_S, DemoResult
from hibiscushatch_tools.fleet_processes import FleetProcesses
from hibiscushatch_tools.payload_ledger import PayloadLedger
from hibiscushatch_tools.process_network import (
    ProcessNetwork,
    connect_callers,
    connect_upstream,
)
from hibiscushatch_tools.upstream_standin import UpstreamStandIn

ENTRY_VMS = 9
FLOWS_DEFAULT = 1500
LOAD_TIMEOUT_S = 44.0
FLOW_OPENING_PERIOD_S = 18.0
SECOND_COMMIT_AT_S = 6.0
RESTART_AT_S = 9.0
POLL_INTERVAL_S = 0.1
RESTARTED_VM_INDEX = 4
EXIT_BROKEN_PROMISE = 1
EXIT_INTERRUPTED = 130


class Demo:
    """One run of the demo.

    Attributes:
        result: The figures of the run.

    Args:
        group: Starts the processes.
        flows: Number of flows.
        seed: Seed of the random choices of callers and stand-ins.
    """

    def __init__(
        self, group: entry_processes.ProcessGroup, flows: int, seed: int
    ) -> None:
        self.result = DemoResult()
        self._randomness = random.Random(seed)
        self._net = loopback_net.net_of_process()
        settings = entry_processes.build_fleet_settings(
            self._net, demo_plan.DOMAINS, ENTRY_VMS
        )
        self._admin = AdminClient()
        self._fleet = FleetProcesses(group, settings, self._admin)
        self._network = ProcessNetwork(settings, self._admin, self._randomness)
        self._ledger = PayloadLedger()
        first = demo_plan.first_manifest(self._net)
        self._flow_plans = tuple(
            demo_plan.flow_plans(first, flows, self._randomness)
        )
        self._second_committed_at_s = 0.0
        self._upstreams: dict[str, UpstreamStandIn] = {}

    @property
    def upstreams(self) -> Sequence[UpstreamStandIn]:
        """The stand-ins of all upstreams."""
        return tuple(self._upstreams.values())

    async def run(self) -> None:
        """Run the demo and fill in the result."""
        started_s = time.monotonic()
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._admin.aclose)
            stack.push_async_callback(self._fleet.close)
            stack.callback(self._network.close)
            await self._fleet.start(demo_plan.first_manifest(self._net))
            callers = await self._connect_stand_ins()
            await self._run_load(callers)
            await self._collect_results(callers)
        self.result.duration_s = round(time.monotonic() - started_s, 1)

    async def _connect_stand_ins(self) -> Callers:
        await self._network.refresh()
        second = demo_plan.second_manifest(self._net)
        for plan in demo_plan.upstream_plans(second):
            self._upstreams[plan.name] = connect_upstream(
                self._network, plan, self._ledger, self._randomness
            )
        fabric = self._fleet.settings[0].fabric
        return connect_callers(self._network, fabric.pair, self._randomness)

    async def _run_load(self, callers: Callers) -> None:
        """Open all flows, make the changes, and wait until all flows ended."""
        refresh_task = asyncio.create_task(self._network.run())
        try:
            async with asyncio.timeout(LOAD_TIMEOUT_S):
                await self._change_under_load(callers)
                await _wait_until_finished(callers)
        except TimeoutError:
            click.echo(f'not all flows have ended within {LOAD_TIMEOUT_S} s')
        finally:
            refresh_task.cancel()
            await callers.close()

    async def _change_under_load(self, callers: Callers) -> None:
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(_open_flows(callers, self._flow_plans))
            tasks.create_task(self._commit_second_manifest())
            tasks.create_task(self._restart_entry_vm())

    async def _commit_second_manifest(self) -> None:
        await asyncio.sleep(SECOND_COMMIT_AT_S)
        second = demo_plan.second_manifest(self._net)
        self._second_committed_at_s = time.monotonic()
        await self._fleet.commit(second)
        await self._admin.wait_for_generation(
            self._fleet.settings, second.generation
        )
        in_force_s = time.monotonic() - self._second_committed_at_s
        self.result.manifest_in_force_s = round(in_force_s, 2)

    async def _restart_entry_vm(self) -> None:
        await asyncio.sleep(RESTART_AT_S)
        started_s = time.monotonic()
        await self._add_counters(self._fleet.settings[RESTARTED_VM_INDEX])
        self.result.restart_exit_code = await self._fleet.stop_vm(
            RESTARTED_VM_INDEX
        )
        await self._fleet.start_vm(RESTARTED_VM_INDEX)
        self.result.restart_s = round(time.monotonic() - started_s, 2)

    async def _collect_results(self, callers: Callers) -> None:
        result = self.result
        result.record_flows(callers.records, callers.latencies_s)
        result.record_upstreams(self.upstreams, self._ledger)
        late_from_s = self._second_committed_at_s + NO_NEW_FLOWS_AFTER_S
        drained = self._new_flow_times_s(demo_plan.DRAINED_UPSTREAM)
        result.late_flows_on_drained = sum(
            time_s > late_from_s for time_s in drained
        )
        added = self._new_flow_times_s(demo_plan.ADDED_UPSTREAM)
        result.flows_on_added = len(added)
        result.stand_in_errors = self._network.unexpected_errors
        for settings in self._fleet.settings:
            await self._add_counters(settings)

    def _new_flow_times_s(self, name: str) -> Sequence[float]:
        return self._upstreams[name].totals.new_flow_times_s

    async def _add_counters(self, settings: NodeSettings) -> None:
        counters = await self._admin.fetch_counters(settings)
        self.result.add_refusals(counters.by_reason['refusals'])
        self.result.add_drops(counters.by_reason['drops'])


async def _open_flows(callers: Callers, plans: Sequence[FlowPlan]) -> None:
    opening_interval_s = FLOW_OPENING_PERIOD_S / max(len(plans), 1)
    loop = asyncio.get_running_loop()
    due_s = loop.time()
    for plan in plans:
        callers.open(plan)
        due_s += opening_interval_s
        await asyncio.sleep(max(due_s - loop.time(), 0))


async def _wait_until_finished(callers: Callers) -> None:
    while any(record.outcome is FlowOutcome.OPEN for record in callers.records):
        await asyncio.sleep(POLL_INTERVAL_S)


async def run_demo(flows: int, seed: int) -> Demo:
    """Run the demo in a new group of processes.

    Args:
        flows: Number of flows.
        seed: Seed of the random choices of callers and stand-ins.

    Returns:
        The finished demo.
    """
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    async with entry_processes.process_group() as group:
        demo = Demo(group, flows, seed)
        await demo.run()
        return demo


def print_upstreams(upstreams: Sequence[UpstreamStandIn]) -> None:
    """Print one line for each upstream."""
    row = '{:14} {:8} {:>9} {:>9} {:>12}'
    click.echo(
        row.format(
            'upstream', 'domain', 'new flows', 'peak open', 'misdelivered'
        )
    )
    for upstream in upstreams:
        totals = upstream.totals
        click.echo(
            row.format(
                upstream.plan.name,
                upstream.plan.domain,
                len(totals.new_flow_times_s),
                totals.peak_open,
                totals.misdelivered,
            )
        )


@click.command()
@click.option('--flows', default=FLOWS_DEFAULT, help='Number of flows.')
@click.option('--seed', default=1, help="Seed of the callers' choices.")
def main(flows: int, seed: int) -> None:
    """Run nine entry VMs through planned changes under load.

    The last line is a JSON object. The exit code is 1 if a promise was broken
    and 130 if the run was interrupted.
    """
    try:
        demo = asyncio.run(run_demo(flows, seed))
    except (asyncio.CancelledError, KeyboardInterrupt):
        click.echo('interrupted; all processes are stopped', err=True)
        sys.exit(EXIT_INTERRUPTED)
    print_upstreams(demo.upstreams)
    broken = tuple(demo.result.broken_promises())
    for promise in broken:
        click.echo(f'broken promise: {promise}')
    click.echo(json.dumps(dataclasses.asdict(demo.result)))
    sys.exit(EXIT_BROKEN_PROMISE if broken else 0)


if __name__ == '__main__':
    main()
