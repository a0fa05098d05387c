"""Stand-ins of the platform's servers: packets, requests and registration."""

import asyncio
import dataclasses
import itertools
import json
import random
import time

import wire
from store import Store
from wire import ACK, FIN, RST, SYN, Packet

HEARTBEAT_S = 1.2
_DELAY_S = 0.004
_RESEND_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)


@dataclasses.dataclass
class Run:
    """One request that a server began to work on."""

    at: float
    attempt: str
    route: str
    opened_at: float


class _Flow:
    """One flow at a server. It is open once its client has acknowledged."""

    def __init__(self, syn: Packet, isn: int) -> None:
        self.packet = syn
        self.isn = isn
        self.syn_at = time.monotonic()
        self.is_open = False
        self.next_in = syn.seq + 1
        self.next_out = isn + 1
        self.acked = isn + 1
        self.echo = syn.echo
        self.received = b''
        self.is_busy = False
        self.queue: list[tuple[bytes, str]] = []
        self.unacked: dict[int, tuple[int, bytes]] = {}


class Server:
    """One start of one server."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        client_port: int,
        store: Store,
        work_s: float = 0.04,
        slots: int = 3,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.state = 'ready'
        self.is_alive = False
        self.runs: list[Run] = []
        self.opened: list[tuple[float, str]] = []
        self.answered: list[str] = []
        self.foreign = 0
        self.altered = 0
        self.resets: list[tuple[float, str]] = []
        self.arrivals: list[tuple[float, str, bool]] = []
        self.unanswered_at_end: list[str] = []
        self._identity = int(name.removeprefix('i-'), 16).to_bytes(8, 'big')
        self._client_port = client_port
        self._store = store
        self._work_s = work_s
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._seq = itertools.count(1)
        self._born = int(time.time() * 1000)
        self._flows: dict[tuple, _Flow] = {}
        self._ended: set[tuple] = set()
        self._working: set[str] = set()
        self._socket = wire.open_socket(*address)
        self._heartbeat: asyncio.Task | None = None

    @property
    def entry(self) -> dict:
        """What it says of itself; each call is another statement."""
        return {
            'service': self.service,
            'address': '{}:{}'.format(*self.address),
            'zone': self.zone,
            'version': 'v1',
            'slots': self._slot_count,
            'state': self.state,
            'cold_left_ms': 0,
            'seq': next(self._seq),
            'born': self._born,
        }

    async def start(self) -> None:
        """Listen and register."""
        self.is_alive = True
        asyncio.get_running_loop().add_reader(self._socket, self._receive)
        await self.write()
        self._heartbeat = asyncio.create_task(self._beat())

    async def write(self) -> float:
        """Write the entry; return when it was acknowledged."""
        value = json.dumps(self.entry).encode()
        return await self._store.put(f'servers/{self.name}', value)

    async def drain(self) -> float:
        """Report draining; return when that was acknowledged."""
        self.state = 'draining'
        return await self.write()

    async def leave(self) -> None:
        """End the process; its flows end with it."""
        self.stop()
        await self._store.put(f'servers/{self.name}', None)

    def stop(self) -> None:
        """Stop listening at once."""
        if not self.is_alive:
            return
        self.is_alive = False
        self.unanswered_at_end = sorted(self._working)
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        if self._heartbeat is not None:
            self._heartbeat.cancel()

    async def _beat(self) -> None:
        # The entry changes when more than seq does, or when someone else has
        # written it.
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            stored = self._store.value(f'servers/{self.name}')
            if not _says(stored, self.entry):
                await self.write()

    def _receive(self) -> None:
        while True:
            try:
                datagram = self._socket.recv(4096)
            except (BlockingIOError, OSError):
                return
            identity = datagram[:8]
            if identity not in {self._identity, bytes(8)}:
                self.foreign += 1
                packet = Packet.parse(datagram[8:])
                self._note(packet, False)
                continue
            packet = Packet.parse(datagram[8:])
            if not packet.is_genuine:
                self.altered += 1
                continue
            self._note(packet, True)
            self._handle(packet)

    def _note(self, packet: Packet, is_own: bool) -> None:
        self.arrivals.append((time.monotonic(), _flow_name(packet), is_own))

    def _handle(self, packet: Packet) -> None:
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self._flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = _Flow(packet, random.getrandbits(31))
                self._flows[key] = flow
            if not flow.is_open:
                flow.echo = packet.echo
                self._reply(flow, SYN | ACK, flow.isn, b'')
            return
        if key in self._ended:
            if packet.flags & FIN:
                self._send(self._answer_to(packet, ACK, packet.ack))
            elif packet.data:
                self._reset(packet)
            return
        if flow is None or (not flow.is_open and packet.ack != flow.isn + 1):
            # It does not hold such a flow: another server's answer was taken.
            if not packet.flags & RST:
                self._reset(packet)
            return
        flow.echo = packet.echo
        if not flow.is_open:
            flow.is_open = True
            self.opened.append((time.monotonic(), _flow_name(packet)))
        if packet.flags & RST:
            self._end(key)
            return
        self._take(key, flow, packet)

    def _take(self, key: tuple, flow: _Flow, packet: Packet) -> None:
        for seq in [one for one in flow.unacked if one < packet.ack]:
            flow.unacked.pop(seq)
        if packet.data and packet.seq == flow.next_in:
            flow.next_in += len(packet.data)
            flow.received += packet.data
            self._take_requests(key, flow)
        if packet.data:
            self._reply(flow, ACK, flow.next_out, b'')
        if packet.flags & FIN:
            flow.next_in += 1
            self._reply(flow, ACK | FIN, flow.next_out, b'')
            self._end(key)

    def _take_requests(self, key: tuple, flow: _Flow) -> None:
        while b'\r\n\r\n' in flow.received:
            head, _, rest = flow.received.partition(b'\r\n\r\n')
            fields = dict(
                line.split(': ', 1)
                for line in head.decode().split('\r\n')[1:]
            )
            length = int(fields.get('Content-Length', '0'))
            if len(rest) < length:
                return
            flow.received = rest[length:]
            route = f'{wire.to_text(key[2])}:{key[3]}'
            asyncio.get_running_loop().create_task(
                self._work(key, flow, fields['X-Attempt-Id'], route)
            )

    async def _work(
        self, key: tuple, flow: _Flow, attempt: str, route: str
    ) -> None:
        async with self._slots:
            if not self.is_alive:
                return
            self.runs.append(
                Run(time.monotonic(), attempt, route, flow.syn_at)
            )
            self._working.add(attempt)
            await asyncio.sleep(self._work_s)
        if not self.is_alive:
            return
        self._working.discard(attempt)
        body = f'{self.service} {self.name}'.encode()
        head = (
            f'HTTP/1.1 200 OK\r\nX-Response-Signature: {attempt}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode()
        self.answered.append(attempt)
        data = head + body
        seq = flow.next_out
        flow.next_out += len(data)
        flow.unacked[seq] = (seq, data)
        for wait_s in (0, *_RESEND_S):
            await asyncio.sleep(wait_s)
            if not self.is_alive or key not in self._flows:
                return
            if seq not in flow.unacked:
                return
            self._reply(flow, ACK, seq, data)

    def _end(self, key: tuple) -> None:
        self._flows.pop(key, None)
        self._ended.add(key)

    def _reset(self, packet: Packet) -> None:
        self.resets.append((time.monotonic(), _flow_name(packet)))
        self._send(self._answer_to(packet, RST, packet.ack))

    def _answer_to(self, packet: Packet, flags: int, seq: int) -> Packet:
        return Packet(
            flags,
            seq,
            packet.seq + len(packet.data),
            packet.echo,
            packet.dst,
            packet.dport,
            packet.src,
            packet.sport,
        )

    def _reply(self, flow: _Flow, flags: int, seq: int, data: bytes) -> None:
        packet = flow.packet
        self._send(
            Packet(
                flags,
                seq,
                flow.next_in,
                flow.echo,
                packet.dst,
                packet.dport,
                packet.src,
                packet.sport,
                data,
            )
        )

    def _send(self, packet: Packet) -> None:
        target = (wire.to_text(packet.dst), self._client_port)
        asyncio.get_running_loop().call_later(
            _DELAY_S, self._send_now, packet.render(), target
        )

    def _send_now(self, datagram: bytes, target: tuple[str, int]) -> None:
        if self.is_alive:
            try:
                self._socket.sendto(datagram, target)
            except OSError:
                # The client has ended.
                return


def _says(stored: bytes | None, entry: dict) -> bool:
    try:
        found = json.loads(stored or b'null')
    except ValueError:
        return False
    if not isinstance(found, dict):
        return False
    return {**found, 'seq': 0} == {**entry, 'seq': 0}


def _flow_name(packet: Packet) -> str:
    return (
        f'{wire.to_text(packet.src)}:{packet.sport}>'
        f'{wire.to_text(packet.dst)}:{packet.dport}'
    )
