"""A packet with the service, bucket and flow that it belongs to."""

from typing import NamedTuple

from hibiscushatch_core.manifest import Service
from hibiscushatch_core.packets import PacketHeaders


class LocatedPacket(NamedTuple):
    """A packet with the service, bucket and flow that it belongs to.

    Attributes:
        packet: The inner packet.
        headers: Its parsed headers.
        service: The service that the packet is sent to, or that it replies
            for.
        index: Index of its bucket.
        key: Key of its flow within the service.
    """

    packet: bytes
    headers: PacketHeaders
    service: Service
    index: int
    key: int
