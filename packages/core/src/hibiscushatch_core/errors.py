"""The exception hierarchy of hibiscushatch.

Every error contains the step that failed and, if there is one, the peer that
was involved, so that a log line or exit message can be understood on its own.
"""

import msgspec


class HibiscushatchError(Exception):
    """Base of all errors that hibiscushatch itself raises.

    Args:
        step: What was being done, in a few words.
        peer: What it was done with, such as a VM name, URL, key or file; may
            be empty.
        reason: What went wrong.
    """

    def __init__(self, step: str, peer: str = '', reason: str = '') -> None:
        self.step = step
        self.peer = peer
        self.reason = reason
        target = f' with {peer}' if peer else ''
        super().__init__(f'{step}{target}: {reason}')


class FieldProblem(msgspec.Struct, frozen=True):
    """An invalid field of a settings or manifest document.

    Attributes:
        path: JSON path of the field, such as ``services[0].port``.
        message: What is wrong with it.
    """

    path: str
    message: str


class InvalidDocumentError(HibiscushatchError):
    """A settings or manifest document is invalid; lists every problem."""

    def __init__(
        self, step: str, peer: str, problems: tuple[FieldProblem, ...]
    ) -> None:
        self.problems = problems
        reason = '; '.join(
            f'{problem.path}: {problem.message}' for problem in problems
        )
        super().__init__(step, peer, reason)


class IncompleteDocumentError(InvalidDocumentError):
    """A document is missing or ends early, as while it is being written."""


class InvalidItemError(HibiscushatchError):
    """An item of the platform's key-value service can't be decoded or used."""


class PlatformError(HibiscushatchError):
    """A call to the platform's key-value service failed."""


class PlatformUnavailableError(PlatformError):
    """The platform did not answer; a write may have taken effect."""


class LeaseLapsedError(PlatformUnavailableError):
    """The lease given for a write has expired; nothing was written."""


class CommitConflictError(PlatformError):
    """Another operator's manifest was committed first."""

    def __init__(self, step: str, peer: str, generation: int) -> None:
        self.generation = generation
        reason = f'generation {generation} is already committed'
        super().__init__(step, peer, reason)


class CommitUnknownError(PlatformError):
    """It is unknown whether a commit took effect."""


class PeerError(HibiscushatchError):
    """A connection to another entry VM failed."""


class PeerClosedError(PeerError):
    """The other entry VM closed the connection."""


class AuthenticationError(PeerError):
    """A call from a peer or to the administration API had no valid key."""
