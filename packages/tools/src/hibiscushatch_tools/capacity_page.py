"""Writes tables between the markers of a Markdown page.

Text outside the markers is kept.
"""

import math
from collections.abc import Iterable, Iterator, Mapping, Sequence

from hibiscushatch_tools.capacity_model import LimitCheck, MeasuredSeries

BEGIN_MARKER = '<!-- begin {} -->'
END_MARKER = '<!-- end {} -->'
SIGNIFICANT_DIGITS = 3
ROUNDING_NOISE = 1e-9
PERCENT = 100


def format_figure(figure: float) -> str:
    """Format a figure with three significant digits and thousands separators.

    Args:
        figure: Any number.

    Returns:
        The text; ``never`` for infinity, which no size reaches.
    """
    if math.isinf(figure):
        return 'never'
    if abs(figure) < ROUNDING_NOISE:
        return '0'
    digits = SIGNIFICANT_DIGITS - 1 - math.floor(math.log10(abs(figure)))
    rounded = round(figure, digits)
    return f'{rounded:,.{max(0, digits)}f}'


def render_table(
    head: Sequence[str], rows: Iterable[Sequence[str]]
) -> Iterator[str]:
    """Yield the lines of a Markdown table.

    Args:
        head: Names of the columns.
        rows: Cells of each row.

    Yields:
        Lines without line ends.
    """
    for cells in (head, ['---' for _ in head], *rows):
        yield '| {} |'.format(' | '.join(cells))


def render_series(all_series: Iterable[MeasuredSeries]) -> Iterator[str]:
    """Yield the table of measured series.

    Args:
        all_series: The measured series.

    Yields:
        Lines without line ends.
    """
    head = (
        'Figure',
        'Against',
        'Points',
        'Slope',
        'Error of the slope',
        'Worst point',
        'At design size',
        'Module',
    )
    yield from render_table(
        head, (tuple(_series_cells(item)) for item in all_series)
    )


def _series_cells(series: MeasuredSeries) -> Iterator[str]:
    fit = series.fit
    points = ', '.join(
        f'{format_figure(point.size)}: {format_figure(point.figure)}'
        for point in series.points
    )
    yield series.figure_label
    yield series.size_label
    yield points
    yield format_figure(fit.slope)
    yield format_figure(fit.slope_error)
    yield f'{format_figure(fit.worst_residual * PERCENT)} %'
    yield f'{format_figure(series.at_target)} at {format_figure(series.target)}'
    yield f'`{series.module}`'


def render_limit_checks(checks: Iterable[LimitCheck]) -> Iterator[str]:
    """Yield the table of figures at the design size and their limits.

    Args:
        checks: The figures with their limits.

    Yields:
        Lines without line ends.
    """
    head = ('Role', 'What', 'Figure', 'Limit', 'Holds', 'Module')
    yield from render_table(
        head, (tuple(_limit_check_cells(check)) for check in checks)
    )


def _limit_check_cells(check: LimitCheck) -> Iterator[str]:
    yield check.role
    yield check.subject
    yield f'{format_figure(check.figure)} {check.unit}'
    if check.limit is None:
        yield 'none'
        yield ''
    else:
        yield f'{format_figure(check.limit)} {check.unit}'
        yield 'yes' if check.is_within_limit else '**no**'
    yield f'`{check.module}`'


def render_exceeded_limits(checks: Iterable[LimitCheck]) -> Iterator[str]:
    """Yield the table of exceeded limits, the most exceeded first.

    Args:
        checks: The figures with their limits.

    Yields:
        Lines without line ends.
    """
    exceeded = sorted(
        (check for check in checks if not check.is_within_limit),
        key=lambda check: (
            check.figure / check.limit if check.limit else math.inf
        ),
        reverse=True,
    )
    head = ('What', 'Over its limit', 'Breaks at', 'What would replace it')
    yield from render_table(
        head,
        (
            (
                f'{check.role}: {check.subject}',
                _format_excess(check),
                check.breaks_at,
                check.replacement,
            )
            for check in exceeded
        ),
    )


def _format_excess(check: LimitCheck) -> str:
    if not check.limit:
        return 'any is too much'
    return f'{format_figure(check.figure / check.limit)} times'


def replace_blocks(page: str, blocks: Mapping[str, Iterable[str]]) -> str:
    """Replace the lines between the markers of a page.

    Args:
        page: Text of the page.
        blocks: The new lines by the name in their markers.

    Returns:
        Text of the page; the lines outside the markers are unchanged.

    Raises:
        ValueError: If a marker is missing.
    """
    for name, lines in blocks.items():
        begin = BEGIN_MARKER.format(name)
        end = END_MARKER.format(name)
        before, begin_found, rest = page.partition(begin)
        _, end_found, after = rest.partition(end)
        if not begin_found or not end_found:
            raise ValueError(f'the page is missing a marker of block {name}')
        text = '\n'.join(lines)
        page = f'{before}{begin}\n\n{text}\n\n{end}{after}'
    return page
