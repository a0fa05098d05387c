"""The metrics of an entry VM with affinity by tokens.

This module imports aioprometheus, and is itself imported only after the entry
VM is ready, to keep that out of the time that a start takes.
"""

from collections.abc import Iterator

import aioprometheus

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.metrics import PREFIX, CounterMetrics, GaugeReading
from hibiscushatch_token import http1
from hibiscushatch_token.ports import FlowObserver
from hibiscushatch_token.status import Status

# Seconds; callers repeat an opening packet after 0.2 and 0.6.
_ANSWER_BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8)
# Seconds; the aims of requests lie between 0.1 and 1.
_FLOW_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class TokenMetrics(CounterMetrics, FlowObserver):
    """The collectors of one entry VM."""

    def __init__(self) -> None:
        super().__init__()
        self._answer_seconds = aioprometheus.Histogram(
            f'{PREFIX}answer_seconds',
            'From the opening packet to the answer of the upstream.',
            registry=self._registry,
            buckets=_ANSWER_BUCKETS,
        )
        self._flow_seconds = aioprometheus.Histogram(
            f'{PREFIX}flow_seconds',
            'From the opening packet to the end of the flow.',
            registry=self._registry,
            buckets=_FLOW_BUCKETS,
        )

    def answered(self, seconds: float) -> None:
        """Count the answer of an upstream."""
        self._answer_seconds.observe({}, seconds)

    def ended(self, seconds: float) -> None:
        """Count a flow that its caller has ended."""
        self._flow_seconds.observe({}, seconds)

    def respond(self, counters: Counters, report: Status) -> http1.Response:
        """Render all metrics as the answer to a request."""
        gauges = _read_gauges(report)
        body, headers = self.render_all(counters, gauges, ())
        content_type = headers['Content-Type'].encode()
        return http1.Response(http1.OK, body, content_type)


def _read_gauges(report: Status) -> Iterator[GaugeReading]:
    yield GaugeReading(
        'ready', 'Whether the fabric should send packets.', report.ready
    )
    yield GaugeReading(
        'cut_off',
        'Whether neither upstreams nor the store can be reached.',
        report.cut_off,
    )
    yield GaugeReading(
        'config_version',
        'Version of the configuration in force.',
        report.config_version,
    )
    yield GaugeReading(
        'store_revision',
        'Revision of the store that was reached.',
        report.store_revision,
    )
    yield GaugeReading(
        'store_age_seconds',
        'Time since that was known to be the newest revision.',
        report.store_age_s,
    )
    yield GaugeReading(
        'known_entry_vms',
        'Entry VMs that publishers counted.',
        report.known_entry_vms,
    )
    yield GaugeReading('flow_entries', 'Flow entries held.', report.open_flows)
