"""Prints the rows of the bench as tables of text."""

import dataclasses
import itertools
from collections.abc import Iterator, Sequence

from hibiscushatch_tools.bench_case import BenchRow, Variant
from hibiscushatch_tools.bench_placement import PlacementRow

GAP = '  '


@dataclasses.dataclass(frozen=True, slots=True)
class _Column:
    """A figure of the table and how it is summed up over seeds."""

    title: str
    figure: str
    is_sum: bool

    def compute(self, rows: Sequence[BenchRow]) -> str:
        """Sum the figure up, or take its largest."""
        values = [getattr(row, self.figure) for row in rows]
        if self.is_sum:
            return f'{sum(values)}'
        is_never = any(one < 0 for one in values)
        return 'never' if is_never else f'{max(values):g}'


COLUMNS = (
    _Column('flows', 'flows', is_sum=True),
    _Column('broken', 'broken_flows', is_sum=True),
    _Column('given up', 'given_up_flows', is_sum=True),
    _Column('misdel.', 'misdelivered', is_sum=True),
    _Column('dupl.', 'duplicated_payloads', is_sum=True),
    _Column('refused', 'refused_flows', is_sum=True),
    _Column('cold exc.', 'cold_excess', is_sum=False),
    _Column('imbal.', 'imbalance', is_sum=False),
    _Column('out s', 'domain_out_s', is_sum=False),
    _Column('back s', 'domain_back_s', is_sum=False),
    _Column('ctl B/s', 'control_bytes_per_s', is_sum=False),
    _Column('entries', 'entries_held', is_sum=False),
    _Column('hops', 'extra_hops', is_sum=False),
)


def format_rows(rows: Sequence[BenchRow]) -> Iterator[str]:
    """Sum rows up over their seeds: flows are added, others the largest.

    Args:
        rows: Rows in the order of scenario and variant.

    Yields:
        Lines of a table.
    """
    titles = ['scenario', 'variant', *(one.title for one in COLUMNS)]
    cells = [
        [*names, *(column.compute(group) for column in COLUMNS)]
        for names, group in _group(rows)
    ]
    yield from _align([titles, *cells])


def format_placement(rows: Sequence[PlacementRow]) -> Iterator[str]:
    """Format how even the ways are.

    Args:
        rows: One a way and number of upstreams.

    Yields:
        Lines of a table.
    """
    titles = ['placement', 'upstreams', 'flows', 'mean', 'worst', 'target']
    cells = [
        [
            row.way,
            f'{row.upstreams}',
            f'{row.flows}',
            f'{row.imbalance_mean:.3f}',
            f'{row.imbalance_max:.3f}',
            f'{row.target:.2f}',
        ]
        for row in rows
    ]
    yield from _align([titles, *cells])


def format_broken_promises(rows: Sequence[BenchRow]) -> Iterator[str]:
    """Name what the real entry VM did not keep.

    Args:
        rows: Rows of all variants.

    Yields:
        One line a promise that fell short.
    """
    for row in rows:
        if row.variant == Variant.HIBISCUSHATCH:
            for promise in row.broken_promises:
                yield f'NOT KEPT {row.scenario} seed {row.seed}: {promise}'


def _group(
    rows: Sequence[BenchRow],
) -> Iterator[tuple[tuple[str, str], list[BenchRow]]]:
    groups = itertools.groupby(rows, lambda row: (row.scenario, row.variant))
    for names, group in groups:
        yield names, list(group)


def _align(lines: list[list[str]]) -> Iterator[str]:
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = zip(line, widths, strict=True)
        yield GAP.join(cell.ljust(width) for cell, width in cells).rstrip()
