"""Limits on the use of superseded weights, from the change of the target version."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightAgePolicy:
    """Times after which superseded weights are no longer used.

    Parameters
    ----------
    deadline_s : float
        Time after a new version became the target from which no upstream may start a
        request on an older one, in seconds.
    send_share : float
        Share of the deadline after which no request is sent to older weights.
    start_share : float
        Share of the deadline after which a request that the upstream has not started
        is withdrawn.
    min_start_margin_s : float
        Minimum time between the withdrawal and the deadline, in seconds. It covers the
        delay until an instance knows of the new version, and the way to the upstream.
    min_queue_share : float
        Share of a request's remaining time in which an upstream without room for it
        must be able to start it.
    """

    deadline_s: float
    send_share: float = 0.85
    start_share: float = 0.95
    min_start_margin_s: float = 0.3
    min_queue_share: float = 0.5

    def may_send(self, superseded_for_s: float) -> bool:
        """Return whether a request may still be sent to superseded weights."""
        limit_s = min(self.send_share * self.deadline_s, self._start_within_s())
        return superseded_for_s < limit_s

    def start_by_s(self, superseded_at_s: float) -> float:
        """Return the loop time by which an upstream must have started a request."""
        return superseded_at_s + self._start_within_s()

    def may_queue_at_upstream(
        self, superseded_at_s: float | None, ends_at_s: float, now_s: float
    ) -> bool:
        """Return whether an upstream without room for a request may get it.

        The request waits there for an unknown time, and is withdrawn if it has not
        started when the weights are too old. All times are loop times.

        Parameters
        ----------
        superseded_at_s : float or None
            Time at which the upstream's weights were superseded, if they were.
        ends_at_s : float
            Time at which the request ends in any case.
        """
        if superseded_at_s is None:
            return True
        queue_s = self.start_by_s(superseded_at_s) - now_s
        return queue_s >= self.min_queue_share * (ends_at_s - now_s)

    def _start_within_s(self) -> float:
        margin_s = (1.0 - self.start_share) * self.deadline_s
        return self.deadline_s - max(margin_s, self.min_start_margin_s)
