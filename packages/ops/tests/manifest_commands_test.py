"""Tests of hibiscushatch_ops.manifest_commands through the command line."""

import json

import ops_fixtures

from hibiscushatch_ops.console import ExitCode
from hibiscushatch_tools.platform_store import PlatformFaults
from hibiscushatch_tools.testing import real_time


@real_time
async def test_check_lists_every_problem_with_its_path() -> None:
    async with ops_fixtures.ops_harness() as harness:
        upstreams = [{'name': 'one', 'domain': 'elsewhere'}, {'name': 'one'}]
        wrong = harness.write(
            'wrong.json', {'services': [{'upstreams': upstreams}]}
        )
        outcome = await ops_fixtures.run_command(
            'manifest', 'check', wrong, '--json'
        )
        assert outcome.exit_code == ExitCode.INVALID
        error = json.loads(outcome.stdout)
        paths = {one['path'] for one in error['problems']}
        assert {
            'generation',
            'failure_domains',
            'services[0].name',
            'services[0].upstreams[0].address',
            'services[0].upstreams[0].domain',
            'services[0].upstreams[1].name',
        } <= paths
        text = await ops_fixtures.run_command('manifest', 'check', wrong)
        assert text.exit_code == ExitCode.INVALID
        assert '  services[0].upstreams[1].name: one is' in text.stderr


@real_time
async def test_check_refuses_a_generation_that_does_not_rise() -> None:
    async with ops_fixtures.ops_harness() as harness:
        first = harness.write_manifest(1)
        second = harness.write_manifest(2)
        check = ('manifest', 'check')
        table = (
            ((*check, second, '--previous', first), ExitCode.OK),
            ((*check, first, '--previous', second), ExitCode.INVALID),
            ((*check, first, '--previous', first), ExitCode.INVALID),
            ((*check, 'missing.json'), ExitCode.INVALID),
            ((*check, first, '--unknown'), ExitCode.INVALID),
            (('manifest', 'diff', first, second), ExitCode.OK),
        )
        for arguments, code in table:
            outcome = await ops_fixtures.run_command(*arguments)
            assert outcome.exit_code == code, (arguments, outcome.output)


@real_time
async def test_commit_exit_code_tells_the_outcome() -> None:
    async with ops_fixtures.ops_harness() as harness:
        first = harness.write_manifest(1)
        second = harness.write_manifest(2)
        third = harness.write_manifest(3)
        outage = PlatformFaults(outage=True)
        lost = PlatformFaults(lost_answers=1)
        stale = PlatformFaults(lost_answers=9, stale_revision=2)
        short_deadline = ('--deadline-s', '1')
        fourth = harness.write_manifest(4)
        table = (
            (PlatformFaults(), (second,), ExitCode.OK),
            (PlatformFaults(), (first,), ExitCode.CONFLICT),
            (outage, (third, *short_deadline), ExitCode.PLATFORM_UNAVAILABLE),
            (PlatformFaults(), (second,), ExitCode.CONFLICT),
            (lost, (third,), ExitCode.OK),
            (stale, (fourth, *short_deadline), ExitCode.OUTCOME_UNKNOWN),
        )
        for faults, arguments, code in table:
            harness.store.inject(faults)
            outcome = await harness.run('manifest', 'commit', *arguments)
            assert outcome.exit_code == code, (arguments, outcome.output)
        harness.store.inject(PlatformFaults())
        assert harness.committed_manifest().mod_revision == 3
        commit_id = outcome.stderr.split()[-1]
        settled = await harness.run(
            'manifest', 'commit', '--commit-id', commit_id, fourth, '--json'
        )
        assert json.loads(settled.stdout)['generation'] == 4
        assert harness.committed_manifest().mod_revision == 3


@real_time
async def test_commit_reports_what_it_changed() -> None:
    async with ops_fixtures.ops_harness() as harness:
        await harness.run('manifest', 'commit', harness.write_manifest(1))
        example = json.loads(
            (ops_fixtures.EXAMPLES / 'port-of-spain.json').read_text()
        )
        booking, documents = example['services']
        documents['upstreams'].append(booking['upstreams'].pop())
        moved = harness.write('moved.json', dict(example, generation=2))
        outcome = await harness.run('manifest', 'commit', moved, '--json')
        difference = json.loads(outcome.stdout)['difference']
        assert difference['moved_addresses'] == [
            {
                'address': '10.20.1.7',
                'from_service': 'booking',
                'to_service': 'documents',
            }
        ]


@real_time
async def test_status_shows_what_is_committed_and_in_force() -> None:
    async with ops_fixtures.ops_harness() as harness:
        await harness.run('manifest', 'commit', harness.write_manifest(7))
        report = ops_fixtures.node_report('a1', 'pos-a', 6)
        fake = await harness.add_entry_vm(report)
        harness.add_to_vm_list('b1', 'pos-b')
        outcome = await harness.run('manifest', 'status', '--json')
        status = json.loads(outcome.stdout)
        assert status['committed_generation'] == 7
        found = {one['name']: one for one in status['entry_vms']}
        assert found['a1']['generation'] == 6
        assert found['b1']['state'] == 'silent'
        harness.store.inject(PlatformFaults(outage=True))
        unavailable = await harness.run('manifest', 'status')
        assert unavailable.exit_code == ExitCode.PLATFORM_UNAVAILABLE
        host, port = fake.address
        with_vm_option = await harness.run(
            'manifest', 'status', '--vm', f'{host}:{port}', '--json'
        )
        status = json.loads(with_vm_option.stdout)
        assert status['committed_generation'] is None
        assert [one['name'] for one in status['entry_vms']] == ['a1']


@real_time
async def test_wait_ends_when_live_entry_vms_have_the_generation() -> None:
    async with ops_fixtures.ops_harness() as harness:
        peer = ops_fixtures.member('b1', 'pos-b', 5)
        report = ops_fixtures.node_report('a1', 'pos-a', 5, (peer,))
        await harness.add_entry_vm(report)
        behind = await harness.add_entry_vm(
            ops_fixtures.node_report('a2', 'pos-a', 4)
        )
        harness.add_to_vm_list('b1', 'pos-b')
        harness.add_to_vm_list('c1', 'pos-c')
        pending = await harness.run('manifest', 'wait', '5', '--timeout-s', '0')
        assert pending.exit_code == ExitCode.NOT_IN_FORCE
        assert 'pending: a2 pos-a generation 4' in pending.stdout
        assert 'unreachable failure domain: pos-c' in pending.stdout
        behind.report = ops_fixtures.node_report('a2', 'pos-a', 5)
        done = await harness.run('manifest', 'wait', '5', '--json')
        assert done.exit_code == ExitCode.OK
        names = [one['name'] for one in json.loads(done.stdout)['done']]
        assert names == ['a1', 'a2', 'b1']
