"""An entry of another writer in the registry ends every entry VM.

The entry is written twice, in two forms: as one of a service that the
configuration does not name, complete and under a longer id; then as bytes that
can't be read, under an id like those of servers. Each stays for 6 s.
"""

import asyncio
import json
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common'))

import fleet  # noqa: E402
from net import Client, FlowError, Server  # noqa: E402
from store import Store  # noqa: E402

STAY_S = 6.0
CALM_S = 6.0
CLIENTS = 12
ENTRIES = (
    ('a service that is not named',
     'servers/agent-9f86d081884c7d659a2feaa0c55ad015',
     json.dumps({
         'service': 'backup', 'address': '127.50.9.9:9100', 'zone': 'pos-a',
         'version': 'v1', 'slots': 1, 'state': 'ready', 'cold_left_ms': 0,
         'born': 1796000000000, 'seq': 1}).encode()),
    ('bytes that cannot be read', 'servers/i-7f3a91c2',
     b'{"labels":' + b'[' * 3000),
)


async def case(record):
    store = Store()
    deployment = fleet.Deployment(fleet.ZONES, (0, 1, 2), store, record)
    store.put('op/config', fleet.config(
        7, [(8443, 'booking', 'safe', 500, 5000)], [('booking', 0.0)]))
    servers = [
        Server(number, 'booking', zone, deployment.port, store=store,
               record=record)
        for number, zone in enumerate(fleet.ZONES * 2)
    ]
    clients = [
        Client(number, fleet.ZONES[number % 3], deployment.port,
               deployment.fabric, record)
        for number in range(CLIENTS)
    ]
    outcomes = []
    users = []
    broken = []
    try:
        for server in servers:
            server.start()
        await deployment.start()
        for client in clients:
            client.start()
            users.append(deployment.spawn(_use(client, record, outcomes)))
        await asyncio.sleep(CALM_S / 2)
        for what, key, value in ENTRIES:
            began = time.monotonic()
            if fleet.is_troubled():
                store.put(key, value)
                record.event('entry written', key=key, bytes=len(value))
            await asyncio.sleep(STAY_S)
            ended = time.monotonic()
            ends = [
                sum(began <= at <= ended for at in vm.own_ends)
                for vm in deployment.vms
            ]
            served = [ok for at, ok in outcomes if began + 1 <= at <= ended]
            record.say(f'{what}: ends by themselves {ends}, '
                       f'served {sum(served)} of {len(served)} attempts')
            # Faults: three ends on a tenth of the machines, two at least.
            if sum(count >= 3 for count in ends) >= 2:
                broken.append(what)
            if fleet.is_troubled():
                store.put(key, None)
                record.event('entry removed', key=key)
            await asyncio.sleep(2)
            await deployment.until_ready()
            await asyncio.sleep(2)
        if not any(ok for _, ok in outcomes):
            raise fleet.NotRunError('nothing was served')
    finally:
        for user in users:
            user.cancel()
        deployment.stop()
        for end in (*clients, *servers):
            end.stop()
    return bool(broken)


async def _use(client, record, outcomes):
    number = 0
    while True:
        await asyncio.sleep(random.uniform(0.05, 0.25))
        number += 1
        attempt = f'{client.host}-{number}'
        flow = client.open_flow((fleet.ENDPOINT_HOST, 8443))
        sent_at = time.monotonic()
        try:
            record.event('sent', attempt=attempt)
            await flow.open()
            await flow.request('GET', attempt, 1.5)
            record.event('answered', attempt=attempt)
            outcomes.append((sent_at, True))
        except FlowError as error:
            record.event('failed', attempt=attempt, kind=repr(str(error)))
            outcomes.append((sent_at, False))
        flow.close()


fleet.run_case(case, HERE)
