"""Tests of hibiscushatchd as a real process on loopback addresses."""

import asyncio
import contextlib
import json
import socket
import sys
from collections.abc import AsyncIterator

from hibiscushatch_core import udp_socket
from hibiscushatch_core.settings import NodeSettings
from hibiscushatch_node import main as node_main
from hibiscushatch_tools import demo_plan, entry_processes, loopback_net
from hibiscushatch_tools.admin_client import AdminClient
from hibiscushatch_tools.fleet_processes import FleetProcesses
from hibiscushatch_tools.testing import real_time


async def _run_daemon(*arguments: str) -> tuple[int, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        node_main.__name__,
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()


def _one_vm_settings() -> NodeSettings:
    return entry_processes.build_fleet_settings(
        loopback_net.net_of_process(), demo_plan.DOMAINS, 1
    )[0]


@contextlib.asynccontextmanager
async def _single_vm_fleet() -> AsyncIterator[FleetProcesses]:
    admin = AdminClient()
    async with entry_processes.process_group() as group:
        fleet = FleetProcesses(group, [_one_vm_settings()], admin)
        await fleet.start(
            demo_plan.first_manifest(loopback_net.net_of_process())
        )
        yield fleet
        await fleet.close()
        await admin.aclose()


@real_time
async def test_all_wrong_settings_are_reported_and_exit_code_is_2() -> None:
    fields = json.loads(_one_vm_settings().model_dump_json())
    fields['edge']['port'] = 0
    fields['peer_keys'] = ['short']
    fields['log_level'] = 'LOUD'
    async with entry_processes.process_group() as group:
        path = group.folder / 'wrong.json'
        path.write_text(json.dumps(fields))
        code, output = await _run_daemon('--settings', str(path))
        missing = await _run_daemon('--settings', str(group.folder / 'missing'))
    assert code == node_main.EXIT_INVALID_SETTINGS
    for field in ('edge.port:', 'peer_keys[0]:', 'log_level:'):
        assert field in output
    assert missing[0] == node_main.EXIT_INVALID_SETTINGS


@real_time
async def test_check_option_reads_settings_and_starts_nothing() -> None:
    async with entry_processes.process_group() as group:
        arguments = group.write_settings(_one_vm_settings())
        code, output = await _run_daemon(*arguments, '--check')
    assert code == 0
    assert 'entry-1' in output


@real_time
async def test_a_process_serves_and_sigterm_stops_it_gracefully() -> None:
    async with _single_vm_fleet() as fleet:
        admin = AdminClient()
        settings = fleet.settings[0]
        assert await admin.fetch_generation(settings) == 1
        assert await fleet.stop_vm(0) == 0
        assert not await admin.is_ready(settings)
        await fleet.start_vm(0)
        assert await admin.fetch_generation(settings) == 1
        await admin.aclose()


@real_time
async def test_an_address_in_use_fails_the_start_with_exit_code_1() -> None:
    fleet = entry_processes.build_fleet_settings(
        loopback_net.net_of_process(), demo_plan.DOMAINS, 4
    )
    addresses = (
        (udp_socket.open_udp_socket, fleet[0].edge),
        (udp_socket.open_udp_socket, fleet[1].relay),
        (socket.create_server, fleet[2].control),
        (socket.create_server, fleet[3].admin),
    )
    async with entry_processes.process_group() as group:
        with contextlib.ExitStack() as open_sockets:
            for open_socket, address in addresses:
                open_sockets.enter_context(open_socket(address.pair))
            outcomes = await asyncio.gather(
                *(
                    _run_daemon(*group.write_settings(settings))
                    for settings in fleet
                )
            )
    for code, output in outcomes:
        assert code == node_main.EXIT_FAILED, output
        assert 'could not start' in output, output
