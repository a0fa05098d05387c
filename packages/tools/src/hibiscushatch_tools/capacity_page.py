"""Writes tables between markers of a Markdown page and keeps the rest."""

import math
from collections.abc import Iterable, Iterator, Mapping, Sequence

from hibiscushatch_tools.capacity_model import Slope, Verdict

BEGIN = '<!-- begin {} -->'
END = '<!-- end {} -->'
SIGNIFICANT_DIGITS = 3
ROUNDING_NOISE = 1e-9
HUNDRED = 100


def format_figure(figure: float) -> str:
    """Round a figure to three significant digits, thousands separated.

    Args:
        figure: Any number.

    Returns:
        Its text.
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


def render_slopes(slopes: Iterable[Slope]) -> Iterator[str]:
    """Yield the table of slopes.

    Args:
        slopes: What was measured.

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
    yield from render_table(head, (tuple(_slope_cells(one)) for one in slopes))


def _slope_cells(slope: Slope) -> Iterator[str]:
    fit = slope.fit
    points = ', '.join(
        f'{format_figure(one.size)}: {format_figure(one.figure)}'
        for one in slope.points
    )
    yield slope.figure
    yield slope.size
    yield points
    yield format_figure(fit.slope)
    yield format_figure(fit.slope_error)
    yield f'{format_figure(fit.worst * HUNDRED)} %'
    yield f'{format_figure(slope.at_target)} at {format_figure(slope.target)}'
    yield f'`{slope.module}`'


def render_verdicts(verdicts: Iterable[Verdict]) -> Iterator[str]:
    """Yield the table of what each role needs at the design size.

    Args:
        verdicts: Figures with their limits.

    Yields:
        Lines without line ends.
    """
    head = ('Role', 'What', 'Figure', 'Limit', 'Holds', 'Module')
    yield from render_table(
        head, (tuple(_verdict_cells(one)) for one in verdicts)
    )


def _verdict_cells(verdict: Verdict) -> Iterator[str]:
    yield verdict.role
    yield verdict.subject
    yield f'{format_figure(verdict.figure)} {verdict.unit}'
    if verdict.limit is None:
        yield 'none'
        yield ''
    else:
        yield f'{format_figure(verdict.limit)} {verdict.unit}'
        yield 'yes' if verdict.holds else '**no**'
    yield f'`{verdict.module}`'


def render_failures(verdicts: Iterable[Verdict]) -> Iterator[str]:
    """Yield the table of what does not hold, the worst first.

    Args:
        verdicts: Figures with their limits.

    Yields:
        Lines without line ends.
    """
    failed = sorted(
        (one for one in verdicts if not one.holds),
        key=lambda one: one.figure / one.limit if one.limit else math.inf,
        reverse=True,
    )
    head = ('What', 'Over its limit', 'Breaks at', 'What would replace it')
    yield from render_table(
        head,
        (
            (
                f'{one.role}: {one.subject}',
                _excess(one),
                one.breaks_at,
                one.instead,
            )
            for one in failed
        ),
    )


def _excess(verdict: Verdict) -> str:
    if not verdict.limit:
        return 'any is too much'
    return f'{format_figure(verdict.figure / verdict.limit)} times'


def replace_blocks(page: str, blocks: Mapping[str, Iterable[str]]) -> str:
    """Put new lines between the markers of a page.

    Args:
        page: The page.
        blocks: Lines by the name of their markers.

    Returns:
        The page; what stands outside the markers is as before.

    Raises:
        ValueError: When a marker is missing.
    """
    for name, lines in blocks.items():
        begin = BEGIN.format(name)
        end = END.format(name)
        before, begin_found, rest = page.partition(begin)
        _, end_found, after = rest.partition(end)
        if not begin_found or not end_found:
            raise ValueError(f'the page has no block {name}')
        text = '\n'.join(lines)
        page = f'{before}{begin}\n\n{text}\n\n{end}{after}'
    return page
