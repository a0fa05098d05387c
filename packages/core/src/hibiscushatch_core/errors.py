"""The exception tree of hibiscushatch.

Every error names the step that failed and, where there is one, the peer it
failed with, so that a log line or an exit message needs no further context.
"""

import msgspec


class HibiscushatchError(Exception):
    """Base of all errors that hibiscushatch raises on purpose.

    Args:
        step: What was being done, in a few words.
        peer: The other end: a VM name, a URL, a file; empty when none.
        reason: What went wrong.
    """

    def __init__(self, step: str, peer: str = '', reason: str = '') -> None:
        self.step = step
        self.peer = peer
        self.reason = reason
        target = f' with {peer}' if peer else ''
        super().__init__(f'{step}{target}: {reason}')


class FieldProblem(msgspec.Struct, frozen=True):
    """One wrong field of a settings or manifest document.

    Attributes:
        path: JSON path of the field, such as ``services[0].port``.
        message: What is wrong with it.
    """

    path: str
    message: str


class InvalidDocumentError(HibiscushatchError):
    """A settings or manifest document is wrong; lists every problem."""

    def __init__(
        self, step: str, peer: str, problems: tuple[FieldProblem, ...]
    ) -> None:
        self.problems = problems
        lines = '; '.join(f'{one.path}: {one.message}' for one in problems)
        super().__init__(step, peer, lines)


class PlatformError(HibiscushatchError):
    """The platform's key-value service did not do what was asked."""


class PlatformUnavailableError(PlatformError):
    """The platform gave no answer; a write may have taken effect."""


class LeaseLapsedError(PlatformUnavailableError):
    """The lease of a write has lapsed; nothing was written."""


class CommitConflictError(PlatformError):
    """Another operator's manifest was committed first."""

    def __init__(self, step: str, peer: str, generation: int) -> None:
        self.generation = generation
        reason = f'generation {generation} is already in force'
        super().__init__(step, peer, reason)


class CommitUnknownError(PlatformError):
    """It could not be settled whether a commit took effect."""


class PeerError(HibiscushatchError):
    """A connection to another entry VM failed."""


class PeerClosedError(PeerError):
    """The other entry VM closed the connection."""


class AuthenticationError(PeerError):
    """A peer or administration call carried no valid key."""
