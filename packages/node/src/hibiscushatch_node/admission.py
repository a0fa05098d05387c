"""Counts the open flows that this VM owns on each upstream.

An entry is counted once, while it is placed, not closed, and its bucket is
owned here; copies held as a backup are not counted.
"""

import collections

from hibiscushatch_node.flow_table import FlowEntry


class Admission:
    """Open flows owned here, by upstream."""

    def __init__(self) -> None:
        self._open: collections.Counter[str] = collections.Counter()

    def open_flows(self, upstream: str) -> int:
        """Return the open flows owned here on an upstream."""
        return self._open[upstream]

    def may_open(self, upstream: str) -> bool:
        """Tell whether this VM may place one more flow on an upstream."""
        return bool(upstream)

    def count(self, entry: FlowEntry) -> None:
        """Count a flow on its upstream unless it is counted already."""
        if entry.upstream and not entry.counted:
            entry.counted = True
            self._open[entry.upstream] += 1

    def uncount(self, entry: FlowEntry) -> None:
        """Stop counting a flow; call it before its upstream changes."""
        if entry.counted:
            entry.counted = False
            self._open[entry.upstream] -= 1
