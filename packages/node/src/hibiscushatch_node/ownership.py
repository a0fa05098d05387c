"""Which entry VM owns a bucket, who backs it up, and who owned it before.

Rendezvous hashing over the serving members of the failure domain of the
bucket's upstream, so that owner and upstream are cut off together; over all
serving members when that domain has none.
"""

import dataclasses
from collections.abc import Iterable, Iterator

from hibiscushatch_core.hashing import rank_by_rendezvous
from hibiscushatch_core.manifest import Manifest
from hibiscushatch_node.bucket_table import BucketTable
from hibiscushatch_node.membership import Member, Membership, MemberState
from hibiscushatch_node.upstream_directory import UpstreamDirectory

HANDOVER_GRACE_S = 3.0
REUNION_GRACE_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Owners:
    """The two entry VMs in charge of a bucket; empty names for none."""

    owner: str
    backup: str


NOBODY = Owners('', '')


_Rankings = dict[tuple[str, int], Owners]


@dataclasses.dataclass(frozen=True, slots=True)
class _EarlierRankings:
    """Rankings of a domain before its members changed.

    Attributes:
        rankings: What was ranked then.
        gone: Members that left since.
        new: Members that came since.
    """

    rankings: _Rankings
    gone: frozenset[str]
    new: frozenset[str]

    def find_candidates(self, key: tuple[str, int]) -> tuple[str, ...]:
        """Name those of whom two are first now; none when all may be.

        As long as the first two of before are still there, only a new member
        can come before them.
        """
        known = self.rankings.get(key)
        if known is None or not known.backup:
            return ()
        if known.owner in self.gone or known.backup in self.gone:
            return ()
        return (known.owner, known.backup, *sorted(self.new))


class ServingView:
    """The serving members at one time, with rankings kept by domain."""

    def __init__(self, members: dict[str, str]) -> None:
        self.members = members
        self._names: dict[str, list[str]] = {}
        for name, domain in members.items():
            self._names.setdefault(domain, []).append(name)
        self._ranked: dict[str, _Rankings] = {}
        self._earlier: dict[str, _EarlierRankings] = {}

    def follow(self, members: dict[str, str]) -> 'ServingView':
        """Make the next view with the rankings that are still right.

        Args:
            members: Failure domains by name of the serving members.

        Returns:
            A view that ranks anew in the domains that changed.
        """
        following = ServingView(members)
        for domain, names in self._names.items():
            following.inherit(domain, names, self._ranked.get(domain, {}))
        return following

    def inherit(
        self, domain: str, names: list[str], rankings: _Rankings
    ) -> None:
        """Take over what an earlier view ranked in a domain.

        Args:
            domain: Name of the failure domain.
            names: Its members then.
            rankings: Owners then.
        """
        before = frozenset(names)
        now = frozenset(self._names.get(domain, ()))
        if before == now:
            self._ranked[domain] = rankings
        elif now:
            self._earlier[domain] = _EarlierRankings(
                rankings, before - now, now - before
            )

    def rank(self, service: str, index: int, domain: str) -> Owners:
        """Return owner and backup of a bucket.

        Args:
            service: Name of the service.
            index: Number of the bucket.
            domain: The bucket's failure domain.

        Returns:
            The first two of the domain's members, or of all members when it
            has none.
        """
        rankings = self._ranked.get(domain)
        if rankings is None:
            rankings = self._ranked.setdefault(domain, {})
        known = rankings.get((service, index))
        if known is None:
            names = self._candidates((service, index), domain)
            known = _rank(names, f'{service}/{index}')
            rankings[(service, index)] = known
        return known

    def _candidates(self, key: tuple[str, int], domain: str) -> Iterable[str]:
        earlier = self._earlier.get(domain)
        candidates = earlier.find_candidates(key) if earlier else ()
        return candidates or self._names.get(domain) or self.members


def _rank(names: Iterable[str], subject: str) -> Owners:
    ranked = rank_by_rendezvous(names, subject)
    if not ranked:
        return NOBODY
    return Owners(ranked[0], ranked[1] if len(ranked) > 1 else '')


class Ownership:
    """Owners of buckets over the membership of now and of shortly before."""

    def __init__(
        self,
        membership: Membership,
        table: BucketTable,
        directory: UpstreamDirectory,
    ) -> None:
        self._membership = membership
        self._table = table
        self._directory = directory
        self._manifest: Manifest | None = None
        self._view = ServingView({})
        self._previous = ServingView({})
        self._changed_at_s = -HANDOVER_GRACE_S
        self._version = -1
        self._changes = 0
        self._partial_until_s = 0.0

    @property
    def changes(self) -> int:
        """How often the serving members have changed."""
        return self._changes

    def is_view_partial(self, now_s: float) -> bool:
        """Tell whether a failure domain is, or was just now, out of touch.

        Args:
            now_s: The time.

        Returns:
            True while no VM of a domain that is in is heard, and for
            REUNION_GRACE_S after.
        """
        return now_s < self._partial_until_s

    def apply(self, manifest: Manifest) -> None:
        """Take over a new generation; out domains own nothing."""
        self._manifest = manifest
        self._version = -1

    def refresh(self, now_s: float) -> None:
        """Follow the membership.

        Args:
            now_s: The time.
        """
        if self._version == self._membership.version:
            return
        self._version = self._membership.version
        self._note_missing_domains(now_s)
        members = {one.name: one.domain for one in self._eligible()}
        if members == self._view.members:
            return
        self._previous = self._view
        self._view = self._view.follow(members)
        self._changed_at_s = now_s
        self._changes += 1

    def owners(self, service: str, index: int) -> Owners:
        """Return owner and backup of a bucket."""
        return self._view.rank(service, index, self._home(service, index))

    def previous_owner(self, service: str, index: int, now_s: float) -> str:
        """Return who owned a bucket until shortly before.

        Args:
            service: Name of the service.
            index: Number of the bucket.
            now_s: The time.

        Returns:
            The name of a VM that is still live; empty when the owner has not
            changed within HANDOVER_GRACE_S.
        """
        if now_s - self._changed_at_s > HANDOVER_GRACE_S:
            return ''
        home = self._home(service, index)
        before = self._previous.rank(service, index, home).owner
        if before == self._view.rank(service, index, home).owner:
            return ''
        return before if before in self._membership.live else ''

    def _note_missing_domains(self, now_s: float) -> None:
        known = frozenset(
            member.domain
            for member in self._membership.records
            if member.state is not MemberState.LEAVING and member.incarnation
        )
        wanted = self._manifest.domains_in if self._manifest else frozenset()
        missing = (wanted & known) - self._membership.live_domains()
        if missing:
            self._partial_until_s = float('inf')
        elif now_s < self._partial_until_s:
            self._partial_until_s = min(
                self._partial_until_s, now_s + REUNION_GRACE_S
            )

    def _home(self, service: str, index: int) -> str:
        state = self._table.state(service, index)
        return self._directory.domain_of(state.bases[0])

    def _eligible(self) -> Iterator[Member]:
        manifest = self._manifest
        if manifest is None:
            return
        for member in self._membership.serving():
            if member.domain in manifest.domains_in:
                yield member
