"""Tests the line fit and the page writer of hibiscushatch_tools.capacity."""

import math

from hibiscushatch_tools import capacity_page
from hibiscushatch_tools.capacity_fit import Point, fit_line
from hibiscushatch_tools.capacity_model import LimitCheck, MeasuredSeries

PAGE = 'before\n<!-- begin roles -->\nold\n<!-- end roles -->\nafter\n'


def test_a_line_through_exact_points_has_no_error() -> None:
    fit = fit_line([Point(size, 3 * size + 5) for size in (1, 2, 4, 8)])
    assert math.isclose(fit.slope, 3)
    assert math.isclose(fit.figure_at(100), 305)
    assert math.isclose(fit.size_at(305), 100)
    assert math.isclose(fit.slope_error, 0, abs_tol=1e-9)


def test_slope_error_and_worst_residual_match_known_values() -> None:
    points = [Point(1, 1), Point(2, 3), Point(3, 2), Point(4, 4)]
    fit = fit_line(points)
    assert math.isclose(fit.slope, 0.8)
    assert math.isclose(fit.slope_error, 0.6 / math.sqrt(2))
    assert math.isclose(fit.worst_residual, 0.9 / 4)


def test_too_few_points_are_rejected() -> None:
    try:
        fit_line([Point(1, 1), Point(2, 2), Point(3, 3)])
    except ValueError as error:
        assert '3 points' in str(error)
    else:
        raise AssertionError('a line was fitted to three points')


def test_falling_figure_uses_its_largest_point() -> None:
    points = [Point(size, 10 - size) for size in (1, 2, 3, 4)]
    series = MeasuredSeries('key', 'figure', 'size', 'module', points, 500)
    assert math.isclose(series.at_target, 9)
    assert math.isinf(series.fit.size_at(100))


def test_only_lines_between_markers_are_replaced() -> None:
    page = capacity_page.replace_blocks(PAGE, {'roles': ['one', 'two']})
    assert page.startswith('before\n<!-- begin roles -->\n\none\ntwo\n\n')
    assert page.endswith('<!-- end roles -->\nafter\n')
    assert capacity_page.replace_blocks(page, {'roles': ['one', 'two']}) == page


def test_a_missing_marker_is_an_error() -> None:
    try:
        capacity_page.replace_blocks(PAGE, {'slopes': []})
    except ValueError as error:
        assert 'slopes' in str(error)
    else:
        raise AssertionError('a missing marker was accepted')


def test_exceeded_limits_are_listed_worst_first() -> None:
    checks = [
        LimitCheck('role', 'within', 1, 'B/s', 'module', 2),
        LimitCheck('role', 'without a limit', 9, 'B/s', 'module'),
        LimitCheck('role', 'over', 4, 'B/s', 'module', 2, '10 VMs', 'less'),
        LimitCheck('role', 'far over', 90, 'B/s', 'module', 2, '3 VMs', 'less'),
    ]
    rows = list(capacity_page.render_exceeded_limits(checks))[2:]
    assert [row.split(' | ')[0] for row in rows] == [
        '| role: far over',
        '| role: over',
    ]
    table = list(capacity_page.render_limit_checks(checks))
    assert ['**no**' in row for row in table[2:]] == [False, False, True, True]


def test_figures_have_three_digits() -> None:
    cases = (
        (0, '0'),
        (0.012345, '0.0123'),
        (1.5, '1.50'),
        (1234567, '1,230,000'),
        (math.inf, 'never'),
    )
    for figure, text in cases:
        assert capacity_page.format_figure(figure) == text, figure
