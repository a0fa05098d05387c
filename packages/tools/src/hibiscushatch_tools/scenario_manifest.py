"""Manifests that the operators of a scenario declare and commit."""

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

FIRST_UPSTREAM_ADDRESS = int(ipaddress.IPv4Address('10.2.0.1'))
COMMIT_RETRY_INTERVAL_S = 0.5


@dataclasses.dataclass(slots=True)
class DeclaredUpstream:
    """An upstream in the manifest that operators want to be in force."""

    name: str
    service: ServiceSpec
    domain: str
    address: str
    draining: bool = False

    @property
    def spec(self) -> UpstreamSpec:
        """Its capacity and timing."""
        return self.service.upstream

    @property
    def tunnel_address(self) -> tuple[str, int]:
        """The address and port of its tunnel."""
        return (self.address, TUNNEL_PORT_DEFAULT)


class DesiredManifest:
    """The manifest that operators want to be in force; events change it.

    Attributes:
        domains: State of each failure domain, by name.
        upstreams: The declared upstreams by name.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.domains = {domain.name: 'in' for domain in scenario.domains}
        self.upstreams: dict[str, DeclaredUpstream] = {}
        self._services = {spec.name: spec for spec in scenario.services}
        self._address_count = 0
        names = tuple(self.domains)
        for service in scenario.services:
            for index in range(service.upstreams):
                domain = names[index % len(names)]
                self.add_upstream(
                    f'{service.name}-{index + 1}', service.name, domain
                )

    def add_upstream(
        self, name: str, service: str, domain: str
    ) -> DeclaredUpstream:
        """Declare an upstream with an address that no other ever had."""
        address = FIRST_UPSTREAM_ADDRESS + self._address_count
        self._address_count += 1
        upstream = DeclaredUpstream(
            name,
            self._services[service],
            domain,
            str(ipaddress.IPv4Address(address)),
        )
        self.upstreams[name] = upstream
        return upstream

    def build(self, generation: int) -> ManifestDocument:
        """Build the wanted manifest with a generation number."""
        domains = [
            {'name': name, 'state': state}
            for name, state in self.domains.items()
        ]
        services = [
            self._build_service(service) for service in self._services.values()
        ]
        return ManifestDocument.model_validate(
            {
                'generation': generation,
                'failure_domains': domains,
                'services': services,
            }
        )

    def _build_service(self, service: ServiceSpec) -> dict[str, object]:
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
                _build_upstream(upstream)
                for upstream in self.upstreams.values()
                if upstream.service.name == service.name
            ],
        }


def _build_upstream(upstream: DeclaredUpstream) -> dict[str, object]:
    return {
        'name': upstream.name,
        'domain': upstream.domain,
        'address': upstream.address,
        'slots': upstream.spec.slots,
        'connections': upstream.spec.connections,
        'cold_allowance': upstream.spec.cold_allowance,
        'warm_up_s': upstream.spec.warm_up_s,
        'state': 'draining' if upstream.draining else 'active',
    }


class ManifestOperator:
    """Commits manifests to the platform until they are accepted."""

    def __init__(self, platform: Platform, key_prefix: str) -> None:
        self._platform = platform
        self._key = key_prefix + manifest_blob.MANIFEST_KEY
        self._commit_count = 0

    async def commit(self, build: Callable[[int], ManifestDocument]) -> int:
        """Commit a manifest as the next generation; retry until accepted.

        Args:
            build: Builds the manifest of a given generation.

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
            await asyncio.sleep(COMMIT_RETRY_INTERVAL_S)

    async def race(
        self, builds: list[Callable[[int], ManifestDocument]]
    ) -> int:
        """Commit several manifests concurrently, as the same generation.

        Args:
            builds: For each operator, builds the manifest of a generation.

        Returns:
            How many were accepted; more than one is a fault.
        """
        outcomes = await asyncio.gather(
            *(self._try_commit(build) for build in builds)
        )
        return sum(1 for generation in outcomes if generation)

    async def _try_commit(
        self, build: Callable[[int], ManifestDocument]
    ) -> int:
        """Try one commit; return 0 if another commit came first."""
        stored = await self._platform.get(self._key)
        generation = _decode_generation(stored) + 1
        self._commit_count += 1
        commit_id = f'commit-{self._commit_count}'
        blob = manifest_blob.encode_manifest(build(generation), commit_id)
        revision = stored.mod_revision if stored else 0
        try:
            is_committed = await self._platform.compare_and_swap(
                self._key, revision, blob
            )
        except PlatformUnavailableError:
            is_committed = await self._is_stored(blob)
        return generation if is_committed else 0

    async def _is_stored(self, blob: bytes) -> bool:
        """Read back whether a commit whose answer was lost took effect."""
        while True:
            await asyncio.sleep(COMMIT_RETRY_INTERVAL_S)
            try:
                stored = await self._platform.get(self._key)
            except PlatformUnavailableError:
                continue
            return stored is not None and stored.value == blob


def _decode_generation(stored: StoredValue | None) -> int:
    if stored is None:
        return 0
    committed = manifest_blob.decode_manifest(stored.value, stored.key)
    return committed.document.generation
