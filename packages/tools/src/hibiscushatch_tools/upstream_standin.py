"""A stand-in of an upstream: the far end of flows, with its limits.

It behaves as a kernel does as far as the tier can tell, does the requests in
a few slots, starts cold, sheds load above what it bears, and counts whatever
it should never have been sent.
"""

import asyncio
import collections
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
from hibiscushatch_tools.payload_ledger import PayloadLedger

HALF_OPEN_LIMIT_S = 15.0
CLOSING_LIMIT_S = 3.0
UDP_FLOW_LIMIT_S = 10.0
PacketSink = Callable[[bytes], None]


class UpstreamMode(enum.StrEnum):
    """How an upstream treats what it receives.

    Members:
        SERVING: As its limits allow.
        DEAD: It does not receive at all.
        SHEDDING: It answers every SYN with a reset and serves its flows.
        MUTE: It says nothing on flows older than the switch.
    """

    SERVING = 'serving'
    DEAD = 'dead'
    SHEDDING = 'shedding'
    MUTE = 'mute'


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamPlan:
    """What an upstream is and bears.

    Attributes:
        name: Its name in the manifest.
        domain: Its failure domain.
        address: Its tunnel address, dotted.
        service: Address, port and protocol of its service.
        service_id: Number of its service in payload records.
        slots: Requests that it works on at once.
        connections: Open flows that it bears when warm.
        cold_allowance: Open flows that it bears while cold.
        warm_up_s: Seconds from its first flow until it is warm.
        work_s: Mean time that one request takes.
    """

    name: str
    domain: str
    address: str
    service: tuple[int, int, int]
    service_id: int
    slots: int
    connections: int
    cold_allowance: int
    warm_up_s: float
    work_s: float


@dataclasses.dataclass(slots=True)
class UpstreamTotals:
    """What an upstream counted.

    Attributes:
        misdelivered: Packets for a service that it does not serve.
        unknown_flows: Packets of flows that it does not know.
        new_flow_times_s: Times at which new flows reached it.
        packet_times_s: Times at which packets reached it.
        peak_open: Most flows open at once.
        peak_cold_open: Most flows begun since it went cold and open at once,
            counting those it turned away.
        silent_cold_overloads: New flows above the cold allowance after it
            went cold without telling.
        connection_overloads: New flows above its connections.
        refused: New flows that it answered with a reset.
        queue_peak: Most requests that waited for a slot.
    """

    misdelivered: int = 0
    unknown_flows: int = 0
    new_flow_times_s: list[float] = dataclasses.field(default_factory=list)
    packet_times_s: list[float] = dataclasses.field(default_factory=list)
    peak_open: int = 0
    peak_cold_open: int = 0
    silent_cold_overloads: int = 0
    connection_overloads: int = 0
    refused: int = 0
    queue_peak: int = 0


@dataclasses.dataclass(slots=True)
class _Flow:
    """One flow as the upstream's kernel and server hold it."""

    caller: int
    caller_port: int
    begun_s: float
    expected: int = 0
    next_number: int = 0
    established: bool = False
    closing: bool = False
    last_heard_s: float = 0
    request: int = -1
    early: dict[int, bytes] = dataclasses.field(default_factory=dict)
    answer: list[tuple[int, bytes]] = dataclasses.field(default_factory=list)
    udp_answers: dict[int, list[bytes]] = dataclasses.field(
        default_factory=dict
    )


class UpstreamStandIn:
    """One upstream."""

    def __init__(
        self,
        plan: UpstreamPlan,
        ledger: PayloadLedger,
        randomness: random.Random,
        send: PacketSink,
    ) -> None:
        self.plan = plan
        self.totals = UpstreamTotals()
        self._mode = UpstreamMode.SERVING
        self._ledger = ledger
        self._randomness = randomness
        self._send_packet = send
        self._loop = asyncio.get_running_loop()
        self._flows: dict[tuple[int, int], _Flow] = {}
        self._mode_since_s = 0.0
        self._cold_since_s = self._loop.time()
        self._first_flow_s: float | None = None
        self._cold_silently = False
        self._busy = 0
        self._queue: collections.deque[tuple[_Flow, segments.Record]] = (
            collections.deque()
        )

    @property
    def open_flows(self) -> int:
        """Flows that are open now, half-open ones included."""
        return len(self._flows)

    @property
    def is_warm(self) -> bool:
        """Whether it bears its full number of connections."""
        if self._first_flow_s is None:
            return False
        age_s = self._loop.time() - self._first_flow_s
        return age_s >= self.plan.warm_up_s

    @property
    def mode(self) -> UpstreamMode:
        """How it treats what it receives."""
        return self._mode

    def switch(self, mode: UpstreamMode) -> None:
        """Change how it treats what it receives."""
        self._mode = mode
        self._mode_since_s = self._loop.time()

    def restart(self) -> None:
        """Lose all flows and start cold, as after a reboot."""
        self._flows.clear()
        self._queue.clear()
        self._cold_silently = False
        self._go_cold()
        self.switch(UpstreamMode.SERVING)

    def go_cold_silently(self) -> None:
        """Turn cold with all flows kept, telling nobody."""
        self._cold_silently = True
        self._go_cold()

    def receive(self, packet: bytes) -> None:
        """Take in an inner packet from the tunnel."""
        if self._mode is UpstreamMode.DEAD:
            return
        segment = segments.read_segment(packet)
        self.totals.packet_times_s.append(self._loop.time())
        target = (
            segment.destination,
            segment.destination_port,
            segment.protocol,
        )
        if target != self.plan.service:
            self.totals.misdelivered += 1
        elif segment.protocol == UDP:
            self._receive_datagram(segment)
        elif segment.protocol == TCP:
            self._receive_tcp(segment)

    def _go_cold(self) -> None:
        self._cold_since_s = self._loop.time()
        self._first_flow_s = None

    def _receive_tcp(self, segment: segments.Segment) -> None:
        flow = self._flows.get((segment.source, segment.source_port))
        if flow is not None and self._is_muted(flow):
            return
        if segment.flags & TCP_RST:
            self._receive_reset(flow, segment)
        elif segment.flags & TCP_SYN:
            self._receive_syn(flow, segment)
        elif flow is None or self._breaks_handshake(flow, segment):
            self.totals.unknown_flows += 1
            self._reset(segment)
        else:
            self._receive_established(flow, segment)

    def _receive_reset(
        self, flow: _Flow | None, segment: segments.Segment
    ) -> None:
        if flow is None:
            return
        ahead = segments.distance(flow.expected, segment.sequence)
        if ahead < segments.WINDOW_BYTES:
            self._forget(flow)

    def _receive_syn(
        self, flow: _Flow | None, segment: segments.Segment
    ) -> None:
        if flow and not flow.established:
            flow.expected = segments.advance(segment.sequence, 1)
            self._send_syn_ack(flow)
        elif flow:
            self._send(flow, TCP_ACK)
        elif self._admits_flow():
            flow = self._add_flow(segment)
            flow.expected = segments.advance(segment.sequence, 1)
            flow.next_number = self._randomness.getrandbits(32)
            self._send_syn_ack(flow)
            self._loop.call_later(HALF_OPEN_LIMIT_S, self._drop_half_open, flow)
        else:
            self.totals.refused += 1
            self._reset(segment)

    def _admits_flow(self) -> bool:
        """Judge a new flow against what it bears, and count it."""
        now_s = self._loop.time()
        self.totals.new_flow_times_s.append(now_s)
        if self._mode is UpstreamMode.SHEDDING:
            return False
        if self._first_flow_s is None:
            self._first_flow_s = now_s
        wanted = len(self._flows) + 1
        self.totals.peak_open = max(self.totals.peak_open, wanted)
        if wanted > self.plan.connections:
            self.totals.connection_overloads += 1
            return False
        return self.is_warm or self._admits_cold_flow()

    def _admits_cold_flow(self) -> bool:
        since_s = self._cold_since_s
        cold = 1 + sum(
            1 for flow in self._flows.values() if flow.begun_s >= since_s
        )
        admits = cold <= self.plan.cold_allowance
        if self._cold_silently:
            self.totals.silent_cold_overloads += not admits
        else:
            peak = self.totals.peak_cold_open
            self.totals.peak_cold_open = max(peak, cold)
        return admits

    def _add_flow(self, segment: segments.Segment) -> _Flow:
        flow = _Flow(segment.source, segment.source_port, self._loop.time())
        caller = (segment.source, segment.source_port)
        self._flows[caller] = flow
        self._ledger.place(caller, self.plan.name)
        return flow

    def _forget(self, flow: _Flow) -> None:
        key = (flow.caller, flow.caller_port)
        if self._flows.get(key) is flow:
            del self._flows[key]

    def _drop_half_open(self, flow: _Flow) -> None:
        if not flow.established:
            self._forget(flow)

    def _is_muted(self, flow: _Flow) -> bool:
        is_mute = self._mode is UpstreamMode.MUTE
        return is_mute and flow.begun_s < self._mode_since_s

    def _breaks_handshake(self, flow: _Flow, segment: segments.Segment) -> bool:
        if flow.established:
            return False
        return segment.acknowledgement != segments.advance(flow.next_number, 1)

    def _receive_established(
        self, flow: _Flow, segment: segments.Segment
    ) -> None:
        if not flow.established:
            flow.established = True
            flow.next_number = segments.advance(flow.next_number, 1)
        if segment.payload:
            self._receive_payload(flow, segment)
        if segment.flags & TCP_FIN:
            self._receive_fin(flow, segment)
        elif flow.closing and segment.acknowledgement == segments.advance(
            flow.next_number, 1
        ):
            self._forget(flow)

    def _receive_payload(self, flow: _Flow, segment: segments.Segment) -> None:
        ahead = segments.distance(flow.expected, segment.sequence)
        if ahead < segments.WINDOW_BYTES:
            flow.early[segment.sequence] = segment.payload
        elif flow.answer:
            self._send_answer(flow)
            return
        while flow.expected in flow.early:
            payload = flow.early.pop(flow.expected)
            flow.expected = segments.advance(flow.expected, len(payload))
            self._accept(flow, segments.decode_record(payload))
        self._send(flow, TCP_ACK)

    def _accept(self, flow: _Flow, record: segments.Record) -> None:
        name = self.plan.name
        self._ledger.accept(record.flow_id, record.request, name)
        if record.request != flow.request:
            flow.request = record.request
            flow.answer = []
        if record.index + 1 == record.count:
            self._enqueue(flow, record)

    def _receive_fin(self, flow: _Flow, segment: segments.Segment) -> None:
        if segment.sequence == flow.expected:
            flow.expected = segments.advance(flow.expected, 1)
            flow.closing = True
            self._loop.call_later(CLOSING_LIMIT_S, self._forget, flow)
        if flow.closing:
            self._send(flow, TCP_FIN | TCP_ACK)

    def _receive_datagram(self, segment: segments.Segment) -> None:
        flow = self._flows.get((segment.source, segment.source_port))
        if flow is None and not self._admits_flow():
            self.totals.refused += 1
            return
        if flow is None:
            flow = self._add_flow(segment)
            self._loop.call_later(UDP_FLOW_LIMIT_S, self._drop_idle, flow)
        flow.last_heard_s = self._loop.time()
        if self._is_muted(flow):
            return
        record = segments.decode_record(segment.payload)
        self._ledger.accept(record.flow_id, record.request, self.plan.name)
        if record.request > flow.request:
            flow.request = record.request
            self._enqueue(flow, record)
        for payload in flow.udp_answers.get(record.request, ()):
            self._send_datagram(flow, payload)

    def _drop_idle(self, flow: _Flow) -> None:
        left_s = flow.last_heard_s + UDP_FLOW_LIMIT_S - self._loop.time()
        if left_s <= 0:
            self._forget(flow)
        else:
            self._loop.call_later(left_s, self._drop_idle, flow)

    def _enqueue(self, flow: _Flow, record: segments.Record) -> None:
        self._queue.append((flow, record))
        self._start_work()
        peak = self.totals.queue_peak
        self.totals.queue_peak = max(peak, len(self._queue))

    def _start_work(self) -> None:
        while self._queue and self._busy < self.plan.slots:
            flow, record = self._queue.popleft()
            self._busy += 1
            self._ledger.run(record.flow_id, record.request)
            work_s = self._randomness.uniform(0.5, 1.5) * self.plan.work_s
            self._loop.call_later(work_s, self._finish_work, flow, record)

    def _finish_work(self, flow: _Flow, record: segments.Record) -> None:
        self._busy -= 1
        self._start_work()
        if self._flows.get((flow.caller, flow.caller_port)) is not flow:
            return
        payloads = [
            segments.encode_record(
                dataclasses.replace(
                    record,
                    index=index,
                    count=record.answer_segments,
                    service_id=self.plan.service_id,
                )
            )
            for index in range(record.answer_segments)
        ]
        if self.plan.service[2] == UDP:
            flow.udp_answers = {record.request: payloads}
            for payload in payloads:
                self._send_datagram(flow, payload)
            return
        for payload in payloads:
            flow.answer.append((flow.next_number, payload))
            flow.next_number = segments.advance(flow.next_number, len(payload))
        self._send_answer(flow)

    def _send_answer(self, flow: _Flow) -> None:
        for sequence, payload in flow.answer:
            self._send_numbered(flow, sequence, TCP_ACK, payload)

    def _send_syn_ack(self, flow: _Flow) -> None:
        self._send(flow, TCP_SYN | TCP_ACK)

    def _send(self, flow: _Flow, flags: int) -> None:
        self._send_numbered(flow, flow.next_number, flags, b'')

    def _send_numbered(
        self, flow: _Flow, sequence: int, flags: int, payload: bytes
    ) -> None:
        service = self.plan.service
        self._emit(
            segments.Segment(
                TCP,
                service[0],
                flow.caller,
                service[1],
                flow.caller_port,
                sequence,
                flow.expected,
                flags,
                payload,
            )
        )

    def _send_datagram(self, flow: _Flow, payload: bytes) -> None:
        service = self.plan.service
        self._emit(
            segments.Segment(
                UDP,
                service[0],
                flow.caller,
                service[1],
                flow.caller_port,
                payload=payload,
            )
        )

    def _reset(self, segment: segments.Segment) -> None:
        """Answer a segment that fits no flow, as RFC 9293 3.5.2 says."""
        has_ack = bool(segment.flags & TCP_ACK)
        size = len(segment.payload) + bool(segment.flags & TCP_SYN)
        end = segments.advance(segment.sequence, size)
        self._emit(
            segments.Segment(
                TCP,
                segment.destination,
                segment.source,
                segment.destination_port,
                segment.source_port,
                segment.acknowledgement if has_ack else 0,
                0 if has_ack else end,
                TCP_RST if has_ack else TCP_RST | TCP_ACK,
            )
        )

    def _emit(self, segment: segments.Segment) -> None:
        if self._mode is not UpstreamMode.DEAD:
            self._send_packet(segments.build_segment(segment))
