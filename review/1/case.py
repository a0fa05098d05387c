"""A restart after a change of the seeds' order hides all later changes.

The settings file of each machine gets the seeds in another order; one entry VM
is stopped and started again, as in planned work. Then the operator evacuates a
zone.
"""

import asyncio
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common'))

import fleet  # noqa: E402
from net import Client, FlowError, Server  # noqa: E402
from store import Store  # noqa: E402

# bounds.evacuate_ms and stable_window_ms.
EVACUATE_S, STABLE_S = 5.0, 4.0
LENGTH_S = 20.0
CLIENTS = 30
SEEDS = (0, 1, 2)
SEEDS_LATER = (1, 0, 2)


async def case(record):
    store = Store()
    zones = fleet.ZONES * 2
    deployment = fleet.Deployment(zones, SEEDS, store, record)
    store.put('op/config', fleet.config(
        7, [(8443, 'booking', 'safe', 500, 5000)], [('booking', 0.0)]))
    servers = [
        Server(number, 'booking', zone, deployment.port, store=store,
               record=record)
        for number, zone in enumerate(fleet.ZONES * 3)
    ]
    clients = [
        Client(number, zones[number % 6], deployment.port, deployment.fabric,
               record)
        for number in range(CLIENTS)
    ]
    counts = {'served': 0, 'failed': 0}
    try:
        for server in servers:
            server.start()
        await deployment.start()
        for client in clients:
            client.start()
            deployment.spawn(_use(client, record, counts))
        await asyncio.sleep(3)
        if fleet.is_troubled():
            deployment.set_seeds(SEEDS_LATER)
            record.event('settings files changed', seeds=SEEDS_LATER)
        await deployment.vms[0].restart()
        await deployment.until_ready()
        await asyncio.sleep(STABLE_S + 1)
        store.put('op/evacuate/pos-a', b'{}')
        acked_at = time.monotonic()
        record.event('evacuation acknowledged', key='op/evacuate/pos-a')
        await asyncio.sleep(LENGTH_S)
    finally:
        deployment.stop()
        for side in (*clients, *servers):
            side.stop()
    late = {}
    for server in servers:
        for at, key, node, _ in server.opened:
            if server.zone == 'pos-a' and at > acked_at + EVACUATE_S:
                late[node] = late.get(node, 0) + 1
                record.event('EVACUATED', server=server.name, node=node,
                             flow=key[:2], after_ack_s=round(at - acked_at, 2))
    record.say(f'{counts}; flows to servers of the evacuated zone later than '
               f'{EVACUATE_S} s after the acknowledgement, by entry VM: '
               f'{late or "none"}')
    if not counts['served']:
        raise fleet.NotRunError('nothing was served')
    return bool(late)


async def _use(client, record, counts):
    number = 0
    while True:
        await asyncio.sleep(random.uniform(0.1, 0.4))
        number += 1
        attempt = f'{client.host}-{number}'
        flow = client.open_flow((fleet.ENDPOINT_HOST, 8443))
        try:
            record.event('sent', attempt=attempt)
            await flow.open()
            await flow.request('GET', attempt, 1.5)
            record.event('answered', attempt=attempt)
            counts['served'] += 1
        except FlowError as error:
            record.event('failed', attempt=attempt, kind=repr(str(error)))
            counts['failed'] += 1
        flow.close()


fleet.run_case(case, HERE)
