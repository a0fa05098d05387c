"""Seeded callers over real sockets, to load entry VMs and judge them.

They take the place of callers and fabric: the packets of all flows are
sprayed over edge addresses, and what entry VMs send towards callers comes
back. The upstreams must answer the payload of these callers, as the stand-ins
do.
"""

import asyncio
import dataclasses
import random
import socket
from collections import Counter
from collections.abc import Callable, Iterator, Sequence

from hdrh.histogram import HdrHistogram

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import HibiscushatchError
from hibiscushatch_core.udp_receiver import UdpReceiver, open_udp_socket
from hibiscushatch_ops.callers import (
    BROKEN_OUTCOMES,
    Callers,
    FlowOutcome,
    FlowPlan,
    FlowRecord,
)

LATENCY_MAX_US = 60 * 1000 * 1000
LATENCY_DIGITS = 3
MICROSECONDS_PER_S = 1000 * 1000
MICROSECONDS_PER_MS = 1000
PERCENTILES = (50, 90, 99, 99.9, 100)
CALLER_HOSTS = 200
CALLER_PORT_FIRST = 10000
POLL_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """What to send where.

    Attributes:
        edges: Edge addresses of the entry VMs.
        fabric: The address that entry VMs send callers' packets to.
        service: Address and port that the callers call.
        protocol: IP protocol number of the service.
        service_id: Number of the service in the payload.
        callers_net: First address of the callers.
        flows: Most flows to open.
        rate: Flows to open in a second.
        duration_s: Seconds in which flows are opened.
        drain_s: Seconds after that until open flows are given up.
        requests: Requests on each flow.
        gap_s: Mean seconds between the requests of a flow.
        request_segments: Payload segments of a request.
        answer_segments: Payload segments of an answer.
        seed: Makes all choices the same in every run.
    """

    edges: Sequence[tuple[str, int]]
    fabric: tuple[str, int]
    service: tuple[int, int]
    protocol: int
    service_id: int
    callers_net: int
    flows: int
    rate: float
    duration_s: float
    drain_s: float
    requests: int
    gap_s: float
    request_segments: int
    answer_segments: int
    seed: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadOutcome:
    """What the callers saw.

    Attributes:
        flows: Flows that were opened.
        broken_flows: Established flows that were reset or fell silent.
        outcomes: Flows by how they ended.
        answers: Requests that were answered whole.
        incomplete_answers: Flows that ended amid an answer or got a segment
            of another answer.
        resends: Packets that were sent again.
        unsent: Packets that the socket did not take.
        latency_ms: Time of answered requests by percentile, milliseconds.
        connect_ms: Time of handshakes by percentile, milliseconds.
    """

    flows: int
    broken_flows: int
    outcomes: dict[str, int]
    answers: int
    incomplete_answers: int
    resends: int
    unsent: int
    latency_ms: dict[str, float]
    connect_ms: dict[str, float]


class LoadError(HibiscushatchError):
    """The load could not be sent."""


class SprayingSocket:
    """The fabric's end: sprays over edge addresses and receives answers.

    Attributes:
        unsent: Packets that the socket did not take.

    Args:
        plan: The addresses.
        randomness: Picks the entry VM for each packet.
    """

    def __init__(self, plan: LoadPlan, randomness: random.Random) -> None:
        self.unsent = 0
        self._edges = plan.edges
        self._randomness = randomness
        self._socket = _open_socket(plan.fabric)
        self._receiver: UdpReceiver | None = None

    def start(self, receive: Callable[[bytes], None]) -> None:
        """Begin to hand received packets to a function."""
        self._receiver = UdpReceiver(
            self._socket, lambda packet, _: receive(packet), Counters()
        )
        self._receiver.start()

    def send(self, packet: bytes) -> None:
        """Send a packet to one of the edge addresses."""
        index = int(self._randomness.random() * len(self._edges))
        try:
            self._socket.sendto(packet, self._edges[index])
        except OSError:
            self.unsent += 1

    def close(self) -> None:
        """Cease to receive and close the socket."""
        if self._receiver is not None:
            self._receiver.stop()
        self._socket.close()


async def run_load(plan: LoadPlan) -> LoadOutcome:
    """Open all flows of a plan and wait for their ends.

    Args:
        plan: What to send where.

    Returns:
        What the callers saw.

    Raises:
        LoadError: When the fabric's address can't be bound.
    """
    randomness = random.Random(plan.seed)
    spraying = SprayingSocket(plan, randomness)
    callers = Callers(randomness, spraying.send)
    spraying.start(callers.receive)
    try:
        await _open_flows(callers, plan)
        await _wait_finished(callers, plan.drain_s)
        await callers.close()
    finally:
        spraying.close()
    return _outcome(callers, spraying.unsent)


def plan_flows(plan: LoadPlan) -> Iterator[FlowPlan]:
    """Plan the flows of a load.

    Args:
        plan: What to send where.

    Yields:
        One plan a flow, each with a caller of its own.
    """
    count = min(plan.flows, int(plan.rate * plan.duration_s))
    for flow_id in range(count):
        port_step, host = divmod(flow_id, CALLER_HOSTS)
        yield FlowPlan(
            flow_id=flow_id,
            service_name='',
            service_id=plan.service_id,
            service=plan.service,
            caller=(plan.callers_net + host, CALLER_PORT_FIRST + port_step),
            protocol=plan.protocol,
            requests=plan.requests,
            gap_s=plan.gap_s,
            request_segments=plan.request_segments,
            answer_segments=plan.answer_segments,
        )


async def _open_flows(callers: Callers, plan: LoadPlan) -> None:
    loop = asyncio.get_running_loop()
    due_s = loop.time()
    for flow in plan_flows(plan):
        callers.open(flow)
        due_s += 1 / plan.rate
        await asyncio.sleep(max(due_s - loop.time(), 0))


async def _wait_finished(callers: Callers, limit_s: float) -> None:
    loop = asyncio.get_running_loop()
    end_s = loop.time() + limit_s
    while _count_open(callers.records) and loop.time() < end_s:
        await asyncio.sleep(POLL_INTERVAL_S)


def _count_open(records: Sequence[FlowRecord]) -> int:
    return sum(one.outcome is FlowOutcome.OPEN for one in records)


def _outcome(callers: Callers, unsent: int) -> LoadOutcome:
    records = callers.records
    outcomes = Counter(one.outcome for one in records)
    connects_s = [one.connect_s for one in records if one.connect_s]
    return LoadOutcome(
        flows=len(records),
        broken_flows=sum(outcomes[one] for one in BROKEN_OUTCOMES),
        outcomes={one.value: outcomes[one] for one in FlowOutcome},
        answers=sum(one.answers for one in records),
        incomplete_answers=sum(
            one.partial_answer or one.wrong_answers > 0 for one in records
        ),
        resends=sum(one.resends for one in records),
        unsent=unsent,
        latency_ms=percentiles_ms(callers.latencies_s),
        connect_ms=percentiles_ms(connects_s),
    )


def percentiles_ms(seconds: Sequence[float]) -> dict[str, float]:
    """Summarize durations by an HDR histogram.

    Args:
        seconds: The durations in seconds.

    Returns:
        Milliseconds by percentile; empty when there are no durations.
    """
    if not seconds:
        return {}
    histogram = HdrHistogram(1, LATENCY_MAX_US, LATENCY_DIGITS)
    for one in seconds:
        microseconds = int(one * MICROSECONDS_PER_S)
        histogram.record_value(min(max(microseconds, 1), LATENCY_MAX_US))
    return {
        f'p{percentile:g}': histogram.get_value_at_percentile(percentile)
        / MICROSECONDS_PER_MS
        for percentile in PERCENTILES
    }


def _open_socket(address: tuple[str, int]) -> socket.socket:
    try:
        return open_udp_socket(address)
    except OSError as error:
        peer = f'{address[0]}:{address[1]}'
        raise LoadError('open socket', peer, str(error)) from error
