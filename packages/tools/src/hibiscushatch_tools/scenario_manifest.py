"""The operators of a scenario: what they want, and how they commit it."""

import asyncio
import dataclasses
import ipaddress
from collections.abc import Callable

from hibiscushatch_core import manifest_blob
from hibiscushatch_core.errors import PlatformUnavailableError
from hibiscushatch_core.manifest_document import (
    TUNNEL_PORT_DEFAULT,
    ManifestDocument,
)
from hibiscushatch_core.ports import Platform, StoredValue
from hibiscushatch_tools.scenario_model import (
    Scenario,
    ServiceSpec,
    UpstreamSpec,
)

UPSTREAM_ADDRESS_FIRST = int(ipaddress.IPv4Address('10.2.0.1'))
COMMIT_RETRY_S = 0.5


@dataclasses.dataclass(slots=True)
class UpstreamSite:
    """An upstream as operators declare it."""

    name: str
    service: ServiceSpec
    domain: str
    address: str
    draining: bool = False

    @property
    def spec(self) -> UpstreamSpec:
        """What it bears."""
        return self.service.upstream

    @property
    def target(self) -> tuple[str, int]:
        """Its tunnel address."""
        return (self.address, TUNNEL_PORT_DEFAULT)


class DesiredManifest:
    """What operators want to be in force, changed by events.

    Attributes:
        domains: State of each failure domain.
        upstreams: The upstreams by name.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.domains = {domain.name: 'in' for domain in scenario.domains}
        self.upstreams: dict[str, UpstreamSite] = {}
        self._services = {one.name: one for one in scenario.services}
        self._addresses_used = 0
        names = tuple(self.domains)
        for service in scenario.services:
            for index in range(service.upstreams):
                domain = names[index % len(names)]
                self.add_upstream(
                    f'{service.name}-{index + 1}', service.name, domain
                )

    def add_upstream(
        self, name: str, service: str, domain: str
    ) -> UpstreamSite:
        """Declare an upstream with an address that was never used."""
        address = UPSTREAM_ADDRESS_FIRST + self._addresses_used
        self._addresses_used += 1
        site = UpstreamSite(
            name,
            self._services[service],
            domain,
            str(ipaddress.IPv4Address(address)),
        )
        self.upstreams[name] = site
        return site

    def build(self, generation: int) -> ManifestDocument:
        """Build the manifest of a generation."""
        domains = [
            {'name': name, 'state': state}
            for name, state in self.domains.items()
        ]
        services = [
            self._service_fields(one) for one in self._services.values()
        ]
        return ManifestDocument.model_validate(
            {
                'generation': generation,
                'failure_domains': domains,
                'services': services,
            }
        )

    def _service_fields(self, service: ServiceSpec) -> dict[str, object]:
        return {
            'name': service.name,
            'address': service.address,
            'port': service.port,
            'protocol': service.protocol,
            'buckets': service.buckets,
            'connect_deadline_s': service.connect_deadline_s,
            'idle_timeout_s': service.idle_timeout_s,
            'silent_timeout_s': service.silent_timeout_s,
            'upstreams': [
                _upstream_fields(site)
                for site in self.upstreams.values()
                if site.service.name == service.name
            ],
        }


def _upstream_fields(site: UpstreamSite) -> dict[str, object]:
    return {
        'name': site.name,
        'domain': site.domain,
        'address': site.address,
        'slots': site.spec.slots,
        'connections': site.spec.connections,
        'cold_allowance': site.spec.cold_allowance,
        'warm_up_s': site.spec.warm_up_s,
        'state': 'draining' if site.draining else 'active',
    }


class ManifestOperator:
    """Commits manifests to the platform until they are accepted."""

    def __init__(self, platform: Platform, key_prefix: str) -> None:
        self._platform = platform
        self._key = key_prefix + manifest_blob.MANIFEST_KEY
        self._commits = 0

    async def commit(self, build: Callable[[int], ManifestDocument]) -> int:
        """Commit what a function builds for the next generation.

        Args:
            build: Makes the manifest of a generation.

        Returns:
            The generation that was accepted.
        """
        while True:
            try:
                generation = await self._try_commit(build)
            except PlatformUnavailableError:
                generation = 0
            if generation:
                return generation
            await asyncio.sleep(COMMIT_RETRY_S)

    async def race(
        self, builds: list[Callable[[int], ManifestDocument]]
    ) -> int:
        """Commit several manifests at once from the same state.

        Args:
            builds: One function a racing operator.

        Returns:
            How many were accepted; any more than one is a fault.
        """
        outcomes = await asyncio.gather(
            *(self._try_commit(build) for build in builds)
        )
        return sum(1 for generation in outcomes if generation)

    async def _try_commit(
        self, build: Callable[[int], ManifestDocument]
    ) -> int:
        """Commit once; returns 0 when another commit came first."""
        stored = await self._platform.get(self._key)
        generation = _generation_of(stored) + 1
        self._commits += 1
        commit_id = f'commit-{self._commits}'
        blob = manifest_blob.encode_manifest(build(generation), commit_id)
        revision = stored.mod_revision if stored else 0
        try:
            done = await self._platform.compare_and_swap(
                self._key, revision, blob
            )
        except PlatformUnavailableError:
            done = await self._is_stored(blob)
        return generation if done else 0

    async def _is_stored(self, blob: bytes) -> bool:
        """Settle a lost answer by reading back."""
        while True:
            await asyncio.sleep(COMMIT_RETRY_S)
            try:
                stored = await self._platform.get(self._key)
            except PlatformUnavailableError:
                continue
            return stored is not None and stored.value == blob


def _generation_of(stored: StoredValue | None) -> int:
    if stored is None:
        return 0
    committed = manifest_blob.decode_manifest(stored.value, stored.key)
    return committed.document.generation
