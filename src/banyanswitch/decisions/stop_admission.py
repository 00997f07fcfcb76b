"""Which requests an instance still accepts while it is stopping."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class StopPolicy:
    """Times of a graceful shutdown, in seconds since it was requested.

    Parameters
    ----------
    accept_until_s : float
        End of the time in which new requests are accepted.
    end_requests_at_s : float
        When the requests that are still in progress are ended.
    exit_by_s : float
        When the connections that are still open are aborted.
    """

    accept_until_s: float
    end_requests_at_s: float
    exit_by_s: float


def accepts_request(
    policy: StopPolicy, *, elapsed_s: float, limit_s: float, is_call_once: bool
) -> bool:
    """Return whether a stopping instance accepts a request.

    A refused request is safe: it has not run, and its caller can send it to another
    instance at once. After a call that must not run twice has been cut off, its caller
    doesn't know whether it has run. Such a call is therefore accepted only if its time
    limit ends before the requests in progress are ended.

    Parameters
    ----------
    elapsed_s : float
        Time since the shutdown was requested, in seconds.
    limit_s : float
        Time until which the request must be answered, in seconds from now.
    is_call_once : bool
        Whether the request is a call, not a stream, that must not run twice.
    """
    if elapsed_s >= policy.accept_until_s:
        return False
    return not is_call_once or elapsed_s + limit_s <= policy.end_requests_at_s
