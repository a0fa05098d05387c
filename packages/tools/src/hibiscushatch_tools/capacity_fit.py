"""Fits straight lines to measured points, with the error of the fit."""

import dataclasses
import math
import statistics
from collections.abc import Sequence

POINTS_MIN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """One measurement.

    Attributes:
        size: The size at which it was taken, such as a number of flows.
        figure: The measured value.
    """

    size: float
    figure: float


@dataclasses.dataclass(frozen=True, slots=True)
class LineFit:
    """A least-squares line through measured points.

    Attributes:
        slope: Increase of the figure for each unit of size.
        intercept: The figure at size 0.
        slope_error: Standard error of the slope.
        worst_residual: Largest residual of a point, as a fraction of the
            largest figure.
    """

    slope: float
    intercept: float
    slope_error: float
    worst_residual: float

    def figure_at(self, size: float) -> float:
        """Return the figure on the line at a size, at least 0."""
        return max(0, self.slope * size + self.intercept)

    def size_at(self, figure: float) -> float:
        """Return the size at which the line reaches a figure.

        Args:
            figure: The figure.

        Returns:
            The size; infinite if the line does not rise.
        """
        if self.slope <= 0:
            return math.inf
        return max(0, (figure - self.intercept) / self.slope)


def fit_line(points: Sequence[Point]) -> LineFit:
    """Fit a line by least squares.

    Args:
        points: At least POINTS_MIN measurements.

    Returns:
        The line with its errors.

    Raises:
        ValueError: If there are fewer points.
    """
    if len(points) < POINTS_MIN:
        raise ValueError(f'{len(points)} points are too few to fit a line')
    sizes = [one.size for one in points]
    figures = [one.figure for one in points]
    line = statistics.linear_regression(sizes, figures)
    residuals = [
        one.figure - line.slope * one.size - line.intercept for one in points
    ]
    squared_deviations = sum(
        (size - statistics.fmean(sizes)) ** 2 for size in sizes
    )
    residual_variance = sum(one**2 for one in residuals) / (len(points) - 2)
    largest_figure = max(map(abs, figures)) or 1
    return LineFit(
        slope=line.slope,
        intercept=line.intercept,
        slope_error=math.sqrt(residual_variance / squared_deviations),
        worst_residual=max(map(abs, residuals)) / largest_figure,
    )
