"""Tests of hibiscushatch_tools.host_loop."""

import asyncio

from hibiscushatch_tools import host_loop


async def _record_ticks(times_s: list[float]) -> None:
    loop = asyncio.get_running_loop()
    while True:
        times_s.append(loop.time())
        await asyncio.sleep(1)


async def _tick_through_fault(freeze: bool) -> list[float]:
    host = host_loop.Host('entry-1', 'pos-a')
    times_s: list[float] = []
    host.create_task(_record_ticks(times_s))
    await asyncio.sleep(1.5)
    if freeze:
        host.freeze()
        await asyncio.sleep(5)
        host.thaw()
    else:
        host.kill()
        await asyncio.sleep(5)
    await asyncio.sleep(1.1)
    host.shut_down()
    return times_s


def test_a_thawed_host_runs_overdue_timers_late() -> None:
    times_s = host_loop.run_on_host_loop(_tick_through_fault(freeze=True))
    assert times_s == [0, 1, 6.5, 7.5]


def test_a_killed_host_runs_no_more_callbacks() -> None:
    times_s = host_loop.run_on_host_loop(_tick_through_fault(freeze=False))
    assert times_s == [0, 1]
