"""Packets of the platform, and stand-ins of its servers and clients.

Written from PROTOCOL.md ("Packets", "Flows", "Servers"); the standard library
is all that it needs.
"""

import asyncio
import collections
import dataclasses
import json
import random
import socket
import struct
import time
import zlib

HEADER = struct.Struct('<BBIIIHIHIIH')
SYN, ACK, FIN, RST, BOUNCED = 2, 32, 8, 128, 16
_KEY = b'stand-ins only'
SYN_COPY_AT_S = (0.0, 0.2, 0.6)
SYN_END_S = 1.4
RETRY_FIRST_S = 0.2
RETRY_MAX_S = 1.6
RETRIES = 8


def to_int(host):
    return int.from_bytes(socket.inet_aton(host), 'big')


def to_host(number):
    return socket.inet_ntoa(number.to_bytes(4, 'big'))


@dataclasses.dataclass
class Packet:
    flags: int
    seq: int
    ack: int
    echo: int
    dport: int
    dst: int
    src: int
    sport: int
    data: bytes = b''
    sum: int = 0

    def keyed_sum(self):
        fields = HEADER.pack(
            self.flags & ~BOUNCED, 0, self.seq, self.ack, 0, len(self.data), 0,
            self.dport, self.dst, self.src, self.sport,
        )
        return zlib.crc32(_KEY + fields + self.data) or 1

    def to_bytes(self):
        return HEADER.pack(
            self.flags, 0, self.seq, self.ack, self.echo, len(self.data),
            self.keyed_sum(), self.dport, self.dst, self.src, self.sport,
        ) + self.data

    @classmethod
    def parse(cls, raw):
        if len(raw) < HEADER.size:
            return None
        (flags, _, seq, ack, echo, length, total, dport, dst, src, sport) = (
            HEADER.unpack_from(raw)
        )
        data = raw[HEADER.size:HEADER.size + length]
        return cls(flags, seq, ack, echo, dport, dst, src, sport, data, total)

    @property
    def is_sound(self):
        return self.sum == self.keyed_sum()


def open_udp(address):
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    udp.bind(address)
    udp.setblocking(False)
    return udp


@dataclasses.dataclass
class _ServerFlow:
    seq: int
    client: tuple
    echo: int = 0
    is_open: bool = False
    is_answered: bool = False
    expects: int = 0
    sent_to: int = 0
    acked_to: int = 0
    is_fin_sent: bool = False
    last_at: float = 0.0


class Server:
    """One server: slots, a queue, flows, and its entry in the store.

    Args:
        number: Gives its id and address.
        service, zone: Where it belongs.
        port: Port of clients.
        link: Called with each packet to a client; False loses the packet.
    """

    def __init__(self, number, service, zone, port, *, store, record, slots=3,
                 work_s=0.04, cold_s=0.0, heartbeat_s=1.2, link=None,
                 name=None):
        self.name = name or f'i-{0x5A000000 + number * 7919:08x}'
        self.number = int(self.name.rpartition('-')[2], 16)
        self.service, self.zone = service, zone
        self.address = (f'127.50.{number // 200}.{number % 200 + 1}', port + 3)
        self.client_port = port
        self.slots, self.work_s = slots, work_s
        self.state = 'ready'
        self.born_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.cold_until = self.born_at + cold_s
        # Time, flow, sending node and copy of each new flow taken.
        self.opened = []
        self.corrupt = 0
        self.foreign = 0
        self.resets_sent = 0
        self._store, self._record = store, record
        self._heartbeat_s = heartbeat_s
        self._link = link or (lambda server, packet: True)
        self._seq_no = 0
        self._written = None
        self._flows, self._ended = {}, set()
        self._busy = 0
        self._queue = collections.deque()
        self._udp = open_udp(self.address)
        self._tasks = set()

    def start(self, beats=True):
        loop = asyncio.get_running_loop()
        loop.add_reader(self._udp, self._receive)
        if beats:
            self._spawn(self._beat())

    def stop(self):
        asyncio.get_running_loop().remove_reader(self._udp)
        for task in self._tasks:
            task.cancel()
        self._udp.close()

    def go_down(self):
        asyncio.get_running_loop().remove_reader(self._udp)
        for task in self._tasks:
            task.cancel()
        self._flows.clear()
        self._queue.clear()
        self._busy = 0

    def come_back(self, cold_s):
        """Start again under the same id, cold; nothing of before is known."""
        self.born_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.cold_until = self.born_at + cold_s
        self._seq_no = 0
        while True:
            try:
                self._udp.recv(4096)
            except BlockingIOError:
                break
        asyncio.get_running_loop().add_reader(self._udp, self._receive)
        self.write_entry()

    @property
    def cold_left_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(self._heartbeat_s)

    def write_entry(self):
        entry = {
            'service': self.service, 'address': '%s:%d' % self.address,
            'zone': self.zone, 'version': 'v1', 'slots': self.slots,
            'state': self.state, 'cold_left_ms': self.cold_left_ms,
            'born': self.born,
        }
        if entry != self._written:
            self._seq_no += 1
            self._written = entry
            self._store.put(
                f'servers/{self.name}',
                json.dumps({**entry, 'seq': self._seq_no}).encode(),
            )

    def _receive(self):
        while True:
            try:
                raw, sender = self._udp.recvfrom(4096)
            except BlockingIOError:
                return
            target = int.from_bytes(raw[:8], 'big')
            if target not in (0, self.number):
                self.foreign += 1
                continue
            packet = Packet.parse(raw[8:])
            if packet is None or not packet.is_sound:
                self.corrupt += 1
                continue
            self._handle(packet, sender[0])

    def _handle(self, packet, node):
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self._flows.get(key)
        if packet.flags & SYN:
            self._handle_syn(key, flow, packet, node)
        elif key in self._ended:
            self._send(key, ACK if packet.flags & FIN else RST, packet.ack,
                       packet.seq, packet.echo)
        elif flow is None or (
            not flow.is_open and packet.ack != flow.seq + 1
        ):
            # It holds no such flow: the client acknowledges another server.
            self.resets_sent += 1
            self._send(key, RST, packet.ack, packet.seq, packet.echo)
        else:
            self._handle_open(key, flow, packet)

    def _handle_syn(self, key, flow, packet, node):
        if flow is None:
            flow = _ServerFlow(random.getrandbits(31), key)
            flow.expects = packet.seq + 1
            self._flows[key] = flow
            self.opened.append((time.monotonic(), key, node, packet.ack))
            self._spawn(self._retry_syn_ack(key, flow))
        flow.echo = packet.echo
        if not flow.is_open:
            self._send_syn_ack(key, flow)

    def _send_syn_ack(self, key, flow):
        self._send(key, SYN | ACK, flow.seq, flow.expects, flow.echo)

    async def _retry_syn_ack(self, key, flow):
        wait_s = RETRY_FIRST_S
        for _ in range(RETRIES):
            await asyncio.sleep(wait_s)
            wait_s = min(RETRY_MAX_S, wait_s * 2)
            if flow.is_open or self._flows.get(key) is not flow:
                return
            self._send_syn_ack(key, flow)
        await asyncio.sleep(wait_s)
        if not flow.is_open:
            self._flows.pop(key, None)

    def _handle_open(self, key, flow, packet):
        flow.echo = packet.echo
        flow.last_at = time.monotonic()
        if not flow.is_open:
            flow.is_open = True
            flow.sent_to = flow.acked_to = flow.seq + 1
        flow.acked_to = max(flow.acked_to, packet.ack)
        if packet.flags & RST:
            self._flows.pop(key, None)
            return
        if packet.data and packet.seq == flow.expects:
            flow.expects += len(packet.data)
            if len(self._queue) < 12:
                self._queue.append((key, flow, packet.data))
                self._work()
        if packet.flags & FIN:
            self._flows.pop(key, None)
            self._ended.add(key)
            self._send(key, ACK | FIN, flow.sent_to, packet.seq + 1, flow.echo)

    def _work(self):
        while self._queue and self._busy < self.slots:
            self._busy += 1
            self._spawn(self._serve(*self._queue.popleft()))

    async def _serve(self, key, flow, data):
        attempt = data.partition(b'X-Attempt-Id: ')[2].partition(b'\r\n')[0]
        self._record.ran(attempt.decode(), self.name)
        await asyncio.sleep(self.work_s)
        self._busy -= 1
        self._work()
        body = b'%s by %s' % (attempt, self.name.encode())
        answer = (
            b'HTTP/1.1 200 OK\r\nX-Response-Signature: %08x\r\n'
            b'Content-Length: %d\r\n\r\n%s'
            % (zlib.crc32(_KEY + body), len(body), body)
        )
        seq = flow.sent_to
        flow.sent_to += len(answer)
        wait_s = RETRY_FIRST_S
        for _ in range(RETRIES + 1):
            if self._flows.get(key) is not flow or flow.acked_to > seq:
                return
            self._send(key, ACK, seq, flow.expects, flow.echo, answer)
            await asyncio.sleep(wait_s)
            wait_s = min(RETRY_MAX_S, wait_s * 2)

    def _send(self, key, flags, seq, ack, echo, data=b''):
        src, sport, dst, dport = key
        packet = Packet(flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, echo, sport,
                        src, dst, dport, data)
        if self._link(self, packet):
            self._udp.sendto(packet.to_bytes(),
                             (to_host(src), self.client_port))


class Fabric:
    """The platform's routers: readiness checks, rotation, a steady hash."""

    def __init__(self, nodes):
        self.nodes = nodes
        self._misses = {node.name: 2 for node in nodes}
        self._in_rotation = set()

    async def run(self):
        while True:
            await asyncio.gather(*map(self._check, self.nodes),
                                 asyncio.sleep(0.5))

    def in_rotation(self, node):
        return node.name in self._in_rotation

    async def _check(self, node):
        if await is_ready(node.ready_address):
            self._misses[node.name] = 0
            self._in_rotation.add(node.name)
        else:
            self._misses[node.name] += 1
            if self._misses[node.name] >= 2:
                self._in_rotation.discard(node.name)

    def choose(self, zone, flow):
        local = [node for node in self.nodes if node.zone == zone]
        ready = [node for node in local if self.in_rotation(node)]
        if not ready and self._in_rotation:
            local = [node for node in self.nodes if self.in_rotation(node)]
        elif len(ready) * 2 >= len(local):
            local = ready
        return max(local, key=lambda node: zlib.crc32(
            repr((node.name, flow)).encode()))


async def is_ready(address):
    writer = None
    try:
        async with asyncio.timeout(0.4):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b'GET /-/ready HTTP/1.1\r\nHost: node\r\n\r\n')
            return b' 200 ' in await reader.readline()
    except (OSError, TimeoutError):
        return False
    finally:
        if writer is not None:
            writer.transport.abort()


class Client:
    """A client at its own address; each flow has its own port."""

    def __init__(self, number, zone, port, fabric, record, link=None):
        self._link = link or (lambda packet: True)
        self.zone = zone
        self.host = f'127.60.0.{number + 1}'
        self._fabric, self._record = fabric, record
        self._port = port
        self._flows = {}
        self._next_port = random.randrange(20000, 30000)
        self._udp = open_udp((self.host, port))

    def start(self):
        asyncio.get_running_loop().add_reader(self._udp, self._receive)

    def stop(self):
        asyncio.get_running_loop().remove_reader(self._udp)
        self._udp.close()

    def open_flow(self, endpoint):
        self._next_port += 1
        flow = ClientFlow(self, endpoint, self._next_port)
        self._flows[self._next_port] = flow
        return flow

    def forget(self, flow):
        self._flows.pop(flow.port, None)

    def send(self, packet):
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        node = self._fabric.choose(self.zone, key)
        if self._link(packet):
            self._udp.sendto(packet.to_bytes(), node.packet_address)
        return node

    def _receive(self):
        while True:
            try:
                raw, sender = self._udp.recvfrom(4096)
            except BlockingIOError:
                return
            packet = Packet.parse(raw)
            flow = packet and self._flows.get(packet.dport)
            if flow is None:
                continue
            is_own = packet.flags & RST and packet.sum == 0
            if not is_own and not packet.is_sound:
                self._record.event('corrupt', client=self.host)
                continue
            flow.on_packet(packet, sender)


class FlowError(Exception):
    """The flow was reset or timed out; ``kind`` says which, ``by`` by whom."""

    def __init__(self, kind, by=''):
        super().__init__(f'{kind} {by}')
        self.kind, self.by = kind, by


class ClientFlow:
    """A client's end of a flow."""

    def __init__(self, client, endpoint, port):
        self._client = client
        self._dst, self._dport = to_int(endpoint[0]), endpoint[1]
        self.port = port
        self.name = f'{client.host}:{port}'
        self.server = None
        self.late_answers = 0
        self._seq = random.getrandbits(31)
        self._ack = 0
        self._echo = 0
        self._is_open = False
        self._reset_by = None
        self._answer = None
        self._event = asyncio.Event()
        self.opening_sent_at = []

    def on_packet(self, packet, sender):
        # "The last echo that they received on a flow."
        self._echo = packet.echo
        if packet.flags & RST:
            own = packet.sum == 0
            self._reset_by = ('node ' if own else 'server ') + sender[0]
        elif packet.flags & SYN:
            if self._is_open:
                if sender[0] != self.server:
                    self.late_answers += 1
                return
            self._is_open = True
            self.server = sender[0]
            self._seq += 1
            self._ack = packet.seq + 1
        elif packet.data and packet.seq == self._ack:
            self._ack += len(packet.data)
            self._answer = packet.data
            self._send(ACK)
        elif packet.data:
            self._send(ACK)
        self._event.set()

    def _send(self, flags, data=b'', ack=None):
        return self._client.send(Packet(
            flags, self._seq & 0xFFFFFFFF,
            (self._ack if ack is None else ack) & 0xFFFFFFFF, self._echo,
            self._dport, self._dst, to_int(self._client.host), self.port, data,
        ))

    async def _wait(self, timeout_s):
        self._event.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self._event.wait()
        except TimeoutError:
            pass
        if self._reset_by:
            raise FlowError('reset', self._reset_by)

    async def open(self):
        began = time.monotonic()
        for copy, next_at in enumerate((*SYN_COPY_AT_S[1:], SYN_END_S)):
            self.opening_sent_at.append(time.monotonic())
            self._send(SYN, ack=copy)
            while not self._is_open:
                left = began + next_at - time.monotonic()
                if left <= 0:
                    break
                await self._wait(left)
            if self._is_open:
                self._send(ACK)
                return
        raise FlowError('never opened')

    async def request(self, method, attempt, limit_s):
        """Send a request; return the server's body and the nodes used."""
        data = (f'{method} / HTTP/1.1\r\nHost: service\r\n'
                f'X-Attempt-Id: {attempt}\r\n\r\n').encode()
        self._answer = None
        end = time.monotonic() + limit_s
        wait_s = RETRY_FIRST_S
        nodes = []
        while self._answer is None:
            if time.monotonic() >= end:
                raise FlowError('no answer in time')
            nodes.append(self._send(ACK, data).name)
            resend_at = min(end, time.monotonic() + wait_s)
            wait_s = min(RETRY_MAX_S, wait_s * 2)
            while self._answer is None and time.monotonic() < resend_at:
                await self._wait(resend_at - time.monotonic())
        self._seq += len(data)
        self._send(ACK)
        return self._answer.partition(b'\r\n\r\n')[2].decode(), nodes

    async def stay_idle(self, pause_s):
        """Wait; raises FlowError if the flow is reset meanwhile."""
        end = time.monotonic() + pause_s
        while time.monotonic() < end:
            await self._wait(end - time.monotonic())

    def close(self):
        if self._is_open and not self._reset_by:
            self._send(FIN | ACK)
        self._client.forget(self)
