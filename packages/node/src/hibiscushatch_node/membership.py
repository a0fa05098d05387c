"""Which entry VMs are live, as every VM on one side of a partition agrees.

Each VM publishes a record that names the VMs whose heartbeats it receives.
A VM is live when a chain of such records leads to it from here, so a link
that fails between two VMs does not make their views differ. The same rule
holds with a full mesh of links and with a few links a VM.
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
    """How far an entry VM is in its life."""

    JOINING = 'joining'
    SERVING = 'serving'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """The newest record of an entry VM.

    Attributes:
        name: Its name.
        domain: Its failure domain.
        incarnation: Rises with every start of its process.
        sequence: Rises with every change of the record.
        state: How far it is in its life.
        control: Where it takes connections of other entry VMs.
        relay: Where it takes relayed packets.
        generation: Manifest generation it has in force.
        hears: Names of the VMs whose heartbeats it receives.
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
    hears: frozenset[str]
    dead: frozenset[str] = frozenset()

    @property
    def version(self) -> tuple[int, int]:
        """What decides between two records of one VM."""
        return (self.incarnation, self.sequence)


def own_member(settings: NodeSettings, incarnation: int) -> Member:
    """Build this VM's first record.

    Args:
        settings: The settings of this VM.
        incarnation: A number that is higher than at any earlier start.

    Returns:
        A record in state joining.
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
        hears=frozenset(),
    )


def introduced_member(vm: VmListEntry | PeerSettings) -> Member:
    """Build the record of a VM that is known by its addresses alone.

    Args:
        vm: An entry of the platform's list or of the settings.

    Returns:
        A record that any record of the VM itself replaces.
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
        hears=frozenset(),
    )


def member_from_message(message: MemberMessage) -> Member:
    """Convert a record from its border model.

    Args:
        message: The record as it came.

    Returns:
        The record.

    Raises:
        PeerError: When an address or the state is wrong.
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
            hears=frozenset(message.h),
            dead=frozenset(message.x),
        )
    except ValueError as error:
        raise PeerError('read a record', message.n, str(error)) from error


def member_to_message(member: Member) -> MemberMessage:
    """Convert a record to its border model."""
    return MemberMessage(
        n=member.name,
        m=member.domain,
        i=member.incarnation,
        q=member.sequence,
        s=member.state.value,
        c=_format_address(member.control),
        r=_format_address(member.relay),
        g=member.generation,
        h=tuple(sorted(member.hears)),
        x=tuple(sorted(member.dead)),
    )


def _format_address(address: tuple[str, int]) -> str:
    host, port = address
    return f'{host}:{port}'


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.partition(':')
    return (str(ipaddress.IPv4Address(host)), int(port))


class Membership:
    """All records this VM holds and the live set that follows from them."""

    def __init__(self, own: Member) -> None:
        self._own_name = own.name
        self._records: dict[str, Member] = {own.name: own}
        self._live: frozenset[str] = frozenset((own.name,))
        self._live_domains: frozenset[str] = frozenset((own.domain,))
        self._dead: frozenset[str] = frozenset()
        self._version = 0
        self._relay_hosts: frozenset[str] = frozenset((own.relay[0],))

    @property
    def own(self) -> Member:
        """This VM's own record."""
        return self._records[self._own_name]

    @property
    def version(self) -> int:
        """Rises whenever the live set, a state or a domain may differ."""
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
        hears: frozenset[str] | None = None,
        dead: frozenset[str] | None = None,
    ) -> bool:
        """Change this VM's record.

        Args:
            state: The new state, if it changes.
            generation: The manifest generation in force, if it changes.
            hears: The VMs heard, if they change.
            dead: The upstreams judged dead, if they change.

        Returns:
            True when the record differs and is to be published.
        """
        own = self.own
        changed = dataclasses.replace(
            own,
            state=own.state if state is None else state,
            generation=own.generation if generation is None else generation,
            hears=own.hears if hears is None else hears,
            dead=own.dead if dead is None else dead,
        )
        if changed == own:
            return False
        self._store(dataclasses.replace(changed, sequence=own.sequence + 1))
        return True

    def outlive(self, incarnation: int) -> None:
        """Take a higher incarnation than one of this name seen elsewhere."""
        own = self.own
        self._store(
            dataclasses.replace(
                own, incarnation=incarnation + 1, sequence=own.sequence + 1
            )
        )

    def receive(self, member: Member) -> bool:
        """Take in a record.

        Args:
            member: A record from another VM.

        Returns:
            True when it was news.
        """
        known = self._records.get(member.name)
        if known is not None and member.version <= known.version:
            return False
        if member.name == self._own_name:
            return False
        self._store(member)
        return True

    def forget(self, name: str) -> None:
        """Drop the record of a VM that is retired."""
        if name != self._own_name and self._records.pop(name, None):
            self._recompute()

    def serving(self) -> Iterator[Member]:
        """Yield the live members that may own buckets."""
        for name in sorted(self._live):
            member = self._records[name]
            if member.state is MemberState.SERVING:
                yield member

    def next_hop(self, name: str) -> Member | None:
        """Find whom to hand a packet for a VM to.

        Args:
            name: The VM that should get it.

        Returns:
            That VM when it hears this one, else a live VM that both it and
            this one are connected with; None when there is none.
        """
        target = self._records.get(name)
        if target is None or name not in self._live:
            return None
        if self._own_name in target.hears or name in self.own.hears:
            return target
        between = (
            self._records[one]
            for one in sorted(self.own.hears & self._live)
            if name in self._records[one].hears
        )
        return next(between, None)

    def flood_names(self) -> frozenset[str]:
        """Name the VMs that records and buckets are passed on to.

        Returns:
            All known VMs up to MESH_MEMBERS_MAX; in larger fleets neighbours
            on a ring of the own domain and on one of the fleet. The relation
            is the same seen from either end.
        """
        others = frozenset(self._records) - {self._own_name}
        if len(others) < MESH_MEMBERS_MAX:
            return others
        own = self._own_name
        return frozenset(
            (
                *ring_neighbours(self._domain(), own, DOMAIN_LINKS_EACH_WAY),
                *ring_neighbours(self._records, own, FLEET_LINKS_EACH_WAY),
            )
        )

    def link_names(self) -> frozenset[str]:
        """Name the VMs that this one should be connected with.

        Returns:
            Those that records are passed on to, and all of the own domain,
            whose buckets this VM owns in turn with them.
        """
        own_domain = frozenset(self._domain()) - {self._own_name}
        return self.flood_names() | own_domain

    def dead_upstreams(self) -> frozenset[str]:
        """Name the upstreams that a live VM judges dead."""
        return self._dead

    def live_domains(self) -> frozenset[str]:
        """Name the failure domains that a live VM is in."""
        return self._live_domains

    def _domain(self) -> Iterator[str]:
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
            hears = self._records[frontier.pop()].hears
            fresh = (hears & self._records.keys()) - reached
            reached |= fresh
            frontier.extend(fresh)
        self._live = frozenset(reached)
        live = [self._records[name] for name in self._live]
        self._live_domains = frozenset(member.domain for member in live)
        self._dead = frozenset(name for member in live for name in member.dead)
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
        names: All names on the ring; the own one may be among them.
        own_name: Where to look from.
        each_way: How many to take in either direction.

    Returns:
        At most twice ``each_way`` names, never the own one.
    """
    ring = sorted({_ring_position(name) for name in (*names, own_name)})
    here = bisect.bisect_left(ring, _ring_position(own_name))
    steps = (*range(-each_way, 0), *range(1, each_way + 1))
    picked = {ring[(here + step) % len(ring)][1] for step in steps}
    return frozenset(picked - {own_name})
