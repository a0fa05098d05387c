"""Loopback addresses for one run.

Each process takes a network by its process id, so that runs at the same time
rarely share addresses.
"""

import dataclasses
import os

_LOOPBACK = 127
_FIRST_NET = 16
_NET_COUNT = 224
_HOSTS_PER_SUBNET = 250
_SERVICES_SUBNET = 1
_ENTRIES_SUBNET = 10
_UPSTREAMS_SUBNET = 100


@dataclasses.dataclass(frozen=True, slots=True)
class LoopbackNet:
    """The 127.x.0.0/16 network that a run uses.

    Attributes:
        second_octet: Second octet of all addresses of the network.
    """

    second_octet: int

    @property
    def platform_address(self) -> str:
        """Address at which the platform stand-in listens."""
        return self._address(_SERVICES_SUBNET, 0)

    @property
    def fabric_address(self) -> str:
        """Address at which the callers' side of the fabric listens."""
        return self._address(_SERVICES_SUBNET, 1)

    def entry_address(self, index: int) -> str:
        """Return the address of an entry VM."""
        return self._address(_ENTRIES_SUBNET, index)

    def upstream_address(self, index: int) -> str:
        """Return the tunnel address of an upstream."""
        return self._address(_UPSTREAMS_SUBNET, index)

    def _address(self, subnet: int, index: int) -> str:
        offset, host = divmod(index, _HOSTS_PER_SUBNET)
        return f'{_LOOPBACK}.{self.second_octet}.{subnet + offset}.{host + 1}'


def net_of_process() -> LoopbackNet:
    """Return the network of this process, chosen by its process id."""
    return LoopbackNet(_FIRST_NET + os.getpid() % _NET_COUNT)
