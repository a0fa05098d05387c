"""Requests that fail while some upstreams accept flows but fail requests.

Guards against upstreams that keep getting flows because no single entry VM sees
enough of their failures. Plays requests against the decisions of many entry
VMs, of which each sees few: one request in half a second, and each upstream
every seven seconds. The entry VMs report to a publisher as they do over the
network.
"""

import collections
import dataclasses
import functools
import random
from collections.abc import Callable

from token_fixtures import (
    LAST,
    PAYLOAD,
    SEED,
    VmHarness,
    at,
    config,
    settings,
    upstream,
)

from hibiscushatch_token.knowledge import peer_messages
from hibiscushatch_token.knowledge.failure_reporter import FailureReporter
from hibiscushatch_tools.load_events import EventScheduler

VMS = 40
NAMES = tuple(f'u{index:02}' for index in range(24))
FAILING = frozenset(NAMES[::8])
DOMAINS = ('here', 'there', 'yonder')
REQUEST_INTERVAL_S = 0.0125
ROUND_TRIP_S = 0.008
PEER_DELAY_S = 0.002
POLL_INTERVAL_S = 0.05
FAILURES_BEGIN_S = 12.0
END_S = 24.0
PUBLISHER = '127.0.0.1:31'
TIMEOUT_S = 2.5
# A failing upstream fails this share of its requests.
FAILING_SHARE = 0.45


def draw_hanging_s(_randomness: random.Random) -> float:
    """Return the time after which the caller has given up."""
    return TIMEOUT_S


def draw_error_s(_randomness: random.Random) -> float:
    """Return the time of an error that is answered at once."""
    return 0.001


def draw_slow_s(randomness: random.Random) -> float:
    """Draw a time eight times as long as that of a healthy upstream."""
    return 8 * draw_work_s(randomness)


def draw_work_s(randomness: random.Random) -> float:
    """Draw how long a healthy upstream takes for a request."""
    return randomness.lognormvariate(-3.3, 0.4)


@dataclasses.dataclass
class Member:
    """One entry VM and its reporter of failures."""

    vm: VmHarness
    reporter: FailureReporter


class Fleet:
    """Entry VMs that report failures to a publisher.

    Args:
        draw_failed_s: Draws how long a failed request takes.
        is_reporting: Whether entry VMs report the failures that they see.
    """

    def __init__(
        self,
        draw_failed_s: Callable[[random.Random], float],
        is_reporting: bool,
    ) -> None:
        self.events = EventScheduler()
        self.failed_upstreams: list[str] = []
        self.request_count = 0
        self._draw_failed_s = draw_failed_s
        self._is_reporting = is_reporting
        self._randomness = random.Random(SEED)  # noqa: S311
        self.members = [self._member(index) for index in range(VMS)]

    def play(self) -> None:
        """Play all requests; some upstreams fail in the second half."""
        for member in self.members:
            self.events.call_repeatedly(
                POLL_INTERVAL_S, functools.partial(self._poll, member)
            )
        self.events.call_repeatedly(REQUEST_INTERVAL_S, self._send_request)
        self.events.run(END_S)

    def _member(self, index: int) -> Member:
        vm = VmHarness(self.events.clock, VMS)
        for order, name in enumerate(NAMES):
            domain = DOMAINS[order % len(DOMAINS)]
            vm.registry.apply(name, upstream(name, domain), at(1))
        vm.routing.apply_config(config(1), at(1))
        control = PUBLISHER if index == 0 else f'127.0.0.1:{index + 100}'
        reporter = FailureReporter(
            settings(control=control, publishers=[PUBLISHER]),
            vm.outliers,
            self.events.clock,
            self._send,
            lambda: [PUBLISHER],
            functools.partial(self._announce, index),
        )
        return Member(vm, reporter)

    def _send(self, datagram: bytes, _address: tuple[str, int]) -> None:
        if not self._is_reporting:
            return
        report = peer_messages.decode_datagram(datagram, 'vm')
        publisher = self.members[0].reporter
        self.events.call_later(
            PEER_DELAY_S, functools.partial(publisher.on_report, report)
        )

    def _announce(self, index: int) -> None:
        if index == 0 and self._is_reporting:
            ejected = list(self.members[0].vm.outliers.active_ejections())
            for member in self.members[1:]:
                self.events.call_later(
                    PEER_DELAY_S,
                    functools.partial(_adopt_ejections, member, ejected),
                )

    def _poll(self, member: Member) -> None:
        member.vm.opener.retry_unanswered()
        member.vm.request_watch.record_overdue()
        member.reporter.record_failures(member.vm.request_watch.take_failures())

    def _send_request(self) -> None:
        self.request_count += 1
        flow = f'{self.request_count:04}'[-4:]
        vm = self._randomness.choice(self.members).vm
        chosen = vm.open(flow)
        self.events.call_later(
            ROUND_TRIP_S,
            functools.partial(self._begin_request, vm, flow, chosen),
        )

    def _begin_request(self, vm: VmHarness, flow: str, chosen: str) -> None:
        vm.send(flow, upstream(chosen).token, PAYLOAD)
        takes_s = draw_work_s(self._randomness)
        is_failing = chosen in FAILING and self.events.now > FAILURES_BEGIN_S
        if is_failing and self._randomness.random() < FAILING_SHARE:
            takes_s = self._draw_failed_s(self._randomness)
            self.failed_upstreams.append(chosen)
        self.events.call_later(
            ROUND_TRIP_S + takes_s,
            functools.partial(vm.send, flow, upstream(chosen).token, LAST),
        )


def _adopt_ejections(member: Member, ejected: list[tuple[str, float]]) -> None:
    for name, remaining_s in ejected:
        member.vm.outliers.adopt_ejection(name, remaining_s, PUBLISHER)


def failed_share(
    draw_failed_s: Callable[[random.Random], float], is_reporting: bool = True
) -> float:
    """Return the share of failed requests in the second half."""
    fleet = Fleet(draw_failed_s, is_reporting)
    fleet.play()
    later_requests = fleet.request_count * (1 - FAILURES_BEGIN_S / END_S)
    return len(fleet.failed_upstreams) / later_requests


def test_ejections_prevent_most_failed_requests() -> None:
    # An eighth of the upstreams fail 45 % of their requests.
    share_without_ejections = len(FAILING) / len(NAMES) * FAILING_SHARE
    for draw_failed_s in (draw_hanging_s, draw_error_s, draw_slow_s):
        share = failed_share(draw_failed_s)
        assert share < share_without_ejections * 0.25, (
            draw_failed_s.__name__,
            share,
        )


def test_only_failing_upstreams_are_ejected() -> None:
    fleet = Fleet(draw_hanging_s, is_reporting=True)
    fleet.play()
    ejected: collections.Counter[str] = collections.Counter()
    for member in fleet.members:
        ejected.update(
            name for name, _ in member.vm.outliers.active_ejections()
        )
    assert set(ejected) <= FAILING, ejected
