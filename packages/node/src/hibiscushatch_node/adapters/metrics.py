"""The metrics of an entry VM that assigns flows by buckets."""

from collections.abc import Iterator, Mapping, Sequence

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.metrics import CounterMetrics, GaugeReading
from hibiscushatch_core.report import NodeReport


class Metrics(CounterMetrics):
    """Collects and renders the metrics of one entry VM."""

    def render(
        self,
        counters: Counters,
        report: NodeReport,
        loop_lag_s: float,
        accepted_formats: Sequence[str],
    ) -> tuple[bytes, Mapping[str, str]]:
        """Render all metrics.

        Args:
            counters: The counters of the process.
            report: The state of the entry VM.
            loop_lag_s: Delay of the event loop in seconds.
            accepted_formats: The values of the request's Accept headers.

        Returns:
            The body of the response and its headers.
        """
        gauges = _read_gauges(report, loop_lag_s)
        return self.render_all(counters, gauges, accepted_formats)


def _read_gauges(
    report: NodeReport, loop_lag_s: float
) -> Iterator[GaugeReading]:
    services = report.services
    yield GaugeReading(
        'manifest_generation',
        'Manifest generation in force.',
        report.generation,
    )
    yield GaugeReading(
        'ready', 'Whether the fabric should send packets.', report.ready
    )
    yield GaugeReading(
        'live_members',
        'Other entry VMs that are live.',
        sum(item.live for item in report.members),
    )
    yield GaugeReading(
        'flow_entries',
        'Flow entries held.',
        sum(item.entries for item in services),
    )
    yield GaugeReading(
        'buckets_in_motion',
        'Buckets whose packets all pass their owner.',
        sum(item.buckets_in_motion for item in services),
    )
    yield GaugeReading(
        'event_loop_lag_seconds',
        'Recent delay of timers of the event loop.',
        loop_lag_s,
    )
