"""Simulated callers that open TCP and UDP flows and record how each went.

To the load balancer, a TCP caller behaves like the TCP of a kernel: it repeats
its SYN, numbers its bytes, retransmits unacknowledged segments and closes with
FIN. Each flow runs as one task. All random choices come from a seeded
generator.
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

# How long a caller waits for an answer after each attempt to send; after the
# last attempt it gives up.
CONNECT_TIMEOUTS_S = (1.0, 2.0, 4.0, 8.0)
RESEND_TIMEOUTS_S = (0.3, 0.6, 1.2, 2.4, 4.8, 4.8, 4.8, 4.8)
CLOSE_TIMEOUTS_S = (0.3, 0.6, 1.2, 2.4, 4.8)
PacketSink = Callable[[bytes], None]


class FlowOutcome(enum.StrEnum):
    """How a flow ended from its caller's point of view.

    Attributes:
        OPEN: It has not ended yet.
        FINISHED: All its requests were answered.
        REFUSED: It was refused before it sent payload; over UDP, before it got
            an answer.
        UNANSWERED: Nothing answered its SYN; over UDP, its first request.
        RESET: It was reset or refused later than that.
        SILENT: A request on the established flow was not answered in time.
    """

    OPEN = 'open'
    FINISHED = 'finished'
    REFUSED = 'refused'
    UNANSWERED = 'unanswered'
    RESET = 'reset'
    SILENT = 'silent'


BROKEN_OUTCOMES = frozenset((FlowOutcome.RESET, FlowOutcome.SILENT))


@dataclasses.dataclass(frozen=True, slots=True)
class FlowPlan:
    """The requests that a caller sends on one flow, and its addresses.

    Attributes:
        flow_id: Unique over all flows of a run.
        service_name: Name of the service that is called.
        service_id: Number of the service in payload records.
        service: Address and port of the service.
        caller: The caller's address and port.
        protocol: IP protocol number.
        requests: Number of requests on the flow.
        gap_s: Mean time between an answer and the next request.
        request_segments: Number of payload segments of a request.
        answer_segments: Number of payload segments of an answer.
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
    """What happened on a flow; its task updates this while the flow runs.

    Attributes:
        plan: The plan of the flow.
        outcome: How the flow ended; ``OPEN`` until then.
        opened_at_s: Event loop time at which the flow was started.
        ended_at_s: Event loop time at which the flow ended; 0 until then.
        answers: Number of requests that were answered completely.
        wrong_segments: Number of received segments that belong to another
            request, flow or service.
        partial_answer: Whether the last answer that began to arrive is still
            incomplete.
        connect_s: Time from the first SYN until the SYN-ACK arrived; 0 when
            no handshake finished.
        resends: Number of attempts that were not answered in time.
    """

    plan: FlowPlan
    outcome: FlowOutcome = FlowOutcome.OPEN
    opened_at_s: float = 0
    ended_at_s: float = 0
    answers: int = 0
    wrong_segments: int = 0
    partial_answer: bool = False
    connect_s: float = 0
    resends: int = 0


class _FlowEndedError(Exception):
    """Ends the task of a flow early, with the outcome of the flow."""

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
        self._wakeup: asyncio.Future[None] | None = None
        self._end_outcome: FlowOutcome | None = None

    async def run(self) -> FlowRecord:
        """Open the flow, send its requests and close it."""
        self.record.opened_at_s = self._loop.time()
        try:
            await self._run_flow()
        except _FlowEndedError as end:
            self.record.outcome = end.outcome
        else:
            self.record.outcome = FlowOutcome.FINISHED
        self.record.ended_at_s = self._loop.time()
        return self.record

    @abc.abstractmethod
    def receive(self, segment: segments.Segment) -> None:
        """Process a received packet of this flow."""

    @abc.abstractmethod
    async def _run_flow(self) -> None:
        """Run the flow to its end.

        Raises:
            _FlowEndedError: When the flow ends early.
        """

    async def _wait(self, timeout_s: float) -> None:
        """Wait until a packet of the flow arrives, at most for the timeout."""
        if self._end_outcome is not None:
            raise _FlowEndedError(self._end_outcome)
        wakeup = self._loop.create_future()
        self._wakeup = wakeup
        timer = self._loop.call_later(timeout_s, self._notify, wakeup)
        await wakeup
        timer.cancel()
        if self._end_outcome is not None:
            raise _FlowEndedError(self._end_outcome)

    async def _wait_until(
        self, is_done: Callable[[], bool], timeout_s: float
    ) -> bool:
        deadline = self._loop.time() + timeout_s
        while not is_done():
            remaining_s = deadline - self._loop.time()
            if remaining_s <= 0:
                return False
            await self._wait(remaining_s)
        return True

    async def _pause(self) -> None:
        gap_s = self._plan.gap_s * self._randomness.uniform(0.5, 1.5)
        await self._wait_until(_never, gap_s)

    def _notify(self, wakeup: asyncio.Future[None] | None) -> None:
        if wakeup is not None and not wakeup.done():
            wakeup.set_result(None)

    def _stop(self, outcome: FlowOutcome) -> None:
        if self._end_outcome is None:
            self._end_outcome = outcome
        self._notify(self._wakeup)

    def _request_payload(self, request: int, index: int) -> bytes:
        plan = self._plan
        return segments.encode_record(
            segments.PayloadRecord(
                plan.flow_id,
                request,
                index,
                plan.request_segments,
                plan.answer_segments,
                plan.service_id,
            )
        )

    def _belongs_to_flow(self, record: segments.PayloadRecord) -> bool:
        plan = self._plan
        return (record.flow_id, record.service_id) == (
            plan.flow_id,
            plan.service_id,
        )

    def _build_segment(self, **fields: int | bytes) -> bytes:
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
        self._initial_sequence = randomness.getrandbits(32)
        self._next_sequence = segments.advance_sequence(
            self._initial_sequence, 1
        )
        self._acked_sequence = self._initial_sequence
        self._expected_sequence: int | None = None
        self._out_of_order: dict[int, bytes] = {}
        self._payload_sent = False
        self._closing = False
        self._closed = False
        self._current_request = 0
        self._received_segments = 0

    def receive(self, segment: segments.Segment) -> None:
        """Process a segment; packets of other protocols are ignored."""
        if segment.protocol != TCP:
            return
        if segment.flags & TCP_RST:
            self._receive_reset(segment)
        elif self._expected_sequence is None:
            self._receive_in_handshake(segment)
        elif segment.flags & TCP_SYN:
            self._acknowledge()
        else:
            self._receive_established(segment)
        self._notify(self._wakeup)

    async def _run_flow(self) -> None:
        await self._connect()
        for request in range(self._plan.requests):
            await self._pause()
            await self._exchange(request)
        await self._close()

    async def _connect(self) -> None:
        started_s = self._loop.time()
        for timeout_s in CONNECT_TIMEOUTS_S:
            self._send(self._initial_sequence, TCP_SYN)
            if await self._wait_until(self._is_connected, timeout_s):
                self.record.connect_s = self._loop.time() - started_s
                return
            self.record.resends += 1
        raise _FlowEndedError(FlowOutcome.UNANSWERED)

    async def _exchange(self, request: int) -> None:
        """Send one request and wait for its complete answer."""
        started_s = self._loop.time()
        self._current_request = request
        self._received_segments = 0
        sent: list[tuple[int, bytes]] = []
        for index in range(self._plan.request_segments):
            payload = self._request_payload(request, index)
            sent.append((self._next_sequence, payload))
            self._next_sequence = segments.advance_sequence(
                self._next_sequence, len(payload)
            )
        self._payload_sent = True
        for timeout_s in RESEND_TIMEOUTS_S:
            for sequence, payload in self._segments_to_send(sent):
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
            self._send(self._next_sequence, TCP_FIN | TCP_ACK)
            if await self._wait_until(self._is_closed, timeout_s):
                return

    def _segments_to_send(
        self, sent: list[tuple[int, bytes]]
    ) -> list[tuple[int, bytes]]:
        """List the segments of a request that are not acknowledged.

        When all of them are, list the last one, to be sent again as a probe.
        """
        end = segments.sequence_distance(
            self._initial_sequence, self._acked_sequence
        )
        unacked = [
            segment
            for segment in sent
            if segments.sequence_distance(self._initial_sequence, segment[0])
            >= end
        ]
        return unacked or sent[-1:]

    def _receive_reset(self, segment: segments.Segment) -> None:
        if self._expected_sequence is None:
            expected_ack = segments.advance_sequence(self._initial_sequence, 1)
            if segment.acknowledgement == expected_ack:
                self._stop(FlowOutcome.REFUSED)
            return
        offset = segments.sequence_distance(
            self._expected_sequence, segment.sequence
        )
        if offset >= segments.WINDOW_BYTES:
            return
        if self._closing:
            self._closed = True
        elif self._payload_sent:
            self._stop(FlowOutcome.RESET)
        else:
            self._stop(FlowOutcome.REFUSED)

    def _receive_in_handshake(self, segment: segments.Segment) -> None:
        expected_ack = segments.advance_sequence(self._initial_sequence, 1)
        is_syn_ack = segment.flags & (TCP_SYN | TCP_ACK) == TCP_SYN | TCP_ACK
        if is_syn_ack and segment.acknowledgement == expected_ack:
            self._expected_sequence = segments.advance_sequence(
                segment.sequence, 1
            )
            self._acked_sequence = expected_ack
            self._acknowledge()

    def _receive_established(self, segment: segments.Segment) -> None:
        self._apply_acknowledgement(segment.acknowledgement)
        if (
            segment.flags & TCP_FIN
            and segment.sequence == self._expected_sequence
        ):
            self._expected_sequence = segments.advance_sequence(
                self._expected_sequence, 1
            )
            self._closed = True
            self._send(
                segments.advance_sequence(self._next_sequence, 1), TCP_ACK
            )
        if not segment.payload:
            return
        offset = segments.sequence_distance(
            self._expected_sequence, segment.sequence
        )
        if offset < segments.WINDOW_BYTES:
            self._out_of_order[segment.sequence] = segment.payload
        while self._expected_sequence in self._out_of_order:
            payload = self._out_of_order.pop(self._expected_sequence)
            self._expected_sequence = segments.advance_sequence(
                self._expected_sequence, len(payload)
            )
            self._receive_answer_segment(segments.decode_record(payload))

    def _apply_acknowledgement(self, acknowledgement: int) -> None:
        sent = (
            segments.sequence_distance(
                self._initial_sequence, self._next_sequence
            )
            + 1
        )
        acked = segments.sequence_distance(
            self._initial_sequence, acknowledgement
        )
        if (
            segments.sequence_distance(
                self._initial_sequence, self._acked_sequence
            )
            < acked
            <= sent
        ):
            self._acked_sequence = acknowledgement

    def _receive_answer_segment(self, record: segments.PayloadRecord) -> None:
        is_expected = (
            self._belongs_to_flow(record)
            and record.request == self._current_request
        )
        if not is_expected:
            self.record.wrong_segments += 1
            return
        self._received_segments += 1
        self.record.partial_answer = not self._is_answered()

    def _is_connected(self) -> bool:
        return self._expected_sequence is not None

    def _is_answered(self) -> bool:
        return self._received_segments == self._plan.answer_segments

    def _is_closed(self) -> bool:
        return self._closed

    def _acknowledge(self) -> None:
        self._send(self._next_sequence, TCP_ACK)

    def _send(self, sequence: int, flags: int, payload: bytes = b'') -> None:
        acknowledgement = self._expected_sequence or 0
        self._send_packet(
            self._build_segment(
                sequence=sequence,
                acknowledgement=acknowledgement,
                flags=flags,
                payload=payload,
            )
        )


class UdpFlow(CallerFlow):
    """A flow over UDP: a request is one datagram, repeated until answered."""

    def __init__(
        self, plan: FlowPlan, randomness: random.Random, send: PacketSink
    ) -> None:
        super().__init__(plan, randomness, send)
        self._current_request = 0
        self._received_indexes: set[int] = set()

    def receive(self, segment: segments.Segment) -> None:
        """Process a datagram, or an ICMP message that refuses the flow."""
        if segment.protocol != UDP:
            is_unanswered = (
                not self.record.answers and not self._received_indexes
            )
            self._stop(
                FlowOutcome.REFUSED if is_unanswered else FlowOutcome.RESET
            )
            return
        record = segments.decode_record(segment.payload)
        if (
            not self._belongs_to_flow(record)
            or record.request > self._current_request
        ):
            self.record.wrong_segments += 1
        elif record.request == self._current_request:
            self._received_indexes.add(record.index)
            self.record.partial_answer = not self._is_answered()
            self._notify(self._wakeup)

    async def _run_flow(self) -> None:
        for request in range(self._plan.requests):
            if request:
                await self._pause()
            await self._exchange(request)

    async def _exchange(self, request: int) -> None:
        started_s = self._loop.time()
        self._current_request = request
        self._received_indexes = set()
        payload = self._request_payload(request, 0)
        for timeout_s in RESEND_TIMEOUTS_S:
            self._send_packet(self._build_segment(payload=payload))
            if await self._wait_until(self._is_answered, timeout_s):
                self.latencies_s.append(self._loop.time() - started_s)
                self.record.answers += 1
                return
            self.record.resends += 1
        raise _FlowEndedError(
            FlowOutcome.SILENT if request else FlowOutcome.UNANSWERED
        )

    def _is_answered(self) -> bool:
        return len(self._received_indexes) == self._plan.answer_segments


class Callers:
    """All callers of a run.

    Attributes:
        stray_packets: Number of received packets that belong to no open flow.
    """

    def __init__(self, randomness: random.Random, send: PacketSink) -> None:
        self.stray_packets = 0
        self._randomness = randomness
        self._send = send
        self._flows: dict[tuple[int, int, int, int], CallerFlow] = {}
        self._tasks: list[asyncio.Task[FlowRecord]] = []

    @property
    def records(self) -> list[FlowRecord]:
        """The records of all flows opened so far."""
        return [flow.record for flow in self._flows.values()]

    @property
    def latencies_s(self) -> list[float]:
        """The time from request to answer of each answered request."""
        return [
            latency_s
            for flow in self._flows.values()
            for latency_s in flow.latencies_s
        ]

    def open(self, plan: FlowPlan) -> None:
        """Start a flow in a new task."""
        flow_class = UdpFlow if plan.protocol == UDP else TcpFlow
        randomness = random.Random(self._randomness.getrandbits(64))
        flow = flow_class(plan, randomness, self._send)
        self._flows[plan.service + plan.caller] = flow
        self._tasks.append(asyncio.get_running_loop().create_task(flow.run()))

    def receive(self, packet: bytes) -> None:
        """Pass a packet from the load balancer to its flow."""
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
            self.stray_packets += 1
        else:
            flow.receive(segment)

    async def close(self) -> None:
        """Cancel the flows that are still open."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
