"""Messages about the limits of upstreams."""

import msgspec


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """What an upstream said to the reporting instance about its limit.

    Parameters
    ----------
    started_at_ms : int
        Start of the upstream, which may start again under the same name.
    limit_per_s : float or None
        Requests per second from all instances; ``None`` if it named no limit any more.
    age_s : float
        Time since the response, in seconds.
    """

    upstream: str
    started_at_ms: int
    limit_per_s: float | None
    age_s: float
