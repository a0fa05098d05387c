"""Flows that can no longer meet their aim let others go first.

The load answered is the backlog after an interruption, such as the start of
all entry VMs after a loss of power: callers that waited arrive together with
those that have just come, and upstreams serve what they get in order. If the
late flows go first, the new ones become late too, for as long as the backlog
lasts. So a late flow waits until this entry VM has fewer flows open on the
service than its part of the slots, as long as its caller still has time enough
to be served.
"""

from collections.abc import Callable, Iterator

import msgspec

from hibiscushatch_token.model import Route
from hibiscushatch_token.ports import FlowPacket

# A flow with less of its aim left will miss it: opening a flow and the request
# itself take the rest.
_AIM_LEFT_MIN = 0.25
# A caller gives up an attempt 0.8 s after its last copy.
_WAIT_MAX_S = 0.6
# Kept of the time until the caller gives up: a full queue of an upstream takes
# half of it.
_RESERVE_S = 0.8


class LateFlow(msgspec.Struct):
    """A flow that waits.

    Attributes:
        packet: Its latest opening packet.
        service: Where it will be placed.
        priority: Lower ones go first.
        expires_at: When it is placed whether there is room or not.
    """

    packet: FlowPacket
    service: str
    priority: int
    expires_at: float


class LateFlows:
    """The flows that wait, in the order in which they came.

    Args:
        clock: Monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._waiting: dict[bytes, LateFlow] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, packet: FlowPacket, service: str, route: Route) -> None:
        """Let a flow wait."""
        left_s = route.timeout_s - packet.waited_s
        wait_s = max(0.0, min(_WAIT_MAX_S, left_s - _RESERVE_S))
        self._waiting[packet.flow] = LateFlow(
            packet, service, route.priority, self._clock() + wait_s
        )

    def refresh(self, packet: FlowPacket) -> bool:
        """Take over a copy of an opening packet.

        Returns:
            Whether its flow waits.
        """
        late = self._waiting.get(packet.flow)
        if late is None:
            return False
        late.packet = packet
        return True

    def remove(self, flow: bytes) -> None:
        """Drop a flow that its caller ended, or that went on elsewhere."""
        self._waiting.pop(flow, None)

    def take_ready(self, has_room: Callable[[str], bool]) -> Iterator[LateFlow]:
        """Take the flows whose turn it is.

        Args:
            has_room: Tells whether a service has room; asked again after
                each flow that is yielded, until there is none.
        """
        now = self._clock()
        full: set[str] = set()
        ordered = sorted(self._waiting.values(), key=lambda late: late.priority)
        for late in ordered:
            is_due = late.expires_at <= now
            if is_due or (late.service not in full and has_room(late.service)):
                self._waiting.pop(late.packet.flow)
                yield late
            else:
                full.add(late.service)


def is_late(packet: FlowPacket, route: Route) -> bool:
    """Tell whether a flow can no longer meet its aim."""
    left_s = route.aim_s - packet.waited_s
    return route.aim_s > 0 and left_s < route.aim_s * _AIM_LEFT_MIN
