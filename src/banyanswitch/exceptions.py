"""Exception tree of the product.

Every error that can reach a caller says through ``RunOutcome`` whether the
request may have run.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum


class RunOutcome(Enum):
    """What is known about the execution of a request that failed."""

    NOT_RUN = "not_run"
    PARTIAL = "partial"
    UNKNOWN = "unknown"


class BanyanswitchError(Exception):
    """Base of all errors that the product raises."""


class PlatformError(BanyanswitchError):
    """A service of the platform could not do what was asked."""


class PlatformUnavailableError(PlatformError):
    """The platform did not take the request, so it had no effect.

    Parameters
    ----------
    message : str
        What was refused and why.
    retry_after_s : float, optional
        Time after which another try makes sense, in seconds.
    """

    def __init__(self, message: str = "", retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class PlatformOutcomeUnknownError(PlatformError):
    """The request was sent and no answer came, so it may have had its effect."""


class ConditionFailedError(PlatformError):
    """A conditional write met another revision than it expected.

    Parameters
    ----------
    keys : sequence of str
        The items whose condition failed.
    """

    def __init__(self, keys: Sequence[str]) -> None:
        super().__init__(f"conditions failed for {', '.join(keys)}")
        self.keys = tuple(keys)


class WriteBudgetExceededError(PlatformUnavailableError):
    """The shared budget of table writes is spent.

    Parameters
    ----------
    retry_after_s : float
        Time after which a write is likely to be admitted, in seconds.
    """

    def __init__(self, retry_after_s: float) -> None:
        message = f"table write budget spent, retry in {retry_after_s:.1f} s"
        super().__init__(message, retry_after_s)
        self.retry_after_s: float = retry_after_s


class UpstreamError(BanyanswitchError):
    """An upstream failed to serve a request."""


class UpstreamNotSentError(UpstreamError):
    """No byte of the request reached the upstream."""


class UpstreamBrokenError(UpstreamError):
    """The upstream failed after the request had been sent."""


class NotRunError(UpstreamError):
    """An upstream says that it did not run a request.

    Parameters
    ----------
    retry_after_s : float or None
        Wait that the upstream asked for, in seconds.
    is_misdirected : bool
        Whether the address or the weights belong to another than expected.
    answered_by : str or None
        Upstream that answered, if it says so.
    """

    def __init__(
        self,
        message: str,
        *,
        retry_after_s: float | None = None,
        is_misdirected: bool = False,
        answered_by: str | None = None,
    ) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s
        self.answered_by = answered_by
        self.is_misdirected = is_misdirected


class UpstreamFailureError(UpstreamError):
    """An upstream ran a request and answered with a failure."""


class IdentityMismatchError(UpstreamError):
    """An upstream answered with another run, workspace or weight version."""


class PeerError(BanyanswitchError):
    """A message from or to another instance could not be handled."""


class PeerResourceGoneError(PeerError):
    """An instance no longer has what it was asked for."""


class SettingsError(BanyanswitchError):
    """The settings of a process are wrong; carries every finding."""

    def __init__(self, findings: Sequence["Finding"]) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class ConfigurationError(BanyanswitchError):
    """A configuration document is wrong; carries every finding."""

    def __init__(self, findings: Sequence["Finding"]) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = tuple(findings)


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault of an input, with its place.

    Parameters
    ----------
    place : str
        Path to the value, for example ``workspaces[3].limits.requests_per_s``.
    reason : str
        What is wrong, for example ``must be > 0``.
    """

    place: str
    reason: str

    def __str__(self) -> str:
        return f"{self.place}: {self.reason}"


class RefusalError(BanyanswitchError):
    """A request is refused; the answer to the caller is final.

    Parameters
    ----------
    code : str
        Stable code of the problem, for example ``overloaded``.
    detail : str
        Explanation for people.
    status : int
        HTTP status.
    outcome : RunOutcome
        Whether the request may have run.
    retry_after_s : float, optional
        Time after which another try makes sense, in seconds.
    findings : sequence of Finding
        Places of the faults in the input, if the input is at fault.
    """

    def __init__(
        self,
        code: str,
        detail: str,
        *,
        status: int,
        outcome: RunOutcome = RunOutcome.NOT_RUN,
        retry_after_s: float | None = None,
        findings: Sequence[Finding] = (),
    ) -> None:
        super().__init__(f"{code}: {detail}")
        self.code = code
        self.detail = detail
        self.status = status
        self.outcome = outcome
        self.retry_after_s = retry_after_s
        self.findings = tuple(findings)


class RequestSyntaxError(BanyanswitchError):
    """The bytes of a caller are no request that can be served.

    Parameters
    ----------
    status : int
        HTTP status that tells the caller so.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class HistoryGoneError(PlatformError):
    """The requested part of a table's history is no longer kept."""


class FencedError(PlatformError):
    """An order was refused since a higher fencing token has been used."""
