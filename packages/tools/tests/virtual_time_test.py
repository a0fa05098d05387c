"""Tests hibiscushatch_tools.virtual_time."""

import asyncio

LONG_SLEEP_S = 1000.3
TINY_SLEEP_S = 1e-15


async def test_a_sleep_too_short_to_change_the_clock_still_ends() -> None:
    await asyncio.sleep(LONG_SLEEP_S)
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    while loop.time() == start_s:
        await asyncio.sleep(TINY_SLEEP_S)
    assert loop.time() - start_s < TINY_SLEEP_S + 1e-6
