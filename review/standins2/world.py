"""A small deployment: store, entry VMs, servers, clients and an operator.

The figures are those of the small deployment that a case names.
"""

import asyncio
import json
import os
import pathlib
import secrets
import signal
import sys
import time

import wire
from clients import Client
from fleet import EntryVm, Fleet
from servers import Server
from store import Store

ZONES = ('pos-a', 'pos-b', 'pos-c')
HOLDS = 0
BROKEN = 1
CANNOT_RUN = 2


def is_troubled() -> bool:
    """Whether the disruption is played; TROUBLE=0 leaves it out."""
    return os.environ.get('TROUBLE', '1') != '0'


class World:
    """Everything around the entry VMs."""

    def __init__(self, vms: int = 6, clients: int = 6) -> None:
        base = 60 + secrets.randbelow(60)
        self._net = f'127.{base}'
        self._servers_made = 0
        vm_addresses = [f'{self._net}.{10 + index}.1' for index in range(vms)]
        client_addresses = [
            f'{self._net}.{100 + index}.1' for index in range(clients)
        ]
        store_address = f'{self._net}.1.1'
        ports = wire.free_ports(
            [*vm_addresses, *client_addresses, store_address], 7
        )
        self.packet_port, ready, control, metrics, store, *rest = ports
        self.server_port, self.other_port = rest
        self.store = Store(store_address, store)
        self.fleet = Fleet()
        self.servers: list[Server] = []
        self.version = 1
        self.notes: list[str] = []
        self.began = time.monotonic()
        seeds = [f'{address}:{control}' for address in vm_addresses[:3]]
        for index, address in enumerate(vm_addresses):
            self.fleet.add(
                EntryVm(
                    f'front-{index}',
                    ZONES[index % 3],
                    address,
                    {
                        'name': f'front-{index}',
                        'domain': ZONES[index % 3],
                        'packets': f'{address}:{self.packet_port}',
                        'readiness': f'{address}:{ready}',
                        'readiness_path': '/-/ready',
                        'control': f'{address}:{control}',
                        'publishers': seeds,
                        'metrics': f'{address}:{metrics}',
                        'store': {'address': f'{store_address}:{store}'},
                        'stop_grace_s': 6,
                        'flow_age_max_s': 60,
                    },
                )
            )
        self.clients = [
            Client(address, self.packet_port, ZONES[index % 3], self.fleet)
            for index, address in enumerate(client_addresses)
        ]

    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.notes.append(f'{self.now():8.3f} s  {text}')

    def new_address(self) -> tuple[str, int]:
        """Return an address for another server."""
        self._servers_made += 1
        return f'{self._net}.{180 + self._servers_made}.1', self.server_port

    def make_server(
        self,
        service: str,
        zone: str,
        address: tuple[str, int] | None = None,
        work_s: float = 0.04,
        name: str = '',
    ) -> Server:
        """Make a server; it is not started yet."""
        server = Server(
            name or f'i-{secrets.token_hex(5)}',
            service,
            zone,
            address or self.new_address(),
            self.packet_port,
            self.store,
            work_s,
        )
        self.servers.append(server)
        return server

    async def start(self, config: dict) -> None:
        """Start store, servers and entry VMs; wait until all are ready.

        Raises:
            RuntimeError: They did not become ready.
        """
        await self.store.start()
        await self.commit(config)
        for server in self.servers:
            await server.start()
        for client in self.clients:
            client.start()
        for vm in self.fleet.vms:
            self.fleet.start(vm)
        self.fleet.watch()
        if not await self.fleet.wait_ready():
            raise RuntimeError('the entry VMs did not become ready')
        # Longer than stable_window_ms, so that all machines are in touch.
        await asyncio.sleep(4.5)

    async def commit(self, config: dict) -> float:
        """Write a config; return when it was acknowledged."""
        self.version += 1 + secrets.randbelow(3)
        body = json.dumps({'version': self.version, **config}).encode()
        acked = await self.store.put('op/config', body)
        self.note(f'config {self.version} acknowledged, {len(body)} bytes')
        return acked

    def stop(self) -> None:
        """End everything."""
        self.fleet.stop()
        for server in self.servers:
            server.stop()
        for client in self.clients:
            client.stop()
        self.store.stop()


def route(
    name: str, host: str, port: int, service: str, kind: str = 'safe'
) -> dict:
    """Return a route of the config."""
    return {
        'name': name,
        'host': host,
        'prefix': f'/{port}/',
        'type': kind,
        'timeout_ms': 1200,
        'target_latency_ms': 200,
        'priority': 2,
        'service': service,
        'max_attempts': 2,
    }


def service(name: str) -> dict:
    """Return a service of the config."""
    return {
        'name': name,
        'health_path': '/health',
        'max_conns': 2000,
        'protocol': 'h1',
        'tls': False,
        'cold_start_s': 2.0,
        'cold_per_s': 0.0,
    }


LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 262144,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


def play(case, folder: str) -> None:
    """Play a case and exit with its result.

    Args:
        case: An async function; takes a World and returns the broken rules, one
            line each.
        folder: Where record.txt is written.
    """
    sys.exit(asyncio.run(_play(case, pathlib.Path(folder))))


async def _play(case, folder: pathlib.Path) -> int:
    result = CANNOT_RUN
    world = None
    playing = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
    try:
        world = World(**getattr(case, 'sizes', {}))
        async with asyncio.timeout(110):
            broken = await case(world)
        result = BROKEN if broken else HOLDS
        for line in broken:
            world.note(f'BROKEN: {line}')
        if not broken:
            world.note('the rule held')
    except (Exception, asyncio.CancelledError) as error:
        if world is not None:
            world.note(f'the case could not run: {error!r}')
        print(f'the case could not run: {error!r}', file=sys.stderr)
    finally:
        if world is not None:
            _write_record(world, folder)
            world.stop()
    return result


def _write_record(world: World, folder: pathlib.Path) -> None:
    lines = [f'trouble: {int(is_troubled())}', '', 'what happened', *world.notes]
    lines += ['', 'attempts: sent, route, entry VM, outcome, answer']
    for client in world.clients:
        for one in client.attempts:
            lines.append(
                f'{one.sent_at - world.began:8.3f} s  {one.attempt}  '
                f'{one.route}  {one.vm}  {one.outcome}  {one.answer}'
            )
    lines += ['', 'runs: at, server, service, attempt, route']
    for server in world.servers:
        for run in server.runs:
            lines.append(
                f'{run.at - world.began:8.3f} s  {server.name}  '
                f'{server.service}  {run.attempt}  {run.route}'
            )
    (folder / 'record.txt').write_text('\n'.join(lines) + '\n')
    for line in world.notes:
        print(line)
