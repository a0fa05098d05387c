"""Joining the fleet, detecting a pause of the process, and leaving.

A VM owns no buckets until it has the bucket states of its peers. A gap between
two checks of the clock means that the process was paused: the VM then gives up
its ownership and joins again.
"""

import asyncio
import logging

from hibiscushatch_node.admission import Admission
from hibiscushatch_node.generation import GenerationApplier
from hibiscushatch_node.membership import MemberState
from hibiscushatch_node.node_state import NodeState
from hibiscushatch_node.peer_intake import PeerIntake
from hibiscushatch_node.peers import PeerNetwork

CHECK_INTERVAL_S = 0.1
FORWARDING_AFTER_LEAVE_S = 1.0
TABLE_RESPONSE_TIMEOUT_S = 1.0

_log = logging.getLogger(__name__)


class Lifecycle:
    """Decides when this VM is joining, serving or leaving."""

    def __init__(
        self,
        state: NodeState,
        peers: PeerNetwork,
        intake: PeerIntake,
        applier: GenerationApplier,
        admission: Admission,
    ) -> None:
        self._state = state
        self._peers = peers
        self._intake = intake
        self._applier = applier
        self._admission = admission
        self._joining_since_s = state.now()
        self._last_check_at_s = float('inf')
        self._next_table_request_at_s = 0.0

    @property
    def forwarding_after_leave_s(self) -> float:
        """Seconds for which a leaving VM continues to forward packets."""
        return FORWARDING_AFTER_LEAVE_S

    def detect_pause(self, now_s: float) -> None:
        """Give up ownership if this process has just been paused.

        Called before each packet is routed, so that no packet is routed
        based on an ownership that lapsed during the pause.

        Args:
            now_s: The current time in seconds.
        """
        paused_s = now_s - self._last_check_at_s - CHECK_INTERVAL_S
        if paused_s > self._state.settings.timing.pause_detect_s:
            self._last_check_at_s = now_s
            self._rejoin()

    async def run(self) -> None:
        """Join the fleet and detect pauses until cancelled."""
        self._last_check_at_s = self._state.now()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = self._state.now()
            self.detect_pause(now_s)
            self._last_check_at_s = now_s
            if self._state.membership.own.state is MemberState.JOINING:
                self._serve_if_ready()

    async def leave(self) -> None:
        """Announce to all peers that this VM owns no more buckets."""
        self._change_state(MemberState.LEAVING)

    def _rejoin(self) -> None:
        self._intake.mark_table_incomplete()
        self._admission.renew_ledger()
        self._joining_since_s = self._state.now()
        self._next_table_request_at_s = 0
        self._change_state(MemberState.JOINING)

    def _serve_if_ready(self) -> None:
        if self._state.manifest is None:
            return
        if self._intake.table_complete or self._found_no_serving_peer():
            self._applier.create_missing_layouts()
            self._change_state(MemberState.SERVING)
            return
        now_s = self._state.now()
        if now_s >= self._next_table_request_at_s:
            self._request_table(now_s)

    def _request_table(self, now_s: float) -> None:
        """Request the bucket states from a serving peer chosen at random.

        Repeated with a new choice when the peer does not respond in time.
        """
        serving_names = frozenset(
            member.name for member in self._state.membership.serving()
        )
        sessions = [
            session
            for session in self._peers.sessions
            if session.name in serving_names
        ]
        if sessions:
            session = self._state.ports.randomness.choice(sessions)
            session.outbox.want_table = True
            session.wake()
            self._next_table_request_at_s = now_s + TABLE_RESPONSE_TIMEOUT_S

    def _found_no_serving_peer(self) -> bool:
        """Return whether no serving peer was found in time."""
        waited_s = self._state.now() - self._joining_since_s
        if waited_s < self._state.settings.timing.peer_silent_s:
            return False
        return not any(True for _ in self._state.membership.serving())

    def _change_state(self, state: MemberState) -> None:
        if self._state.membership.update_own(state=state):
            _log.info('entry VM state=%s', state.value)
            self._peers.flood_member(self._state.name)
