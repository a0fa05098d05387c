"""Measures the claims that members of a share ledger exchange.

Ledgers talk to each other directly, each pair over the wire's encoding,
until all limits are granted again after one member has left.
"""

import dataclasses
from collections.abc import Iterator, Sequence

from hibiscushatch_core.admission_messages import claims_to_message
from hibiscushatch_core.messages import PeerMessage, encode_message
from hibiscushatch_core.shares import ShareLedger
from hibiscushatch_tools.capacity_clock import MILLISECONDS_PER_S, cpu_s
from hibiscushatch_tools.capacity_fit import Point
from hibiscushatch_tools.capacity_fixtures import (
    CONNECTIONS_A_UPSTREAM,
    vm_name,
)
from hibiscushatch_tools.capacity_model import DESIGN, Slope

SHAPES = ((4, 100), (8, 100), (8, 200), (16, 100), (16, 200), (24, 100))
HOLD_S = 300.0
STEP_S = 0.6
ROUNDS_MAX = 12
SHARES = 'hibiscushatch_core.shares'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsCost:
    """What one view change costs a member.

    Attributes:
        members: Members of the ledger.
        upstreams: Upstreams whose limits are divided.
        bytes: Bytes that one member sends.
        cpu_ms: Processor time of one member.
        rest_ms: Processor time of one refresh when nothing changes.
    """

    members: int
    upstreams: int
    bytes: float
    cpu_ms: float
    rest_ms: float

    @property
    def links_times_upstreams(self) -> int:
        """What the bytes grow with."""
        return (self.members - 1) * self.upstreams


class _LedgerRing:
    """All ledgers of a set of members."""

    def __init__(self, members: int, upstreams: int) -> None:
        self.sent_bytes = 0
        self._now_s = 0.0
        self._upstreams = [f'upstream-{one:04d}' for one in range(upstreams)]
        self._ledgers = {
            vm_name(one): ShareLedger(vm_name(one), 1, HOLD_S)
            for one in range(members)
        }
        for ledger in self._ledgers.values():
            for name in self._ledgers:
                ledger.join(name, 0)
            for upstream in self._upstreams:
                ledger.set_limit(upstream, CONNECTIONS_A_UPSTREAM)
            ledger.activate()
        self._set_weights()

    def drop_last(self) -> None:
        """Let one member leave."""
        name, _ = self._ledgers.popitem()
        for ledger in self._ledgers.values():
            ledger.forget(name)
        self._set_weights()

    def settle(self) -> None:
        """Exchange messages until nobody has news."""
        for _ in range(ROUNDS_MAX):
            self._now_s += STEP_S
            for ledger in self._ledgers.values():
                ledger.refresh(self._now_s)
            if not self._exchange():
                return

    def refresh_one(self) -> None:
        """Refresh one ledger."""
        next(iter(self._ledgers.values())).refresh(self._now_s)

    def _exchange(self) -> int:
        messages = [
            (other, ledger.message_for(other))
            for ledger in self._ledgers.values()
            for other in self._ledgers
            if other in ledger.member_names and ledger.has_news_for(other)
        ]
        for other, claims in messages:
            message = PeerMessage(claims=claims_to_message(claims))
            self.sent_bytes += len(encode_message(message))
            self._ledgers[other].receive(claims, self._now_s)
        return len(messages)

    def _set_weights(self) -> None:
        names = tuple(self._ledgers)
        for index, upstream in enumerate(self._upstreams):
            weights = {
                name: 1 + (position + index) % 3
                for position, name in enumerate(names)
            }
            for ledger in self._ledgers.values():
                ledger.set_weights(upstream, weights)


def measure_claims(members: int, upstreams: int) -> ClaimsCost:
    """Measure the departure of one member.

    Args:
        members: Members before.
        upstreams: Upstreams whose limits are divided.

    Returns:
        The cost of one remaining member.
    """
    ring = _LedgerRing(members, upstreams)
    ring.settle()
    before = ring.sent_bytes
    ring.drop_last()
    used_s = cpu_s(ring.settle)
    left = members - 1
    return ClaimsCost(
        members,
        upstreams,
        (ring.sent_bytes - before) / left,
        used_s * MILLISECONDS_PER_S / left,
        cpu_s(ring.refresh_one) * MILLISECONDS_PER_S,
    )


def claims_slopes(costs: Sequence[ClaimsCost]) -> Iterator[Slope]:
    """Turn the costs into slopes.

    Args:
        costs: Of several ledgers.

    Yields:
        Bytes and processor time against members times upstreams.
    """
    target = (DESIGN.domain_vms - 1) * DESIGN.domain_upstreams
    size = 'links x upstreams'
    yield Slope(
        'claims_bytes',
        'bytes that one member sends when another one leaves',
        size,
        SHARES,
        [Point(one.links_times_upstreams, one.bytes) for one in costs],
        target,
    )
    yield Slope(
        'claims_cpu',
        'processor time of one member when another one leaves, ms',
        size,
        SHARES,
        [Point(one.links_times_upstreams, one.cpu_ms) for one in costs],
        target,
    )
