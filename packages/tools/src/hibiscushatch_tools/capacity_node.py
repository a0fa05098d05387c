"""An entry VM with token affinity for measurements, without sockets.

It runs the decision code of an entry VM on packets and documents in simple
formats of its own, so that the cost does not depend on the users' formats.
"""

import random
import time
from collections.abc import Iterable, Iterator

import msgspec

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.ports import StoredValue, WatchEvent
from hibiscushatch_token.environment import Environment
from hibiscushatch_token.knowledge.replica import StoreReplica
from hibiscushatch_token.model import (
    EMPTY_CONFIG,
    EntryVersion,
    Route,
    RoutingConfig,
    ServicePolicy,
    Upstream,
    WeightedService,
)
from hibiscushatch_token.ports import (
    Documents,
    Listing,
    Position,
)
from hibiscushatch_token.settings import StoreSettings, TokenNodeSettings
from hibiscushatch_token.traffic.packet_path import PacketPath
from hibiscushatch_tools import plain_codec

SEED = 11
NO_EVACUATIONS: tuple[tuple[str, bool], ...] = ()
DOMAINS = 6
SERVICE = 'service-0'
_ENDPOINT = (plain_codec.ENDPOINT_ADDRESS, plain_codec.FIRST_PORT)
_REGISTRY_PREFIX = 'upstreams/'
_SLOTS = 3


class PlainDocuments(Documents):
    """Reads upstreams from msgspec JSON; has no configuration to read."""

    @property
    def config_key(self) -> str:
        """Key of the configuration."""
        return 'config'

    @property
    def registry_prefix(self) -> str:
        """Key prefix of the entries of upstreams."""
        return _REGISTRY_PREFIX

    def read_config(self, events: Iterable[WatchEvent]) -> RoutingConfig | None:
        """Return the empty configuration."""
        return EMPTY_CONFIG

    def read_evacuations(
        self, events: Iterable[WatchEvent]
    ) -> Iterator[tuple[str, bool]]:
        """Yield nothing."""
        return iter(NO_EVACUATIONS)

    def upstream_name(self, key: str) -> str:
        """Return the name of the upstream that a key belongs to."""
        return key.removeprefix(_REGISTRY_PREFIX)

    def read_upstream(self, name: str, value: bytes) -> Upstream:
        """Decode an upstream."""
        return msgspec.json.decode(value, type=Upstream)


class CapacityNode:
    """The decision code of one entry VM with one service.

    Args:
        upstreams: Number of upstreams of the service.
    """

    def __init__(self, upstreams: int) -> None:
        self.settings = build_settings()
        environment = Environment(
            plain_codec.PlainCodec(),
            Counters(),
            time.monotonic,
            random.Random(SEED),  # noqa: S311
        )
        path = PacketPath(
            self.settings, environment, _discard_datagram, _count_entry_vms
        )
        self.flows = path.flows
        self.opener = path.opener
        self.outliers = path.outliers
        self._forwarder = path.forwarder
        routing = path.known.routing
        route = Route((WeightedService(SERVICE, 1),), aim_s=1, timeout_s=2)
        policies = {SERVICE: ServicePolicy(0, 2000)}
        config = RoutingConfig(1, {_ENDPOINT: route}, policies)
        routing.apply_config(config, Position(0, 1))
        self.replica = StoreReplica(
            PlainDocuments(),
            routing,
            path.known.registry,
            environment.clock,
            self.settings.store,
            environment.counters,
        )
        self.replica.merge_listing(build_listing(upstreams, 1))

    def open_flow(self, number: int) -> None:
        """Handle the opening packet and the first request of a flow."""
        opening = plain_codec.build_packet(number, flags=plain_codec.OPENING)
        self._forwarder.handle(opening, '')
        record = self.flows.get(number.to_bytes(8, 'big'))
        token = record.upstream.token
        request = plain_codec.build_packet(number, token, plain_codec.PAYLOAD)
        self._forwarder.handle(request, '')

    def forward_packet(self, number: int) -> None:
        """Handle a later packet of an open flow."""
        record = self.flows.get(number.to_bytes(8, 'big'))
        token = record.upstream.token
        datagram = plain_codec.build_packet(number, token, plain_codec.PAYLOAD)
        self._forwarder.handle(datagram, '')


def build_settings() -> TokenNodeSettings:
    """Build settings of an entry VM in the first failure domain."""
    return TokenNodeSettings(
        name='vm-0',
        domain='domain-0',
        packets='127.0.0.1:1',
        readiness='127.0.0.1:2',
        control='127.0.0.1:3',
        metrics='127.0.0.1:4',
        store=StoreSettings(address='127.0.0.1:5'),
    )


def build_listing(upstreams: int, revision: int) -> Listing:
    """Build the listing of a store that holds a number of upstreams."""
    return Listing(
        tuple(_stored_upstream(index, revision) for index in range(upstreams)),
        Position(0, revision),
    )


def _stored_upstream(index: int, revision: int) -> StoredValue:
    upstream = Upstream(
        name=f'{index:08x}',
        identity=index.to_bytes(8, 'big'),
        token=index + 1,
        service=SERVICE,
        address=('10.0.0.1', index + 1),
        domain=f'domain-{index % DOMAINS}',
        slots=_SLOTS,
        is_draining=False,
        cold_s=0,
        version=EntryVersion(revision, 0),
    )
    encoded = msgspec.json.encode(upstream)
    return StoredValue(_REGISTRY_PREFIX + upstream.name, encoded, revision)


def _count_entry_vms() -> int:
    return 1


def _discard_datagram(_datagram: bytes, _target: tuple[str, int]) -> None:
    """Discard a datagram that the entry VM sends."""
