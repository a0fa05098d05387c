"""Waits in the event loop until an address to listen at is free."""

import asyncio
from collections.abc import Awaitable, Callable

from hibiscushatch_core.busy_addresses import RETRY_INTERVAL_S, AddressWait


async def listen_when_free(
    address: str, listen: Callable[[], Awaitable[None]]
) -> None:
    """Listen at an address once it is free.

    Args:
        address: The address, for log lines.
        listen: Starts to listen.

    Raises:
        OSError: The address stays occupied, or can't be bound at all.
    """
    wait = AddressWait(address)
    while True:
        try:
            return await listen()
        except OSError as error:
            wait.check(error)
        await asyncio.sleep(RETRY_INTERVAL_S)
