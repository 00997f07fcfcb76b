"""Messages and records of the quarantine of prompt parts."""

import msgspec


class EndedUpstream(msgspec.Struct, frozen=True, array_like=True):
    """Upstream that ended while requests of the reporting instance were in flight.

    Parameters
    ----------
    started_at_ms : int
        Start of the upstream, which may start again under the same name.
    age_s : float
        Time since its end, in seconds.
    requests : list of list of str
        Shared parts and content of each request that may have caused the end.
    has_answered : bool
        Whether it answered the reporting instance afterwards, so that it has not ended.
    """

    upstream: str
    started_at_ms: int
    model: str
    age_s: float
    requests: list[list[str]]
    has_answered: bool = False


class ServedPart(msgspec.Struct, frozen=True, array_like=True):
    """Suspected part of which the reporting instance has served a request.

    Parameters
    ----------
    age_s : float
        Time since the request was served, in seconds.
    """

    model: str
    part: str
    age_s: float


class WithheldParts(msgspec.Struct, frozen=True, array_like=True):
    """Combination of parts that the reporting instance withholds.

    Parameters
    ----------
    since_age_s : float
        Time since the first end that it explains, in seconds.
    last_age_s : float
        Time since the last end or trial, in seconds.
    """

    model: str
    parts: list[str]
    since_age_s: float
    last_age_s: float
    trials: int


class QuarantineReport(msgspec.Struct, frozen=True, array_like=True):
    """What one instance knows about parts that crash upstreams."""

    ended: list[EndedUpstream] = []
    served: list[ServedPart] = []
    withheld: list[WithheldParts] = []


class StoredParts(msgspec.Struct, frozen=True):
    """Row of a withheld combination of parts in the table service."""

    model: str
    parts: list[str]
    trials: int


EMPTY_REPORT = QuarantineReport()
