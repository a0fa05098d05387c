"""Reads a UDP socket in batches whenever the event loop reports datagrams.

asyncio's datagram protocol reads only one datagram in each iteration of the
event loop; a batch reads many.
"""

import asyncio

from hibiscushatch_core.datagram_reader import DatagramReader


class UdpReceiver(DatagramReader):
    """A reader that the event loop calls when datagrams are waiting."""

    def start(self) -> None:
        """Start reading; needs a running event loop."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self.read_waiting)

    def stop(self) -> None:
        """Stop reading; the socket stays open."""
        asyncio.get_running_loop().remove_reader(self._socket)
