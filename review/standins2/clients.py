"""Stand-ins of the platform's clients: flows, requests and retries."""

import asyncio
import dataclasses
import itertools
import random
import time
import uuid

import wire
from fleet import EntryVm, Fleet
from wire import ACK, FIN, RST, SYN, Packet

_DELAY_S = 0.003
_COPIES_S = (0.2, 0.4, 0.8)
_RESENDS_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6)
_FIRST_PORT = 1025


@dataclasses.dataclass
class Attempt:
    """One client attempt and what became of it."""

    attempt: str
    route: str
    sent_at: float
    vm: str = ''
    outcome: str = ''
    answered_at: float = 0.0
    answer: str = ''


class Flow:
    """The client's end of a flow."""

    def __init__(
        self, client: 'Client', host: str, port: int, sport: int
    ) -> None:
        self.client = client
        self.dst = wire.to_number(host)
        self.dport = port
        self.sport = sport
        self.seq = random.getrandbits(30)
        self.next_in = 0
        self.echo = 0
        self.is_open = False
        self.reset_by: str = ''
        self.received = b''
        self.acked = 0
        self.first_in = 0
        self.through: EntryVm | None = None
        self.event = asyncio.Event()
        self.sent_through: list[tuple[float, str]] = []
        self.log: list[str] = []

    @property
    def name(self) -> str:
        """Both ends, as the servers name the flow."""
        return (
            f'{self.client.address}:{self.sport}>'
            f'{wire.to_text(self.dst)}:{self.dport}'
        )

    async def open(self) -> str:
        """Open the flow; return '' or why it did not open."""
        for copy, wait_s in enumerate(_COPIES_S):
            self._send(SYN, self.seq, copy, b'')
            if await self._wait(wait_s, lambda: self.is_open or self.reset_by):
                break
        if self.reset_by:
            return 'refused'
        if not self.is_open:
            return 'no answer to the opening packet'
        return ''

    async def request(
        self, attempt: str, within_s: float, method: str = 'GET'
    ) -> tuple[str, str]:
        """Send a request; return the outcome and the answer's body."""
        head = (
            f'{method} /{attempt} HTTP/1.1\r\n'
            f'Host: {wire.to_text(self.dst)}\r\nX-Attempt-Id: {attempt}\r\n\r\n'
        ).encode()
        seq = self.seq
        self.seq += len(head)
        self.received = b''
        end = time.monotonic() + within_s
        resends = iter(_RESENDS_S)
        resend_at = 0.0
        while time.monotonic() < end:
            now = time.monotonic()
            if self.acked < self.seq and now >= resend_at:
                self._send(ACK, seq, self.next_in, head)
                resend_at = now + next(resends, 1.6)
            until = min(end, resend_at if self.acked < self.seq else end)
            await self._wait(
                max(0.001, until - time.monotonic()),
                lambda: self.reset_by or self._answer() is not None,
            )
            if self._answer() is not None:
                return '200', self._answer()
            if self.reset_by:
                return 'reset', ''
        return 'no answer', ''

    def close(self) -> None:
        """End the flow."""
        self._send(FIN | ACK, self.seq, self.next_in, b'')

    def take(self, packet: Packet) -> None:
        """Take a packet of the flow."""
        if packet.flags & RST:
            # A reset of the system has no sum of the ends.
            kind = 'server' if packet.is_genuine else 'system'
            self.reset_by = self.reset_by or kind
            self.event.set()
            return
        # Each end repeats the last echo that it received on the flow.
        self.echo = packet.echo
        if packet.flags & SYN:
            if not self.is_open:
                self.is_open = True
                self.next_in = packet.seq + 1
                self.seq += 1
                self.acked = self.seq
                self.first_in = packet.seq + 1
            elif packet.seq + 1 != self.first_in:
                self.log.append('an answer of a second server')
            self.event.set()
            return
        self.acked = max(self.acked, packet.ack)
        if packet.data and packet.seq == self.next_in:
            self.next_in += len(packet.data)
            self.received += packet.data
        if packet.data:
            self._send(ACK, self.seq, self.next_in, b'')
        self.event.set()

    def _answer(self) -> str | None:
        head, found, rest = self.received.partition(b'\r\n\r\n')
        if not found:
            return None
        length = int(head.rpartition(b'Content-Length: ')[2])
        return rest[:length].decode() if len(rest) >= length else None

    async def _wait(self, wait_s: float, condition) -> bool:
        end = time.monotonic() + wait_s
        while not condition():
            remaining_s = end - time.monotonic()
            if remaining_s <= 0:
                return False
            self.event.clear()
            try:
                await asyncio.wait_for(self.event.wait(), remaining_s)
            except TimeoutError:
                return bool(condition())
        return True

    def _send(self, flags: int, seq: int, ack: int, data: bytes) -> None:
        packet = Packet(
            flags,
            seq,
            ack,
            0 if flags & SYN else self.echo,
            self.client.number,
            self.sport,
            self.dst,
            self.dport,
            data,
        )
        self.client.send(self, packet)


class Client:
    """One client address with its socket."""

    def __init__(
        self, address: str, port: int, zone: str, fleet: Fleet
    ) -> None:
        self.address = address
        self.number = wire.to_number(address)
        self.zone = zone
        self.attempts: list[Attempt] = []
        self.stray = 0
        self._fleet = fleet
        self._ports = itertools.count(_FIRST_PORT)
        self._flows: dict[tuple, Flow] = {}
        self._socket = wire.open_socket(address, port)

    def start(self) -> None:
        """Begin to receive."""
        asyncio.get_running_loop().add_reader(self._socket, self._receive)

    def stop(self) -> None:
        """Stop receiving."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def flow(self, host: str, port: int) -> Flow:
        """Begin a flow from a new port."""
        flow = Flow(self, host, port, next(self._ports))
        self._flows[flow.sport, flow.dst, flow.dport] = flow
        return flow

    async def ask(
        self,
        host: str,
        port: int,
        within_s: float = 1.2,
        through: EntryVm | None = None,
    ) -> Attempt:
        """Make one attempt on a flow of its own, maybe at a given machine."""
        flow = self.flow(host, port)
        flow.through = through
        attempt = Attempt(
            uuid.uuid4().hex[:16], f'{host}:{port}', time.monotonic()
        )
        self.attempts.append(attempt)
        attempt.outcome = await flow.open()
        if not attempt.outcome:
            left_s = within_s - (time.monotonic() - attempt.sent_at)
            attempt.outcome, attempt.answer = await flow.request(
                attempt.attempt, max(0.05, left_s)
            )
            attempt.answered_at = time.monotonic()
            flow.close()
        attempt.vm = flow.sent_through[0][1] if flow.sent_through else ''
        return attempt

    def send(self, flow: Flow, packet: Packet) -> None:
        """Hand a packet to the routers."""
        vm = flow.through or self._fleet.route(
            self.zone, (packet.src, packet.sport, packet.dst, packet.dport)
        )
        flow.sent_through.append((time.monotonic(), vm.name))
        asyncio.get_running_loop().call_later(
            _DELAY_S, self._send_now, packet.render(), vm.packets
        )

    def _send_now(self, datagram: bytes, target: tuple[str, int]) -> None:
        try:
            self._socket.sendto(datagram, target)
        except OSError:
            # Nobody listens there at the moment.
            return

    def _receive(self) -> None:
        while True:
            try:
                datagram = self._socket.recv(4096)
            except ConnectionRefusedError:
                continue
            except (BlockingIOError, OSError):
                return
            packet = Packet.parse(datagram)
            flow = self._flows.get((packet.dport, packet.src, packet.sport))
            if flow is None or not (
                packet.is_genuine or packet.flags & RST
            ):
                self.stray += 1
                continue
            flow.take(packet)
