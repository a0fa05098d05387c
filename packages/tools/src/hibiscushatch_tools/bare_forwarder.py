"""Bare UDP forwarders to measure the packet path of an entry VM beside.

Each one sends every datagram on to one target; they differ in how the socket
is read.
"""

import asyncio
import enum
import socket

import click

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.udp_receiver import (
    DATAGRAM_BYTES_MAX,
    UdpReceiver,
    open_udp_socket,
)


class ReadingMode(enum.StrEnum):
    """How the socket is read.

    Members:
        BLOCKING: By a plain loop without an event loop.
        BATCHES: By the batches of an entry VM.
        PROTOCOL: By asyncio's datagram protocol.
    """

    BLOCKING = 'blocking'
    BATCHES = 'batches'
    PROTOCOL = 'protocol'


class _ForwardingProtocol(asyncio.DatagramProtocol):
    """Sends every datagram on by way of its transport."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(
        self, datagram: bytes, _sender: tuple[str, int]
    ) -> None:
        """Send a datagram on."""
        self._transport.sendto(datagram, self._target)


def forward_blocking(
    udp_socket: socket.socket, target: tuple[str, int]
) -> None:
    """Forward by a plain loop until the process is ended."""
    udp_socket.setblocking(True)
    while True:
        datagram, _ = udp_socket.recvfrom(DATAGRAM_BYTES_MAX)
        udp_socket.sendto(datagram, target)


async def forward_batches(
    udp_socket: socket.socket, target: tuple[str, int]
) -> None:
    """Forward with the receiver of an entry VM until cancelled."""

    def handler(datagram: bytes, _sender: str) -> None:
        udp_socket.sendto(datagram, target)

    UdpReceiver(udp_socket, handler, Counters()).start()
    await asyncio.Event().wait()


async def forward_protocol(
    udp_socket: socket.socket, target: tuple[str, int]
) -> None:
    """Forward with asyncio's datagram protocol until cancelled."""
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: _ForwardingProtocol(target), sock=udp_socket
    )
    await asyncio.Event().wait()


@click.command()
@click.option(
    '--mode',
    type=click.Choice(ReadingMode, case_sensitive=False),
    required=True,
)
@click.option('--listen', type=(str, int), required=True)
@click.option('--target', type=(str, int), required=True)
def main(
    mode: ReadingMode, listen: tuple[str, int], target: tuple[str, int]
) -> None:
    """Forward UDP datagrams from one address to another."""
    udp_socket = open_udp_socket(listen)
    if mode is ReadingMode.BLOCKING:
        forward_blocking(udp_socket, target)
    elif mode is ReadingMode.BATCHES:
        asyncio.run(forward_batches(udp_socket, target))
    else:
        asyncio.run(forward_protocol(udp_socket, target))


if __name__ == '__main__':
    main()
