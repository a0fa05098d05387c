"""The platform's part: starts entry VMs as the deploy file says, and routes."""

import asyncio
import hashlib
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
_PROBE_S = 0.5
_PROBE_TIMEOUT_S = 0.4
_MISSES = 2
_RESTART_S = 0.5
_MB = 1_000_000
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


class EntryVm:
    """One machine with one process of the deploy file's role."""

    def __init__(
        self, name: str, zone: str, address: str, settings: dict
    ) -> None:
        self.name = name
        self.zone = zone
        self.address = address
        self.settings = settings
        self.is_wanted = False
        self.is_in_rotation = False
        self.misses = _MISSES
        self.own_ends: list[tuple[float, str]] = []
        self.peak_mb = 0.0
        self.started_at = 0.0
        self.starts = 0
        self.process: subprocess.Popen | None = None

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def packets(self) -> tuple[str, int]:
        """Where it takes the packets of clients."""
        return self.address, int(self.settings['packets'].rpartition(':')[2])


class Fleet:
    """All entry VMs, the check of their readiness, and the routers."""

    def __init__(self, memory_mb: int = 300) -> None:
        self.vms: list[EntryVm] = []
        self.memory_mb = memory_mb
        self._folder = tempfile.TemporaryDirectory()
        self._tasks: list[asyncio.Task] = []
        with (ROOT / 'deploy/system.toml').open('rb') as deploy:
            self._run = tomllib.load(deploy)['roles']['entry-vm']['run']
        self.is_over = False

    def add(self, vm: EntryVm) -> None:
        """Add a machine; its process is not started yet."""
        self.vms.append(vm)

    def start(self, vm: EntryVm) -> None:
        """Start the process of a machine."""
        path = pathlib.Path(self._folder.name) / f'{vm.name}.json'
        path.write_text(json.dumps(vm.settings))
        command = self._run.replace(
            '{{listen.datagram_addr}}', vm.settings['packets']
        ).split()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['HIBISCUSHATCH_SETTINGS'] = str(path)
        log = (pathlib.Path(self._folder.name) / f'{vm.name}.log').open('ab')
        with log:
            vm.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        vm.is_wanted = True
        vm.started_at = time.monotonic()
        vm.starts += 1

    def watch(self) -> None:
        """Probe readiness, restart what ended, and limit memory."""
        for vm in self.vms:
            self._tasks.append(asyncio.create_task(self._probe(vm)))
        self._tasks.append(asyncio.create_task(self._supervise()))

    def log_of(self, vm: EntryVm) -> str:
        """Return what a machine's processes wrote."""
        path = pathlib.Path(self._folder.name) / f'{vm.name}.log'
        return path.read_text(errors='replace') if path.exists() else ''

    async def wait_ready(self, within_s: float = 20) -> bool:
        """Wait until all machines are in rotation."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if all(vm.is_in_rotation for vm in self.vms):
                return True
            await asyncio.sleep(0.1)
        return False

    def route(self, zone: str, flow: tuple) -> EntryVm | None:
        """Choose the machine of a packet by a steady hash of its flow."""
        in_zone = [vm for vm in self.vms if vm.zone == zone]
        for group in (in_zone, self.vms):
            ready = [vm for vm in group if vm.is_in_rotation]
            if group is in_zone and 0 < len(ready) * 2 < len(group):
                ready = group
            if ready:
                return max(ready, key=lambda vm: _rank(vm.name, flow))
        return max(self.vms, key=lambda vm: _rank(vm.name, flow), default=None)

    async def terminate(self, vm: EntryVm, grace_s: float = 6) -> None:
        """Send SIGTERM, and SIGKILL after the grace."""
        vm.is_wanted = False
        process = vm.process
        process.send_signal(signal.SIGTERM)
        end = time.monotonic() + grace_s
        while process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        if process.poll() is None:
            process.kill()
            await asyncio.sleep(0.05)

    def stop(self) -> None:
        """End all processes."""
        self.is_over = True
        for task in self._tasks:
            task.cancel()
        for vm in self.vms:
            vm.is_wanted = False
            if vm.is_running:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
            if vm.process is not None:
                vm.process.wait()
        self._folder.cleanup()

    async def _probe(self, vm: EntryVm) -> None:
        host, _, port = vm.settings['readiness'].rpartition(':')
        while True:
            began = time.monotonic()
            if await _is_ready(host, int(port)):
                vm.misses = 0
                vm.is_in_rotation = True
            else:
                vm.misses += 1
                if vm.misses >= _MISSES:
                    vm.is_in_rotation = False
            await asyncio.sleep(_PROBE_S - (time.monotonic() - began))

    async def _supervise(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            for vm in self.vms:
                if not vm.is_wanted:
                    continue
                if not vm.is_running:
                    code = vm.process.returncode
                    vm.own_ends.append((time.monotonic(), f'exit {code}'))
                    vm.is_wanted = False
                    asyncio.get_running_loop().call_later(
                        _RESTART_S, self._restart, vm
                    )
                    continue
                used_mb = _memory_mb(vm.process.pid)
                vm.peak_mb = max(vm.peak_mb, used_mb)
                if used_mb > self.memory_mb:
                    vm.process.kill()
                    vm.process.wait()
                    vm.process.returncode = 'over memory'

    def _restart(self, vm: EntryVm) -> None:
        if not self.is_over:
            self.start(vm)


async def _is_ready(host: str, port: int) -> bool:
    writer = None
    try:
        async with asyncio.timeout(_PROBE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(
                f'GET /-/ready HTTP/1.1\r\nHost: {host}\r\n'
                'Connection: close\r\n\r\n'.encode()
            )
            line = await reader.readline()
            return b' 200' in line
    except (OSError, TimeoutError):
        return False
    finally:
        if writer is not None:
            writer.transport.abort()


def _rank(name: str, flow: tuple) -> bytes:
    return hashlib.blake2b(repr((name, flow)).encode(), digest_size=8).digest()


def _memory_mb(pid: int) -> float:
    try:
        pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    except OSError:
        return 0
    return int(pages) * _PAGE_BYTES / _MB
