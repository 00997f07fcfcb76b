"""Decisions on what upstreams say of themselves in their responses."""

from dataclasses import dataclass

RESTING_STATUSES = frozenset({429, 503})


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseNotice:
    """What one response says of its upstream.

    Parameters
    ----------
    retry_after_s : float or None
        Time for which it asks to get nothing, in seconds.
    is_leaving : bool
        Whether it is about to leave.
    """

    status: int
    retry_after_s: float | None = None
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamNotice:
    """What is known of one start of an upstream from its responses.

    Parameters
    ----------
    rests_until_s : float
        Loop time until which it gets nothing from this instance, in seconds.
    is_leaving : bool
        Whether it gets nothing until it starts again.
    """

    rests_until_s: float = float("-inf")
    is_leaving: bool = False

    def may_send(self, now_s: float) -> bool:
        """Return whether the upstream may get a request now."""
        return not self.is_leaving and now_s >= self.rests_until_s


def updated_notice(
    known: UpstreamNotice, response: ResponseNotice, now_s: float
) -> UpstreamNotice:
    """Return what is known after a response.

    A shorter rest, or a response that doesn't ask for one, doesn't end an earlier rest:
    the responses may be to requests that were sent before it.
    """
    rests_until_s = known.rests_until_s
    if response.retry_after_s and response.status in RESTING_STATUSES:
        rests_until_s = max(rests_until_s, now_s + response.retry_after_s)
    return UpstreamNotice(rests_until_s, known.is_leaving or response.is_leaving)
