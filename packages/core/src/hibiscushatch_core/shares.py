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
from collections.abc import Iterator, Mapping

from hibiscushatch_core import hashing, share_division

TURN_S = 2.0
LOWERING_STEPS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnnouncement:
    """What one entry VM claims of one upstream.

    Attributes:
        upstream: Name of the upstream.
        claim: Open flows that the sender may come to own.
    """

    upstream: str
    claim: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimMessage:
    """Changed claims of one entry VM, and how far it knows the receiver's.

    Attributes:
        sender: Name of the sending entry VM.
        incarnation: Number that rises with each start of the sender.
        members: Hash of the names of the members that the sender knows.
        since: Revision after which all changes are in this message.
        revision: Revision of the sender's ledger.
        announcements: Claims changed after ``since``.
        confirmed_incarnation: Incarnation of the receiver that is known.
        confirmed_revision: Revision of the receiver's ledger that is known.
        reply_wanted: Whether the sender waits for a confirmation.
    """

    sender: str
    incarnation: int
    members: int
    since: int
    revision: int
    announcements: tuple[ClaimAnnouncement, ...]
    confirmed_incarnation: int
    confirmed_revision: int
    reply_wanted: bool


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
        claims: Its latest claim for each upstream where it has one.
    """

    heard_at: float
    incarnation: int = 0
    revision: int = 0
    holds: int = 0
    confirmed: int = 0
    reply_due: bool = True
    claims: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _Share:
    """The own part of one upstream's limit.

    Attributes:
        limit: Open flows that the upstream bears from all entry VMs.
        weights: Buckets that point at the upstream, by their owner's name.
        open_flows: Open flows that this entry VM owns.
        target: Its part of the limit by weight.
        granted: Open flows that it may own.
        wanted: A higher grant that was announced, or the granted one.
        wanted_revision: Revision at which ``wanted`` was announced.
        announced: The claim that was announced last.
        revision: Revision of that announcement.
        others: Sum of the claims of all other members.
    """

    limit: int = 0
    weights: Mapping[str, int] = dataclasses.field(default_factory=dict)
    open_flows: int = 0
    target: int = 0
    granted: int = 0
    wanted: int = 0
    wanted_revision: int = 0
    announced: int = 0
    revision: int = 0
    others: int = 0

    @property
    def claim(self) -> int:
        """What has to be announced."""
        return max(self.wanted, self.held)

    @property
    def held(self) -> int:
        """What other members must leave to this one."""
        return max(self.granted, self.open_flows)

    @property
    def has_turns(self) -> bool:
        """Whether parts are below one flow and so change with time."""
        return 0 < self.limit < sum(map(bool, self.weights.values()))

    @property
    def is_announcement_due(self) -> bool:
        """Whether the claim rose, or fell by more than a small step.

        Flows that end one by one while the claim exceeds the target would
        otherwise cause an announcement each.
        """
        if self.granted <= self.target or self.claim > self.announced:
            return self.claim != self.announced
        step = max(1, self.limit // LOWERING_STEPS)
        return self.announced - self.claim >= step

    def lower(self) -> None:
        """Give up what exceeds the target and is not in use."""
        bound = max(self.target, self.open_flows)
        self.granted = min(self.granted, bound)
        self.wanted = max(self.granted, min(self.wanted, self.target))
        self._settle()

    def grant(self) -> None:
        """Take into use what was announced, as far as there is room."""
        room = min(self.wanted, self.limit - self.others)
        self.granted = max(self.granted, room)
        self.wanted = self.granted
        self._settle()

    def _settle(self) -> None:
        if self.wanted == self.granted:
            self.wanted_revision = 0


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
        self._digest = hashing.hash_text(own_name)
        self._members: dict[str, _Member] = {}
        self._shares: dict[str, _Share] = {}
        self._changed: set[str] = set()
        self._waiting: set[str] = set()
        self._turning: set[str] = set()

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
        """Set how many open flows an upstream bears from all entry VMs."""
        share = self._share_of(upstream)
        if share.limit != limit:
            share.limit = limit
            self._changed.add(upstream)

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

    def may_open(self, upstream: str) -> bool:
        """Tell whether one more flow may be opened on an upstream."""
        return self.room(upstream) > 0

    def room(self, upstream: str) -> int:
        """Return how many more flows may be opened on an upstream."""
        share = self._shares.get(upstream)
        if share is None:
            return 0
        return max(0, min(share.granted, share.limit) - share.open_flows)

    def open_flows(self, upstream: str) -> int:
        """Return how many open flows this entry VM owns on an upstream."""
        share = self._shares.get(upstream)
        return share.open_flows if share else 0

    def granted(self, upstream: str) -> int:
        """Return how many open flows this entry VM may own."""
        share = self._shares.get(upstream)
        return share.granted if share else 0

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

    def announcements(self, since: int = 0) -> Iterator[ClaimAnnouncement]:
        """Yield the own claims that changed after a revision."""
        if since >= self._revision:
            return
        for upstream, share in self._shares.items():
            if share.revision > since:
                yield ClaimAnnouncement(upstream, share.announced)

    def has_news_for(self, member: str) -> bool:
        """Tell whether a message to a member is due."""
        known = self._members[member]
        return known.reply_due or known.confirmed < self._revision

    def message_for(self, member: str) -> ClaimMessage:
        """Build the message for a member and count it as sent.

        Args:
            member: Name of the receiver.

        Returns:
            All changes that the member has not confirmed yet.
        """
        known = self._members[member]
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
            reply_wanted=known.confirmed < self._revision,
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
        if message.reply_wanted or message.announcements:
            member.reply_due = True

    def _share_of(self, upstream: str) -> _Share:
        if upstream not in self._shares:
            others = sum(
                member.claims.get(upstream, 0)
                for member in self._members.values()
            )
            self._shares[upstream] = _Share(others=others)
        return self._shares[upstream]

    def _renew_digest(self) -> None:
        names = sorted((self._own_name, *self._members))
        self._digest = hashing.hash_text('\n'.join(names))
        for member in self._members.values():
            member.reply_due = True

    def _drop_claims(self, member: _Member) -> None:
        for upstream in member.claims:
            self._count_claim(member, ClaimAnnouncement(upstream, 0))
        member.claims.clear()

    def _take_claims(self, member: _Member, message: ClaimMessage) -> None:
        member.revision = message.revision
        for announcement in message.announcements:
            self._count_claim(member, announcement)
            if announcement.claim:
                member.claims[announcement.upstream] = announcement.claim
            else:
                member.claims.pop(announcement.upstream, None)

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
        self, upstream: str, share: _Share, confirmed: int
    ) -> None:
        parts = share_division.divide_by_largest_remainder(
            share.limit, share.weights, upstream, self._turn
        )
        share.target = parts.get(self._own_name, 0)
        share.lower()
        if share.wanted > share.granted and confirmed >= share.wanted_revision:
            share.grant()
        if share.wanted == share.granted and self._active:
            self._ask(upstream, share, parts)
        self._announce(share)
        self._watch(upstream, share)

    def _ask(
        self, upstream: str, share: _Share, parts: Mapping[str, int]
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

    def _announce(self, share: _Share) -> None:
        if share.is_announcement_due:
            self._revision += 1
            share.revision = self._revision
            share.announced = share.claim
        if share.wanted > share.granted and share.wanted_revision == 0:
            share.wanted_revision = share.revision

    def _watch(self, upstream: str, share: _Share) -> None:
        self._waiting.discard(upstream)
        self._turning.discard(upstream)
        if share.wanted > share.granted:
            self._waiting.add(upstream)
        if share.has_turns or share.granted < share.target:
            self._turning.add(upstream)

    def _start_turn(self, turn: int) -> None:
        if turn != self._turn:
            self._turn = turn
            self._changed |= self._turning
