"""What callers get while some upstreams fail requests but accept flows.

Plays the load against the decisions of many entry VMs, of which each sees
little of it: one request in half a second, and each upstream every seven
seconds. The entry VMs report to a publisher as they do over the network.
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
    config,
    settings,
    upstream,
)

from hibiscushatch_token.knowledge import peer_messages
from hibiscushatch_token.knowledge.failure_reporter import FailureReporter
from hibiscushatch_tools.load_events import Events

VMS = 40
NAMES = tuple(f'u{index:02}' for index in range(24))
FAILING = frozenset(NAMES[::8])
DOMAINS = ('here', 'there', 'yonder')
GAP_S = 0.0125
ROUND_TRIP_S = 0.008
PEER_DELAY_S = 0.002
LOOK_S = 0.05
WARM_S = 12.0
END_S = 24.0
PUBLISHER = '127.0.0.1:31'
TIMEOUT_S = 2.5
# A failing upstream fails this part of its requests.
FAILING_SHARE = 0.45


def hang(_randomness: random.Random) -> float:
    """Answer when the caller has given up."""
    return TIMEOUT_S


def answer_an_error(_randomness: random.Random) -> float:
    """Answer at once."""
    return 0.001


def turn_slow(randomness: random.Random) -> float:
    """Work eight times as long."""
    return 8 * work(randomness)


def work(randomness: random.Random) -> float:
    """Draw how long a request takes."""
    return randomness.lognormvariate(-3.3, 0.4)


@dataclasses.dataclass
class Member:
    """One entry VM and how it reports."""

    vm: VmHarness
    reporter: FailureReporter


class Fleet:
    """Entry VMs that tell each other of failures.

    Args:
        fail_s: How long a request takes that fails.
        is_reporting: Whether entry VMs report what they see.
    """

    def __init__(
        self, fail_s: Callable[[random.Random], float], is_reporting: bool
    ) -> None:
        self.events = Events()
        self.failed: list[str] = []
        self.asked = 0
        self._fail_s = fail_s
        self._is_reporting = is_reporting
        self._randomness = random.Random(SEED)  # noqa: S311
        self.members = [self._member(index) for index in range(VMS)]

    def play(self) -> None:
        """Play the load; upstreams fail in its second half."""
        for member in self.members:
            self.events.every(LOOK_S, functools.partial(self._look, member))
        self.events.every(GAP_S, self._ask)
        self.events.play(END_S)

    def _member(self, index: int) -> Member:
        vm = VmHarness(self.events.clock, VMS)
        for order, name in enumerate(NAMES):
            domain = DOMAINS[order % len(DOMAINS)]
            vm.registry.apply(name, upstream(name, domain), 1)
        vm.routing.apply_config(config(1), 1)
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
        self.events.after(
            PEER_DELAY_S, functools.partial(publisher.received, report)
        )

    def _announce(self, index: int) -> None:
        if index == 0 and self._is_reporting:
            ejected = list(self.members[0].vm.outliers.ejected())
            for member in self.members[1:]:
                self.events.after(
                    PEER_DELAY_S,
                    functools.partial(_take_over, member, ejected),
                )

    def _look(self, member: Member) -> None:
        member.vm.opener.retry_unanswered()
        member.vm.requests.note_overdue()
        member.reporter.saw(member.vm.requests.take_failures())

    def _ask(self) -> None:
        self.asked += 1
        flow = f'{self.asked:04}'[-4:]
        vm = self._randomness.choice(self.members).vm
        chosen = vm.open(flow)
        self.events.after(
            ROUND_TRIP_S, functools.partial(self._begin, vm, flow, chosen)
        )

    def _begin(self, vm: VmHarness, flow: str, chosen: str) -> None:
        vm.send(flow, upstream(chosen).token, PAYLOAD)
        takes_s = work(self._randomness)
        is_failing = chosen in FAILING and self.events.now > WARM_S
        if is_failing and self._randomness.random() < FAILING_SHARE:
            takes_s = self._fail_s(self._randomness)
            self.failed.append(chosen)
        self.events.after(
            ROUND_TRIP_S + takes_s,
            functools.partial(vm.send, flow, upstream(chosen).token, LAST),
        )


def _take_over(member: Member, ejected: list[tuple[str, float]]) -> None:
    for name, left_s in ejected:
        member.vm.outliers.take_over(name, left_s, PUBLISHER)


def failed_share(
    fail_s: Callable[[random.Random], float], is_reporting: bool = True
) -> float:
    """Play the load and return the part of later requests that failed."""
    fleet = Fleet(fail_s, is_reporting)
    fleet.play()
    later = fleet.asked * (1 - WARM_S / END_S)
    return len(fleet.failed) / later


def test_callers_are_spared_most_failures_of_upstreams() -> None:
    # An eighth of the upstreams fails 45 % of their requests.
    unmended = len(FAILING) / len(NAMES) * FAILING_SHARE
    for fail_s in (hang, answer_an_error, turn_slow):
        share = failed_share(fail_s)
        assert share < unmended * 0.25, (fail_s.__name__, share)


def test_healthy_upstreams_are_not_ejected_for_those_that_fail() -> None:
    fleet = Fleet(hang, is_reporting=True)
    fleet.play()
    ejected: collections.Counter[str] = collections.Counter()
    for member in fleet.members:
        ejected.update(name for name, _ in member.vm.outliers.ejected())
    assert set(ejected) <= FAILING, ejected
