"""Determines the owner, the backup and the previous owner of each bucket.

Owners are chosen by rendezvous hashing among the serving members in the
failure domain of the bucket's upstream, so that a partition cuts off owner and
upstream together. When that domain has no serving members, they are chosen
among all serving members.
"""

import dataclasses
from collections.abc import Iterable, Iterator

from hibiscushatch_core.hashing import rank_by_rendezvous
from hibiscushatch_core.manifest import Manifest
from hibiscushatch_node.bucket_table import BucketTable
from hibiscushatch_node.membership import Member, Membership, MemberState
from hibiscushatch_node.upstream_directory import UpstreamDirectory

# Time after an ownership change in which packets may be relayed to the previous
# owner and entries of buckets that are owned elsewhere are kept.
HANDOVER_GRACE_S = 3.0
# Time for which the view still counts as partial after every missing failure
# domain has a live VM again.
DOMAIN_RETURN_GRACE_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Owners:
    """Names of a bucket's owner and backup; empty where there is none."""

    owner: str
    backup: str


NO_OWNERS = Owners('', '')


_Rankings = dict[tuple[str, int], Owners]


@dataclasses.dataclass(frozen=True, slots=True)
class _EarlierRankings:
    """Rankings of a domain from before its members changed.

    Attributes:
        rankings: Owners by service and bucket index, before the change.
        removed: Names of the members that were removed.
        added: Names of the members that were added.
    """

    rankings: _Rankings
    removed: frozenset[str]
    added: frozenset[str]

    def find_candidates(self, key: tuple[str, int]) -> tuple[str, ...]:
        """Return the members to choose the owner and backup of a bucket from.

        As long as the earlier owner and backup are still members, only an
        added member can rank above them.

        Args:
            key: Service and index of the bucket.

        Returns:
            Names of the members to rank; empty when all members must be
            ranked.
        """
        known = self.rankings.get(key)
        if known is None or not known.backup:
            return ()
        if known.owner in self.removed or known.backup in self.removed:
            return ()
        return (known.owner, known.backup, *sorted(self.added))


class ServingView:
    """The serving members at one time, with cached rankings by domain."""

    def __init__(self, members: dict[str, str]) -> None:
        self.members = members
        self._names: dict[str, list[str]] = {}
        for name, domain in members.items():
            self._names.setdefault(domain, []).append(name)
        self._ranked: dict[str, _Rankings] = {}
        self._earlier: dict[str, _EarlierRankings] = {}

    def with_members(self, members: dict[str, str]) -> 'ServingView':
        """Build the view for other members, reusing the cached rankings.

        Args:
            members: Failure domains of the serving members, by member name.

        Returns:
            A view that has to rank again only where members changed.
        """
        next_view = ServingView(members)
        for domain, names in self._names.items():
            next_view.reuse_rankings(
                domain, names, self._ranked.get(domain, {})
            )
        return next_view

    def reuse_rankings(
        self, domain: str, names: list[str], rankings: _Rankings
    ) -> None:
        """Use the rankings that an earlier view has cached for a domain.

        Args:
            domain: Name of the failure domain.
            names: Names of the domain's members in the earlier view.
            rankings: Owners by service and bucket index in the earlier view.
        """
        earlier_names = frozenset(names)
        current_names = frozenset(self._names.get(domain, ()))
        if earlier_names == current_names:
            self._ranked[domain] = rankings
        elif current_names:
            self._earlier[domain] = _EarlierRankings(
                rankings,
                earlier_names - current_names,
                current_names - earlier_names,
            )

    def rank(self, service: str, index: int, domain: str) -> Owners:
        """Return owner and backup of a bucket.

        Args:
            service: Name of the service.
            index: Index of the bucket.
            domain: The bucket's failure domain.

        Returns:
            The two highest-ranked members of the domain, or of all members
            when the domain has none.
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
        return NO_OWNERS
    return Owners(ranked[0], ranked[1] if len(ranked) > 1 else '')


class Ownership:
    """Owners of buckets under the current and the previous membership."""

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
        """How often the members that may own buckets have changed."""
        return self._changes

    def is_view_partial(self, now_s: float) -> bool:
        """Return whether a failure domain is or was recently unreachable.

        Args:
            now_s: Current time in seconds.

        Returns:
            True while a domain that is in the manifest and not out has known
            VMs but no live ones, and for DOMAIN_RETURN_GRACE_S after that.
        """
        return now_s < self._partial_until_s

    def apply(self, manifest: Manifest) -> None:
        """Apply a manifest; members of a domain that is out own nothing."""
        self._manifest = manifest
        self._version = -1

    def refresh(self, now_s: float) -> None:
        """Update the owners if the membership has changed.

        Args:
            now_s: Current time in seconds.
        """
        if self._version == self._membership.version:
            return
        self._version = self._membership.version
        self._update_partial_view(now_s)
        members = {
            member.name: member.domain for member in self._eligible_members()
        }
        if members == self._view.members:
            return
        self._previous = self._view
        self._view = self._view.with_members(members)
        self._changed_at_s = now_s
        self._changes += 1

    def owners(self, service: str, index: int) -> Owners:
        """Return owner and backup of a bucket."""
        return self._view.rank(service, index, self._domain_of(service, index))

    def previous_owner(self, service: str, index: int, now_s: float) -> str:
        """Return which VM owned a bucket until recently.

        Args:
            service: Name of the service.
            index: Index of the bucket.
            now_s: Current time in seconds.

        Returns:
            Name of the previous owner; empty when the owner has not changed
            within HANDOVER_GRACE_S or the previous owner is no longer live.
        """
        if now_s - self._changed_at_s > HANDOVER_GRACE_S:
            return ''
        domain = self._domain_of(service, index)
        previous = self._previous.rank(service, index, domain).owner
        if previous == self._view.rank(service, index, domain).owner:
            return ''
        return previous if previous in self._membership.live else ''

    def _update_partial_view(self, now_s: float) -> None:
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
                self._partial_until_s, now_s + DOMAIN_RETURN_GRACE_S
            )

    def _domain_of(self, service: str, index: int) -> str:
        state = self._table.state(service, index)
        return self._directory.domain_of(state.bases[0])

    def _eligible_members(self) -> Iterator[Member]:
        manifest = self._manifest
        if manifest is None:
            return
        for member in self._membership.serving():
            if member.domain in manifest.domains_in:
                yield member
