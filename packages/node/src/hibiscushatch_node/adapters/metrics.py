"""The metrics of an entry VM with affinity by buckets."""

from collections.abc import Iterator, Mapping, Sequence

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.metrics import CounterMetrics, GaugeReading
from hibiscushatch_core.report import NodeReport


class Metrics(CounterMetrics):
    """The collectors of one entry VM."""

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
            accepted_formats: Accept headers of the request.

        Returns:
            The body and the headers that describe it.
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
        sum(one.live for one in report.members),
    )
    yield GaugeReading(
        'flow_entries',
        'Flow entries held.',
        sum(one.entries for one in services),
    )
    yield GaugeReading(
        'buckets_in_motion',
        'Buckets whose packets all pass their owner.',
        sum(one.buckets_in_motion for one in services),
    )
    yield GaugeReading(
        'event_loop_lag_seconds',
        'Recent delay of timers of the event loop.',
        loop_lag_s,
    )
