"""An evacuation that is written during a listing never comes into force.

The servers of zone pos-b go down and come back together, cold, so that each
heartbeat changes their entries; this happens with TROUBLE=0 too. Then the store
is slow and discards its history, so that the first entry VM lists all items,
page by page. The operator evacuates pos-a after the first page, just before the
heartbeat of the servers in pos-b.
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

# discovery.page of the site files.
PAGE = 100
PER_ZONE = 96
HEARTBEAT_S = 1.2
# cold_start_s of the configuration.
COLD_S = 20.0
# cold_return: for_s is 4.5 in the site file; shorter than three heartbeats, so
# that no entry lapses.
DOWN_S = 3.0
# 4 ms an answer, times 60.
SLOW_S = 0.24
SLOW_FOR_S = 4.5
# bounds.evacuate_ms, max_stretch_ms and stable_window_ms.
EVACUATE_S, STRETCH_S, STABLE_S = 5.0, 12.0, 4.0
LENGTH_S = 35.0
CLIENTS = 40
EVACUATION = 'op/evacuate/pos-a'


async def case(record):
    store = Store(PAGE)
    zones = fleet.ZONES * 2
    deployment = fleet.Deployment(zones, (0, 1, 2), store, record)
    store.put('op/config', fleet.config(
        7, [(8443, 'booking', 'safe', 500, 5000)], [('booking', 0.0)]))
    numbers = random.Random(32)
    servers = [
        Server(number, 'booking', zone, deployment.port, store=store,
               record=record, heartbeat_s=HEARTBEAT_S,
               name=f'i-{numbers.getrandbits(32):08x}')
        for number, zone in enumerate(fleet.ZONES * PER_ZONE)
    ]
    cold = [server for server in servers if server.zone == 'pos-b']
    clients = []
    counts = {'served': 0, 'failed': 0}
    acked = asyncio.Event()

    async def beat():
        while True:
            for server in cold:
                server.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def evacuate():
        if not acked.is_set():
            store.put(EVACUATION, b'{}')
            acked.set()
            record.event('evacuation acknowledged', key=EVACUATION)

    def on_page(page, has_more, query):
        record.event('page', first=page[0], last=page[-1], more=has_more,
                     stale=query.get('allow_stale', 0))
        if 'after' not in query and 'allow_stale' not in query:
            evacuate()
            for server in cold:
                server.write_entry()
            record.event('heartbeat of the cold servers')

    try:
        for server in servers:
            server.start(beats=False)
            server.write_entry()
        await deployment.start()
        await asyncio.sleep(2)
        for number in range(CLIENTS):
            client = Client(number, zones[number % 6], deployment.port,
                            deployment.fabric, record)
            client.start()
            clients.append(client)
            deployment.spawn(_use(client, record, counts))
        await asyncio.sleep(1)
        for server in cold:
            server.go_down()
        record.event('servers down', zone='pos-b')
        await asyncio.sleep(DOWN_S)
        for server in cold:
            server.come_back(COLD_S)
        record.event('servers back', zone='pos-b')
        deployment.spawn(beat())
        await asyncio.sleep(2)
        if fleet.is_troubled():
            store.on_page = on_page
            record.event('store slow, hears nothing')
            store.answer_s = SLOW_S
            store.is_deaf = True
            await asyncio.sleep(1)
            store.is_deaf = False
            store.compact()
            record.event('history discarded')
            await asyncio.sleep(SLOW_FOR_S - 1)
            store.answer_s = 0.004
            record.event('store as usual')
            if not acked.is_set():
                raise fleet.NotRunError('no listing')
        else:
            evacuate()
            await asyncio.sleep(SLOW_FOR_S)
        usual_at = time.monotonic()
        await asyncio.sleep(LENGTH_S)
    finally:
        deployment.stop()
        for side in (*clients, *servers):
            side.stop()
    since = max(usual_at + STABLE_S, usual_at + EVACUATE_S + STRETCH_S)
    late = {}
    for server in servers:
        for at, key, node, _ in server.opened:
            if server.zone == 'pos-a' and at > since:
                late[node] = late.get(node, 0) + 1
                record.event('EVACUATED', server=server.name, node=node,
                             flow=key[:2], late_s=round(at - since, 2))
    record.say(f'{counts}; flows to servers of the evacuated zone later than '
               f'{EVACUATE_S + STRETCH_S:.0f} s after the acknowledgement and '
               f'the end of the disruption, by entry VM: {late or "none"}')
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
