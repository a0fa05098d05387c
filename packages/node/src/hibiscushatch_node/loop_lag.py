"""Measures how late the event loop runs timers."""

import asyncio

SAMPLE_INTERVAL_S = 0.25
_DECAY = 0.9


class LoopLagMeter:
    """Samples how late a timer fires.

    Attributes:
        recent_max_s: The largest recent delay in seconds. A past maximum is
            reduced by a tenth with each sample.
    """

    def __init__(self) -> None:
        self.recent_max_s = 0.0

    async def run(self) -> None:
        """Sample until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            delay_s = max(loop.time() - due_s, 0)
            self.recent_max_s = max(delay_s, self.recent_max_s * _DECAY)
