"""One connection to another entry VM and the changes to be sent on it.

Changes are collected and sent together after a short delay, or with the next
heartbeat. Each message has a sequence number and acknowledges the highest
number received. A peer applies a message before it acknowledges it, so the
sender can wait until the peer has applied a change.
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
    """What is to be sent to one peer with the next message.

    Attributes:
        members: Names of the VMs whose records are to be sent.
        buckets: Service and index of the buckets to be sent.
        layouts: Services whose initial assignment the peer requested.
        entries: Flow entries for this peer only.
        warmth: Names of the upstreams whose warmth record is to be sent.
        want_manifest: Request the peer's manifest.
        want_table: Request the bucket states that differ.
        send_manifest: Send the manifest in force.
        table_done: Report that all requested bucket states have been sent.
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
    """An open connection with one other entry VM.

    Attributes:
        name: Name of the peer; empty on an accepted connection until the first
            message.
        outbox: What the next message is built from.
        last_received_at_s: When the last message was received; 0 before.
        digest_mismatches: Consecutive messages whose table digest differed.
        has_processed_message: Whether a message was received and applied.
    """

    def __init__(
        self, name: str, channel: PeerChannel, counters: Counters
    ) -> None:
        self._channel = channel
        self._counters = counters
        self._last_sent_number = 0
        self._last_acknowledged_number = 0
        self._last_received_number = 0
        self._acknowledgement_received = asyncio.Event()
        self._wake = asyncio.Event()
        self.name = name
        self.outbox = Outbox()
        self.last_received_at_s = 0.0
        self.digest_mismatches = 0
        self.has_processed_message = False

    @property
    def next_number(self) -> int:
        """Number of the next message, which will contain the current outbox."""
        return self._last_sent_number + 1

    def wake(self) -> None:
        """Send the outbox soon instead of with the next heartbeat."""
        self._wake.set()

    async def wait_until_due(self, interval_s: float, batch_s: float) -> None:
        """Wait until the next message is due.

        Args:
            interval_s: Seconds between heartbeats.
            batch_s: Seconds to collect further changes after a wake.
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
            message: The message without sequence and acknowledgement number.
        """
        self._last_sent_number += 1
        numbered = message.model_copy(
            update={
                'q': self._last_sent_number,
                'a': self._last_received_number,
            }
        )
        await self._channel.send(encode_message(numbered))

    async def receive(self) -> PeerMessage:
        """Wait for a message and record its numbers."""
        text = await self._channel.receive()
        message = PeerMessage.model_validate_json(text)
        self._last_received_number = max(self._last_received_number, message.q)
        if message.a > self._last_acknowledged_number:
            self._last_acknowledged_number = message.a
            self._acknowledgement_received.set()
        return message

    async def wait_acknowledged(self, number: int) -> None:
        """Wait until the peer has acknowledged a message, and so applied it.

        Args:
            number: Sequence number of the message.
        """
        while self._last_acknowledged_number < number:
            self._acknowledgement_received.clear()
            await self._acknowledgement_received.wait()

    async def close(self) -> None:
        """Close the connection."""
        await self._channel.close()
