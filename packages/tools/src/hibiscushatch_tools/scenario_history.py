"""What happened in a run and when, kept for judging its figures."""

import dataclasses
import enum
import math


class SpanKind(enum.StrEnum):
    """A condition that holds for a while."""

    DRAINED = 'drained'
    DOMAIN_OUT = 'domain_out'
    DOMAIN_CUT = 'domain_cut'
    UPSTREAM_FAILED = 'upstream_failed'
    UPSTREAM_REMOVED = 'upstream_removed'


@dataclasses.dataclass(slots=True)
class Span:
    """A time during which a condition held for an upstream or domain."""

    kind: SpanKind
    subject: str
    from_s: float
    until_s: float = math.inf

    def holds_at(self, time_s: float) -> bool:
        """Tell whether it had begun and had not ended."""
        return self.from_s <= time_s < self.until_s


@dataclasses.dataclass(slots=True)
class CommitRecord:
    """An accepted commit, and the entry VMs that have yet to apply it."""

    generation: int
    at_s: float
    waiting: set[str]
    in_force_s: float = -1


@dataclasses.dataclass(slots=True)
class History:
    """All that happened."""

    spans: list[Span] = dataclasses.field(default_factory=list)
    commits: list[CommitRecord] = dataclasses.field(default_factory=list)
    race_winners: list[int] = dataclasses.field(default_factory=list)
    failures: list[str] = dataclasses.field(default_factory=list)

    def begin(self, kind: SpanKind, subject: str, now_s: float) -> None:
        """Note that a condition holds from now on."""
        self.spans.append(Span(kind, subject, now_s))

    def end(self, kind: SpanKind, subject: str, now_s: float) -> None:
        """Note that a condition no longer holds."""
        for span in self.spans:
            if (span.kind, span.subject) == (kind, subject):
                span.until_s = min(span.until_s, now_s)

    def of_kind(self, kind: SpanKind) -> tuple[Span, ...]:
        """List the spans of one kind."""
        return tuple(span for span in self.spans if span.kind is kind)

    def holds(self, kind: SpanKind, subject: str, time_s: float) -> bool:
        """Tell whether a condition held at a time."""
        return any(
            span.holds_at(time_s)
            for span in self.of_kind(kind)
            if span.subject == subject
        )

    def began(self, kind: SpanKind, subject: str, time_s: float) -> bool:
        """Tell whether a condition began at or before a time."""
        return any(
            span.from_s <= time_s
            for span in self.of_kind(kind)
            if span.subject == subject
        )
