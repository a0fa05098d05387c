"""Admission control: refuses new flows of services that are overloaded.

Designed for overloads that last longer than queues can absorb: a burst of
callers or a loss of upstreams. If all flows were placed, upstreams would serve
them in order and every caller would be late. If some flows are refused at once,
the others are served in time, and refused callers can try again at another
entry VM. Routes of lower priority are refused first.
"""

import logging
from collections.abc import Iterable

import msgspec

from hibiscushatch_token.environment import Environment
from hibiscushatch_token.health.outlier_detector import OutlierDetector
from hibiscushatch_token.knowledge.known_state import KnownState
from hibiscushatch_token.model import Route
from hibiscushatch_token.settings import AdmissionSettings
from hibiscushatch_token.traffic.concurrency_limit import ConcurrencyLimit
from hibiscushatch_token.traffic.flow_table import FlowTable
from hibiscushatch_token.traffic.local_load import LocalLoad

# An overload has ended when no flow was refused for this long.
_OVERLOAD_END_DELAY_S = 1.0
# A priority without a new flow for this long no longer lowers the limit of
# less urgent priorities.
_PRIORITY_EXPIRY_S = 10.0

_log = logging.getLogger(__name__)


class Refusal(msgspec.Struct, frozen=True):
    """Why a flow is refused.

    Attributes:
        load: Flows that this entry VM has open on the service.
        limit: How many flows may be open before one of the route's priority
            is refused.
        response_s: Average time of recent responses.
        usual_s: The service's baseline: the average time of responses without
            overload.
    """

    load: float
    limit: float
    response_s: float
    usual_s: float


class _Overload(msgspec.Struct):
    """A current overload of a service.

    Attributes:
        began_at: When its first flow was refused.
        refused_at: When its latest flow was refused.
        refused: How many flows were refused.
    """

    began_at: float
    refused_at: float
    refused: int = 0


class Admission:
    """Decides which new flows of each service are refused.

    Args:
        settings: Times and factors.
        environment: The clock.
        known: Routes in force, upstreams and the number of entry VMs.
        flows: Open flows.
        local_load: Counts demand and refusals.
        outliers: Ejected upstreams; flows that hang on them don't count as
            load.
    """

    def __init__(
        self,
        settings: AdmissionSettings,
        environment: Environment,
        known: KnownState,
        flows: FlowTable,
        local_load: LocalLoad,
        outliers: OutlierDetector,
    ) -> None:
        self._settings = settings
        self._clock = environment.clock
        self._known = known
        self._flows = flows
        self._local_load = local_load
        self._outliers = outliers
        self._limits: dict[str, ConcurrencyLimit] = {}
        self._overloads: dict[str, _Overload] = {}
        # The shortest latency target (aim) of each service's routes; 0 when no
        # route states one.
        self._shortest_aims_s: dict[str, float] = {}
        # When the latest new flow of each priority came, by service.
        self._priority_seen_at: dict[str, dict[int, float]] = {}
        self._config_version = 0

    def check(self, service: str, route: Route, slots: int) -> Refusal | None:
        """Return why a new flow must be refused; None when it is admitted.

        Args:
            service: The service on which the flow would be placed.
            route: The route of the flow.
            slots: Slots of all upstreams of the service.
        """
        limit = self._limit_of(service)
        more_urgent = self._count_more_urgent(service, route.priority)
        aim_s = self._aim_of(service)
        fleet_size = self._known.count_fleet()
        if not (aim_s and fleet_size and limit.is_warmed_up):
            return None
        load = self._open_flows(service, fleet_size)
        priority_factor = self._settings.priority_step**more_urgent
        soft_max = max(
            1.0, limit.flows_max(slots / fleet_size, aim_s) * priority_factor
        )
        hard_max = soft_max * self._settings.sure_factor
        if load < soft_max or (load < hard_max and not limit.is_slow(aim_s)):
            self._record_admitted(service)
            return None
        refusal = Refusal(
            round(load, 2),
            round(soft_max, 2),
            round(limit.response_s, 3),
            round(limit.baseline_s, 3),
        )
        self._local_load.record_refused(service, route.priority)
        self._record_refused(service, refusal, limit.rate_per_s)
        return refusal

    def record_demand(self, service: str, route: Route) -> None:
        """Count a new flow that a caller asked for, admitted or not."""
        self._local_load.record_demand(service, route.priority)

    def record_response(self, service: str, response_s: float) -> None:
        """Count a request that was served.

        Args:
            service: The service of the request.
            response_s: How long the response took.
        """
        is_overloaded = service in self._overloads
        self._limit_of(service).record_response(response_s, is_overloaded)

    def _open_flows(self, service: str, fleet_size: int) -> float:
        open_flows: float = self._flows.outstanding_of_service(service)
        for name, _ in self._outliers.active_ejections():
            upstream = self._known.registry.find(name)
            if upstream is not None and upstream.service == service:
                # Flows that hang on an ejected upstream don't wait for slots,
                # so those beyond the normal number are subtracted. An ejected
                # upstream that is only overloaded has no more than that number.
                normal_flows = (
                    upstream.slots * self._settings.flows_per_slot / fleet_size
                )
                excess = self._flows.outstanding(name) - normal_flows
                open_flows -= max(0.0, excess)
        return open_flows

    def _limit_of(self, service: str) -> ConcurrencyLimit:
        limit = self._limits.get(service)
        if limit is None:
            limit = ConcurrencyLimit(self._settings, self._clock)
            self._limits[service] = limit
        return limit

    def _aim_of(self, service: str) -> float:
        config = self._known.routing.config
        if config.version != self._config_version:
            self._config_version = config.version
            self._shortest_aims_s = {}
        aim_s = self._shortest_aims_s.get(service)
        if aim_s is None:
            aim_s = _shortest_aim_s(service, config.routes.values())
            self._shortest_aims_s[service] = aim_s
        return aim_s

    def _count_more_urgent(self, service: str, priority: int) -> int:
        """Count the more urgent priorities with a recent new flow."""
        now = self._clock()
        seen_at = self._priority_seen_at.setdefault(service, {})
        seen_at[priority] = now
        oldest = now - _PRIORITY_EXPIRY_S
        return sum(
            other < priority and latest_at > oldest
            for other, latest_at in seen_at.items()
        )

    def _record_refused(
        self, service: str, refusal: Refusal, rate_per_s: float
    ) -> None:
        now = self._clock()
        overload = self._overloads.get(service)
        if overload is None:
            overload = _Overload(now, now)
            self._overloads[service] = overload
            _log.warning(
                'service overloaded',
                extra={
                    'service': service,
                    'load': refusal.load,
                    'limit': refusal.limit,
                    'response_s': refusal.response_s,
                    'usual_s': refusal.usual_s,
                    'served_per_s': round(rate_per_s, 1),
                    'config': self._config_version,
                },
            )
        overload.refused += 1
        overload.refused_at = now

    def _record_admitted(self, service: str) -> None:
        overload = self._overloads.get(service)
        if overload is None:
            return
        if self._clock() - overload.refused_at > _OVERLOAD_END_DELAY_S:
            del self._overloads[service]
            lasted_s = overload.refused_at - overload.began_at
            _log.info(
                'service no longer overloaded',
                extra={
                    'service': service,
                    'refused': overload.refused,
                    'lasted_s': round(lasted_s, 3),
                },
            )


def _shortest_aim_s(service: str, routes: Iterable[Route]) -> float:
    aims = (
        route.aim_s
        for route in routes
        if any(weighted.service == service for weighted in route.services)
    )
    return min((aim_s for aim_s in aims if aim_s > 0), default=0)
