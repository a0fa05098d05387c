"""The design size, its limits, measured series and limit checks."""

import dataclasses
from collections.abc import Sequence

from hibiscushatch_tools.capacity_fit import LineFit, Point, fit_line

DAY_S = 86400
KIB = 1024
MIB = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class DesignSize:
    """The fleet and load that the software is designed for.

    Attributes:
        entry_vms: Number of entry VMs.
        domains: Number of failure domains.
        upstreams: Number of upstreams of all services.
        services: Number of services.
        new_flows_per_s: New flows per second that all entry VMs place.
        failures_per_day: Failures per day.
        replacements_per_day: Replacements of upstreams per day.
        rack_vms: Entry VMs that start together when a rack starts.
    """

    entry_vms: int = 500
    domains: int = 6
    upstreams: int = 3700
    services: int = 360
    new_flows_per_s: int = 55_000
    failures_per_day: int = 10
    replacements_per_day: int = 930
    rack_vms: int = 40

    @property
    def vm_new_flows_per_s(self) -> float:
        """New flows per second that one entry VM places."""
        return self.new_flows_per_s / self.entry_vms

    @property
    def replacement_interval_s(self) -> float:
        """Mean seconds between two failures or replacements."""
        return DAY_S / (self.failures_per_day + self.replacements_per_day)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Resources that one entry VM may use for control tasks.

    Attributes:
        cpu_ms_per_s: Processor time in milliseconds per second.
        memory_bytes: Memory for state.
        control_bytes_per_s: Bytes per second of control messages.
    """

    cpu_ms_per_s: float = 24
    memory_bytes: float = 128 * MIB
    control_bytes_per_s: float = 16 * KIB


DESIGN = DesignSize()
LIMITS = Limits()


@dataclasses.dataclass(frozen=True, slots=True)
class MeasuredSeries:
    """A figure that is measured at several sizes.

    Attributes:
        key: Short name of the series.
        figure_label: Label of the figure, with its unit.
        size_label: Label of the size.
        module: The module that is measured.
        points: The measurements.
        target: The design size, to which the figure is extrapolated.
    """

    key: str
    figure_label: str
    size_label: str
    module: str
    points: Sequence[Point]
    target: float

    @property
    def fit(self) -> LineFit:
        """The line fitted to the points."""
        return fit_line(self.points)

    @property
    def at_target(self) -> float:
        """The figure at the design size.

        The largest measurement is used if the line does not rise.
        """
        fit = self.fit
        if fit.slope <= 0:
            return max(point.figure for point in self.points)
        return fit.figure_at(self.target)


@dataclasses.dataclass(frozen=True, slots=True)
class LimitCheck:
    """A figure at the design size and its limit.

    Attributes:
        role: The role of the process that the figure belongs to.
        subject: What the figure measures.
        figure: The value.
        unit: Unit of figure and limit.
        module: The module that causes the cost.
        limit: The largest permitted figure; None if there is no limit.
        breaks_at: The size at which the limit is reached, in words; empty if
            the limit is not reached at the design size.
        replacement: What would replace the mechanism if the limit is exceeded.
    """

    role: str
    subject: str
    figure: float
    unit: str
    module: str
    limit: float | None = None
    breaks_at: str = ''
    replacement: str = ''

    @property
    def is_within_limit(self) -> bool:
        """Whether the figure is at most its limit, or has none."""
        return self.limit is None or self.figure <= self.limit
