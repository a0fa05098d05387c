"""Joining, noticing a pause, and leaving.

A VM owns nothing until it holds the bucket states of its peers. One whose
clock jumped was paused: it gives up what it owned until it has them again.
"""

import asyncio
import logging

from hibiscushatch_node.admission import Admission
from hibiscushatch_node.generation import GenerationApplier
from hibiscushatch_node.membership import MemberState
from hibiscushatch_node.node_state import NodeState
from hibiscushatch_node.peer_intake import PeerIntake
from hibiscushatch_node.peers import PeerNetwork

PULSE_S = 0.1
LEAVE_S = 1.0
TABLE_ANSWER_S = 1.0

_logger = logging.getLogger(__name__)


class Lifecycle:
    """Changes the state of this VM's record."""

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
        self._pulse_at_s = float('inf')
        self._table_due_s = 0.0

    @property
    def leave_s(self) -> float:
        """How long a leaving VM goes on forwarding, in seconds."""
        return LEAVE_S

    def notice_time(self, now_s: float) -> None:
        """Give up ownership if this process was paused until now.

        Called before each packet is routed, so that none is decided on
        authority that lapsed during the pause.

        Args:
            now_s: The time.
        """
        paused_s = now_s - self._pulse_at_s - PULSE_S
        if paused_s > self._state.settings.timing.pause_detect_s:
            self._pulse_at_s = now_s
            self._rejoin()

    async def run(self) -> None:
        """Join, then watch for pauses until cancelled."""
        self._pulse_at_s = self._state.now()
        while True:
            await asyncio.sleep(PULSE_S)
            now_s = self._state.now()
            self.notice_time(now_s)
            self._pulse_at_s = now_s
            if self._state.membership.own.state is MemberState.JOINING:
                self._try_to_serve()

    async def leave(self) -> None:
        """Tell all peers that this VM owns nothing any more."""
        self._become(MemberState.LEAVING)

    def _rejoin(self) -> None:
        self._intake.forget_table()
        self._admission.renew_ledger()
        self._joining_since_s = self._state.now()
        self._table_due_s = 0
        self._become(MemberState.JOINING)

    def _try_to_serve(self) -> None:
        if self._state.manifest is None:
            return
        if self._intake.table_complete or self._is_alone():
            self._applier.create_missing_layouts()
            self._become(MemberState.SERVING)
            return
        now_s = self._state.now()
        if now_s >= self._table_due_s:
            self._ask_for_table(now_s)

    def _ask_for_table(self, now_s: float) -> None:
        """Ask one serving peer, and another when it has not answered."""
        serving = frozenset(
            one.name for one in self._state.membership.serving()
        )
        sessions = [
            session
            for session in self._peers.sessions
            if session.name in serving
        ]
        if sessions:
            session = self._state.ports.randomness.choice(sessions)
            session.outbox.want_table = True
            session.wake()
            self._table_due_s = now_s + TABLE_ANSWER_S

    def _is_alone(self) -> bool:
        """Tell whether no peer that serves has been found in time."""
        waited_s = self._state.now() - self._joining_since_s
        if waited_s < self._state.settings.timing.peer_silent_s:
            return False
        return not any(True for _ in self._state.membership.serving())

    def _become(self, state: MemberState) -> None:
        if self._state.membership.update_own(state=state):
            _logger.info('entry VM state=%s', state.value)
            self._peers.spread_member(self._state.name)
