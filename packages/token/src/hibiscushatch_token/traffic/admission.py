"""Which new flows are refused because their service is overloaded.

The load answered is a burst of callers, or a loss of upstreams, that lasts for
longer than queues can take it up. If all flows are placed, upstreams serve them
in order, and every caller is late. If some are refused at once, the others are
in time, and those that are refused can try again at another entry VM. Routes of
lower priority are refused first.
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

# An overload has ended when nothing was refused for so long.
_OVERLOAD_ENDS_S = 1.0
# Routes that nobody uses reserve nothing.
_PRIORITY_FORGOTTEN_S = 10.0

_log = logging.getLogger(__name__)


class Refusal(msgspec.Struct, frozen=True):
    """Why a flow is refused.

    Attributes:
        load: Flows that this entry VM has open on the service.
        limit: How many of the route's priority may be open.
        response_s: How long responses took of late.
        usual_s: How long they usually take.
    """

    load: float
    limit: float
    response_s: float
    usual_s: float


class _Overload(msgspec.Struct):
    """An overload that lasts."""

    began_at: float
    refused_at: float
    refused: int = 0


class Admission:
    """Decides which new flows of each service are refused.

    Args:
        settings: Times and factors.
        environment: The clock.
        known: Routes in force, upstreams and the size of the fleet.
        flows: Open flows.
        outliers: Upstreams whose flows say nothing of the load.
    """

    def __init__(
        self,
        settings: AdmissionSettings,
        environment: Environment,
        known: KnownState,
        flows: FlowTable,
        outliers: OutlierDetector,
    ) -> None:
        self._settings = settings
        self._clock = environment.clock
        self._known = known
        self._flows = flows
        self._outliers = outliers
        self._limits: dict[str, ConcurrencyLimit] = {}
        self._overloads: dict[str, _Overload] = {}
        # The shortest aim of each service; 0 when no route states one.
        self._aims_s: dict[str, float] = {}
        # When each priority of a service was asked for last.
        self._asked_at: dict[str, dict[int, float]] = {}
        self._config_version = 0

    def refusal(self, service: str, route: Route, slots: int) -> Refusal | None:
        """Tell why a new flow is to be refused; None when it is not.

        Args:
            service: Where it would be placed.
            route: Its route.
            slots: Slots of the service's upstreams.
        """
        limit = self._limit_of(service)
        steps = self._more_urgent(service, route.priority)
        aim_s = self._aim_s(service)
        fleet = self._known.count_fleet()
        if not (aim_s and fleet and limit.is_known):
            return None
        load = self._open_flows(service, fleet)
        share = self._settings.priority_step**steps
        most = max(1.0, limit.flows_max(slots / fleet, aim_s) * share)
        sure = most * self._settings.sure_factor
        if load < most or (load < sure and not limit.is_slow(aim_s)):
            self._note_admitted(service)
            return None
        refusal = Refusal(
            round(load, 2),
            round(most, 2),
            round(limit.response_s, 3),
            round(limit.usual_s, 3),
        )
        self._note_refused(service, refusal, limit.rate_per_s)
        return refusal

    def served(self, service: str, took_s: float) -> None:
        """Count a request that was served.

        Args:
            service: Its service.
            took_s: How long its response took.
        """
        is_overloaded = service in self._overloads
        self._limit_of(service).served(took_s, is_overloaded)

    def _open_flows(self, service: str, fleet: int) -> float:
        open_flows: float = self._flows.outstanding_on(service)
        for name, _ in self._outliers.active_ejections():
            upstream = self._known.registry.find(name)
            if upstream is not None and upstream.service == service:
                # One that hangs keeps its flows; they are not waiting for
                # slots. One that is only overloaded has no more than others.
                part = upstream.slots * self._settings.flows_per_slot / fleet
                beyond = self._flows.outstanding(name) - part
                open_flows -= max(0.0, beyond)
        return open_flows

    def _limit_of(self, service: str) -> ConcurrencyLimit:
        limit = self._limits.get(service)
        if limit is None:
            limit = ConcurrencyLimit(self._settings, self._clock)
            self._limits[service] = limit
        return limit

    def _aim_s(self, service: str) -> float:
        config = self._known.routing.config
        if config.version != self._config_version:
            self._config_version = config.version
            self._aims_s = {}
        aim_s = self._aims_s.get(service)
        if aim_s is None:
            aim_s = _shortest_aim_s(service, config.routes.values())
            self._aims_s[service] = aim_s
        return aim_s

    def _more_urgent(self, service: str, priority: int) -> int:
        """Count the more urgent priorities that were asked for lately."""
        now = self._clock()
        asked_at = self._asked_at.setdefault(service, {})
        asked_at[priority] = now
        oldest = now - _PRIORITY_FORGOTTEN_S
        return sum(
            other < priority and at > oldest for other, at in asked_at.items()
        )

    def _note_refused(
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

    def _note_admitted(self, service: str) -> None:
        overload = self._overloads.get(service)
        if overload is None:
            return
        if self._clock() - overload.refused_at > _OVERLOAD_ENDS_S:
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
        if any(one.service == service for one in route.services)
    )
    return min((aim_s for aim_s in aims if aim_s > 0), default=0)
