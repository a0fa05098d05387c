"""Messages in which entry VMs announce their claims to each other."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnnouncement:
    """The claim of one entry VM on one upstream.

    Attributes:
        upstream: Name of the upstream.
        claim: Open flows that the sender owns, may own or asks to own,
            whichever number is highest.
    """

    upstream: str
    claim: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimMessage:
    """Changed claims of one entry VM, and a confirmation of the receiver's.

    Attributes:
        sender: Name of the sending entry VM.
        incarnation: Number that rises with each start of the sender.
        members: Hash of the names of all members known to the sender.
        since: Revision of the sender's ledger; the message contains all
            claims that changed after it.
        revision: Revision of the sender's ledger when the message was built.
        announcements: Claims changed after ``since``.
        confirmed_incarnation: Latest incarnation of the receiver that the
            sender knows.
        confirmed_revision: Revision of the receiver's ledger up to which the
            sender knows all claims.
        reply_wanted: Whether the sender requests a confirmation.
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
