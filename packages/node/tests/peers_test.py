"""Tests of hibiscushatch_node.peers."""

import asyncio

import node_fixtures

from hibiscushatch_core.errors import PeerClosedError
from hibiscushatch_core.messages import (
    LayoutMessage,
    PeerMessage,
    encode_message,
)
from hibiscushatch_core.ports import PeerChannel

HELLO = PeerMessage(q=1, hello='vm-2')
INCONSISTENT_LAYOUT = PeerMessage(
    q=2,
    layouts=(
        LayoutMessage.model_construct(
            s='booking', g=1, upstreams=('booking-1',), indexes=b'\x00\x09'
        ),
    ),
)


class ScriptedChannel(PeerChannel):
    """Returns the given texts, then nothing; records that it was closed."""

    def __init__(self, texts: list[str]) -> None:
        self._texts = texts
        self.is_closed = False

    async def send(self, text: str) -> None:
        """Discard a message."""
        if self.is_closed:
            raise PeerClosedError('send', 'vm-2', 'closed')

    async def receive(self) -> str:
        """Return the next text."""
        if self._texts:
            return self._texts.pop(0)
        await asyncio.sleep(60)
        raise PeerClosedError('receive', 'vm-2', 'closed')

    async def close(self) -> None:
        """Close the connection."""
        self.is_closed = True


async def test_an_invalid_message_only_closes_its_connection() -> None:
    table = (
        'not JSON',
        '{"q": 2, "buckets": [{"s": 1}]}',
        encode_message(INCONSISTENT_LAYOUT),
    )
    for text in table:
        async with node_fixtures.single_vm() as harness:
            channel = ScriptedChannel([encode_message(HELLO), text])
            await harness.connect_peer(channel)
            assert channel.is_closed, text
            assert not harness.failed_tasks(), text


async def test_a_silent_connection_is_closed() -> None:
    async with node_fixtures.single_vm() as harness:
        channel = ScriptedChannel([encode_message(HELLO)])
        await harness.connect_peer(channel)
        assert channel.is_closed
