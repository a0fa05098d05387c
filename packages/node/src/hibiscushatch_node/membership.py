"""Determines which entry VMs are live.

Each VM publishes a record that names the VMs whose heartbeats it receives. A VM
is live when a chain of such records leads from this VM to it. All VMs on one
side of a partition therefore compute the same live set, even when the link
between two of them fails. The rule is the same for a full mesh of links and for
a few links per VM.
"""

import bisect
import dataclasses
import enum
import functools
import ipaddress
from collections.abc import Iterable, Iterator

from hibiscushatch_core.errors import PeerError
from hibiscushatch_core.hashing import hash_text
from hibiscushatch_core.messages import MemberMessage
from hibiscushatch_core.settings import NodeSettings, PeerSettings
from hibiscushatch_core.vm_list import VmListEntry

MESH_MEMBERS_MAX = 32
DOMAIN_LINKS_EACH_WAY = 2
FLEET_LINKS_EACH_WAY = 2


class MemberState(enum.StrEnum):
    """The state of an entry VM between its start and its stop."""

    JOINING = 'joining'
    SERVING = 'serving'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """The newest known record of an entry VM.

    Attributes:
        name: Name of the VM.
        domain: Its failure domain.
        incarnation: Increases with every start of its process.
        sequence: Increases with every change of the record.
        state: Whether it is joining, serving or leaving.
        control: Address where it accepts connections from other entry VMs.
        relay: Address where it receives relayed packets.
        generation: Manifest generation that it has in force.
        heartbeats_from: Names of the VMs whose heartbeats it receives.
        dead: Names of the upstreams that it judges dead.
    """

    name: str
    domain: str
    incarnation: int
    sequence: int
    state: MemberState
    control: tuple[str, int]
    relay: tuple[str, int]
    generation: int
    heartbeats_from: frozenset[str]
    dead: frozenset[str] = frozenset()

    @property
    def version(self) -> tuple[int, int]:
        """Orders the records of one VM; the highest is the newest."""
        return (self.incarnation, self.sequence)


def initial_member(settings: NodeSettings, incarnation: int) -> Member:
    """Build this VM's first record.

    Args:
        settings: The settings of this VM.
        incarnation: A number higher than at any earlier start.

    Returns:
        A record in the state JOINING.
    """
    return Member(
        name=settings.name,
        domain=settings.domain,
        incarnation=incarnation,
        sequence=1,
        state=MemberState.JOINING,
        control=settings.control.pair,
        relay=settings.relay.pair,
        generation=0,
        heartbeats_from=frozenset(),
    )


def placeholder_member(vm: VmListEntry | PeerSettings) -> Member:
    """Build the record of a VM of which only the addresses are known.

    Args:
        vm: An entry of the platform's VM list or of the settings.

    Returns:
        A record that is older than any record that the VM itself publishes.
    """
    return Member(
        name=vm.name,
        domain=vm.domain,
        incarnation=0,
        sequence=0,
        state=MemberState.JOINING,
        control=vm.control.pair,
        relay=vm.relay.pair,
        generation=0,
        heartbeats_from=frozenset(),
    )


def member_from_message(message: MemberMessage) -> Member:
    """Convert a received message to a record.

    Args:
        message: The message, as received from a peer.

    Returns:
        The record.

    Raises:
        PeerError: When an address or the state is invalid.
    """
    try:
        return Member(
            name=message.n,
            domain=message.m,
            incarnation=message.i,
            sequence=message.q,
            state=MemberState(message.s),
            control=_parse_address(message.c),
            relay=_parse_address(message.r),
            generation=message.g,
            heartbeats_from=frozenset(message.h),
            dead=frozenset(message.x),
        )
    except ValueError as error:
        raise PeerError('read a record', message.n, str(error)) from error


def member_to_message(member: Member) -> MemberMessage:
    """Convert a record to the message that is sent to peers."""
    return MemberMessage(
        n=member.name,
        m=member.domain,
        i=member.incarnation,
        q=member.sequence,
        s=member.state.value,
        c=_format_address(member.control),
        r=_format_address(member.relay),
        g=member.generation,
        h=tuple(sorted(member.heartbeats_from)),
        x=tuple(sorted(member.dead)),
    )


def _format_address(address: tuple[str, int]) -> str:
    host, port = address
    return f'{host}:{port}'


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.partition(':')
    return (str(ipaddress.IPv4Address(host)), int(port))


class Membership:
    """The records that this VM holds, and the live set computed from them."""

    def __init__(self, own: Member) -> None:
        self._own_name = own.name
        self._records: dict[str, Member] = {own.name: own}
        self._live: frozenset[str] = frozenset((own.name,))
        self._live_domains: frozenset[str] = frozenset((own.domain,))
        self._dead_upstreams: frozenset[str] = frozenset()
        self._version = 0
        self._relay_hosts: frozenset[str] = frozenset((own.relay[0],))

    @property
    def own(self) -> Member:
        """This VM's own record."""
        return self._records[self._own_name]

    @property
    def version(self) -> int:
        """Increases whenever the live set, a state or a domain may change."""
        return self._version

    @property
    def live(self) -> frozenset[str]:
        """Names of the live VMs, this one included."""
        return self._live

    @property
    def relay_hosts(self) -> frozenset[str]:
        """IPv4 addresses that relayed packets may come from."""
        return self._relay_hosts

    @property
    def records(self) -> Iterator[Member]:
        """All records, live or not."""
        return iter(tuple(self._records.values()))

    def find(self, name: str) -> Member | None:
        """Return the record of a VM, if one is known."""
        return self._records.get(name)

    def update_own(
        self,
        *,
        state: MemberState | None = None,
        generation: int | None = None,
        heartbeats_from: frozenset[str] | None = None,
        dead: frozenset[str] | None = None,
    ) -> bool:
        """Change this VM's own record.

        Args:
            state: The new state, if it changes.
            generation: The manifest generation in force, if it changes.
            heartbeats_from: The VMs whose heartbeats this VM receives, if they
                change.
            dead: The upstreams judged dead, if they change.

        Returns:
            True when the record changed and must be published.
        """
        own = self.own
        changed = dataclasses.replace(
            own,
            state=own.state if state is None else state,
            generation=own.generation if generation is None else generation,
            heartbeats_from=own.heartbeats_from
            if heartbeats_from is None
            else heartbeats_from,
            dead=own.dead if dead is None else dead,
        )
        if changed == own:
            return False
        self._store(dataclasses.replace(changed, sequence=own.sequence + 1))
        return True

    def raise_incarnation(self, incarnation: int) -> None:
        """Raise this VM's incarnation above a given one.

        Needed when a peer still has a record of this VM's name with a higher
        incarnation, which would take precedence over the own record.

        Args:
            incarnation: The incarnation of the record that the peer has.
        """
        own = self.own
        self._store(
            dataclasses.replace(
                own, incarnation=incarnation + 1, sequence=own.sequence + 1
            )
        )

    def apply_record(self, member: Member) -> bool:
        """Store a record if it is newer than the stored record.

        Args:
            member: A record received from another VM.

        Returns:
            True when the record was stored.
        """
        known = self._records.get(member.name)
        if known is not None and member.version <= known.version:
            return False
        if member.name == self._own_name:
            return False
        self._store(member)
        return True

    def remove(self, name: str) -> None:
        """Remove the record of another VM, if one is known."""
        if name != self._own_name and self._records.pop(name, None):
            self._recompute()

    def serving(self) -> Iterator[Member]:
        """Yield the live members that serve and so may own buckets."""
        for name in sorted(self._live):
            member = self._records[name]
            if member.state is MemberState.SERVING:
                yield member

    def next_hop(self, name: str) -> Member | None:
        """Find the VM to send a packet to that is meant for a given VM.

        Args:
            name: Name of the VM that the packet is meant for.

        Returns:
            That VM when it is connected with this VM, else a live VM that
            is connected with both; None when there is no such VM.
        """
        target = self._records.get(name)
        if target is None or name not in self._live:
            return None
        if (
            self._own_name in target.heartbeats_from
            or name in self.own.heartbeats_from
        ):
            return target
        intermediaries = (
            self._records[other]
            for other in sorted(self.own.heartbeats_from & self._live)
            if name in self._records[other].heartbeats_from
        )
        return next(intermediaries, None)

    def flood_names(self) -> frozenset[str]:
        """Return the names of the VMs that records and buckets are flooded to.

        Returns:
            All other VMs in a fleet of up to MESH_MEMBERS_MAX VMs. In a
            larger fleet, the neighbours on a hash ring of the own domain and
            on a hash ring of the fleet. The relation is symmetric.
        """
        others = frozenset(self._records) - {self._own_name}
        if len(others) < MESH_MEMBERS_MAX:
            return others
        own = self._own_name
        return frozenset(
            (
                *ring_neighbours(
                    self._own_domain_names(), own, DOMAIN_LINKS_EACH_WAY
                ),
                *ring_neighbours(self._records, own, FLEET_LINKS_EACH_WAY),
            )
        )

    def link_names(self) -> frozenset[str]:
        """Return the names of the VMs that this VM should be connected with.

        Returns:
            The VMs that records are flooded to, and all VMs of the own
            domain, among which ownership of the domain's buckets is divided.
        """
        own_domain = frozenset(self._own_domain_names()) - {self._own_name}
        return self.flood_names() | own_domain

    def dead_upstreams(self) -> frozenset[str]:
        """Return the names of upstreams that any live VM judges dead."""
        return self._dead_upstreams

    def live_domains(self) -> frozenset[str]:
        """Return the names of the failure domains that have a live VM."""
        return self._live_domains

    def _own_domain_names(self) -> Iterator[str]:
        domain = self.own.domain
        for member in self._records.values():
            if member.domain == domain:
                yield member.name

    def _store(self, member: Member) -> None:
        self._records[member.name] = member
        self._recompute()

    def _recompute(self) -> None:
        reached = {self._own_name}
        frontier = [self._own_name]
        while frontier:
            heartbeats_from = self._records[frontier.pop()].heartbeats_from
            newly_reached = (heartbeats_from & self._records.keys()) - reached
            reached |= newly_reached
            frontier.extend(newly_reached)
        self._live = frozenset(reached)
        live = [self._records[name] for name in self._live]
        self._live_domains = frozenset(member.domain for member in live)
        self._dead_upstreams = frozenset(
            name for member in live for name in member.dead
        )
        self._relay_hosts = frozenset(
            member.relay[0] for member in self._records.values()
        )
        self._version += 1


@functools.lru_cache(maxsize=8192)
def _ring_position(name: str) -> tuple[int, str]:
    return (hash_text(name), name)


def ring_neighbours(
    names: Iterable[str], own_name: str, each_way: int
) -> frozenset[str]:
    """Pick the nearest names on a hash ring.

    Args:
        names: All names on the ring, with or without the own name.
        own_name: The name whose neighbours are wanted.
        each_way: Number of neighbours in each direction.

    Returns:
        At most twice ``each_way`` names, never the own name.
    """
    ring = sorted({_ring_position(name) for name in (*names, own_name)})
    own_index = bisect.bisect_left(ring, _ring_position(own_name))
    offsets = (*range(-each_way, 0), *range(1, each_way + 1))
    neighbours = {
        ring[(own_index + offset) % len(ring)][1] for offset in offsets
    }
    return frozenset(neighbours - {own_name})
