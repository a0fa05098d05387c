"""Settings of an entry VM, read from a JSON file and validated.

They are the only source of its name, addresses and failure domain. The
defaults of the timings suit the fleet sizes that are in use today.
"""

import ipaddress
from typing import Annotated, Literal

import pydantic

from hibiscushatch_core.documents import StrictModel
from hibiscushatch_core.manifest_document import Name, Port

Interval = Annotated[float, pydantic.Field(gt=0, le=3600)]
LogLevel = Literal['DEBUG', 'INFO', 'WARNING', 'ERROR']
KEY_BYTES_MIN = 16


class SocketAddress(StrictModel):
    """An IPv4 address and a port."""

    address: ipaddress.IPv4Address
    port: Port

    @property
    def pair(self) -> tuple[str, int]:
        """Address and port in the form that the socket module expects."""
        return (str(self.address), self.port)


class PeerSettings(StrictModel):
    """Another entry VM that is known without asking the platform."""

    name: Name
    domain: Name
    control: SocketAddress
    relay: SocketAddress


class PlatformSettings(StrictModel):
    """Endpoints of the platform's key-value service and how it is called.

    Every key that hibiscushatch reads or writes begins with ``key_prefix``. A
    watch that receives neither a change nor a progress message for
    ``watch_silent_s`` is ended as broken.
    """

    endpoints: Annotated[list[str], pydantic.Field(min_length=1)]
    key_prefix: str = '/hibiscushatch/'
    call_timeout_s: Interval = 2.0
    watch_silent_s: Interval = 10.0
    retry_min_s: Interval = 0.5
    retry_max_s: Interval = 15.0
    registration_ttl_s: Interval = 30.0


class TimingSettings(StrictModel):
    """Intervals of the control plane, in seconds."""

    heartbeat_s: Interval = 0.5
    peer_silent_s: Interval = 2.0
    announce_deadline_s: Interval = 1.5
    pause_detect_s: Interval = 1.0
    move_interval_s: Interval = 0.25
    stop_grace_s: Interval = 5.0


class NodeSettings(StrictModel):
    """All settings of an entry VM.

    ``edge`` receives packets from the fabric and the upstreams, ``relay``
    receives packets from other entry VMs, ``control`` their HTTP calls,
    ``admin`` the HTTP calls of operators. Every key in a list is accepted;
    calls are sent with the first key.
    """

    name: Name
    domain: Name
    edge: SocketAddress
    relay: SocketAddress
    control: SocketAddress
    admin: SocketAddress
    fabric: SocketAddress
    platform: PlatformSettings
    peer_keys: Annotated[
        list[Annotated[str, pydantic.Field(min_length=KEY_BYTES_MIN)]],
        pydantic.Field(min_length=1, max_length=2),
    ]
    admin_keys: Annotated[
        list[Annotated[str, pydantic.Field(min_length=KEY_BYTES_MIN)]],
        pydantic.Field(min_length=1, max_length=2),
    ]
    seed_peers: list[PeerSettings] = []
    timing: TimingSettings = TimingSettings()
    log_level: LogLevel = 'INFO'
    random_seed: int | None = None
