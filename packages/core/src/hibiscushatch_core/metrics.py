"""Counters and gauges in the Prometheus text format.

The packet path increments plain numbers, which are copied into aioprometheus
collectors whenever metrics are requested. Every reason is exported from the
start, with a count of zero, so that no series is missing until its first event.
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
    """A counter that is labelled by reason.

    Attributes:
        name: Field of Counters and part of the metric's name.
        text: Help text.
        members: Enumeration of the reasons.
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
    """The current value of a gauge."""

    name: str
    text: str
    reading: float


def counts_by_reason(
    family: ReasonFamily, counters: Counters
) -> dict[str, int]:
    """Return the counts of one family, including zeros.

    Args:
        family: The family.
        counters: The counters of the process.

    Returns:
        The counts by reason, as written in the label.
    """
    counts: collections.Counter[enum.StrEnum] = getattr(counters, family.name)
    return {reason.value: counts[reason] for reason in family.members}


def totals(counters: Counters) -> dict[str, int]:
    """Return the values of the counters without reasons, by name."""
    return {name: getattr(counters, name) for name in TOTAL_NAMES}


class CounterMetrics:
    """The aioprometheus collectors of a process."""

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
            gauges: The current values of its gauges.
            accepted_formats: Values of the request's Accept headers.

        Returns:
            Body and headers of the response.
        """
        for family in REASON_FAMILIES:
            collector = self._families[family.name]
            for reason, count in counts_by_reason(family, counters).items():
                collector.set({REASON_LABEL: reason}, count)
        for name, count in totals(counters).items():
            self._totals[name].set({}, count)
        for gauge in gauges:
            self._gauge_collector(gauge).set({}, gauge.reading)
        return aioprometheus.render(self._registry, accepted_formats)

    def _gauge_collector(self, gauge: GaugeReading) -> aioprometheus.Gauge:
        collector = self._gauges.get(gauge.name)
        if collector is None:
            collector = aioprometheus.Gauge(
                f'{PREFIX}{gauge.name}', gauge.text, registry=self._registry
            )
            self._gauges[gauge.name] = collector
        return collector
