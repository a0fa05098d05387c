"""The metrics of an entry VM with token affinity.

Importing aioprometheus takes long. This module is therefore imported only after
the entry VM is ready, which keeps the start of the process short.
"""

from collections.abc import Iterator

import aioprometheus

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.metrics import PREFIX, CounterMetrics, GaugeReading
from hibiscushatch_token.http_messages import OK, Response
from hibiscushatch_token.ports import FlowObserver
from hibiscushatch_token.status import Status

# Callers repeat an opening packet 0.2 s and 0.6 s after the first one.
_ANSWER_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8)
# The latency targets of requests lie between 0.1 s and 1 s.
_FLOW_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class TokenMetrics(CounterMetrics, FlowObserver):
    """The Prometheus collectors of one entry VM."""

    def __init__(self) -> None:
        super().__init__()
        self._answer_seconds = aioprometheus.Histogram(
            f'{PREFIX}answer_seconds',
            'From the opening packet to the answer of the upstream.',
            registry=self._registry,
            buckets=_ANSWER_BUCKETS_S,
        )
        self._flow_seconds = aioprometheus.Histogram(
            f'{PREFIX}flow_seconds',
            'From the opening packet to the end of the flow.',
            registry=self._registry,
            buckets=_FLOW_BUCKETS_S,
        )

    def on_answer(self, seconds: float) -> None:
        """Record how long an upstream took to answer an opening packet."""
        self._answer_seconds.observe({}, seconds)

    def on_end(self, seconds: float) -> None:
        """Record how long a flow lasted that its caller has ended."""
        self._flow_seconds.observe({}, seconds)

    def respond(self, counters: Counters, vm_status: Status) -> Response:
        """Render all metrics as an HTTP response."""
        gauges = _read_gauges(vm_status)
        body, headers = self.render_all(counters, gauges, ())
        content_type = headers['Content-Type'].encode()
        return Response(OK, body, content_type)


def _read_gauges(vm_status: Status) -> Iterator[GaugeReading]:
    yield GaugeReading(
        'ready', 'Whether the fabric should send packets.', vm_status.ready
    )
    yield GaugeReading(
        'cut_off',
        'Whether neither upstreams nor the store can be reached.',
        vm_status.cut_off,
    )
    yield GaugeReading(
        'config_version',
        'Version of the configuration in force.',
        vm_status.config_version,
    )
    yield GaugeReading(
        'store_era',
        'How often the store came back from an older copy.',
        vm_status.store_era,
    )
    yield GaugeReading(
        'store_revision',
        'Revision of the store that was reached in this era.',
        vm_status.store_revision,
    )
    yield GaugeReading(
        'withheld_upstreams',
        'Upstreams whose entries are outdated and not obeyed.',
        len(vm_status.withheld_upstreams),
    )
    yield GaugeReading(
        'store_age_seconds',
        'Time since that was known to be the newest revision.',
        vm_status.store_age_s,
    )
    yield GaugeReading(
        'known_entry_vms',
        'Entry VMs that publishers counted.',
        vm_status.known_entry_vms,
    )
    yield GaugeReading(
        'flow_entries', 'Flow entries held.', vm_status.open_flows
    )
