"""Which upstream an address is, and whether packets may be sent to it.

Knows the upstreams of the manifest in force and those that left it while
flows may still be on them. An address that moves to another service ends the
old flows and is kept from new ones until none of the old can be in flight.
"""

import dataclasses
from collections.abc import Iterator

from hibiscushatch_core.manifest import Manifest, Upstream
from hibiscushatch_core.messages import DepartedMessage


class UpstreamDirectory:
    """Upstreams by name and by address."""

    def __init__(self) -> None:
        self._manifest: Manifest | None = None
        self._departed: dict[str, Upstream] = {}
        self._by_address: dict[str, Upstream] = {}
        self._quarantined_until_s: dict[str, float] = {}

    @property
    def departed(self) -> Iterator[Upstream]:
        """The upstreams that left the manifest."""
        return iter(tuple(self._departed.values()))

    def apply(self, manifest: Manifest, now_s: float) -> None:
        """Take over a new generation.

        Args:
            manifest: The generation to put in force.
            now_s: The time.
        """
        old = self._manifest
        self._manifest = manifest
        if old is not None:
            self._retire_missing(old, manifest)
            self._quarantine_reused(old, manifest, now_s)
        self._index()

    def find(self, name: str) -> Upstream | None:
        """Return an upstream of the manifest or one that left it."""
        if self._manifest is None:
            return None
        listed = self._manifest.upstreams_by_name.get(name)
        return listed or self._departed.get(name)

    def find_address(self, address: str) -> Upstream | None:
        """Return the upstream whose tunnel end an address is."""
        return self._by_address.get(address)

    def may_receive(self, upstream: Upstream) -> bool:
        """Tell whether packets of established flows may be sent to it."""
        if self._manifest is None:
            return False
        return upstream.domain not in self._manifest.domains_out

    def is_quarantined(self, name: str, now_s: float) -> bool:
        """Tell whether an upstream must wait before its first flow."""
        return self._quarantined_until_s.get(name, 0) > now_s

    def domain_of(self, name: str) -> str:
        """Return an upstream's failure domain; empty when unknown."""
        upstream = self.find(name)
        return upstream.domain if upstream else ''

    def learn_departed(self, message: DepartedMessage) -> None:
        """Take in an upstream that left before this VM joined."""
        if self.find(message.name) or self.find_address(message.address):
            return
        self._departed[message.name] = Upstream(
            name=message.name,
            service=message.s,
            domain=message.domain,
            address=message.address,
            tunnel_port=message.port,
            slots=1,
            connections=1,
            cold_allowance=1,
            warm_up_s=1,
            draining=True,
        )
        self._index()

    def _retire_missing(self, old: Manifest, new: Manifest) -> None:
        services = new.services_by_name
        for name, upstream in old.upstreams_by_name.items():
            listed = name in new.upstreams_by_name
            if not listed and upstream.service in services:
                leaving = dataclasses.replace(upstream, draining=True)
                self._departed[name] = leaving
        in_use = {one.address for one in new.upstreams_by_name.values()}
        for departed in tuple(self._departed.values()):
            back = departed.name in new.upstreams_by_name
            if back or departed.address in in_use:
                self._departed.pop(departed.name)

    def _quarantine_reused(
        self, old: Manifest, new: Manifest, now_s: float
    ) -> None:
        for name, upstream in new.upstreams_by_name.items():
            before = self._by_address.get(upstream.address)
            if before is None or before.service == upstream.service:
                continue
            service = old.services_by_name.get(before.service)
            wait_s = service.idle_timeout_s if service else 0
            self._quarantined_until_s[name] = now_s + wait_s

    def _index(self) -> None:
        self._by_address = {
            upstream.address: upstream for upstream in self._departed.values()
        }
        if self._manifest is not None:
            self._by_address.update(
                (upstream.address, upstream)
                for upstream in self._manifest.upstreams_by_name.values()
            )
