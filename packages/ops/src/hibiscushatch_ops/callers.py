"""Seeded callers: the near ends of TCP and UDP flows, which judge the tier.

A TCP caller behaves as a kernel does as far as the tier can tell: it sends
its SYN again, numbers its bytes, sends unanswered segments again, and closes
with FIN. Each flow is one task, and each ends with a record of how it went.
"""

import abc
import asyncio
import dataclasses
import enum
import random
from collections.abc import Callable

from hibiscushatch_core.packets import (
    TCP,
    TCP_ACK,
    TCP_FIN,
    TCP_RST,
    TCP_SYN,
    UDP,
)
from hibiscushatch_ops import segments

CONNECT_TIMEOUTS_S = (1.0, 2.0, 4.0, 8.0)
RESEND_TIMEOUTS_S = (0.3, 0.6, 1.2, 2.4, 4.8, 4.8, 4.8, 4.8)
CLOSE_TIMEOUTS_S = (0.3, 0.6, 1.2, 2.4, 4.8)
PacketSink = Callable[[bytes], None]


class FlowOutcome(enum.StrEnum):
    """How a flow ended, as its caller saw it."""

    OPEN = 'open'
    FINISHED = 'finished'
    REFUSED = 'refused'
    UNANSWERED = 'unanswered'
    RESET = 'reset'
    SILENT = 'silent'


BROKEN_OUTCOMES = frozenset((FlowOutcome.RESET, FlowOutcome.SILENT))


@dataclasses.dataclass(frozen=True, slots=True)
class FlowPlan:
    """What a caller is to do on one flow.

    Attributes:
        flow_id: Unique over all flows of a run.
        service_name: The service that is called.
        service_id: Its number in payload records.
        service: Its address and port.
        caller: The caller's address and port.
        protocol: IP protocol number.
        requests: Requests on the flow.
        gap_s: Mean time between an answer and the next request.
        request_segments: Payload segments of a request.
        answer_segments: Payload segments of an answer.
    """

    flow_id: int
    service_name: str
    service_id: int
    service: tuple[int, int]
    caller: tuple[int, int]
    protocol: int
    requests: int
    gap_s: float
    request_segments: int
    answer_segments: int


@dataclasses.dataclass(slots=True)
class FlowRecord:
    """How a flow went.

    Attributes:
        plan: What was to be done.
        outcome: How it ended.
        opened_at_s: Time of its first packet.
        ended_at_s: Time of its end.
        answers: Requests that were answered whole.
        wrong_answers: Segments of another request, flow or service.
        partial_answer: Whether it ended amid an answer.
        connect_s: Time from the first SYN to the handshake's end.
        resends: Packets that were sent again.
    """

    plan: FlowPlan
    outcome: FlowOutcome = FlowOutcome.OPEN
    opened_at_s: float = 0
    ended_at_s: float = 0
    answers: int = 0
    wrong_answers: int = 0
    partial_answer: bool = False
    connect_s: float = 0
    resends: int = 0


class _FlowEndedError(Exception):
    """The flow can't go on."""

    def __init__(self, outcome: FlowOutcome) -> None:
        self.outcome = outcome
        super().__init__(outcome.value)


class CallerFlow(abc.ABC):
    """One flow of a caller, run by one task."""

    def __init__(
        self, plan: FlowPlan, randomness: random.Random, send: PacketSink
    ) -> None:
        self.record = FlowRecord(plan)
        self.latencies_s: list[float] = []
        self._plan = plan
        self._randomness = randomness
        self._send_packet = send
        self._loop = asyncio.get_running_loop()
        self._wake: asyncio.Future[None] | None = None
        self._end: FlowOutcome | None = None

    async def run(self) -> FlowRecord:
        """Open the flow, do its requests and close it."""
        self.record.opened_at_s = self._loop.time()
        try:
            await self._work()
        except _FlowEndedError as end:
            self.record.outcome = end.outcome
        else:
            self.record.outcome = FlowOutcome.FINISHED
        self.record.ended_at_s = self._loop.time()
        return self.record

    @abc.abstractmethod
    def receive(self, segment: segments.Segment) -> None:
        """Take in a packet of this flow."""

    @abc.abstractmethod
    async def _work(self) -> None:
        """Do the whole flow; raises _FlowEndedError."""

    async def _wait(self, timeout_s: float) -> None:
        """Wait for something to be received, at most for a time."""
        if self._end is not None:
            raise _FlowEndedError(self._end)
        wake = self._loop.create_future()
        self._wake = wake
        timer = self._loop.call_later(timeout_s, self._notify, wake)
        await wake
        timer.cancel()
        if self._end is not None:
            raise _FlowEndedError(self._end)

    async def _wait_until(
        self, is_done: Callable[[], bool], timeout_s: float
    ) -> bool:
        deadline = self._loop.time() + timeout_s
        while not is_done():
            left_s = deadline - self._loop.time()
            if left_s <= 0:
                return False
            await self._wait(left_s)
        return True

    async def _pause(self) -> None:
        gap_s = self._plan.gap_s * self._randomness.uniform(0.5, 1.5)
        await self._wait_until(_never, gap_s)

    def _notify(self, wake: asyncio.Future[None] | None) -> None:
        if wake is not None and not wake.done():
            wake.set_result(None)

    def _stop(self, outcome: FlowOutcome) -> None:
        if self._end is None:
            self._end = outcome
        self._notify(self._wake)

    def _request_payload(self, request: int, index: int) -> bytes:
        plan = self._plan
        return segments.encode_record(
            segments.Record(
                plan.flow_id,
                request,
                index,
                plan.request_segments,
                plan.answer_segments,
                plan.service_id,
            )
        )

    def _is_mine(self, record: segments.Record) -> bool:
        plan = self._plan
        return (record.flow_id, record.service_id) == (
            plan.flow_id,
            plan.service_id,
        )

    def _segment(self, **fields: int | bytes) -> bytes:
        plan = self._plan
        return segments.build_segment(
            segments.Segment(
                plan.protocol,
                plan.caller[0],
                plan.service[0],
                plan.caller[1],
                plan.service[1],
                **fields,
            )
        )


def _never() -> bool:
    return False


class TcpFlow(CallerFlow):
    """A flow over TCP."""

    def __init__(
        self, plan: FlowPlan, randomness: random.Random, send: PacketSink
    ) -> None:
        super().__init__(plan, randomness, send)
        self._first = randomness.getrandbits(32)
        self._next = segments.advance(self._first, 1)
        self._acked = self._first
        self._expected: int | None = None
        self._early: dict[int, bytes] = {}
        self._payload_sent = False
        self._closing = False
        self._closed = False
        self._request = 0
        self._answered = 0

    def receive(self, segment: segments.Segment) -> None:
        """Take in a segment, or an ICMP message that quotes this flow."""
        if segment.protocol != TCP:
            return
        if segment.flags & TCP_RST:
            self._receive_reset(segment)
        elif self._expected is None:
            self._receive_in_handshake(segment)
        elif segment.flags & TCP_SYN:
            self._acknowledge()
        else:
            self._receive_established(segment)
        self._notify(self._wake)

    async def _work(self) -> None:
        await self._connect()
        for request in range(self._plan.requests):
            await self._pause()
            await self._exchange(request)
        await self._close()

    async def _connect(self) -> None:
        started_s = self._loop.time()
        for timeout_s in CONNECT_TIMEOUTS_S:
            self._send(self._first, TCP_SYN)
            if await self._wait_until(self._is_connected, timeout_s):
                self.record.connect_s = self._loop.time() - started_s
                return
            self.record.resends += 1
        raise _FlowEndedError(FlowOutcome.UNANSWERED)

    async def _exchange(self, request: int) -> None:
        """Send one request and wait for its whole answer."""
        started_s = self._loop.time()
        self._request = request
        self._answered = 0
        sent: list[tuple[int, bytes]] = []
        for index in range(self._plan.request_segments):
            payload = self._request_payload(request, index)
            sent.append((self._next, payload))
            self._next = segments.advance(self._next, len(payload))
        self._payload_sent = True
        for timeout_s in RESEND_TIMEOUTS_S:
            for sequence, payload in self._unacknowledged(sent):
                self._send(sequence, TCP_ACK, payload)
            if await self._wait_until(self._is_answered, timeout_s):
                self._acknowledge()
                self.latencies_s.append(self._loop.time() - started_s)
                self.record.answers += 1
                self.record.partial_answer = False
                return
            self.record.resends += 1
        raise _FlowEndedError(FlowOutcome.SILENT)

    async def _close(self) -> None:
        self._closing = True
        for timeout_s in CLOSE_TIMEOUTS_S:
            self._send(self._next, TCP_FIN | TCP_ACK)
            if await self._wait_until(self._is_closed, timeout_s):
                return

    def _unacknowledged(
        self, sent: list[tuple[int, bytes]]
    ) -> list[tuple[int, bytes]]:
        """List what the other end may lack; the last segment as a probe."""
        end = segments.distance(self._first, self._acked)
        unacked = [
            one for one in sent if segments.distance(self._first, one[0]) >= end
        ]
        return unacked or sent[-1:]

    def _receive_reset(self, segment: segments.Segment) -> None:
        if self._expected is None:
            wanted = segments.advance(self._first, 1)
            if segment.acknowledgement == wanted:
                self._stop(FlowOutcome.REFUSED)
            return
        ahead = segments.distance(self._expected, segment.sequence)
        if ahead >= segments.WINDOW_BYTES:
            return
        if self._closing:
            self._closed = True
        elif self._payload_sent:
            self._stop(FlowOutcome.RESET)
        else:
            self._stop(FlowOutcome.REFUSED)

    def _receive_in_handshake(self, segment: segments.Segment) -> None:
        wanted = segments.advance(self._first, 1)
        is_answer = segment.flags & (TCP_SYN | TCP_ACK) == TCP_SYN | TCP_ACK
        if is_answer and segment.acknowledgement == wanted:
            self._expected = segments.advance(segment.sequence, 1)
            self._acked = wanted
            self._acknowledge()

    def _receive_established(self, segment: segments.Segment) -> None:
        self._take_acknowledgement(segment.acknowledgement)
        if segment.flags & TCP_FIN and segment.sequence == self._expected:
            self._expected = segments.advance(self._expected, 1)
            self._closed = True
            self._send(segments.advance(self._next, 1), TCP_ACK)
        if not segment.payload:
            return
        ahead = segments.distance(self._expected, segment.sequence)
        if ahead < segments.WINDOW_BYTES:
            self._early[segment.sequence] = segment.payload
        while self._expected in self._early:
            payload = self._early.pop(self._expected)
            self._expected = segments.advance(self._expected, len(payload))
            self._take_answer(segments.decode_record(payload))

    def _take_acknowledgement(self, number: int) -> None:
        sent = segments.distance(self._first, self._next) + 1
        acked = segments.distance(self._first, number)
        if segments.distance(self._first, self._acked) < acked <= sent:
            self._acked = number

    def _take_answer(self, record: segments.Record) -> None:
        is_wanted = self._is_mine(record) and record.request == self._request
        if not is_wanted:
            self.record.wrong_answers += 1
            return
        self._answered += 1
        self.record.partial_answer = not self._is_answered()

    def _is_connected(self) -> bool:
        return self._expected is not None

    def _is_answered(self) -> bool:
        return self._answered == self._plan.answer_segments

    def _is_closed(self) -> bool:
        return self._closed

    def _acknowledge(self) -> None:
        self._send(self._next, TCP_ACK)

    def _send(self, sequence: int, flags: int, payload: bytes = b'') -> None:
        expected = self._expected or 0
        self._send_packet(
            self._segment(
                sequence=sequence,
                acknowledgement=expected,
                flags=flags,
                payload=payload,
            )
        )


class UdpFlow(CallerFlow):
    """A flow over UDP: each request is one datagram, sent until answered."""

    def __init__(
        self, plan: FlowPlan, randomness: random.Random, send: PacketSink
    ) -> None:
        super().__init__(plan, randomness, send)
        self._request = 0
        self._answered: set[int] = set()

    def receive(self, segment: segments.Segment) -> None:
        """Take in a datagram, or the ICMP message that refuses the flow."""
        if segment.protocol != UDP:
            is_new = not self.record.answers and not self._answered
            self._stop(FlowOutcome.REFUSED if is_new else FlowOutcome.RESET)
            return
        record = segments.decode_record(segment.payload)
        if not self._is_mine(record) or record.request > self._request:
            self.record.wrong_answers += 1
        elif record.request == self._request:
            self._answered.add(record.index)
            self.record.partial_answer = not self._is_answered()
            self._notify(self._wake)

    async def _work(self) -> None:
        for request in range(self._plan.requests):
            if request:
                await self._pause()
            await self._exchange(request)

    async def _exchange(self, request: int) -> None:
        started_s = self._loop.time()
        self._request = request
        self._answered = set()
        payload = self._request_payload(request, 0)
        for timeout_s in RESEND_TIMEOUTS_S:
            self._send_packet(self._segment(payload=payload))
            if await self._wait_until(self._is_answered, timeout_s):
                self.latencies_s.append(self._loop.time() - started_s)
                self.record.answers += 1
                return
            self.record.resends += 1
        raise _FlowEndedError(
            FlowOutcome.SILENT if request else FlowOutcome.UNANSWERED
        )

    def _is_answered(self) -> bool:
        return len(self._answered) == self._plan.answer_segments


class Callers:
    """All callers of a run.

    Attributes:
        strays: Packets for flows that no caller has.
    """

    def __init__(self, randomness: random.Random, send: PacketSink) -> None:
        self.strays = 0
        self._randomness = randomness
        self._send = send
        self._flows: dict[tuple[int, int, int, int], CallerFlow] = {}
        self._tasks: list[asyncio.Task[FlowRecord]] = []

    @property
    def records(self) -> list[FlowRecord]:
        """The records of all flows so far."""
        return [flow.record for flow in self._flows.values()]

    @property
    def latencies_s(self) -> list[float]:
        """The time of each answered request, in seconds."""
        return [
            one for flow in self._flows.values() for one in flow.latencies_s
        ]

    def open(self, plan: FlowPlan) -> None:
        """Start a flow as a task of its own."""
        kind = UdpFlow if plan.protocol == UDP else TcpFlow
        randomness = random.Random(self._randomness.getrandbits(64))
        flow = kind(plan, randomness, self._send)
        self._flows[plan.service + plan.caller] = flow
        self._tasks.append(asyncio.get_running_loop().create_task(flow.run()))

    def receive(self, packet: bytes) -> None:
        """Take in a packet from the tier."""
        segment = segments.read_segment(packet)
        flow = self._flows.get(
            (
                segment.source,
                segment.source_port,
                segment.destination,
                segment.destination_port,
            )
        )
        if flow is None or flow.record.ended_at_s:
            self.strays += 1
        else:
            flow.receive(segment)

    async def close(self) -> None:
        """Give up the flows that are still open."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
