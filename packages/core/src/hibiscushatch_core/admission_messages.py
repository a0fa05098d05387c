"""Conversion of claims and warmth records to and from wire messages."""

from hibiscushatch_core.messages import (
    ClaimAnnouncementMessage,
    ClaimsMessage,
    WarmthMessage,
    WarmUpAgeMessage,
)
from hibiscushatch_core.shares import ClaimAnnouncement, ClaimMessage
from hibiscushatch_core.warmth import WarmthRecord, WarmUpAge


def claims_to_message(claims: ClaimMessage) -> ClaimsMessage:
    """Convert the claims of this entry VM to their wire message."""
    return ClaimsMessage(
        i=claims.incarnation,
        m=claims.members,
        s=claims.since,
        r=claims.revision,
        n=tuple(
            ClaimAnnouncementMessage(
                u=announcement.upstream, n=announcement.claim
            )
            for announcement in claims.announcements
        ),
        ci=claims.confirmed_incarnation,
        cr=claims.confirmed_revision,
        w=claims.reply_wanted,
    )


def claims_from_message(sender: str, message: ClaimsMessage) -> ClaimMessage:
    """Convert the claims of another entry VM from their wire message."""
    return ClaimMessage(
        sender=sender,
        incarnation=message.i,
        members=message.m,
        since=message.s,
        revision=message.r,
        announcements=tuple(
            ClaimAnnouncement(announcement.u, announcement.n)
            for announcement in message.n
        ),
        confirmed_incarnation=message.ci,
        confirmed_revision=message.cr,
        reply_wanted=message.w,
    )


def warmth_to_message(record: WarmthRecord) -> WarmthMessage:
    """Convert a warmth record to its wire message."""
    return WarmthMessage(
        u=record.upstream,
        g=record.generation,
        t=record.resets,
        a=tuple(
            WarmUpAgeMessage(o=age.origin, ms=age.age_ms) for age in record.ages
        ),
    )


def warmth_from_message(message: WarmthMessage) -> WarmthRecord:
    """Convert a warmth record from its wire message."""
    return WarmthRecord(
        message.u,
        message.g,
        message.t,
        tuple(WarmUpAge(age.o, age.ms) for age in message.a),
    )
