"""Fixtures: platform clients of a store, in memory and over HTTP."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.ports import Platform
from hibiscushatch_core.settings import PlatformSettings
from hibiscushatch_node.adapters.etcd import EtcdPlatform
from hibiscushatch_tools import platform_server
from hibiscushatch_tools.memory_platform import MemoryPlatform
from hibiscushatch_tools.platform_store import PlatformStore

CALL_TIMEOUT_S = 2.0
WATCH_SILENT_S = 3.0
PROGRESS_S = 0.2


@dataclasses.dataclass(slots=True)
class ManualClock:
    """A clock that stands still until a test sets it."""

    now: float = 0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformHarness:
    """A store with its clock and a client.

    Attributes:
        store: The store.
        clock: Clock by which the store expires leases.
        platform: The client.
        counters: Counters of the client.
    """

    store: PlatformStore
    clock: ManualClock
    platform: Platform
    counters: Counters


def platform_settings(*endpoints: str) -> PlatformSettings:
    """Build settings with short deadlines."""
    return PlatformSettings(
        endpoints=list(endpoints) or ['http://127.0.0.1:1'],
        call_timeout_s=CALL_TIMEOUT_S,
        watch_silent_s=WATCH_SILENT_S,
    )


@contextlib.asynccontextmanager
async def memory_harness() -> AsyncIterator[PlatformHarness]:
    """Create a client that uses the store in the same process."""
    clock = ManualClock()
    store = PlatformStore(clock, progress_s=PROGRESS_S)
    counters = Counters()
    platform = MemoryPlatform(store, platform_settings(), counters)
    yield PlatformHarness(store, clock, platform, counters)


@contextlib.asynccontextmanager
async def etcd_harness() -> AsyncIterator[PlatformHarness]:
    """Create a client over HTTP whose first endpoint refuses connections."""
    clock = ManualClock()
    store = PlatformStore(clock, progress_s=PROGRESS_S)
    counters = Counters()
    runner = await platform_server.start_server(store, '127.0.0.1', 0)
    port = runner.addresses[0][1]
    settings = platform_settings(
        'http://127.0.0.1:1', f'http://127.0.0.1:{port}'
    )
    platform = EtcdPlatform(settings, counters)
    try:
        yield PlatformHarness(store, clock, platform, counters)
    finally:
        await platform.close()
        await runner.cleanup()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Let other tasks run until a condition holds."""
    while not condition():
        await asyncio.sleep(0.01)
