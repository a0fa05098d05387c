"""Tests of hibiscushatch_ops.status_command through the command line."""

import json

import ops_fixtures

from hibiscushatch_ops.console import ExitCode
from hibiscushatch_tools.platform_store import PlatformFaults
from hibiscushatch_tools.testing import real_time


@real_time
async def test_status_adds_up_the_counts_of_entry_vms() -> None:
    async with ops_fixtures.ops_harness() as harness:
        for name, generation in (('a1', 4), ('a2', 5)):
            report = ops_fixtures.node_report(name, 'pos-a', generation)
            await harness.add_entry_vm(report)
        harness.add_to_vm_list('b1', 'pos-b')
        outcome = await harness.run('status', '--json')
        status = json.loads(outcome.stdout)
        assert status['silent'] == ['b1']
        assert status['generations'] == {'4': 1, '5': 1}
        assert status['refusals'] == {'no_room': 4}
        service = status['services'][0]
        assert service['buckets_in_motion'] == 2
        assert service['upstreams'][0]['open_flows'] == 20
        text = (await harness.run('status')).stdout
        assert 'booking: 256 buckets, 2 in motion' in text
        assert 'refusals no_room: 4' in text


@real_time
async def test_status_exit_code_tells_what_failed() -> None:
    async with ops_fixtures.ops_harness() as harness:
        empty = await harness.run('status')
        assert empty.exit_code == ExitCode.NO_ENTRY_VM
        harness.add_to_vm_list('b1', 'pos-b')
        unanswered = await harness.run('status')
        assert unanswered.exit_code == ExitCode.NO_ENTRY_VM
        harness.store.inject(PlatformFaults(outage=True))
        unavailable = await harness.run('status')
        assert unavailable.exit_code == ExitCode.PLATFORM_UNAVAILABLE
        wrong = await harness.run('status', '--vm', 'nowhere')
        assert wrong.exit_code == ExitCode.INVALID


@real_time
async def test_a_refused_key_is_reported() -> None:
    async with ops_fixtures.ops_harness() as harness:
        report = ops_fixtures.node_report('a1', 'pos-a', 4)
        await harness.add_entry_vm(report)
        settings = json.loads((harness.folder / 'settings.json').read_text())
        settings['admin_key'] = 'another-key-of-tests'
        harness.write('settings.json', settings)
        commands = (
            ('status',),
            ('manifest', 'status'),
            ('manifest', 'wait', '4'),
        )
        for command in commands:
            outcome = await harness.run(*command, '--json')
            assert outcome.exit_code == ExitCode.NO_ENTRY_VM
            error = json.loads(outcome.stdout)
            assert error['error'] == 'AuthenticationError'
            assert error['peer'] == 'a1'
