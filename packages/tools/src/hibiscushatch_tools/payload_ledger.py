"""Payload that the upstreams of a run accepted, to find duplicated requests."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class PayloadLedger:
    """Which upstreams accepted payload of a request, and how often it was run.

    Attributes:
        accepted: Upstreams that accepted payload, by flow and request.
        runs: Times that a request was run, by flow and request.
        admitted_by: The upstream that last admitted a flow, by the caller's
            address and port.
    """

    accepted: dict[tuple[int, int], set[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(set)
    )
    runs: collections.Counter[tuple[int, int]] = dataclasses.field(
        default_factory=collections.Counter
    )
    admitted_by: dict[tuple[int, int], str] = dataclasses.field(
        default_factory=dict
    )

    @property
    def duplicated_payloads(self) -> int:
        """Requests that two upstreams accepted or that ran more than once."""
        return sum(
            1
            for key, names in self.accepted.items()
            if len(names) > 1 or self.runs[key] > 1
        )

    @property
    def flows_with_payload(self) -> frozenset[int]:
        """Flows of which an upstream accepted any payload."""
        return frozenset(flow_id for flow_id, _ in self.accepted)

    def record_accepted(
        self, flow_id: int, request: int, upstream: str
    ) -> None:
        """Record that an upstream accepted payload of a request."""
        self.accepted[flow_id, request].add(upstream)

    def record_admitted(self, caller: tuple[int, int], upstream: str) -> None:
        """Record that an upstream admitted a caller's flow."""
        self.admitted_by[caller] = upstream

    def record_run(self, flow_id: int, request: int) -> None:
        """Record that an upstream ran a request."""
        self.runs[flow_id, request] += 1
