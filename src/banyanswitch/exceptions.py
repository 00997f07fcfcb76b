"""Exception hierarchy of the product.

A ``RefusalError`` becomes the response to a caller. Its ``RunOutcome`` states whether
the request may have run.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum


class RunOutcome(Enum):
    """What is known about the execution of a failed request."""

    NOT_RUN = "not_run"
    PARTIAL = "partial"
    UNKNOWN = "unknown"


class BanyanswitchError(Exception):
    """Base class of all exceptions that the product raises."""


class PlatformError(BanyanswitchError):
    """A service of the platform could not serve a request."""


class PlatformUnavailableError(PlatformError):
    """The platform did not accept the request, so it had no effect.

    Parameters
    ----------
    message : str
        What was refused and why.
    retry_after_s : float, optional
        Recommended delay before a retry, in seconds.
    """

    def __init__(self, message: str = "", retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class PlatformOutcomeUnknownError(PlatformError):
    """No clear response to a request was received; it may have taken effect."""


class ConditionFailedError(PlatformError):
    """A conditional write found another revision than expected.

    Parameters
    ----------
    keys : sequence of str
        Keys of the items whose condition failed. If the store doesn't report them,
        these are the keys of all writes of the transaction.
    """

    def __init__(self, keys: Sequence[str]) -> None:
        super().__init__(f"conditions failed for {', '.join(keys)}")
        self.keys = tuple(keys)


class WriteBudgetExceededError(PlatformUnavailableError):
    """The shared budget of table writes is exhausted.

    Parameters
    ----------
    retry_after_s : float
        Time after which a write will probably be admitted, in seconds.
    """

    def __init__(self, retry_after_s: float) -> None:
        message = f"table write budget spent, retry in {retry_after_s:.1f} s"
        super().__init__(message, retry_after_s)
        self.retry_after_s: float = retry_after_s


class UpstreamError(BanyanswitchError):
    """An upstream failed to serve a request."""


class UpstreamNotSentError(UpstreamError):
    """The upstream could not be reached, so no byte of the request was sent.

    The poller of load reports raises it for every failed poll, also if the upstream was
    reached.

    Parameters
    ----------
    has_timed_out : bool
        Whether a new connection got no response in time, rather than being refused.
    """

    def __init__(self, message: str = "", *, has_timed_out: bool = False) -> None:
        super().__init__(message)
        self.has_timed_out = has_timed_out


class UpstreamBrokenError(UpstreamError):
    """The request may have been sent, but no complete and valid response came.

    Also raised if no upstream is available for another attempt after one that may have
    run the request.
    """


class StartTimeoutError(UpstreamError):
    """A request was withdrawn before the upstream started to respond.

    Its weights would have been too old. The request may have run all the same.
    """


class NotRunError(UpstreamError):
    """An upstream reported that it did not run a request.

    Parameters
    ----------
    retry_after_s : float or None
        Delay before a retry that the upstream asked for, in seconds.
    is_misdirected : bool
        Whether the upstream or its weights are not the expected ones.
    answered_by : str or None
        Upstream that answered, if it identified itself.
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
    """An upstream responded with a server error; it may have run the request."""


class IdentityMismatchError(UpstreamError):
    """A response belongs to another call, run, workspace or weight version."""


class PeerError(BanyanswitchError):
    """Communication with another instance failed."""


class PeerResourceGoneError(PeerError):
    """Another instance no longer has the requested resource."""


class SettingsError(BanyanswitchError):
    """The settings of a process are invalid; contains all findings."""

    def __init__(self, findings: Sequence["Finding"]) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class ConfigurationError(BanyanswitchError):
    """A configuration document is invalid; contains all findings."""

    def __init__(self, findings: Sequence["Finding"]) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = tuple(findings)


@dataclass(frozen=True, slots=True)
class Finding:
    """One error in an input, with its location.

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
    """A request is refused; the response to the caller is final.

    Parameters
    ----------
    code : str
        Stable code of the problem, for example ``overloaded``.
    detail : str
        Human-readable explanation.
    status : int
        HTTP status.
    outcome : RunOutcome
        Whether the request may have run.
    retry_after_s : float, optional
        Recommended delay before a retry, in seconds.
    findings : sequence of Finding
        Errors in the input, if the input is invalid.
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
    """A caller's request is malformed, not supported or too large, or its head is late.

    Parameters
    ----------
    status : int
        HTTP status of the response to the caller.
    reason : str
        What is wrong with the request.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class HistoryGoneError(PlatformError):
    """The requested part of a table's change history is no longer available."""


class FencedError(PlatformError):
    """An order was refused because a higher fencing token has been used."""
