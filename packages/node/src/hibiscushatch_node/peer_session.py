"""One connection to another entry VM: what it still has to be told.

Changes are collected and sent together after a short delay, or with the next
heartbeat. Numbers and acknowledgements on each message let the sender wait
until the other end has taken a change in.
"""

import asyncio
import dataclasses

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.messages import (
    EntriesMessage,
    PeerMessage,
    encode_message,
)
from hibiscushatch_core.ports import PeerChannel


@dataclasses.dataclass(slots=True)
class Outbox:
    """What one peer has not been told yet.

    Attributes:
        members: Names of the VMs whose records changed.
        buckets: Service and index of the buckets that changed.
        layouts: Services whose first assignment the peer asked for.
        entries: Flow entries for this peer alone.
        warmth: Names of the upstreams whose warmth changed.
        want_manifest: Ask for its manifest.
        want_table: Ask for the bucket states that differ.
        send_manifest: Send the manifest in force.
        table_done: Tell that all asked bucket states have been sent.
    """

    members: set[str] = dataclasses.field(default_factory=set)
    buckets: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    layouts: set[str] = dataclasses.field(default_factory=set)
    entries: list[EntriesMessage] = dataclasses.field(default_factory=list)
    warmth: set[str] = dataclasses.field(default_factory=set)
    want_manifest: bool = False
    want_table: bool = False
    send_manifest: bool = False
    table_done: bool = False


class PeerSession:
    """A live connection with one other entry VM."""

    def __init__(
        self, name: str, channel: PeerChannel, counters: Counters
    ) -> None:
        self._channel = channel
        self._counters = counters
        self._sent = 0
        self._acknowledged = 0
        self._taken_in = 0
        self._progress = asyncio.Event()
        self._wake = asyncio.Event()
        self.name = name
        self.outbox = Outbox()
        self.heard_at_s = 0.0
        self.mismatches = 0
        self.is_counted = False

    @property
    def next_number(self) -> int:
        """Number of the message that carries what is in the outbox now."""
        return self._sent + 1

    def wake(self) -> None:
        """Send the outbox soon instead of with the next heartbeat."""
        self._wake.set()

    async def wait_due(self, interval_s: float, batch_s: float) -> None:
        """Wait until a message is due.

        Args:
            interval_s: Time between heartbeats.
            batch_s: How long to collect further changes once woken.
        """
        try:
            async with asyncio.timeout(interval_s):
                await self._wake.wait()
        except TimeoutError:
            return
        await asyncio.sleep(batch_s)
        self._wake.clear()

    async def send(self, message: PeerMessage) -> None:
        """Number and send a message.

        Args:
            message: The message without its numbers.
        """
        self._sent += 1
        numbered = message.model_copy(
            update={'q': self._sent, 'a': self._taken_in}
        )
        await self._channel.send(encode_message(numbered))

    async def receive(self) -> PeerMessage:
        """Wait for a message and take its numbers in."""
        text = await self._channel.receive()
        message = PeerMessage.model_validate_json(text)
        self._taken_in = max(self._taken_in, message.q)
        if message.a > self._acknowledged:
            self._acknowledged = message.a
            self._progress.set()
        return message

    async def wait_acknowledged(self, number: int) -> None:
        """Wait until the peer has taken in a message.

        Args:
            number: The number of the message.
        """
        while self._acknowledged < number:
            self._progress.clear()
            await self._progress.wait()

    async def close(self) -> None:
        """Close the connection."""
        await self._channel.close()
