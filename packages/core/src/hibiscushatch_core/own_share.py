"""One entry VM's part of the limit of one upstream."""

import dataclasses
from collections.abc import Mapping

LOWERING_STEPS = 32


@dataclasses.dataclass(slots=True)
class OwnShare:
    """The own part of one upstream's limit.

    Attributes:
        limit: Open flows that the upstream bears from all entry VMs.
        weights: Buckets that point at the upstream, by their owner's name.
        open_flows: Open flows that this entry VM owns.
        target: Its part of the limit by weight.
        granted: Open flows that it may own.
        wanted: A higher grant that was announced, or the granted one.
        wanted_revision: Revision at which ``wanted`` was announced.
        announced: The claim that was announced last.
        revision: Revision of that announcement.
        others: Sum of the claims of all other members.
    """

    limit: int = 0
    weights: Mapping[str, int] = dataclasses.field(default_factory=dict)
    open_flows: int = 0
    target: int = 0
    granted: int = 0
    wanted: int = 0
    wanted_revision: int = 0
    announced: int = 0
    revision: int = 0
    others: int = 0

    @property
    def claim(self) -> int:
        """What has to be announced."""
        return max(self.wanted, self.held)

    @property
    def held(self) -> int:
        """What other members must leave to this one."""
        return max(self.granted, self.open_flows)

    @property
    def has_turns(self) -> bool:
        """Whether parts are below one flow and so change with time."""
        return 0 < self.limit < sum(map(bool, self.weights.values()))

    @property
    def is_announcement_due(self) -> bool:
        """Whether the claim rose, or fell by more than a small step.

        Flows that end one by one while the claim exceeds the target would
        otherwise cause an announcement each.
        """
        if self.granted <= self.target or self.claim > self.announced:
            return self.claim != self.announced
        step = max(1, self.limit // LOWERING_STEPS)
        return self.announced - self.claim >= step

    def lower(self, target: int) -> None:
        """Set the target and give up what exceeds it and is not in use."""
        self.target = target
        bound = max(self.target, self.open_flows)
        self.granted = min(self.granted, bound)
        self.wanted = max(self.granted, min(self.wanted, self.target))
        self._settle()

    def grant(self) -> None:
        """Take into use what was announced, as far as there is room."""
        room = min(self.wanted, self.limit - self.others)
        self.granted = max(self.granted, room)
        self.wanted = self.granted
        self._settle()

    def _settle(self) -> None:
        if self.wanted == self.granted:
            self.wanted_revision = 0
