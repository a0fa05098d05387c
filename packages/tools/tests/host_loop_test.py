"""Tests of hibiscushatch_tools.host_loop."""

import asyncio

from hibiscushatch_tools import host_loop


async def _tick(times_s: list[float]) -> None:
    loop = asyncio.get_running_loop()
    while True:
        times_s.append(loop.time())
        await asyncio.sleep(1)


async def _run_ticks(frozen: bool) -> list[float]:
    host = host_loop.Host('entry-1', 'pos-a')
    times_s: list[float] = []
    host.start(_tick(times_s))
    await asyncio.sleep(1.5)
    if frozen:
        host.freeze()
        await asyncio.sleep(5)
        host.thaw()
    else:
        host.kill()
        await asyncio.sleep(5)
    await asyncio.sleep(1.1)
    host.end()
    return times_s


def test_a_frozen_host_runs_late_timers_when_thawed() -> None:
    times_s = host_loop.run_on_hosts(_run_ticks(frozen=True))
    assert times_s == [0, 1, 6.5, 7.5]


def test_a_killed_host_runs_nothing_more() -> None:
    times_s = host_loop.run_on_hosts(_run_ticks(frozen=False))
    assert times_s == [0, 1]
