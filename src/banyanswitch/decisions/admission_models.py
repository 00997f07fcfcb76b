"""Settings, requests and results of admission."""

from dataclasses import dataclass
from enum import Enum

from banyanswitch.config.models import Limits, Priority
from banyanswitch.identifiers import RunId, WorkspaceId


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionPolicy:
    """Settings of admission on one instance.

    Parameters
    ----------
    capacity : int
        Requests that this instance may have at upstreams at the same time.
    batch_share : float
        Part of the capacity that batch requests may hold, from 0 to 1.
    batch_every : int
        While both priorities wait, one grant in this many goes to batch.
    max_queued : int
        Most requests that wait, for each priority.
    burst_s : float
        Time for which a workspace may save up its rate, in seconds.
    wait_margin : float
        A request is queued only if this many times its expected wait fits.
    busy_s : float
        Time without starts after all upstreams were full, in seconds.
    batch_spacing_s : float
        Least time between two batch starts after that. The instances together
        should not start more, until load reports show it, than one request for
        each upstream.
    """

    capacity: int = 64
    batch_share: float = 0.75
    batch_every: int = 4
    max_queued: int = 256
    burst_s: float = 2.0
    wait_margin: float = 1.6
    busy_s: float = 0.05
    batch_spacing_s: float = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRequest:
    """What admission needs to know about a request.

    Parameters
    ----------
    limits : Limits
        Limits of the workspace over the whole system.
    serving_entries : int
        Entry instances among which the workspace's callers are spread.
    latest_start_s : float
        Loop time after which a start is too late.
    """

    run: RunId
    workspace: WorkspaceId
    limits: Limits
    serving_entries: int
    priority: Priority
    latest_start_s: float


class AdmissionRefusal(Enum):
    """Why a request is not admitted."""

    RATE_LIMITED = "rate_limited"
    TOO_MANY_CONCURRENT = "too_many_concurrent"
    OVERLOADED = "overloaded"


@dataclass(frozen=True, slots=True)
class Admitted:
    """Place the request now, and call `AdmissionController.on_finished` at its end."""

    run: RunId


@dataclass(frozen=True, slots=True)
class Queued:
    """Wait for one of the results of `AdmissionController.advance`.

    Parameters
    ----------
    expected_wait_s : float
        Expected time in the queue, in seconds.
    """

    run: RunId
    expected_wait_s: float


@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """Answer the caller at once that the request has not run.

    Parameters
    ----------
    retry_after_s : float
        Time after which another try makes sense, in seconds.
    """

    run: RunId
    reason: AdmissionRefusal
    retry_after_s: float
