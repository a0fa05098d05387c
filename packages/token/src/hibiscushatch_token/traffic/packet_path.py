"""Builds the objects that process the packets of callers."""

from collections.abc import Callable, Iterator

from hibiscushatch_token import status
from hibiscushatch_token.environment import Environment
from hibiscushatch_token.health.outlier_detector import OutlierDetector
from hibiscushatch_token.health.reachability import Reachability
from hibiscushatch_token.health.request_watch import RequestWatch
from hibiscushatch_token.health.response_times import ResponseTimes
from hibiscushatch_token.health.upstream_verdicts import UpstreamVerdicts
from hibiscushatch_token.knowledge.fleet_load import FleetLoad
from hibiscushatch_token.knowledge.known_state import KnownState
from hibiscushatch_token.knowledge.registry import Registry
from hibiscushatch_token.knowledge.routing import Routing
from hibiscushatch_token.model import Upstream
from hibiscushatch_token.settings import TokenNodeSettings
from hibiscushatch_token.traffic.admission import Admission
from hibiscushatch_token.traffic.backlog import Backlog
from hibiscushatch_token.traffic.cold_allowance import ColdAllowance
from hibiscushatch_token.traffic.flow_opener import FlowOpener
from hibiscushatch_token.traffic.flow_table import FlowTable
from hibiscushatch_token.traffic.forwarder import Forwarder
from hibiscushatch_token.traffic.held_requests import HeldRequests
from hibiscushatch_token.traffic.local_load import LocalLoad
from hibiscushatch_token.traffic.packet_exit import PacketExit, SendDatagram
from hibiscushatch_token.traffic.placement import Placement


class PacketPath:
    """Packet processing of one entry VM, without sockets.

    Args:
        settings: Settings of this entry VM.
        environment: Codec, counters, clock and randomness.
        send: Sends a datagram; raises OSError.
        count_fleet: Returns the number of entry VMs; 0 when it is not known.
    """

    def __init__(
        self,
        settings: TokenNodeSettings,
        environment: Environment,
        send: SendDatagram,
        count_fleet: Callable[[], int],
    ) -> None:
        clock = environment.clock
        registry = Registry(
            clock, settings.flow_age_max_s, self._forget_upstream
        )
        self.fleet_load = FleetLoad(settings.load.fresh_s, clock, count_fleet)
        self.known = KnownState(
            Routing(), registry, count_fleet, self.fleet_load
        )
        self.flows = FlowTable()
        self.local_load = LocalLoad(settings, clock, self.flows)
        self.reachability = Reachability(environment.randomness)
        self.response_times = ResponseTimes(clock)
        self.outliers = OutlierDetector(settings.outliers, self.known, clock)
        self.verdicts = UpstreamVerdicts(
            self.reachability,
            self.response_times,
            self.outliers,
            clock,
        )
        self._allowance = ColdAllowance(environment, self.known)
        admission = Admission(
            settings.admission,
            environment,
            self.known,
            self.flows,
            self.local_load,
            self.outliers,
        )
        self.request_watch = RequestWatch(
            self.response_times,
            environment.counters,
            clock,
            admission.record_response,
        )
        self.placement = Placement(
            settings,
            environment,
            self.known,
            self.flows,
            self.verdicts,
            self._allowance,
            admission,
        )
        packet_exit = PacketExit(environment.codec, environment.counters, send)
        self.opener = FlowOpener(
            settings.placement,
            environment,
            self.known,
            self.flows,
            self.placement,
            self.reachability,
            packet_exit,
        )
        self.forwarder = Forwarder(
            environment,
            self.known,
            self.flows,
            self.opener,
            self.request_watch,
            self.local_load,
            packet_exit,
        )

        self.forwarder.hold_by(
            HeldRequests(
                settings.backlog,
                environment,
                self.known.routing,
                self.flows,
                self.placement,
                self.opener.late_flows,
            )
        )
        self.backlog = Backlog(
            settings.backlog,
            environment,
            self.known.routing,
            self.placement,
            self.forwarder,
        )

    def upstreams(self) -> Iterator[status.UpstreamStatus]:
        """Yield the state of each listed upstream."""
        registry = self.known.registry
        for upstream in registry.listed():
            yield status.UpstreamStatus(
                name=upstream.name,
                service=upstream.service,
                domain=upstream.domain,
                draining=upstream.is_draining,
                cold=registry.is_cold(upstream),
                verdict=self.verdicts.verdict(upstream).value,
                slow=self.verdicts.is_slow(upstream),
                ejected=self.outliers.is_ejected(upstream.name),
                open_flows=self.flows.outstanding(upstream.name),
            )

    def _forget_upstream(self, upstream: Upstream) -> None:
        self.verdicts.forget(upstream)
        self._allowance.forget(upstream)
