"""Records what happened in a run and when, to compute its figures."""

import dataclasses
import enum
import math


class SpanKind(enum.StrEnum):
    """A condition that can hold for an upstream or domain."""

    DRAINED = 'drained'
    DOMAIN_OUT = 'domain_out'
    DOMAIN_CUT = 'domain_cut'
    UPSTREAM_FAILED = 'upstream_failed'
    UPSTREAM_REMOVED = 'upstream_removed'


@dataclasses.dataclass(slots=True)
class Span:
    """A period in which a condition held for an upstream or domain."""

    kind: SpanKind
    subject: str
    from_s: float
    until_s: float = math.inf

    def holds_at(self, time_s: float) -> bool:
        """Return whether the condition held at a time."""
        return self.from_s <= time_s < self.until_s


@dataclasses.dataclass(slots=True)
class CommitRecord:
    """An accepted commit and how long it took to be in force.

    Attributes:
        generation: The generation that was committed.
        at_s: Time of the commit.
        pending_vms: Entry VMs that have not applied it yet.
        in_force_s: Time from the commit until all reachable entry VMs had
            applied it; -1 before.
    """

    generation: int
    at_s: float
    pending_vms: set[str]
    in_force_s: float = -1


@dataclasses.dataclass(slots=True)
class History:
    """What happened in a run.

    Attributes:
        spans: Periods in which a condition held.
        commits: Accepted commits.
        race_accepted_counts: How many commits were accepted in each race.
        failures: Descriptions of errors, such as exceptions in tasks of entry
            VMs and events that could not be applied.
    """

    spans: list[Span] = dataclasses.field(default_factory=list)
    commits: list[CommitRecord] = dataclasses.field(default_factory=list)
    race_accepted_counts: list[int] = dataclasses.field(default_factory=list)
    failures: list[str] = dataclasses.field(default_factory=list)

    def begin(self, kind: SpanKind, subject: str, now_s: float) -> None:
        """Record that a condition holds from now on."""
        self.spans.append(Span(kind, subject, now_s))

    def end(self, kind: SpanKind, subject: str, now_s: float) -> None:
        """Record that a condition no longer holds."""
        for span in self.spans:
            if (span.kind, span.subject) == (kind, subject):
                span.until_s = min(span.until_s, now_s)

    def spans_of_kind(self, kind: SpanKind) -> tuple[Span, ...]:
        """Return the spans of one kind."""
        return tuple(span for span in self.spans if span.kind is kind)

    def holds(self, kind: SpanKind, subject: str, time_s: float) -> bool:
        """Return whether a condition held at a time."""
        return any(
            span.holds_at(time_s)
            for span in self.spans_of_kind(kind)
            if span.subject == subject
        )

    def has_begun(self, kind: SpanKind, subject: str, time_s: float) -> bool:
        """Return whether a condition began at or before a time."""
        return any(
            span.from_s <= time_s
            for span in self.spans_of_kind(kind)
            if span.subject == subject
        )
