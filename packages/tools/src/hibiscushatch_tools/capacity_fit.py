"""Straight lines through measured points, with the error of the fit."""

import dataclasses
import math
import statistics
from collections.abc import Sequence

POINTS_MIN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """One measurement: a figure at a size."""

    size: float
    figure: float


@dataclasses.dataclass(frozen=True, slots=True)
class LineFit:
    """A straight line through points by least squares.

    Attributes:
        slope: Growth of the figure for each unit of size.
        intercept: The figure at size 0.
        slope_error: Standard error of the slope.
        worst: Largest distance of a point from the line, as a fraction of
            the largest figure.
    """

    slope: float
    intercept: float
    slope_error: float
    worst: float

    def at(self, size: float) -> float:
        """Return the figure at a size; never less than 0."""
        return max(0, self.slope * size + self.intercept)

    def size_at(self, figure: float) -> float:
        """Return the size at which a figure is reached.

        Args:
            figure: The figure.

        Returns:
            A size, infinite when the line does not rise.
        """
        if self.slope <= 0:
            return math.inf
        return max(0, (figure - self.intercept) / self.slope)


def fit_line(points: Sequence[Point]) -> LineFit:
    """Fit a line.

    Args:
        points: At least POINTS_MIN measurements.

    Returns:
        The line with its errors.

    Raises:
        ValueError: When there are too few points.
    """
    if len(points) < POINTS_MIN:
        raise ValueError(f'{len(points)} points are too few for a line')
    sizes = [one.size for one in points]
    figures = [one.figure for one in points]
    line = statistics.linear_regression(sizes, figures)
    residuals = [
        one.figure - line.slope * one.size - line.intercept for one in points
    ]
    spread = sum((size - statistics.fmean(sizes)) ** 2 for size in sizes)
    variance = sum(one**2 for one in residuals) / (len(points) - 2)
    largest = max(map(abs, figures)) or 1
    return LineFit(
        slope=line.slope,
        intercept=line.intercept,
        slope_error=math.sqrt(variance / spread),
        worst=max(map(abs, residuals)) / largest,
    )
