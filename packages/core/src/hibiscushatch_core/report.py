"""The state that an entry VM reports to operators, as plain data classes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class MemberReport:
    """Another entry VM as this one sees it.

    Attributes:
        name: Its name.
        domain: Its failure domain.
        state: ``joining``, ``serving`` or ``leaving``.
        live: Whether it can be reached from here, directly or through other
            entry VMs.
        generation: Generation of the manifest that it has in force.
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
        accepts_new_flows: Whether the manifest allows new flows on it.
        buckets: Number of buckets whose new flows go to it.
        open_flows: Number of open flows on it that this VM owns.
        share: Number of open flows on it that this VM may own.
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
        buckets_in_motion: Number of buckets whose packets are all sent through
            their owner.
        buckets_owned: Number of buckets that this VM owns.
        entries: Number of flow entries that this VM holds.
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
        index: Its index within the service.
        version: Version number of its last change.
        through_owner: Whether all its packets are sent through its owner.
        bases: Upstreams that may hold flows without an entry.
        current: Upstream for new flows.
        owner: Name of the entry VM that owns it; empty if none is live.
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
        generation: Generation of the manifest in force; 0 if there is none.
        commit_id: Commit id of that manifest.
        members: The other entry VMs that it knows.
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
