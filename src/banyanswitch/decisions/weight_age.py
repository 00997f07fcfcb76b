"""Limits on the use of superseded weights, from the change of the target version."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightAgePolicy:
    """Times after which superseded weights are no longer used.

    The shares leave time for the delay until an instance knows of the new version, and
    for the withdrawal of a request to reach the upstream.

    Parameters
    ----------
    deadline_s : float
        Time after a new version became the target from which no upstream may begin a
        request on an older one, in seconds.
    send_share : float
        Share of the deadline after which no request is sent to older weights.
    start_share : float
        Share of the deadline after which a request that the upstream has not begun is
        withdrawn.
    """

    deadline_s: float
    send_share: float = 0.85
    start_share: float = 0.95

    def may_send(self, superseded_for_s: float) -> bool:
        """Return whether a request may still be sent to superseded weights."""
        return superseded_for_s < self.send_share * self.deadline_s

    def start_by_s(self, superseded_at_s: float) -> float:
        """Return the loop time by which an upstream must have begun a request."""
        return superseded_at_s + self.start_share * self.deadline_s


def may_queue_at_upstream(start_by_s: float | None, ends_at_s: float) -> bool:
    """Return whether an upstream without room for a request may get it.

    It begins the request at an unknown time before ``ends_at_s``, at which the request
    ends in any case. Both are loop times.

    Parameters
    ----------
    start_by_s : float or None
        Time by which it must have begun the request; ``None`` for no limit.
    """
    return start_by_s is None or ends_at_s <= start_by_s
