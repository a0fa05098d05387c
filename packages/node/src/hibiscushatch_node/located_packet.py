"""A packet together with the flow and bucket that it belongs to."""

from typing import NamedTuple

from hibiscushatch_core.manifest import Service
from hibiscushatch_core.packets import PacketHeaders


class LocatedPacket(NamedTuple):
    """A packet on its way through the decisions.

    Attributes:
        packet: The inner packet.
        headers: Its headers.
        service: The service that its address names.
        index: Number of its bucket.
        key: Key of its flow within the service.
    """

    packet: bytes
    headers: PacketHeaders
    service: Service
    index: int
    key: int
