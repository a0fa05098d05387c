"""Counts the open flows that this VM owns on each upstream."""

import collections


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

    def opened(self, upstream: str) -> None:
        """Count a flow that was placed on an upstream."""
        self._open[upstream] += 1

    def closed(self, upstream: str) -> None:
        """Count a flow that ended on an upstream."""
        self._open[upstream] = max(self._open[upstream] - 1, 0)
