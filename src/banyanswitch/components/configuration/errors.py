"""Errors of committing and reading a configuration."""

from banyanswitch.exceptions import BanyanswitchError, PlatformError


class RevisionConflictError(BanyanswitchError):
    """Another change was accepted first, and this one was rejected completely.

    Parameters
    ----------
    revision : int
        Revision that the other change created.
    operator : str
        Author of the other change.
    accepted_at_unix_s : float
        Time at which it was accepted, in seconds since the Unix epoch.
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
    """Stored content is missing or does not match its digest."""
