"""Starts entry VMs as the platform does, and keeps the record of a run."""

import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from net import Fabric

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ('pos-a', 'pos-b', 'pos-c')
RESTART_S = 0.5
ENDPOINT_HOST = '127.70.0.1'


def is_troubled():
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, path):
        self._lines = []
        self._path = pathlib.Path(path)
        self._began = time.monotonic()
        self.runs = {}

    def event(self, what, **fields):
        at = time.monotonic() - self._began
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._lines.append(f'{at:8.3f} {what} {text}'.rstrip())

    def ran(self, attempt, server):
        self.runs.setdefault(attempt, []).append(server)
        self.event('run', attempt=attempt, server=server)

    def say(self, text):
        self.event('RESULT', text=text)
        print(text)

    def save(self):
        self._path.write_text('\n'.join(self._lines) + '\n')


class EntryVm:
    """One machine with the role of the deploy file, and its process."""

    def __init__(self, number, zone, ports, store_address, folder, record):
        host = f'127.40.{number}.1'
        self.name = f'front-{zone}-{number}'
        self.zone = zone
        self.packet_address = (host, ports)
        self.ready_address = (host, ports + 1)
        self.control = f'{host}:{ports + 2}'
        self.own_ends = []
        self._record = record
        self._log = folder / f'{self.name}.log'
        self._settings = folder / f'{self.name}.json'
        self._fields = {
            'node': self.name, 'zone': zone, 'ip': host,
            'listen.datagram_addr': f'{host}:{ports}',
            'listen.ready': f'{host}:{ports + 1}',
            'listen.control': self.control,
            'internal_ports.0': ports + 10,
            'platform.address': '%s:%d' % store_address,
            'bounds.grace_s': 6, 'bounds.max_flow_s': 60,
        }
        self._process = None
        self._is_wanted = False
        self._expected = False

    @property
    def pid(self):
        return self._process.pid

    def write_settings(self, seeds, role):
        text = (ROOT / role['template']).read_text()
        text = re.sub(r'\{\{#seeds\}\}.*\{\{/seeds\}\}',
                      lambda _: ','.join(map(json.dumps, seeds)), text)
        text = re.sub(r'\{\{([a-z_.0-9]+)(\|json)?\}\}', self._fill, text)
        self._settings.write_text(text)
        self._command = [
            re.sub(r'\{\{([a-z_.0-9]+)(\|json)?\}\}', self._fill, word)
            for word in role['run'].split()
        ]

    def _fill(self, match):
        field = self._fields[match.group(1)]
        return json.dumps(field) if match.group(2) else str(field)

    def start(self):
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['HIBISCUSHATCH_SETTINGS'] = str(self._settings)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        self._is_wanted, self._expected = True, False
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log,
                stderr=log, stdin=subprocess.DEVNULL)
        self._record.event('start', vm=self.name, pid=self.pid)

    async def restart(self):
        """Stop the process with SIGTERM, and start it again."""
        self._expected = True
        self._process.terminate()
        self._record.event('SIGTERM', vm=self.name)
        while self._process.poll() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(RESTART_S)
        self.start()

    async def watch(self):
        """Restart the process when it has ended by itself."""
        while True:
            await asyncio.sleep(0.05)
            if (self._is_wanted and not self._expected
                    and self._process.poll() is not None):
                self._expected = True
                self.own_ends.append(time.monotonic())
                self._record.event('ended by itself', vm=self.name,
                                   code=self._process.returncode,
                                   log=self._last_line())
                await asyncio.sleep(RESTART_S)
                if self._is_wanted:
                    self.start()

    def _last_line(self):
        lines = self._log.read_text(errors='replace').splitlines()
        errors = [line for line in lines if 'Error' in line]
        return repr((errors or lines or [''])[-1][-120:])

    def stop(self):
        self._is_wanted = False
        if self._process and self._process.poll() is None:
            self._process.kill()
            self._process.wait()


class Deployment:
    """Store, entry VMs and fabric on loopback addresses and free ports."""

    def __init__(self, zones, seeds, store, record):
        self.record, self.store = record, store
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.port = _free_ports(len(zones))
        self.store_address = ('127.43.0.1', self.port + 20)
        self.vms = [
            EntryVm(number, zone, self.port, self.store_address, self.folder,
                    record)
            for number, zone in enumerate(zones)
        ]
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        (self._role,) = deploy['roles'].values()
        self.set_seeds(seeds)
        self.fabric = Fabric(self.vms)
        self.tasks = []

    def set_seeds(self, seeds):
        """Write the settings file of each machine."""
        controls = [self.vms[number].control for number in seeds]
        for vm in self.vms:
            vm.write_settings(controls, self._role)

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    async def start(self):
        await self.store.start(self.store_address)
        for vm in self.vms:
            vm.start()
            self.spawn(vm.watch())
        self.spawn(self.fabric.run())
        await self.until_ready()

    async def until_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while not all(map(self.fabric.in_rotation, self.vms)):
            if time.monotonic() > end:
                raise NotRunError('the entry VMs do not become ready')
            await asyncio.sleep(0.1)

    def stop(self):
        for vm in self.vms:
            vm.stop()
        for task in self.tasks:
            task.cancel()
        self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


class NotRunError(Exception):
    """The case could not run."""


def config(version, routes, services):
    """A configuration as the operator writes it.

    Args:
        routes: Port, service, kind, latency target and timeout of each.
        services: Name and cold_per_s of each service.
    """
    return json.dumps({
        'version': version,
        'routes': [
            {'name': f'r-{port}', 'host': ENDPOINT_HOST, 'prefix': f'/{port}/',
             'type': kind, 'timeout_ms': timeout_ms,
             'target_latency_ms': aim_ms, 'priority': 1, 'service': service, 'max_attempts': 2}
            for port, service, kind, aim_ms, timeout_ms in routes
        ],
        'services': [
            {'name': name, 'health_path': '/health', 'max_conns': 2000,
             'protocol': 'h1', 'tls': False, 'cold_start_s': 20.0,
             'cold_per_s': cold_per_s}
            for name, cold_per_s in services
        ],
        'limits': {'max_header_bytes': 16384, 'max_body_bytes': 262144,
                   'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
    }).encode()


def run_case(case, folder):
    """Run a case; exit with 1 if its rule broke, 0 if not, 2 if not run."""
    record = Record(pathlib.Path(folder) / 'record.txt')
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        is_broken = asyncio.run(case(record))
    except (NotRunError, OSError) as error:
        record.say(f'not run: {error!r}')
        raise SystemExit(2) from error
    finally:
        record.save()
    record.say('BROKEN' if is_broken else 'held')
    record.save()
    raise SystemExit(1 if is_broken else 0)


def _free_ports(vms):
    """Return the first of 24 ports that are free on all addresses used."""
    hosts = ['127.43.0.1', '127.50.0.1', '127.60.0.1',
             *(f'127.40.{number}.1' for number in range(vms))]
    base = 18000 + os.getpid() * 37 % 8000
    for start in range(base, base + 4000, 40):
        if all(_is_free(host, start + offset)
               for host in hosts for offset in range(24)):
            return start
    raise NotRunError('no free ports')


def _is_free(host, port):
    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True

