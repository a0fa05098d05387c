"""UDP sockets for the stand-ins: fabric, callers and upstreams.

The fabric sprays the packets of callers and the replies of upstreams over the
edge addresses of the entry VMs that were ready at the last poll.
"""

import asyncio
import contextlib
import random
import socket
from collections.abc import Callable, Sequence

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.manifest_document import TUNNEL_PORT_DEFAULT
from hibiscushatch_core.settings import NodeSettings
from hibiscushatch_core.udp_receiver import UdpReceiver
from hibiscushatch_core.udp_socket import open_udp_socket
from hibiscushatch_ops.callers import Callers
from hibiscushatch_tools.admin_client import AdminClient
from hibiscushatch_tools.payload_ledger import PayloadLedger
from hibiscushatch_tools.upstream_standin import (
    UpstreamPlan,
    UpstreamStandIn,
)

READY_POLL_INTERVAL_S = 0.1
PacketSink = Callable[[bytes], None]


class ProcessNetwork:
    """UDP sockets that connect stand-ins to a fleet of entry VM processes.

    Attributes:
        unroutable: Packets that were dropped because no entry VM was listed.
        lost: Packets that a socket failed to send.

    Args:
        fleet: Settings of the entry VMs.
        admin: Client that asks entry VMs whether they are ready.
        randomness: Picks the entry VM for each packet.
    """

    def __init__(
        self,
        fleet: Sequence[NodeSettings],
        admin: AdminClient,
        randomness: random.Random,
    ) -> None:
        self.unroutable = 0
        self.lost = 0
        self._fleet = fleet
        self._admin = admin
        self._randomness = randomness
        self._listed: list[tuple[str, int]] = []
        self._counters = Counters()
        self._stack = contextlib.ExitStack()

    @property
    def unexpected_errors(self) -> int:
        """Errors of the stand-ins while they handled a received packet."""
        return self._counters.unexpected_errors

    def open_endpoint(
        self, address: tuple[str, int], receive: PacketSink
    ) -> PacketSink:
        """Open the socket of an upstream, or the one that all callers share.

        Args:
            address: Address and port on which the socket receives.
            receive: Called with each inner packet that arrives.

        Returns:
            A function that sprays an inner packet over the entry VMs.
        """
        udp_socket = self._stack.enter_context(open_udp_socket(address))
        receiver = UdpReceiver(
            udp_socket, lambda packet, _: receive(packet), self._counters
        )
        receiver.start()
        self._stack.callback(receiver.stop)
        return lambda packet: self._spray(udp_socket, packet)

    async def refresh(self) -> None:
        """List the entry VMs that are ready now."""
        answers = await asyncio.gather(
            *(self._admin.is_ready(settings) for settings in self._fleet)
        )
        self._listed = [
            settings.edge.pair
            for settings, is_ready in zip(self._fleet, answers, strict=True)
            if is_ready
        ]

    async def run(self) -> None:
        """Keep the list of entry VMs up to date until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    def close(self) -> None:
        """Close all sockets."""
        self._stack.close()

    def _spray(self, udp_socket: socket.socket, packet: bytes) -> None:
        if not self._listed:
            self.unroutable += 1
            return
        index = int(self._randomness.random() * len(self._listed))
        try:
            udp_socket.sendto(packet, self._listed[index])
        except OSError:
            self.lost += 1


def connect_upstream(
    network: ProcessNetwork,
    plan: UpstreamPlan,
    ledger: PayloadLedger,
    randomness: random.Random,
) -> UpstreamStandIn:
    """Start an upstream stand-in with a socket at its tunnel address.

    Args:
        network: The network to connect to.
        plan: Identity and limits of the upstream.
        ledger: Records the payload that all upstreams of the run accept.
        randomness: Picks the duration of each request.

    Returns:
        The stand-in.
    """
    address = (plan.address, TUNNEL_PORT_DEFAULT)
    send = network.open_endpoint(
        address, lambda packet: standin.receive(packet)
    )
    standin = UpstreamStandIn(plan, ledger, randomness, send)
    return standin


def connect_callers(
    network: ProcessNetwork,
    address: tuple[str, int],
    randomness: random.Random,
) -> Callers:
    """Connect all callers to one socket at the fabric's address.

    Args:
        network: The network to connect to.
        address: Address to which entry VMs send the packets for callers.
        randomness: Source of the callers' random choices.

    Returns:
        The callers.
    """
    send = network.open_endpoint(
        address, lambda packet: callers.receive(packet)
    )
    callers = Callers(randomness, send)
    return callers
