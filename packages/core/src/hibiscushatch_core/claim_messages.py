"""Messages by which entry VMs tell each other their claims."""

import dataclasses


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
