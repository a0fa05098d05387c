"""Models of the manifest document that operators' build pipelines write.

Checks that involve several fields (overlaps, unknown domains, sizes) are in
manifest_conflicts.
"""

import ipaddress
from collections.abc import Iterator
from typing import Annotated, Literal, Self

import pydantic

from hibiscushatch_core import manifest_conflicts
from hibiscushatch_core.documents import ConflictsError, StrictModel
from hibiscushatch_core.errors import FieldProblem

Name = Annotated[
    str, pydantic.Field(pattern='^[a-z0-9][a-z0-9.-]*$', max_length=63)
]
Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=86400)]

BUCKETS_DEFAULT = 256
TUNNEL_PORT_DEFAULT = 6635


class FailureDomainDocument(StrictModel):
    """A failure domain and whether it should serve."""

    name: Name
    state: Literal['in', 'out'] = 'in'
    region: Name = 'main'


class UpstreamDocument(StrictModel):
    """A server of a service and the load that it can bear.

    ``connections`` and ``cold_allowance`` are numbers of open flows,
    ``warm_up_s`` is the time from its first flow until it can bear the full
    number.
    """

    name: Name
    domain: Name
    address: ipaddress.IPv4Address
    tunnel_port: Port = TUNNEL_PORT_DEFAULT
    slots: Annotated[int, pydantic.Field(ge=1, le=65535)] = 1
    connections: Annotated[int, pydantic.Field(ge=1, le=1000000)]
    cold_allowance: Annotated[int, pydantic.Field(ge=1, le=1000000)]
    warm_up_s: Seconds = 30.0
    state: Literal['active', 'draining'] = 'active'


class ServiceDocument(StrictModel):
    """A service: the address that callers use, and its upstreams."""

    name: Name
    address: ipaddress.IPv4Address
    port: Port
    protocol: Literal['tcp', 'udp'] = 'tcp'
    connect_deadline_s: Seconds = 5.0
    connect_retry_s: Seconds = 1.0
    idle_timeout_s: Seconds = 300.0
    silent_timeout_s: Seconds = 30.0
    buckets: Annotated[int, pydantic.Field(ge=16, le=4096)] = BUCKETS_DEFAULT
    upstreams: Annotated[list[UpstreamDocument], pydantic.Field(min_length=1)]


class ManifestDocument(StrictModel):
    """The whole configuration that operators commit."""

    generation: Annotated[int, pydantic.Field(ge=1)]
    failure_domains: Annotated[
        list[FailureDomainDocument], pydantic.Field(min_length=1)
    ]
    services: Annotated[list[ServiceDocument], pydantic.Field(min_length=1)]

    @classmethod
    def conflicts(cls, values: object) -> Iterator[FieldProblem]:
        """Find contradictions between fields."""
        return manifest_conflicts.find_conflicts(values)

    @pydantic.model_validator(mode='after')
    def _check_conflicts(self) -> Self:
        problems = tuple(self.conflicts(self.model_dump(mode='json')))
        if problems:
            raise ConflictsError(problems)
        return self
