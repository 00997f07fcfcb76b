"""Errors of committing and reading a configuration."""

from banyanswitch.exceptions import BanyanswitchError, PlatformError


class RevisionConflictError(BanyanswitchError):
    """A change was rejected completely, usually since another was accepted first.

    It is also rejected if it expects a revision and none has been accepted yet.

    Parameters
    ----------
    revision : int
        Revision that was accepted first; 0 if there is none.
    operator : str
        Author of that revision; "unknown" if its delta can't be read, "nobody" if no
        revision was accepted.
    accepted_at_unix_s : float
        Time at which it was accepted, in seconds since the Unix epoch; 0 if unknown.
    """

    def __init__(self, revision: int, operator: str, accepted_at_unix_s: float) -> None:
        super().__init__(f"revision {revision} by {operator} was accepted first")
        self.revision = revision
        self.operator = operator
        self.accepted_at_unix_s = accepted_at_unix_s


class AcceptanceUnknownError(PlatformError):
    """It is unknown whether a change was accepted.

    Parameters
    ----------
    attempt : str
        Identity of the attempt; the history contains it if the change was accepted.
    """

    def __init__(self, attempt: str) -> None:
        super().__init__(f"it is unknown whether attempt {attempt} was accepted")
        self.attempt = attempt


class ContentError(PlatformError):
    """Content is missing, can't be decoded or does not match its digest."""
