"""The share of one upstream's limit that this entry VM may use."""

import dataclasses
from collections.abc import Mapping

# A lower claim is announced when it fell by at least 1/32 of the limit.
LOWERING_STEP_DIVISOR = 32


@dataclasses.dataclass(slots=True)
class OwnShare:
    """This entry VM's share of one upstream's limit.

    Attributes:
        limit: Open flows that all entry VMs together may have on the upstream.
        weights: Number of buckets that send their new flows to the upstream,
            by the name of the buckets' owner.
        open_flows: Open flows that this entry VM owns.
        target: Its part of the limit in proportion to the weights.
        granted: Open flows that it may own.
        wanted: The higher grant that it requests; equal to ``granted`` when
            it requests none.
        wanted_revision: Ledger revision at which ``wanted`` was announced; 0
            when nothing is requested.
        announced: The claim that was announced last.
        announced_revision: Ledger revision of that announcement.
        claimed_by_others: Sum of the claims of all other members.
    """

    limit: int = 0
    weights: Mapping[str, int] = dataclasses.field(default_factory=dict)
    open_flows: int = 0
    target: int = 0
    granted: int = 0
    wanted: int = 0
    wanted_revision: int = 0
    announced: int = 0
    announced_revision: int = 0
    claimed_by_others: int = 0

    @property
    def claim(self) -> int:
        """The claim that has to be announced to the other members."""
        return max(self.wanted, self.held)

    @property
    def held(self) -> int:
        """Flows that the other members must leave to this one."""
        return max(self.granted, self.open_flows)

    @property
    def is_rotating(self) -> bool:
        """Whether more members have weight than there are flows to divide.

        The members then take turns, so the division changes with time.
        """
        return 0 < self.limit < sum(map(bool, self.weights.values()))

    @property
    def is_announcement_due(self) -> bool:
        """Whether the claim changed enough to be announced.

        A higher claim is always announced. While the grant exceeds the
        target, a lower claim is announced only when it fell by a minimum
        step; otherwise each flow that ends would cause an announcement.
        """
        if self.granted <= self.target or self.claim > self.announced:
            return self.claim != self.announced
        step = max(1, self.limit // LOWERING_STEP_DIVISOR)
        return self.announced - self.claim >= step

    def lower(self, target: int) -> None:
        """Set the target and release the unused part of the grant above it."""
        self.target = target
        bound = max(self.target, self.open_flows)
        self.granted = min(self.granted, bound)
        self.wanted = max(self.granted, min(self.wanted, self.target))
        self._clear_finished_request()

    def grant(self) -> None:
        """Grant the announced request as far as the others' claims allow."""
        available = min(self.wanted, self.limit - self.claimed_by_others)
        self.granted = max(self.granted, available)
        self.wanted = self.granted
        self._clear_finished_request()

    def _clear_finished_request(self) -> None:
        if self.wanted == self.granted:
            self.wanted_revision = 0
