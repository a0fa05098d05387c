"""The result of a demo run, as callers and upstream stand-ins observed it."""

import collections
import dataclasses
from collections.abc import Iterable, Iterator, Mapping, Sequence

from hibiscushatch_ops.callers import (
    BROKEN_OUTCOMES,
    FlowOutcome,
    FlowRecord,
)
from hibiscushatch_tools.payload_ledger import PayloadLedger
from hibiscushatch_tools.upstream_standin import UpstreamStandIn

MANIFEST_IN_FORCE_LIMIT_S = 5.0
NO_NEW_FLOWS_AFTER_S = 5.0
_MS_PER_S = 1000


@dataclasses.dataclass(slots=True)
class DemoResult:
    """The figures of a finished demo run.

    Attributes:
        flows: Flows that callers opened.
        finished_flows: Flows that completed all their requests.
        refused_flows: Flows that were refused before any payload.
        unanswered_flows: Flows whose SYN got no answer at all.
        broken_flows: Established flows that were reset or got no more answers,
            and flows that were still open at the end.
        misdelivered: Packets that reached an upstream of another service.
        duplicated_payloads: Requests that two upstreams accepted or that ran
            more than once.
        incomplete_answers: Flows that ended in the middle of an answer or got
            a segment of another answer.
        answers: Requests that were answered completely.
        answer_p50_ms: Median time of the answered requests, milliseconds.
        answer_p99_ms: 99th percentile of that time, milliseconds.
        manifest_in_force_s: Seconds from the commit of the second manifest
            until it was in force on every entry VM.
        late_flows_on_drained: New flows on the drained upstream more than
            NO_NEW_FLOWS_AFTER_S seconds after the commit.
        flows_on_added: Flows that were placed on the added upstream.
        restart_exit_code: Exit code of the entry VM that was restarted.
        restart_s: Seconds from the stop of that entry VM until it was ready
            again.
        refusals: Flows that entry VMs refused or reset, by reason; reasons
            with no flows are included.
        drops: Packets that entry VMs dropped, by reason; reasons with no
            packets are left out.
        stand_in_errors: Errors of the stand-ins themselves.
        duration_s: Duration of the run in seconds.
    """

    flows: int = 0
    finished_flows: int = 0
    refused_flows: int = 0
    unanswered_flows: int = 0
    broken_flows: int = 0
    misdelivered: int = 0
    duplicated_payloads: int = 0
    incomplete_answers: int = 0
    answers: int = 0
    answer_p50_ms: float = 0
    answer_p99_ms: float = 0
    manifest_in_force_s: float = 0
    late_flows_on_drained: int = 0
    flows_on_added: int = 0
    restart_exit_code: int = 0
    restart_s: float = 0
    refusals: dict[str, int] = dataclasses.field(default_factory=dict)
    drops: dict[str, int] = dataclasses.field(default_factory=dict)
    stand_in_errors: int = 0
    duration_s: float = 0

    def record_flows(
        self, records: Sequence[FlowRecord], latencies_s: Iterable[float]
    ) -> None:
        """Record what the callers observed.

        Args:
            records: The records of all flows.
            latencies_s: The times of the answered requests, in seconds.
        """
        outcomes = collections.Counter(one.outcome for one in records)
        self.flows = len(records)
        self.finished_flows = outcomes[FlowOutcome.FINISHED]
        self.refused_flows = outcomes[FlowOutcome.REFUSED]
        self.unanswered_flows = outcomes[FlowOutcome.UNANSWERED]
        unfinished = BROKEN_OUTCOMES | {FlowOutcome.OPEN}
        self.broken_flows = sum(outcomes[one] for one in unfinished)
        self.incomplete_answers = sum(
            one.partial_answer or one.wrong_segments > 0 for one in records
        )
        self.answers = sum(one.answers for one in records)
        sorted_s = sorted(latencies_s)
        self.answer_p50_ms = _percentile_ms(sorted_s, 0.5)
        self.answer_p99_ms = _percentile_ms(sorted_s, 0.99)

    def record_upstreams(
        self, upstreams: Iterable[UpstreamStandIn], ledger: PayloadLedger
    ) -> None:
        """Record what the upstreams observed.

        Args:
            upstreams: All upstream stand-ins of the run.
            ledger: The payloads that they accepted.
        """
        self.misdelivered = sum(
            upstream.totals.misdelivered for upstream in upstreams
        )
        self.duplicated_payloads = ledger.duplicated_payloads

    def add_refusals(self, counts: Mapping[str, int]) -> None:
        """Add the refusals of one entry VM, including counts of zero."""
        for reason, count in counts.items():
            self.refusals[reason] = self.refusals.get(reason, 0) + count

    def add_drops(self, counts: Mapping[str, int]) -> None:
        """Add the packets that one entry VM dropped, except counts of zero."""
        for reason, count in counts.items():
            if count:
                self.drops[reason] = self.drops.get(reason, 0) + count

    def broken_promises(self) -> Iterator[str]:
        """Describe each promise that the run broke.

        Yields:
            One sentence for each broken promise.
        """
        for name in (
            'broken_flows',
            'misdelivered',
            'duplicated_payloads',
            'incomplete_answers',
            'late_flows_on_drained',
            'restart_exit_code',
            'stand_in_errors',
        ):
            count = getattr(self, name)
            if count:
                yield f'{name} is {count}, not 0'
        if self.manifest_in_force_s > MANIFEST_IN_FORCE_LIMIT_S:
            yield (
                f'the manifest was in force after {self.manifest_in_force_s} s,'
                f' not within {MANIFEST_IN_FORCE_LIMIT_S} s'
            )
        if not self.finished_flows:
            yield 'no flow finished'


def _percentile_ms(sorted_s: Sequence[float], fraction: float) -> float:
    if not sorted_s:
        return 0
    seconds = sorted_s[int((len(sorted_s) - 1) * fraction)]
    return round(seconds * _MS_PER_S, 1)
