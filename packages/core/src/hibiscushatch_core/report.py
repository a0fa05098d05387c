"""What one entry VM tells operators of itself, as plain data classes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class MemberReport:
    """Another entry VM as this one sees it.

    Attributes:
        name: Its name.
        domain: Its failure domain.
        state: ``joining``, ``serving`` or ``leaving``.
        live: Whether it can be reached from here, directly or by others.
        generation: The manifest generation it has in force.
    """

    name: str
    domain: str
    state: str
    live: bool
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReport:
    """An upstream as this entry VM sees it.

    Attributes:
        name: Its name.
        domain: Its failure domain.
        accepts_new_flows: Whether the manifest lets it have new flows.
        buckets: Buckets of the service whose new flows go to it.
        open_flows: Open flows that this VM owns on it.
        share: Open flows that this VM may own on it.
        phase: ``cold`` or ``warm``.
    """

    name: str
    domain: str
    accepts_new_flows: bool
    buckets: int
    open_flows: int
    share: int
    phase: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceReport:
    """A service as this entry VM sees it.

    Attributes:
        name: Its name.
        buckets: Number of its buckets.
        buckets_in_motion: Buckets whose packets all pass their owner.
        buckets_owned: Buckets that this VM owns.
        entries: Flow entries that this VM holds.
        upstreams: Its upstreams.
    """

    name: str
    buckets: int
    buckets_in_motion: int
    buckets_owned: int
    entries: int
    upstreams: tuple[UpstreamReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BucketReport:
    """One bucket of a service.

    Attributes:
        index: Its number within the service.
        version: Number of the last change.
        through_owner: Whether all its packets pass its owner.
        bases: Upstreams that flows without an entry may be on.
        current: Upstream that gets its new flows.
        owner: Name of the entry VM that owns it; empty when none is live.
    """

    index: int
    version: int
    through_owner: bool
    bases: tuple[str, ...]
    current: str
    owner: str


@dataclasses.dataclass(frozen=True, slots=True)
class NodeReport:
    """The state of one entry VM.

    Attributes:
        name: Its name.
        domain: Its failure domain.
        state: ``joining``, ``serving`` or ``leaving``.
        ready: Whether the fabric should send it packets.
        generation: The manifest generation in force; 0 when none.
        commit_id: The commit that brought it.
        members: The other entry VMs it knows.
        services: The services of the manifest in force.
    """

    name: str
    domain: str
    state: str
    ready: bool
    generation: int
    commit_id: str
    members: tuple[MemberReport, ...]
    services: tuple[ServiceReport, ...]
