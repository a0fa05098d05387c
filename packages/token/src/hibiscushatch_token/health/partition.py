"""Whether this entry VM is cut off from what it needs to serve callers.

An entry VM whose callers could be served elsewhere leaves the rotation of the
fabric. One sign is not enough: a service whose upstreams all fail is no
reason to leave, as it fails everywhere, and neither is a store that is away.
Both together mean that the network of this entry VM has been cut. While the
second sign is looked for, the readiness check already fails: the fabric takes
an entry VM out at the second failure in a row, half a second later.
"""

import asyncio
import logging
from collections.abc import Callable

from hibiscushatch_token.health.upstream_verdicts import UpstreamVerdicts
from hibiscushatch_token.ports import Store

# Short against the half second between readiness checks.
_CHECK_S = 0.05
# How long a flow without an answering upstream counts as a sign.
_SIGN_FRESH_S = 0.5
# The store answers in some milliseconds, a slow one in a quarter of a second.
_STORE_ANSWER_S = 0.3
# Pause between reads of a store that answers, as each of them is a call.
_RECHECK_S = 1.0

_log = logging.getLogger(__name__)


class PartitionDetector:
    """Watches for both signs of a cut, and for the end of it.

    Args:
        store: Asked whether it answers.
        verdicts: Tells when no upstream of a flow was known to answer.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        store: Store,
        verdicts: UpstreamVerdicts,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._verdicts = verdicts
        self._clock = clock
        self._is_cut_off = False
        self._is_asking = False

    @property
    def is_cut_off(self) -> bool:
        """Neither the store nor an upstream of a route answers."""
        return self._is_cut_off

    @property
    def is_suspected(self) -> bool:
        """Cut off, or no upstream answers and the store is being asked."""
        return self._is_cut_off or self._is_asking

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            if self._is_cut_off or self._has_sign():
                self._is_asking = True
                is_answered = await self._store.is_reachable(_STORE_ANSWER_S)
                self._is_asking = False
                self._note(is_answered)
                await asyncio.sleep(_RECHECK_S if is_answered else _CHECK_S)
            else:
                await asyncio.sleep(_CHECK_S)

    def _has_sign(self) -> bool:
        seen_at = self._verdicts.unreachable_at
        return seen_at is not None and self._clock() - seen_at < _SIGN_FRESH_S

    def _note(self, is_answered: bool) -> None:
        if self._is_cut_off == is_answered:
            self._is_cut_off = not is_answered
            _log.warning(
                'cut off' if self._is_cut_off else 'cut has ended',
                extra={
                    'store_answers': is_answered,
                    'unreachable_at': self._verdicts.unreachable_at,
                },
            )
