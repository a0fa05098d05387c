"""The size to design for, its limits, and what a measurement yields."""

import dataclasses
from collections.abc import Sequence

from hibiscushatch_tools.capacity_fit import LineFit, Point, fit_line

DAY_S = 86400
KIB = 1024
MIB = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class DesignSize:
    """The size to design for."""

    entry_vms: int = 500
    domains: int = 6
    upstreams: int = 3700
    services: int = 360
    new_flows_s: int = 55_000
    failures_a_day: int = 10
    replacements_a_day: int = 930
    rack_vms: int = 40

    @property
    def new_flows_a_vm_s(self) -> float:
        """New flows that one entry VM places in a second."""
        return self.new_flows_s / self.entry_vms

    @property
    def replacement_interval_s(self) -> float:
        """Seconds from one failure or replacement to the next."""
        return DAY_S / (self.failures_a_day + self.replacements_a_day)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What one entry VM may spend on control."""

    core_ms_s: float = 24
    memory_bytes: float = 128 * MIB
    control_bytes_s: float = 16 * KIB


DESIGN = DesignSize()
LIMITS = Limits()


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A figure that was measured at several sizes.

    Attributes:
        key: Short name that other modules find it by.
        figure: What was measured, with its unit.
        size: What it was measured against.
        module: The module that carries it.
        points: The measurements.
        target: The size to extrapolate to.
    """

    key: str
    figure: str
    size: str
    module: str
    points: Sequence[Point]
    target: float

    @property
    def fit(self) -> LineFit:
        """The line through the points."""
        return fit_line(self.points)

    @property
    def at_target(self) -> float:
        """The figure at the size to design for.

        A figure that does not rise is taken as its largest measurement.
        """
        fit = self.fit
        if fit.slope <= 0:
            return max(one.figure for one in self.points)
        return fit.at(self.target)


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """A figure at the size to design for beside its limit.

    Attributes:
        role: Whose figure it is.
        subject: What is counted.
        figure: How much.
        unit: Its unit.
        limit: What it may be; None when no limit is set.
        module: The module that carries it.
        breaks_at: At what size it reaches its limit, in words; empty when
            the limit is not reached by the size to design for.
        instead: What would replace the mechanism.
    """

    role: str
    subject: str
    figure: float
    unit: str
    module: str
    limit: float | None = None
    breaks_at: str = ''
    instead: str = ''

    @property
    def holds(self) -> bool:
        """Whether the figure is within its limit."""
        return self.limit is None or self.figure <= self.limit
