"""Division of each upstream's limit among entry VMs, without a keeper.

The entry VMs that may place flows on the upstreams of one failure domain
share one ledger each. An entry VM announces for each upstream a claim: the
number of open flows that it may own there. It lowers a claim at once. It
raises one in two steps: it announces the higher claim, and may use it only
when every member has confirmed the announcement and the claims of all
members, as known by then, leave room for it.

Why the granted claims never add up to more than the limit: take the member
whose grant was announced last. Every other member confirmed it after having
announced its own claim, and a confirmation travels with all that its sender
announced before, so the last one counted them all. A confirmation counts only
from a member that has the same member list, so two members which do not know
each other can't both be confirmed by a third.

A member out of touch confirms nothing and stays counted, so in a partition
claims shrink and never grow. It leaves the ledger when it is known to have
ended, or when it was silent for the hold time and most members are heard.
"""

import dataclasses
import sys
from collections.abc import Iterator, Mapping

from hibiscushatch_core import hashing, share_division
from hibiscushatch_core.claim_messages import ClaimAnnouncement, ClaimMessage
from hibiscushatch_core.own_share import OwnShare

TURN_S = 2.0
ASK_AGAIN_S = 0.5


@dataclasses.dataclass(slots=True)
class _Member:
    """What is known of another member.

    Attributes:
        heard_at: When it was last heard, in seconds.
        incarnation: Its latest known start; 0 before the first message.
        revision: Revision of its ledger up to which everything is known.
        holds: Revision of the own ledger that it knows.
        confirmed: The same, when it had the same member list.
        reply_due: Whether it waits for a message.
        asked_revision: Revision whose confirmation it was asked for last; -1
            when it is to be asked again.
        asked_at: When that was, in seconds.
        claims: Its latest claim for each upstream where it has one.
    """

    heard_at: float
    incarnation: int = 0
    revision: int = 0
    holds: int = 0
    confirmed: int = 0
    reply_due: bool = True
    asked_revision: int = -1
    asked_at: float = 0
    claims: dict[str, int] = dataclasses.field(default_factory=dict)


class ShareLedger:
    """The claims of one entry VM and those that it knows of the others.

    A resumed process makes a new ledger with a higher incarnation and enters
    its open flows again.

    Args:
        own_name: Name of this entry VM.
        incarnation: Number that rises with each start of this entry VM.
        hold_s: Seconds of silence after which a member's claims are free.
    """

    def __init__(self, own_name: str, incarnation: int, hold_s: float) -> None:
        self._own_name = own_name
        self._incarnation = incarnation
        self._hold_s = hold_s
        self._revision = 0
        self._active = False
        self._turn = 0
        self._now = 0.0
        self._digest = hashing.hash_text(own_name)
        self._members: dict[str, _Member] = {}
        self._shares: dict[str, OwnShare] = {}
        self._changed: set[str] = set()
        self._waiting: set[str] = set()
        self._turning: set[str] = set()
        self._leaving: set[str] = set()

    @property
    def member_names(self) -> frozenset[str]:
        """Names of the other members."""
        return frozenset(self._members)

    def activate(self) -> None:
        """Allow grants, once the list of members has been read."""
        self._active = True
        self._changed.update(self._shares)

    def join(self, member: str, now: float) -> None:
        """Count an entry VM as a member; has no effect on a known one."""
        if member not in self._members and member != self._own_name:
            self._members[member] = _Member(heard_at=now)
            self._renew_digest()

    def forget(self, member: str) -> None:
        """Drop a member that is known to have ended, with its claims."""
        if member in self._members:
            self._drop_claims(self._members.pop(member))
            self._renew_digest()

    def heard(self, member: str, now: float) -> None:
        """Note a sign of life of a member."""
        if member in self._members:
            self._members[member].heard_at = now

    def expire_silent(self, now: float) -> tuple[str, ...]:
        """Forget members silent for the hold time.

        None is forgotten unless more than half of all members, this one
        included, were heard in that time, so at most one side of a partition
        takes over the claims of the other.

        Args:
            now: Seconds.

        Returns:
            Names of the forgotten members.
        """
        silent = tuple(
            name
            for name, member in self._members.items()
            if now - member.heard_at >= self._hold_s
        )
        everyone = len(self._members) + 1
        if 2 * (everyone - len(silent)) <= everyone:
            return ()
        for name in silent:
            self.forget(name)
        return silent

    def set_limit(self, upstream: str, limit: int) -> None:
        """Set how many open flows an upstream bears from all entry VMs.

        A lower limit holds for new flows at once; open ones stay.
        """
        share = self._share_of(upstream)
        if share.limit == limit:
            return
        share.limit = limit
        self._changed.add(upstream)
        share.lower(self._divide(upstream, share).get(self._own_name, 0))

    def set_weights(self, upstream: str, weights: Mapping[str, int]) -> None:
        """Set how many buckets of an upstream each member owns.

        Args:
            upstream: Name of the upstream.
            weights: Numbers of buckets by member name, this one included.
        """
        share = self._share_of(upstream)
        if share.weights != weights:
            share.weights = dict(weights)
            self._changed.add(upstream)

    def remove_upstream(self, upstream: str) -> None:
        """Give up the claim on an upstream that the manifest lists no more.

        Its share is dropped when its last flow has ended and all members have
        confirmed that nothing is claimed.
        """
        if upstream in self._shares:
            self.set_limit(upstream, 0)
            self.set_weights(upstream, {})
            self._leaving.add(upstream)

    def may_open(self, upstream: str, credit: float = 1) -> bool:
        """Tell whether one more flow may be opened on an upstream.

        Args:
            upstream: Name of the upstream.
            credit: Factor by which the grant is used; one flow of a grant
                may be used at any credit.

        Returns:
            True when the grant has room.
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
        """Return how many open flows this entry VM may own."""
        share = self._shares.get(upstream)
        return share.granted if share else 0

    def is_raising(self, upstream: str) -> bool:
        """Tell whether more of an upstream is due here than is granted yet."""
        share = self._shares.get(upstream)
        return share is not None and share.granted < share.target

    def opened(self, upstream: str) -> None:
        """Count a flow that was opened or taken over."""
        share = self._share_of(upstream)
        share.open_flows += 1
        if share.open_flows > share.announced:
            self._changed.add(upstream)

    def closed(self, upstream: str) -> None:
        """Count a flow that ended or was handed over."""
        share = self._share_of(upstream)
        share.open_flows = max(0, share.open_flows - 1)
        if share.announced > share.target:
            self._changed.add(upstream)

    def refresh(self, now: float) -> None:
        """Lower, grant and ask for claims where something changed.

        Args:
            now: Wall-clock seconds; clocks that differ only change turns.
        """
        self._now = now
        self._start_turn(int(now // TURN_S))
        confirmed = self._confirmed_by_all()
        todo = self._changed | {
            upstream
            for upstream in self._waiting
            if self._shares[upstream].wanted_revision <= confirmed
        }
        self._changed = set()
        for upstream in sorted(todo):
            self._refresh_share(upstream, self._shares[upstream], confirmed)
        for upstream in tuple(self._leaving):
            self._drop_unused(upstream, confirmed)

    def announcements(self, since: int = 0) -> Iterator[ClaimAnnouncement]:
        """Yield the own claims that changed after a revision."""
        if since >= self._revision:
            return
        for upstream, share in self._shares.items():
            if share.revision > since:
                yield ClaimAnnouncement(upstream, share.announced)

    def has_news_for(self, member: str) -> bool:
        """Tell whether a message to a member is due.

        A member that did not confirm what it was asked for is asked again
        after a while only, so it is safe to send whenever this is true.
        """
        known = self._members[member]
        return known.reply_due or self._is_to_be_asked(known)

    def message_for(self, member: str) -> ClaimMessage:
        """Build the message for a member and count it as sent.

        Args:
            member: Name of the receiver.

        Returns:
            All changes that the member has not confirmed yet.
        """
        known = self._members[member]
        is_asked = self._is_to_be_asked(known)
        if is_asked:
            known.asked_revision = self._revision
            known.asked_at = self._now
        known.reply_due = False
        return ClaimMessage(
            sender=self._own_name,
            incarnation=self._incarnation,
            members=self._digest,
            since=known.holds,
            revision=self._revision,
            announcements=tuple(self.announcements(known.holds)),
            confirmed_incarnation=known.incarnation,
            confirmed_revision=known.revision,
            reply_wanted=is_asked,
        )

    def receive(self, message: ClaimMessage, now: float) -> None:
        """Take in a message; late, repeated and lost ones do no harm.

        Args:
            message: From another member; an unknown one joins by it.
            now: Seconds.
        """
        if message.sender == self._own_name:
            return
        self.join(message.sender, now)
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
            self._take_claims(member, message)
        self._take_confirmation(member, message, is_complete=is_complete)
        if message.reply_wanted:
            member.reply_due = True

    def _is_to_be_asked(self, member: _Member) -> bool:
        is_raising = bool(self._waiting or self._leaving)
        known = member.confirmed if is_raising else member.holds
        if known >= self._revision:
            return False
        is_old = self._now - member.asked_at >= ASK_AGAIN_S
        return is_old or member.asked_revision < self._revision

    def _divide(self, upstream: str, share: OwnShare) -> dict[str, int]:
        return share_division.divide_by_largest_remainder(
            share.limit, share.weights, upstream, self._turn
        )

    def _share_of(self, upstream: str) -> OwnShare:
        if upstream not in self._shares:
            others = sum(
                member.claims.get(upstream, 0)
                for member in self._members.values()
            )
            self._shares[upstream] = OwnShare(others=others)
        return self._shares[upstream]

    def _renew_digest(self) -> None:
        names = sorted((self._own_name, *self._members))
        self._digest = hashing.hash_text('\n'.join(names))
        for member in self._members.values():
            member.reply_due = True
            member.asked_revision = -1

    def _drop_claims(self, member: _Member) -> None:
        for upstream in member.claims:
            self._count_claim(member, ClaimAnnouncement(upstream, 0))
        member.claims.clear()

    def _take_claims(self, member: _Member, message: ClaimMessage) -> None:
        member.revision = message.revision
        for announcement in message.announcements:
            self._count_claim(member, announcement)
            upstream = sys.intern(announcement.upstream)
            if announcement.claim:
                member.claims[upstream] = announcement.claim
            else:
                member.claims.pop(upstream, None)

    def _count_claim(
        self, member: _Member, announcement: ClaimAnnouncement
    ) -> None:
        upstream = announcement.upstream
        share = self._shares.get(upstream)
        if share is not None:
            share.others += announcement.claim
            share.others -= member.claims.get(upstream, 0)
            self._changed.add(upstream)

    def _take_confirmation(
        self, member: _Member, message: ClaimMessage, *, is_complete: bool
    ) -> None:
        if message.confirmed_incarnation != self._incarnation:
            member.holds = 0
            member.confirmed = 0
            member.reply_due = True
            return
        member.holds = message.confirmed_revision
        if is_complete and message.members == self._digest:
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
            self._ask(upstream, share, parts)
        self._announce(share)
        self._watch(upstream, share)

    def _ask(
        self, upstream: str, share: OwnShare, parts: Mapping[str, int]
    ) -> None:
        free = share.limit - share.others - share.held
        if free <= 0 or share.target <= share.held:
            return
        missing = {
            name: part - self._members[name].claims.get(upstream, 0)
            for name, part in parts.items()
            if name in self._members
        }
        missing[self._own_name] = share.target - share.held
        free = min(free, sum(one for one in missing.values() if one > 0))
        divided = share_division.divide_by_largest_remainder(
            free, missing, upstream, self._turn
        )
        if divided[self._own_name]:
            share.wanted = share.held + divided[self._own_name]

    def _announce(self, share: OwnShare) -> None:
        if share.is_announcement_due:
            self._revision += 1
            share.revision = self._revision
            share.announced = share.claim
        if share.wanted > share.granted and share.wanted_revision == 0:
            share.wanted_revision = share.revision

    def _watch(self, upstream: str, share: OwnShare) -> None:
        self._waiting.discard(upstream)
        self._turning.discard(upstream)
        if share.wanted > share.granted:
            self._waiting.add(upstream)
        if share.has_turns or share.granted < share.target:
            self._turning.add(upstream)

    def _drop_unused(self, upstream: str, confirmed: int) -> None:
        share = self._shares[upstream]
        if share.limit or share.weights:
            self._leaving.discard(upstream)
        elif not share.announced and confirmed >= share.revision:
            self._leaving.discard(upstream)
            self._changed.discard(upstream)
            self._shares.pop(upstream)

    def _start_turn(self, turn: int) -> None:
        if turn != self._turn:
            self._turn = turn
            self._changed |= self._turning
