"""Division of each upstream's limit among entry VMs without a coordinator.

Each entry VM keeps one ledger with the claims of all members, which are the
entry VMs that may place flows on the same upstreams. For each upstream, an
entry VM announces a claim: the number of open flows that it may own there. It
lowers a claim at once. It raises a claim in two steps: it announces the higher
claim and waits until every member has confirmed the announcement. Then it is
granted as much of the claim as fits into the limit together with the other
members' claims that it knows by then.

Why the grants never add up to more than the limit: consider the grant that was
announced last. Every other member had announced its own claim before it
confirmed this grant, and a confirmation is sent together with everything that
its sender announced before. So the member with the last grant has counted the
claims of all others. A confirmation counts only if its sender has the same
member list; otherwise a third member could confirm the claims of two members
that don't know each other.

A member that can't be reached confirms nothing, and its claims still count, so
during a partition claims can shrink but not grow. A member is removed from the
ledger when it is known to have ended, or when it was silent for the hold time
while most members were heard from.
"""

import dataclasses
import sys
from collections.abc import Iterator, Mapping

from hibiscushatch_core import hashing, share_division
from hibiscushatch_core.claim_messages import ClaimAnnouncement, ClaimMessage
from hibiscushatch_core.own_share import OwnShare

ROTATION_INTERVAL_S = 2.0
CONFIRMATION_RETRY_S = 0.5


@dataclasses.dataclass(slots=True)
class _Member:
    """What this entry VM knows about another member.

    Attributes:
        heard_at: When the member was last heard from, in seconds.
        incarnation: Its latest known incarnation; 0 before its first message.
        revision: Revision of its ledger up to which its claims are known here.
        received: Revision of this entry VM's ledger up to which the member
            knows the claims in it.
        confirmed: The same revision, as reported when the member had the same
            member list.
        reply_due: Whether a message must be sent to it.
        requested_revision: Revision whose confirmation was last requested
            from it; -1 when the request must be repeated at once.
        requested_at: When that confirmation was requested, in seconds.
        claims: Its latest claims by upstream; claims of 0 are left out.
    """

    heard_at: float
    incarnation: int = 0
    revision: int = 0
    received: int = 0
    confirmed: int = 0
    reply_due: bool = True
    requested_revision: int = -1
    requested_at: float = 0
    claims: dict[str, int] = dataclasses.field(default_factory=dict)


class ShareLedger:
    """The claims of this entry VM and the known claims of other members.

    A process that resumes after a pause makes a new ledger with a higher
    incarnation and counts its open flows again.

    Args:
        own_name: Name of this entry VM.
        incarnation: Number that rises with each start of this entry VM.
        hold_s: Seconds of silence after which a member's claims expire.
    """

    def __init__(self, own_name: str, incarnation: int, hold_s: float) -> None:
        self._own_name = own_name
        self._incarnation = incarnation
        self._hold_s = hold_s
        self._revision = 0
        self._active = False
        self._rotation = 0
        self._now = 0.0
        self._members_digest = hashing.hash_text(own_name)
        self._members: dict[str, _Member] = {}
        self._shares: dict[str, OwnShare] = {}
        self._changed: set[str] = set()
        self._awaiting_grant: set[str] = set()
        self._due_each_rotation: set[str] = set()
        self._removed: set[str] = set()

    @property
    def member_names(self) -> frozenset[str]:
        """Names of the other members."""
        return frozenset(self._members)

    def activate(self) -> None:
        """Allow raising claims; call it once the member list has been read."""
        self._active = True
        self._changed.update(self._shares)

    def add_member(self, member: str, now: float) -> None:
        """Add an entry VM as a member unless it is one already."""
        if member not in self._members and member != self._own_name:
            self._members[member] = _Member(heard_at=now)
            self._update_members_digest()

    def remove_member(self, member: str) -> None:
        """Remove a member that is known to have ended, and its claims."""
        if member in self._members:
            self._drop_claims(self._members.pop(member))
            self._update_members_digest()

    def record_contact(self, member: str, now: float) -> None:
        """Record that a member was heard from."""
        if member in self._members:
            self._members[member].heard_at = now

    def expire_silent(self, now: float) -> tuple[str, ...]:
        """Remove members that have been silent for the hold time.

        No member is removed unless more than half of all members, including
        this one, were heard from in that time. So at most one side of a
        partition frees the claims of the other side.

        Args:
            now: Current time in seconds.

        Returns:
            Names of the removed members.
        """
        silent = tuple(
            name
            for name, member in self._members.items()
            if now - member.heard_at >= self._hold_s
        )
        member_count = len(self._members) + 1
        if 2 * (member_count - len(silent)) <= member_count:
            return ()
        for name in silent:
            self.remove_member(name)
        return silent

    def set_limit(self, upstream: str, limit: int) -> None:
        """Set how many open flows all entry VMs may have on an upstream.

        A lower limit applies to new flows at once; open flows stay open.
        """
        share = self._share_of(upstream)
        if share.limit == limit:
            return
        share.limit = limit
        self._changed.add(upstream)
        share.lower(self._divide(upstream, share).get(self._own_name, 0))

    def set_weights(self, upstream: str, weights: Mapping[str, int]) -> None:
        """Set how many of an upstream's buckets each member owns.

        Args:
            upstream: Name of the upstream.
            weights: Numbers of buckets by member name, including this one.
        """
        share = self._share_of(upstream)
        if share.weights != weights:
            share.weights = dict(weights)
            self._changed.add(upstream)

    def remove_upstream(self, upstream: str) -> None:
        """Release the claim on an upstream that was removed from the manifest.

        Its share is dropped when its last flow has ended and all members have
        confirmed a claim of 0.
        """
        if upstream in self._shares:
            self.set_limit(upstream, 0)
            self.set_weights(upstream, {})
            self._removed.add(upstream)

    def may_open(self, upstream: str, credit: float = 1) -> bool:
        """Return whether one more flow may be opened on an upstream.

        Args:
            upstream: Name of the upstream.
            credit: Fraction of the grant that may be used; a grant of at
                least one flow always allows one.

        Returns:
            True when fewer flows are open than may be used.
        """
        share = self._shares.get(upstream)
        if share is None:
            return False
        usable = max(1, int(share.granted * credit))
        return share.open_flows < min(usable, share.granted)

    def open_flows(self, upstream: str) -> int:
        """Return how many open flows this entry VM owns on an upstream."""
        share = self._shares.get(upstream)
        return share.open_flows if share else 0

    def granted(self, upstream: str) -> int:
        """Return how many open flows this entry VM may own on an upstream."""
        share = self._shares.get(upstream)
        return share.granted if share else 0

    def is_below_target(self, upstream: str) -> bool:
        """Return whether this entry VM's grant is below its target."""
        share = self._shares.get(upstream)
        return share is not None and share.granted < share.target

    def record_opened(self, upstream: str) -> None:
        """Count a flow that was opened here or handed over to this entry VM."""
        share = self._share_of(upstream)
        share.open_flows += 1
        if share.open_flows > share.announced:
            self._changed.add(upstream)

    def record_closed(self, upstream: str) -> None:
        """Stop counting a flow that ended or was handed over to another VM."""
        share = self._share_of(upstream)
        share.open_flows = max(0, share.open_flows - 1)
        if share.announced > share.target:
            self._changed.add(upstream)

    def refresh(self, now: float) -> None:
        """Lower, grant and request claims where something changed.

        Args:
            now: Wall-clock time in seconds. Differences between the clocks of
                entry VMs affect only the rotation.
        """
        self._now = now
        self._start_rotation(int(now // ROTATION_INTERVAL_S))
        confirmed = self._confirmed_by_all()
        due = self._changed | {
            upstream
            for upstream in self._awaiting_grant
            if self._shares[upstream].wanted_revision <= confirmed
        }
        self._changed = set()
        for upstream in sorted(due):
            self._refresh_share(upstream, self._shares[upstream], confirmed)
        for upstream in tuple(self._removed):
            self._drop_unused(upstream, confirmed)

    def announcements(self, since: int = 0) -> Iterator[ClaimAnnouncement]:
        """Yield this entry VM's claims announced after a revision."""
        if since >= self._revision:
            return
        for upstream, share in self._shares.items():
            if share.announced_revision > since:
                yield ClaimAnnouncement(upstream, share.announced)

    def is_message_due(self, member: str) -> bool:
        """Return whether a message should be sent to a member.

        A confirmation that is missing is requested again only after an
        interval, so a message may be sent whenever this is true.
        """
        receiver = self._members[member]
        return receiver.reply_due or self._is_request_due(receiver)

    def build_message(self, member: str) -> ClaimMessage:
        """Build the message for a member and record it as sent.

        Args:
            member: Name of the receiver.

        Returns:
            A message with all claims that the member hasn't received yet.
        """
        receiver = self._members[member]
        is_request_due = self._is_request_due(receiver)
        if is_request_due:
            receiver.requested_revision = self._revision
            receiver.requested_at = self._now
        receiver.reply_due = False
        return ClaimMessage(
            sender=self._own_name,
            incarnation=self._incarnation,
            members=self._members_digest,
            since=receiver.received,
            revision=self._revision,
            announcements=tuple(self.announcements(receiver.received)),
            confirmed_incarnation=receiver.incarnation,
            confirmed_revision=receiver.revision,
            reply_wanted=is_request_due,
        )

    def receive(self, message: ClaimMessage, now: float) -> None:
        """Apply a message; late, repeated and lost messages do no harm.

        Args:
            message: From another entry VM, which is added if it isn't yet a
                member.
            now: Current time in seconds.
        """
        if message.sender == self._own_name:
            return
        self.add_member(message.sender, now)
        member = self._members[message.sender]
        if message.incarnation < member.incarnation:
            return
        member.heard_at = now
        if message.incarnation > member.incarnation:
            self._drop_claims(member)
            member = _Member(now, message.incarnation)
            self._members[message.sender] = member
        is_complete = message.since <= member.revision
        if is_complete and message.revision > member.revision:
            self._apply_claims(member, message)
        self._apply_confirmation(member, message, is_complete=is_complete)
        if message.reply_wanted:
            member.reply_due = True

    def _is_request_due(self, member: _Member) -> bool:
        needs_confirmation = bool(self._awaiting_grant or self._removed)
        known = member.confirmed if needs_confirmation else member.received
        if known >= self._revision:
            return False
        is_retry_due = self._now - member.requested_at >= CONFIRMATION_RETRY_S
        return is_retry_due or member.requested_revision < self._revision

    def _divide(self, upstream: str, share: OwnShare) -> dict[str, int]:
        return share_division.divide_by_largest_remainder(
            share.limit, share.weights, upstream, self._rotation
        )

    def _share_of(self, upstream: str) -> OwnShare:
        if upstream not in self._shares:
            claimed_by_others = sum(
                member.claims.get(upstream, 0)
                for member in self._members.values()
            )
            self._shares[upstream] = OwnShare(
                claimed_by_others=claimed_by_others
            )
        return self._shares[upstream]

    def _update_members_digest(self) -> None:
        names = sorted((self._own_name, *self._members))
        self._members_digest = hashing.hash_text('\n'.join(names))
        for member in self._members.values():
            member.reply_due = True
            member.requested_revision = -1

    def _drop_claims(self, member: _Member) -> None:
        for upstream in member.claims:
            self._update_claim_sum(member, ClaimAnnouncement(upstream, 0))
        member.claims.clear()

    def _apply_claims(self, member: _Member, message: ClaimMessage) -> None:
        member.revision = message.revision
        for announcement in message.announcements:
            self._update_claim_sum(member, announcement)
            upstream = sys.intern(announcement.upstream)
            if announcement.claim:
                member.claims[upstream] = announcement.claim
            else:
                member.claims.pop(upstream, None)

    def _update_claim_sum(
        self, member: _Member, announcement: ClaimAnnouncement
    ) -> None:
        upstream = announcement.upstream
        share = self._shares.get(upstream)
        if share is not None:
            share.claimed_by_others += announcement.claim
            share.claimed_by_others -= member.claims.get(upstream, 0)
            self._changed.add(upstream)

    def _apply_confirmation(
        self, member: _Member, message: ClaimMessage, *, is_complete: bool
    ) -> None:
        if message.confirmed_incarnation != self._incarnation:
            member.received = 0
            member.confirmed = 0
            member.reply_due = True
            return
        member.received = message.confirmed_revision
        if is_complete and message.members == self._members_digest:
            member.confirmed = message.confirmed_revision

    def _confirmed_by_all(self) -> int:
        return min(
            (member.confirmed for member in self._members.values()),
            default=self._revision + len(self._shares),
        )

    def _refresh_share(
        self, upstream: str, share: OwnShare, confirmed: int
    ) -> None:
        parts = self._divide(upstream, share)
        share.lower(parts.get(self._own_name, 0))
        if share.wanted > share.granted and confirmed >= share.wanted_revision:
            share.grant()
        if share.wanted == share.granted and self._active:
            self._request_raise(upstream, share, parts)
        self._announce(share)
        self._schedule_refresh(upstream, share)

    def _request_raise(
        self, upstream: str, share: OwnShare, parts: Mapping[str, int]
    ) -> None:
        free = share.limit - share.claimed_by_others - share.held
        if free <= 0 or share.target <= share.held:
            return
        missing = {
            name: part - self._members[name].claims.get(upstream, 0)
            for name, part in parts.items()
            if name in self._members
        }
        missing[self._own_name] = share.target - share.held
        free = min(free, sum(flows for flows in missing.values() if flows > 0))
        divided = share_division.divide_by_largest_remainder(
            free, missing, upstream, self._rotation
        )
        if divided[self._own_name]:
            share.wanted = share.held + divided[self._own_name]

    def _announce(self, share: OwnShare) -> None:
        if share.is_announcement_due:
            self._revision += 1
            share.announced_revision = self._revision
            share.announced = share.claim
        if share.wanted > share.granted and share.wanted_revision == 0:
            share.wanted_revision = share.announced_revision

    def _schedule_refresh(self, upstream: str, share: OwnShare) -> None:
        self._awaiting_grant.discard(upstream)
        self._due_each_rotation.discard(upstream)
        if share.wanted > share.granted:
            self._awaiting_grant.add(upstream)
        if share.is_rotating or share.granted < share.target:
            self._due_each_rotation.add(upstream)

    def _drop_unused(self, upstream: str, confirmed: int) -> None:
        share = self._shares[upstream]
        if share.limit or share.weights:
            self._removed.discard(upstream)
        elif not share.announced and confirmed >= share.announced_revision:
            self._removed.discard(upstream)
            self._changed.discard(upstream)
            self._shares.pop(upstream)

    def _start_rotation(self, rotation: int) -> None:
        if rotation != self._rotation:
            self._rotation = rotation
            self._changed |= self._due_each_rotation
