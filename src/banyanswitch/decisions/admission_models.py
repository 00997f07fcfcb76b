"""Settings, requests and results of admission control."""

from dataclasses import dataclass
from enum import Enum

from banyanswitch.config.models import Limits, Priority
from banyanswitch.identifiers import RunId, WorkspaceId


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionPolicy:
    """Settings of admission control on one instance.

    Parameters
    ----------
    capacity : int
        Maximum number of admitted requests that have not finished.
    batch_share : float
        Share of the capacity that batch requests may use, from 0 to 1.
    batch_every : int
        While both priorities are queued, one start in this many is a batch request.
    max_queued : int
        Maximum queue length of each priority.
    burst_s : float
        Time for which a workspace may accumulate its request rate, in seconds.
    wait_margin : float
        Safety factor on the expected wait. A new request is queued only if the wait
        multiplied by this factor ends by its latest start.
    busy_pause_s : float
        Time without starts of one priority after all upstreams were full for one of
        its requests, in seconds.
    batch_spacing_s : float
        Minimum time between two batch starts after that pause, until the queue is
        empty, in seconds. The aim is that all instances together start at most one
        request per upstream before load reports show the effect.
    """

    capacity: int = 64
    batch_share: float = 0.75
    batch_every: int = 4
    max_queued: int = 256
    burst_s: float = 2.0
    wait_margin: float = 1.6
    busy_pause_s: float = 0.05
    batch_spacing_s: float = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRequest:
    """Properties of a request that admission control uses.

    Parameters
    ----------
    limits : Limits
        Limits of the workspace across all instances.
    serving_entries : int
        Number of entry instances that share the workspace's callers.
    latest_start_s : float
        Loop time after which the request must not start, in seconds.
    """

    run: RunId
    workspace: WorkspaceId
    limits: Limits
    serving_entries: int
    priority: Priority
    latest_start_s: float


class AdmissionRefusal(Enum):
    """Reason why a request is not admitted."""

    RATE_LIMITED = "rate_limited"
    TOO_MANY_CONCURRENT = "too_many_concurrent"
    OVERLOADED = "overloaded"


@dataclass(frozen=True, slots=True)
class Admitted:
    """Result: the request may be placed now.

    Call `AdmissionController.on_finished` when the request ends.
    """

    run: RunId


@dataclass(frozen=True, slots=True)
class Queued:
    """Result: the request is queued until `AdmissionController.advance` returns it.

    Parameters
    ----------
    expected_wait_s : float
        Expected time in the queue, in seconds.
    """

    run: RunId
    expected_wait_s: float


@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """Result: the request is refused and has not run.

    Parameters
    ----------
    retry_after_s : float
        Time after which the caller may retry, in seconds.
    """

    run: RunId
    reason: AdmissionRefusal
    retry_after_s: float
