"""Finds upstreams by name and address, and decides what they may receive.

The directory contains the upstreams of the manifest in force and those that
were removed from it, because flows may still be on them. When the address of
an upstream moves to another service, the flows on the old upstream end, and
the upstream that now has the address gets no flows until no packet of the old
flows can arrive any more.
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
        """The upstreams that were removed from the manifest."""
        return iter(tuple(self._departed.values()))

    def apply(self, manifest: Manifest, now_s: float) -> None:
        """Apply a new manifest generation.

        Args:
            manifest: The manifest to put in force.
            now_s: Current time in seconds.
        """
        old = self._manifest
        self._manifest = manifest
        if old is not None:
            self._update_departed(old, manifest)
            self._quarantine_reused(old, manifest, now_s)
        self._rebuild_address_index()

    def find(self, name: str) -> Upstream | None:
        """Return an upstream of the manifest or one removed from it."""
        if self._manifest is None:
            return None
        listed = self._manifest.upstreams_by_name.get(name)
        return listed or self._departed.get(name)

    def find_by_address(self, address: str) -> Upstream | None:
        """Return the upstream with a tunnel address; None if there is none."""
        return self._by_address.get(address)

    def may_receive(self, upstream: Upstream) -> bool:
        """Return whether packets may be sent to an upstream.

        Upstreams in a failure domain that is out get none.
        """
        if self._manifest is None:
            return False
        return upstream.domain not in self._manifest.domains_out

    def is_quarantined(self, name: str, now_s: float) -> bool:
        """Return whether an upstream must not get flows yet.

        That is the case for a time after its address was moved to it from an
        upstream of another service.
        """
        return self._quarantined_until_s.get(name, 0) > now_s

    def domain_of(self, name: str) -> str:
        """Return an upstream's failure domain; empty when unknown."""
        upstream = self.find(name)
        return upstream.domain if upstream else ''

    def add_departed(self, message: DepartedMessage) -> None:
        """Add an upstream that was removed before this VM joined."""
        if self.find(message.name) or self.find_by_address(message.address):
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
        self._rebuild_address_index()

    def _update_departed(self, old: Manifest, new: Manifest) -> None:
        services = new.services_by_name
        for name, upstream in old.upstreams_by_name.items():
            listed = name in new.upstreams_by_name
            if not listed and upstream.service in services:
                draining = dataclasses.replace(upstream, draining=True)
                self._departed[name] = draining
        in_use = {listing.address for listing in new.upstreams_by_name.values()}
        for departed in tuple(self._departed.values()):
            is_listed = departed.name in new.upstreams_by_name
            if is_listed or departed.address in in_use:
                self._departed.pop(departed.name)

    def _quarantine_reused(
        self, old: Manifest, new: Manifest, now_s: float
    ) -> None:
        for name, upstream in new.upstreams_by_name.items():
            previous = self._by_address.get(upstream.address)
            if previous is None or previous.service == upstream.service:
                continue
            service = old.services_by_name.get(previous.service)
            wait_s = service.idle_timeout_s if service else 0
            self._quarantined_until_s[name] = now_s + wait_s

    def _rebuild_address_index(self) -> None:
        self._by_address = {
            upstream.address: upstream for upstream in self._departed.values()
        }
        if self._manifest is not None:
            self._by_address.update(
                (upstream.address, upstream)
                for upstream in self._manifest.upstreams_by_name.values()
            )
