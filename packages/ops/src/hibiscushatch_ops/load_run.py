"""Generates load on entry VMs over real sockets and measures the answers.

A load run takes the place of callers and fabric: it sprays the packets of all
flows over the edge addresses of entry VMs, and receives what entry VMs send
towards callers. The upstreams must answer the payload of these callers as the
stand-ins do. All random choices come from one seed.
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
from hibiscushatch_core.udp_receiver import UdpReceiver
from hibiscushatch_core.udp_socket import open_udp_socket
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
    """The settings of a load run.

    Attributes:
        edges: Edge addresses of the entry VMs.
        fabric: The address to which entry VMs send the packets for callers.
        service: Address and port of the service that the callers call.
        protocol: IP protocol number of the service.
        service_id: Number of the service in the payload.
        callers_net: First address of the callers.
        flows: Maximum number of flows to open.
        rate: Flows to open per second.
        duration_s: Seconds in which flows are opened.
        drain_s: Seconds after that until open flows are given up.
        requests: Number of requests on each flow.
        gap_s: Mean seconds between an answer and the next request.
        request_segments: Number of payload segments of a request.
        answer_segments: Number of payload segments of an answer.
        seed: Seed of all random choices; the same seed repeats them.
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
    """The result of a load run, as measured by the callers.

    Attributes:
        flows: Number of flows that were opened.
        broken_flows: Number of established flows that were reset or got no
            more answers.
        outcomes: Number of flows by how they ended.
        answers: Number of requests that were answered completely.
        incomplete_answers: Number of flows that ended in the middle of an
            answer or got a segment of another answer.
        resends: Number of attempts that were not answered in time.
        unsent: Number of packets that the socket did not accept.
        latency_ms: Time from request to answer by percentile, in
            milliseconds.
        connect_ms: Time of the handshake by percentile, in milliseconds.
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
    """The load run could not be started."""


class SprayingSocket:
    """Stands in for the fabric: sprays packets over the edge addresses.

    It also receives the packets that entry VMs send towards callers.

    Attributes:
        unsent: Number of packets that the socket did not accept.

    Args:
        plan: Gives the edge addresses and the fabric's address.
        randomness: Picks the edge address for each packet.
    """

    def __init__(self, plan: LoadPlan, randomness: random.Random) -> None:
        self.unsent = 0
        self._edges = plan.edges
        self._randomness = randomness
        self._socket = _open_socket(plan.fabric)
        self._receiver: UdpReceiver | None = None

    def start(self, receive: Callable[[bytes], None]) -> None:
        """Start to pass each received packet to a function."""
        self._receiver = UdpReceiver(
            self._socket, lambda packet, _: receive(packet), Counters()
        )
        self._receiver.start()

    def send(self, packet: bytes) -> None:
        """Send a packet to a random edge address."""
        index = int(self._randomness.random() * len(self._edges))
        try:
            self._socket.sendto(packet, self._edges[index])
        except OSError:
            self.unsent += 1

    def close(self) -> None:
        """Stop receiving and close the socket."""
        if self._receiver is not None:
            self._receiver.stop()
        self._socket.close()


async def run_load(plan: LoadPlan) -> LoadOutcome:
    """Open all flows of a load run and wait until they have ended.

    Flows that are still open after ``drain_s`` are given up.

    Args:
        plan: The settings of the load run.

    Returns:
        The result, as measured by the callers.

    Raises:
        LoadError: When the fabric's address can't be bound.
    """
    randomness = random.Random(plan.seed)
    fabric_socket = SprayingSocket(plan, randomness)
    callers = Callers(randomness, fabric_socket.send)
    fabric_socket.start(callers.receive)
    try:
        await _open_flows(callers, plan)
        await _wait_finished(callers, plan.drain_s)
        await callers.close()
    finally:
        fabric_socket.close()
    return _summarize(callers, fabric_socket.unsent)


def plan_flows(plan: LoadPlan) -> Iterator[FlowPlan]:
    """Plan the flows of a load run.

    Args:
        plan: The settings of the load run.

    Yields:
        One plan per flow, each with its own caller address and port.
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
    next_open_s = loop.time()
    for flow in plan_flows(plan):
        callers.open(flow)
        next_open_s += 1 / plan.rate
        await asyncio.sleep(max(next_open_s - loop.time(), 0))


async def _wait_finished(callers: Callers, timeout_s: float) -> None:
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while _count_open(callers.records) and loop.time() < deadline_s:
        await asyncio.sleep(POLL_INTERVAL_S)


def _count_open(records: Sequence[FlowRecord]) -> int:
    return sum(record.outcome is FlowOutcome.OPEN for record in records)


def _summarize(callers: Callers, unsent: int) -> LoadOutcome:
    records = callers.records
    outcomes = Counter(one.outcome for one in records)
    connects_s = [one.connect_s for one in records if one.connect_s]
    return LoadOutcome(
        flows=len(records),
        broken_flows=sum(outcomes[one] for one in BROKEN_OUTCOMES),
        outcomes={one.value: outcomes[one] for one in FlowOutcome},
        answers=sum(one.answers for one in records),
        incomplete_answers=sum(
            one.partial_answer or one.wrong_segments > 0 for one in records
        ),
        resends=sum(one.resends for one in records),
        unsent=unsent,
        latency_ms=percentiles_ms(callers.latencies_s),
        connect_ms=percentiles_ms(connects_s),
    )


def percentiles_ms(seconds: Sequence[float]) -> dict[str, float]:
    """Compute percentiles of durations with an HDR histogram.

    Args:
        seconds: The durations in seconds.

    Returns:
        Milliseconds by percentile; empty when there are no durations.
    """
    if not seconds:
        return {}
    histogram = HdrHistogram(1, LATENCY_MAX_US, LATENCY_DIGITS)
    for duration_s in seconds:
        microseconds = int(duration_s * MICROSECONDS_PER_S)
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
