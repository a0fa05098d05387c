"""Detects when the network cuts this entry VM off from what it depends on.

An entry VM that is cut off while others could serve its callers has to leave
the rotation of the fabric. Two signs together show that it is cut off: no
upstream of a service answers, and the store does not answer. Neither is enough
alone: when all upstreams of a service fail, they fail for every entry VM, and
the store may be down.

After the first sign, the readiness check already fails while the store is being
asked: the fabric removes an entry VM only at the second failure in a row, half
a second later.
"""

import asyncio
import logging
from collections.abc import Callable

from hibiscushatch_token.health.upstream_verdicts import UpstreamVerdicts
from hibiscushatch_token.ports import Store

# Short compared with the half second between readiness checks.
_CHECK_INTERVAL_S = 0.05
# How long the first sign counts after all upstreams that could get a flow were
# found to be dead.
_UNREACHABLE_AGE_MAX_S = 0.5
# The store answers in some milliseconds, a slow one in a quarter of a second.
_STORE_TIMEOUT_S = 0.3
# Longer while the store answers, because each check is a call to it.
_STORE_CHECK_INTERVAL_S = 1.0

_log = logging.getLogger(__name__)


class PartitionDetector:
    """Checks for both signs of a cut, and for its end.

    Args:
        store: Asked whether it answers.
        verdicts: Provides when all upstreams that could get a flow were last
            found to be dead.
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
        self._is_asking_store = False

    @property
    def is_cut_off(self) -> bool:
        """Whether neither the store nor any upstream of a service answers."""
        return self._is_cut_off

    @property
    def is_suspected(self) -> bool:
        """Whether it is cut off, or the store is asked after the first sign."""
        return self._is_cut_off or self._is_asking_store

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            if self._is_cut_off or self._are_upstreams_unreachable():
                store_answers = await self._ask_store()
                self._update(store_answers)
                await asyncio.sleep(
                    _STORE_CHECK_INTERVAL_S
                    if store_answers
                    else _CHECK_INTERVAL_S
                )
            else:
                await asyncio.sleep(_CHECK_INTERVAL_S)

    async def _ask_store(self) -> bool:
        self._is_asking_store = True
        try:
            return await self._store.is_reachable(_STORE_TIMEOUT_S)
        finally:
            # The readiness check fails for as long as this is set.
            self._is_asking_store = False

    def _are_upstreams_unreachable(self) -> bool:
        unreachable_at = self._verdicts.unreachable_at
        return (
            unreachable_at is not None
            and self._clock() - unreachable_at < _UNREACHABLE_AGE_MAX_S
        )

    def _update(self, store_answers: bool) -> None:
        if self._is_cut_off == store_answers:
            self._is_cut_off = not store_answers
            _log.warning(
                'cut off' if self._is_cut_off else 'cut has ended',
                extra={
                    'store_answers': store_answers,
                    'unreachable_at': self._verdicts.unreachable_at,
                },
            )
