"""What all upstreams of a run accepted, kept to find what ran twice."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class PayloadLedger:
    """Which upstreams took payload of which request, and how often it ran.

    Attributes:
        accepted: Upstreams that took payload, by flow and request.
        runs: Times that a request was run, by flow and request.
        placed: The upstream that admitted a flow last, by the caller's address
            and port.
    """

    accepted: dict[tuple[int, int], set[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(set)
    )
    runs: collections.Counter[tuple[int, int]] = dataclasses.field(
        default_factory=collections.Counter
    )
    placed: dict[tuple[int, int], str] = dataclasses.field(default_factory=dict)

    @property
    def duplicated_payloads(self) -> int:
        """Requests that two upstreams took or that ran more than once."""
        return sum(
            1
            for key, names in self.accepted.items()
            if len(names) > 1 or self.runs[key] > 1
        )

    @property
    def flows_with_payload(self) -> frozenset[int]:
        """Flows of which any payload was accepted."""
        return frozenset(flow_id for flow_id, _ in self.accepted)

    def accept(self, flow_id: int, request: int, upstream: str) -> None:
        """Count payload of a request as accepted by an upstream."""
        self.accepted[flow_id, request].add(upstream)

    def place(self, caller: tuple[int, int], upstream: str) -> None:
        """Note that an upstream admitted a flow."""
        self.placed[caller] = upstream

    def run(self, flow_id: int, request: int) -> None:
        """Count a request as run."""
        self.runs[flow_id, request] += 1
