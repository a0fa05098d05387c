"""Runs a fleet on loopback for experiments until it is interrupted.

It starts the platform stand-in, entry VMs and upstream stand-ins, and prints
the ``hibiscushatch load`` command that sends load to them.
"""

import asyncio
import contextlib
import random
import signal

import click

from hibiscushatch_tools import demo_plan, loopback_net
from hibiscushatch_tools.admin_client import AdminClient
from hibiscushatch_tools.entry_processes import (
    ProcessGroup,
    build_fleet_settings,
    process_group,
)
from hibiscushatch_tools.fleet_processes import FleetProcesses
from hibiscushatch_tools.payload_ledger import PayloadLedger
from hibiscushatch_tools.process_network import (
    ProcessNetwork,
    connect_upstream,
)

ENTRY_VMS_DEFAULT = 3


class LocalFleet:
    """Entry VMs, the platform and upstreams of the demo's first manifest.

    Args:
        group: Starts the processes.
        vm_count: Number of entry VMs.
        seed: Seed of the random choices of the stand-ins.
    """

    def __init__(self, group: ProcessGroup, vm_count: int, seed: int) -> None:
        self._net = loopback_net.net_of_process()
        self._settings = build_fleet_settings(
            self._net, demo_plan.DOMAINS, vm_count
        )
        self._randomness = random.Random(seed)
        self._group = group

    @property
    def load_arguments(self) -> str:
        """Arguments of ``hibiscushatch load`` that call the first service."""
        edges = ' '.join(
            f'--edge {settings.edge.address}:{settings.edge.port}'
            for settings in self._settings
        )
        fabric = self._settings[0].fabric
        service = demo_plan.SERVICES[0]
        return (
            f'{edges} --fabric {fabric.address}:{fabric.port} '
            f'--service {service.address}:{demo_plan.SERVICE_PORT}'
        )

    async def run(self) -> None:
        """Run the fleet until cancelled."""
        manifest = demo_plan.first_manifest(self._net)
        ledger = PayloadLedger()
        async with contextlib.aclosing(AdminClient()) as admin:
            fleet = FleetProcesses(self._group, self._settings, admin)
            network = ProcessNetwork(self._settings, admin, self._randomness)
            await fleet.start(manifest)
            for plan in demo_plan.upstream_plans(manifest):
                connect_upstream(network, plan, ledger, self._randomness)
            click.echo(f'hibiscushatch load {self.load_arguments}')
            try:
                await network.run()
            finally:
                network.close()
                await fleet.close()


async def _run(vm_count: int, seed: int) -> None:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    async with process_group() as group:
        await LocalFleet(group, vm_count, seed).run()


@click.command()
@click.option(
    '--entry-vms', default=ENTRY_VMS_DEFAULT, help='Number of entry VMs.'
)
@click.option('--seed', default=1, help="Seed of the stand-ins' choices.")
def main(entry_vms: int, seed: int) -> None:
    """Run a fleet with stand-ins until SIGTERM or Ctrl-C."""
    with contextlib.suppress(asyncio.CancelledError, KeyboardInterrupt):
        asyncio.run(_run(entry_vms, seed))


if __name__ == '__main__':
    main()
