"""Defers flows that can no longer meet the latency target of their route.

Designed for the backlog after an interruption, such as the start of all entry
VMs after a loss of power: callers that have waited arrive together with new
callers, and upstreams serve requests in order. If late flows went first, the
new flows would become late too, for as long as the backlog lasts. So a late
flow waits until this entry VM has fewer flows open on the service than its
share of the slots, but only as long as the caller still has enough time to be
served.

The configuration may change while a flow waits. Its service, its priority and
how long it may wait are then determined again, so that no flow is placed by a
route that is no longer in force.
"""

from collections.abc import Callable, Iterator

import msgspec

from hibiscushatch_token.model import Endpoint, Route
from hibiscushatch_token.ports import FlowPacket

# A flow with a smaller share of its latency target (aim) remaining will miss
# the target, because opening the flow and the request itself take that long.
_AIM_SHARE_MIN = 0.25
# A caller gives up an attempt 0.8 s after its last copy, so no flow is deferred
# for longer than this.
_DEFERRAL_MAX_S = 0.6
# A flow is placed within some tens of milliseconds after its wait has expired.
# After this time the process was paused, and the caller's next copy is due: it
# may have opened the flow at another entry VM.
_OVERDUE_S = 0.4
# Time kept in reserve before the caller gives up: a full queue of an upstream
# takes half of it.
_RESERVE_S = 0.8


class LateFlow(msgspec.Struct):
    """A deferred flow, or an open flow whose request waits.

    Attributes:
        packet: Its latest opening packet, or the first one of the request.
        service: The service on which it will be placed.
        priority: Priority of its route; lower numbers are placed first.
        began_at: When its caller sent the first opening packet.
        deferred_at: When it was deferred.
        expires_at: When it is placed even if there are no free slots.
        is_open: Whether it is open already.
        followers: Further packets of the request, in order.
    """

    packet: FlowPacket
    service: str
    priority: int
    began_at: float
    deferred_at: float
    expires_at: float
    is_open: bool = False
    followers: list[FlowPacket] = []


class LateFlows:
    """The deferred flows, in the order in which they came.

    Within a priority they are placed in that order; those of a backlog were put
    in order before (backlog). Ordering all of them by the time that their
    callers have left served more callers at last, and fewer in time
    (docs/design/0014).

    Args:
        clock: Monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._waiting: dict[bytes, LateFlow] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, packet: FlowPacket, service: str, route: Route) -> None:
        """Defer a flow."""
        now = self._clock()
        began_at = now - packet.waited_s
        self._waiting[packet.flow] = LateFlow(
            packet,
            service,
            route.priority,
            began_at,
            now,
            _expires_at(route, began_at, now),
        )

    def add_request(
        self, packet: FlowPacket, service: str, route: Route, wait_s: float
    ) -> None:
        """Let the request of an open flow wait for a time at most."""
        now = self._clock()
        began_at = now - packet.waited_s
        self._waiting[packet.flow] = LateFlow(
            packet,
            service,
            route.priority,
            began_at,
            now,
            now + wait_s,
            is_open=True,
        )

    def request_of(self, flow: bytes) -> LateFlow | None:
        """Return the waiting request of an open flow."""
        late = self._waiting.get(flow)
        return late if late is not None and late.is_open else None

    def update_packet(self, packet: FlowPacket) -> bool:
        """Replace the opening packet of a deferred flow by a newer copy.

        Returns:
            Whether the flow is deferred.
        """
        late = self._waiting.get(packet.flow)
        if late is None or late.is_open:
            return False
        late.packet = packet
        return True

    def update_routes(
        self,
        route_of: Callable[[Endpoint], Route | None],
        draw_service: Callable[[Route], str],
    ) -> Iterator[FlowPacket]:
        """Determine again what depends on the routes, after they have changed.

        Args:
            route_of: Returns the route in force of an endpoint.
            draw_service: Draws a service of a route, for flows whose service
                their route no longer names.

        Yields:
            The latest opening packets of flows without a route. These flows
            are no longer deferred.
        """
        for late in tuple(self._waiting.values()):
            route = route_of(late.packet.endpoint)
            if late.is_open:
                # An open flow keeps its upstream and is never refused.
                continue
            if route is None:
                self.remove(late.packet.flow)
                yield late.packet
            else:
                self._update_route(late, route, draw_service)

    def remove(self, flow: bytes) -> None:
        """Drop a flow that was ended, or continued at another entry VM."""
        self._waiting.pop(flow, None)

    def take_overdue(self) -> Iterator[FlowPacket]:
        """Remove the flows that should have been placed long ago.

        Yields:
            Their latest opening packets.
        """
        oldest = self._clock() - _OVERDUE_S
        overdue = [
            late
            for late in self._waiting.values()
            if late.expires_at < oldest and not late.is_open
        ]
        for late in overdue:
            self.remove(late.packet.flow)
            yield late.packet

    def take_ready(
        self, has_free_slots: Callable[[str], bool]
    ) -> Iterator[LateFlow]:
        """Remove and yield the flows that may be placed now.

        Args:
            has_free_slots: Returns whether a service has free slots; called
                again after each flow that is yielded, until a service has
                none.
        """
        now = self._clock()
        full_services: set[str] = set()
        ordered = sorted(self._waiting.values(), key=lambda late: late.priority)
        for late in ordered:
            is_due = late.expires_at <= now
            if is_due or (
                late.service not in full_services
                and has_free_slots(late.service)
            ):
                self._waiting.pop(late.packet.flow)
                yield late
            else:
                full_services.add(late.service)

    def _update_route(
        self,
        late: LateFlow,
        route: Route,
        draw_service: Callable[[Route], str],
    ) -> None:
        if not route.names(late.service):
            late.service = draw_service(route)
        late.priority = route.priority
        late.expires_at = _expires_at(route, late.began_at, late.deferred_at)


def is_late(packet: FlowPacket, route: Route) -> bool:
    """Return whether a flow can no longer meet its latency target."""
    remaining_s = route.aim_s - packet.waited_s
    return route.aim_s > 0 and remaining_s < route.aim_s * _AIM_SHARE_MIN


def _expires_at(route: Route, began_at: float, deferred_at: float) -> float:
    latest = began_at + route.timeout_s - _RESERVE_S
    return max(deferred_at, min(deferred_at + _DEFERRAL_MAX_S, latest))
