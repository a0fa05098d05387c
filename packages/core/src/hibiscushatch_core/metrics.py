"""Counters and gauges in the Prometheus text format.

The packet path counts into plain numbers; they are copied into aioprometheus
collectors when somebody asks. Every reason is present from the start, so that
a missing series never has to be told from a zero.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable, Mapping, Sequence

import aioprometheus
import msgspec

from hibiscushatch_core import reasons
from hibiscushatch_core.counters import Counters

PREFIX = 'hibiscushatch_'
REASON_LABEL = 'reason'


@dataclasses.dataclass(frozen=True, slots=True)
class ReasonFamily:
    """One counter family that is labelled by reason.

    Attributes:
        name: Field of Counters and part of the metric's name.
        text: Help text.
        members: The enumeration of reasons.
    """

    name: str
    text: str
    members: type[enum.StrEnum]


REASON_FAMILIES = (
    ReasonFamily('drops', 'Packets dropped, by reason.', reasons.DropReason),
    ReasonFamily(
        'refusals',
        'Flows refused or reset, by reason.',
        reasons.RefusalReason,
    ),
    ReasonFamily(
        'retries', 'Attempts made again, by reason.', reasons.RetryReason
    ),
    ReasonFamily(
        'failure_signals',
        'Signs that an upstream failed a request, by sign.',
        reasons.FailureSignal,
    ),
)
_FAMILY_NAMES = frozenset(family.name for family in REASON_FAMILIES)
TOTAL_NAMES = tuple(
    field.name
    for field in msgspec.structs.fields(Counters)
    if field.name not in _FAMILY_NAMES
)


@dataclasses.dataclass(frozen=True, slots=True)
class GaugeReading:
    """The present value of one gauge."""

    name: str
    text: str
    reading: float


def counts_by_reason(
    family: ReasonFamily, counters: Counters
) -> dict[str, int]:
    """List the counts of one family, those of zero included.

    Args:
        family: Which family.
        counters: The counters of the process.

    Returns:
        Counts by the value of the reason.
    """
    counts: collections.Counter[enum.StrEnum] = getattr(counters, family.name)
    return {reason.value: counts[reason] for reason in family.members}


def totals(counters: Counters) -> dict[str, int]:
    """List the counters that have no reason, by name."""
    return {name: getattr(counters, name) for name in TOTAL_NAMES}


class CounterMetrics:
    """The collectors of one process."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._families = {
            family.name: aioprometheus.Counter(
                f'{PREFIX}{family.name}_total',
                family.text,
                registry=self._registry,
            )
            for family in REASON_FAMILIES
        }
        self._totals = {
            name: aioprometheus.Counter(
                f'{PREFIX}{name}_total',
                f'Total of {name.replace("_", " ")}.',
                registry=self._registry,
            )
            for name in TOTAL_NAMES
        }
        self._gauges: dict[str, aioprometheus.Gauge] = {}

    def render_all(
        self,
        counters: Counters,
        gauges: Iterable[GaugeReading],
        accepted_formats: Sequence[str],
    ) -> tuple[bytes, Mapping[str, str]]:
        """Render all metrics.

        Args:
            counters: The counters of the process.
            gauges: The present values of its gauges.
            accepted_formats: Accept headers of the request.

        Returns:
            The body and the headers that describe it.
        """
        for family in REASON_FAMILIES:
            collector = self._families[family.name]
            for reason, count in counts_by_reason(family, counters).items():
                collector.set({REASON_LABEL: reason}, count)
        for name, count in totals(counters).items():
            self._totals[name].set({}, count)
        for gauge in gauges:
            self._gauge(gauge).set({}, gauge.reading)
        return aioprometheus.render(self._registry, accepted_formats)

    def _gauge(self, gauge: GaugeReading) -> aioprometheus.Gauge:
        known = self._gauges.get(gauge.name)
        if known is None:
            known = aioprometheus.Gauge(
                f'{PREFIX}{gauge.name}', gauge.text, registry=self._registry
            )
            self._gauges[gauge.name] = known
        return known
