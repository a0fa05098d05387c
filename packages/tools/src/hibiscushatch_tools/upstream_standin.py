"""A stand-in for an upstream: the server side of flows, with its limits.

To the entry VMs it behaves like a server's TCP and UDP stack. It runs requests
in a limited number of slots, starts cold, refuses flows above its limits, and
counts the packets and flows that it should never have received.
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

HALF_OPEN_TIMEOUT_S = 15.0
CLOSING_TIMEOUT_S = 3.0
UDP_IDLE_TIMEOUT_S = 10.0
PacketSink = Callable[[bytes], None]


class UpstreamMode(enum.StrEnum):
    """How an upstream treats the packets that it receives.

    Members:
        SERVING: It serves flows within its limits.
        DEAD: It neither receives nor sends anything.
        SHEDDING: It refuses all new flows and serves the open ones.
        MUTE: It sends nothing on flows opened before the mode was set.
    """

    SERVING = 'serving'
    DEAD = 'dead'
    SHEDDING = 'shedding'
    MUTE = 'mute'


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamPlan:
    """Identity and limits of an upstream.

    Attributes:
        name: Name of the upstream in the manifest.
        domain: Failure domain of the upstream.
        address: Tunnel address, in dotted notation.
        service: Address, port and protocol of the service.
        service_id: Number of the service in payload records.
        slots: Requests that the upstream runs at once.
        connections: Limit of open flows.
        cold_allowance: Limit of open flows, begun since it became cold, that
            applies while it is cold.
        warm_up_s: Seconds from the first flow until the upstream is warm.
        work_s: Mean duration of a request.
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
    """Counts of an upstream, kept for the checks of a run.

    Attributes:
        misdelivered: Packets for a service that the upstream does not serve.
        unknown_flows: Packets of unknown flows, or with a wrong handshake.
        new_flow_times_s: Times at which new flows arrived.
        packet_times_s: Times at which packets arrived.
        peak_open: Highest number of flows open at once; a new flow counts
            even if the limits refuse it.
        peak_cold_open: The same for flows that began after the upstream
            became cold, counted while it is cold; not counted after it
            became cold silently.
        silent_cold_overloads: New flows above the cold allowance after the
            upstream became cold silently.
        connection_overloads: New flows above the limit of open flows.
        refused: New flows that were refused: TCP by a reset, UDP silently.
        queue_peak: Highest number of requests that waited at once.
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
    """Transport and request state of one flow on the upstream.

    Attributes:
        caller: Address of the caller.
        caller_port: Port of the caller.
        opened_at_s: Time of the first packet.
        next_expected: Sequence number of the next byte from the caller.
        next_sequence: Sequence number of the next byte to the caller.
        established: Whether the TCP handshake is complete.
        closing: Whether a FIN of the caller was received.
        last_packet_at_s: Time of the last UDP packet.
        request: Number of the latest request; -1 before the first.
        out_of_order: Received payload not yet accepted, by sequence number.
        sent_answer: Segments of the latest TCP answer, with their sequence
            numbers, kept to send them again.
        udp_answers: Payloads of the latest UDP answer, by request.
    """

    caller: int
    caller_port: int
    opened_at_s: float
    next_expected: int = 0
    next_sequence: int = 0
    established: bool = False
    closing: bool = False
    last_packet_at_s: float = 0
    request: int = -1
    out_of_order: dict[int, bytes] = dataclasses.field(default_factory=dict)
    sent_answer: list[tuple[int, bytes]] = dataclasses.field(
        default_factory=list
    )
    udp_answers: dict[int, list[bytes]] = dataclasses.field(
        default_factory=dict
    )


class UpstreamStandIn:
    """Serves the flows of one upstream within the limits of its plan."""

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
        self._first_flow_at_s: float | None = None
        self._is_silently_cold = False
        self._busy_slots = 0
        self._queue: collections.deque[tuple[_Flow, segments.PayloadRecord]] = (
            collections.deque()
        )

    @property
    def open_flows(self) -> int:
        """Number of open flows, half-open ones included."""
        return len(self._flows)

    @property
    def is_warm(self) -> bool:
        """Whether the upstream is warm: the cold allowance does not apply."""
        if self._first_flow_at_s is None:
            return False
        age_s = self._loop.time() - self._first_flow_at_s
        return age_s >= self.plan.warm_up_s

    @property
    def mode(self) -> UpstreamMode:
        """How the upstream treats the packets that it receives."""
        return self._mode

    def set_mode(self, mode: UpstreamMode) -> None:
        """Change how the upstream treats the packets that it receives."""
        self._mode = mode
        self._mode_since_s = self._loop.time()

    def restart(self) -> None:
        """Lose all flows and become cold, as after a reboot."""
        self._flows.clear()
        self._queue.clear()
        self._is_silently_cold = False
        self._become_cold()
        self.set_mode(UpstreamMode.SERVING)

    def go_cold_silently(self) -> None:
        """Become cold but keep all flows, so that nobody notices."""
        self._is_silently_cold = True
        self._become_cold()

    def receive(self, packet: bytes) -> None:
        """Handle an inner packet from the tunnel."""
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

    def _become_cold(self) -> None:
        self._cold_since_s = self._loop.time()
        self._first_flow_at_s = None

    def _receive_tcp(self, segment: segments.Segment) -> None:
        flow = self._flows.get((segment.source, segment.source_port))
        if flow is not None and self._is_unresponsive(flow):
            return
        if segment.flags & TCP_RST:
            self._receive_reset(flow, segment)
        elif segment.flags & TCP_SYN:
            self._receive_syn(flow, segment)
        elif flow is None or self._has_wrong_handshake_ack(flow, segment):
            self.totals.unknown_flows += 1
            self._send_reset(segment)
        else:
            self._receive_established(flow, segment)

    def _receive_reset(
        self, flow: _Flow | None, segment: segments.Segment
    ) -> None:
        if flow is None:
            return
        ahead = segments.sequence_distance(flow.next_expected, segment.sequence)
        if ahead < segments.WINDOW_BYTES:
            self._remove_flow(flow)

    def _receive_syn(
        self, flow: _Flow | None, segment: segments.Segment
    ) -> None:
        if flow and not flow.established:
            flow.next_expected = segments.advance_sequence(segment.sequence, 1)
            self._send_syn_ack(flow)
        elif flow:
            self._send_flags(flow, TCP_ACK)
        elif self._admit_flow():
            flow = self._add_flow(segment)
            flow.next_expected = segments.advance_sequence(segment.sequence, 1)
            flow.next_sequence = self._randomness.getrandbits(32)
            self._send_syn_ack(flow)
            self._loop.call_later(
                HALF_OPEN_TIMEOUT_S, self._drop_half_open, flow
            )
        else:
            self.totals.refused += 1
            self._send_reset(segment)

    def _admit_flow(self) -> bool:
        """Count a new flow and return whether the limits admit it."""
        now_s = self._loop.time()
        self.totals.new_flow_times_s.append(now_s)
        if self._mode is UpstreamMode.SHEDDING:
            return False
        if self._first_flow_at_s is None:
            self._first_flow_at_s = now_s
        open_flows = len(self._flows) + 1
        self.totals.peak_open = max(self.totals.peak_open, open_flows)
        if open_flows > self.plan.connections:
            self.totals.connection_overloads += 1
            return False
        return self.is_warm or self._admit_cold_flow()

    def _admit_cold_flow(self) -> bool:
        since_s = self._cold_since_s
        cold_flows = 1 + sum(
            1 for flow in self._flows.values() if flow.opened_at_s >= since_s
        )
        is_admitted = cold_flows <= self.plan.cold_allowance
        if self._is_silently_cold:
            self.totals.silent_cold_overloads += not is_admitted
        else:
            peak = self.totals.peak_cold_open
            self.totals.peak_cold_open = max(peak, cold_flows)
        return is_admitted

    def _add_flow(self, segment: segments.Segment) -> _Flow:
        flow = _Flow(segment.source, segment.source_port, self._loop.time())
        caller = (segment.source, segment.source_port)
        self._flows[caller] = flow
        self._ledger.record_admitted(caller, self.plan.name)
        return flow

    def _remove_flow(self, flow: _Flow) -> None:
        key = (flow.caller, flow.caller_port)
        if self._flows.get(key) is flow:
            del self._flows[key]

    def _drop_half_open(self, flow: _Flow) -> None:
        if not flow.established:
            self._remove_flow(flow)

    def _is_unresponsive(self, flow: _Flow) -> bool:
        is_mute = self._mode is UpstreamMode.MUTE
        return is_mute and flow.opened_at_s < self._mode_since_s

    def _has_wrong_handshake_ack(
        self, flow: _Flow, segment: segments.Segment
    ) -> bool:
        if flow.established:
            return False
        return segment.acknowledgement != segments.advance_sequence(
            flow.next_sequence, 1
        )

    def _receive_established(
        self, flow: _Flow, segment: segments.Segment
    ) -> None:
        if not flow.established:
            flow.established = True
            flow.next_sequence = segments.advance_sequence(
                flow.next_sequence, 1
            )
        if segment.payload:
            self._receive_payload(flow, segment)
        if segment.flags & TCP_FIN:
            self._receive_fin(flow, segment)
        elif (
            flow.closing
            and segment.acknowledgement
            == segments.advance_sequence(flow.next_sequence, 1)
        ):
            self._remove_flow(flow)

    def _receive_payload(self, flow: _Flow, segment: segments.Segment) -> None:
        ahead = segments.sequence_distance(flow.next_expected, segment.sequence)
        if ahead < segments.WINDOW_BYTES:
            flow.out_of_order[segment.sequence] = segment.payload
        elif flow.sent_answer:
            self._send_answer(flow)
            return
        while flow.next_expected in flow.out_of_order:
            payload = flow.out_of_order.pop(flow.next_expected)
            flow.next_expected = segments.advance_sequence(
                flow.next_expected, len(payload)
            )
            self._accept_payload(flow, segments.decode_record(payload))
        self._send_flags(flow, TCP_ACK)

    def _accept_payload(
        self, flow: _Flow, record: segments.PayloadRecord
    ) -> None:
        name = self.plan.name
        self._ledger.record_accepted(record.flow_id, record.request, name)
        if record.request != flow.request:
            flow.request = record.request
            flow.sent_answer = []
        if record.index + 1 == record.count:
            self._enqueue(flow, record)

    def _receive_fin(self, flow: _Flow, segment: segments.Segment) -> None:
        if segment.sequence == flow.next_expected:
            flow.next_expected = segments.advance_sequence(
                flow.next_expected, 1
            )
            flow.closing = True
            self._loop.call_later(CLOSING_TIMEOUT_S, self._remove_flow, flow)
        if flow.closing:
            self._send_flags(flow, TCP_FIN | TCP_ACK)

    def _receive_datagram(self, segment: segments.Segment) -> None:
        flow = self._flows.get((segment.source, segment.source_port))
        if flow is None and not self._admit_flow():
            self.totals.refused += 1
            return
        if flow is None:
            flow = self._add_flow(segment)
            self._loop.call_later(UDP_IDLE_TIMEOUT_S, self._drop_idle, flow)
        flow.last_packet_at_s = self._loop.time()
        if self._is_unresponsive(flow):
            return
        record = segments.decode_record(segment.payload)
        self._ledger.record_accepted(
            record.flow_id, record.request, self.plan.name
        )
        if record.request > flow.request:
            flow.request = record.request
            self._enqueue(flow, record)
        for payload in flow.udp_answers.get(record.request, ()):
            self._send_datagram(flow, payload)

    def _drop_idle(self, flow: _Flow) -> None:
        remaining_s = (
            flow.last_packet_at_s + UDP_IDLE_TIMEOUT_S - self._loop.time()
        )
        if remaining_s <= 0:
            self._remove_flow(flow)
        else:
            self._loop.call_later(remaining_s, self._drop_idle, flow)

    def _enqueue(self, flow: _Flow, record: segments.PayloadRecord) -> None:
        self._queue.append((flow, record))
        self._start_work()
        peak = self.totals.queue_peak
        self.totals.queue_peak = max(peak, len(self._queue))

    def _start_work(self) -> None:
        while self._queue and self._busy_slots < self.plan.slots:
            flow, record = self._queue.popleft()
            self._busy_slots += 1
            self._ledger.record_run(record.flow_id, record.request)
            work_s = self._randomness.uniform(0.5, 1.5) * self.plan.work_s
            self._loop.call_later(work_s, self._finish_work, flow, record)

    def _finish_work(self, flow: _Flow, record: segments.PayloadRecord) -> None:
        self._busy_slots -= 1
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
            flow.sent_answer.append((flow.next_sequence, payload))
            flow.next_sequence = segments.advance_sequence(
                flow.next_sequence, len(payload)
            )
        self._send_answer(flow)

    def _send_answer(self, flow: _Flow) -> None:
        for sequence, payload in flow.sent_answer:
            self._send_tcp(flow, sequence, TCP_ACK, payload)

    def _send_syn_ack(self, flow: _Flow) -> None:
        self._send_flags(flow, TCP_SYN | TCP_ACK)

    def _send_flags(self, flow: _Flow, flags: int) -> None:
        self._send_tcp(flow, flow.next_sequence, flags, b'')

    def _send_tcp(
        self, flow: _Flow, sequence: int, flags: int, payload: bytes
    ) -> None:
        service = self.plan.service
        self._send_segment(
            segments.Segment(
                TCP,
                service[0],
                flow.caller,
                service[1],
                flow.caller_port,
                sequence,
                flow.next_expected,
                flags,
                payload,
            )
        )

    def _send_datagram(self, flow: _Flow, payload: bytes) -> None:
        service = self.plan.service
        self._send_segment(
            segments.Segment(
                UDP,
                service[0],
                flow.caller,
                service[1],
                flow.caller_port,
                payload=payload,
            )
        )

    def _send_reset(self, segment: segments.Segment) -> None:
        """Answer a segment with a reset, as RFC 9293 section 3.5.2 says."""
        has_ack = bool(segment.flags & TCP_ACK)
        size = len(segment.payload) + bool(segment.flags & TCP_SYN)
        end = segments.advance_sequence(segment.sequence, size)
        self._send_segment(
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

    def _send_segment(self, segment: segments.Segment) -> None:
        if self._mode is not UpstreamMode.DEAD:
            self._send_packet(segments.build_segment(segment))
