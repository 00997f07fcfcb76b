"""Requests that this instance has in flight, to correct lagging load reports."""

from collections import defaultdict
from dataclasses import dataclass

from banyanswitch.config.models import Priority
from banyanswitch.decisions.upstream_pool import UpstreamView
from banyanswitch.identifiers import RunId, UpstreamId


@dataclass(slots=True)
class _Sent:
    """A request that was sent and has not ended."""

    upstream: UpstreamId
    prefill_tokens: int
    sent_at_s: float
    priority: Priority


@dataclass(slots=True)
class LoadEstimate:
    """Estimated load of an upstream now.

    Parameters
    ----------
    requests : int
        Requests that run or wait there.
    prefill_tokens : float
        Prompt tokens that wait there.
    interactive_tokens : float
        Those known to be of interactive requests. Load reports don't tell the
        priorities apart, so these are this instance's own.
    """

    requests: int
    prefill_tokens: float
    interactive_tokens: float


class InFlightTracker:
    """Count own requests per upstream and join them with its last report."""

    def __init__(self) -> None:
        self._runs: dict[RunId, _Sent] = {}
        self._by_upstream: dict[UpstreamId, dict[RunId, _Sent]] = defaultdict(dict)

    def __len__(self) -> int:
        return len(self._runs)

    def add(
        self,
        run: RunId,
        upstream: UpstreamId,
        prefill_tokens: int,
        now_s: float,
        *,
        priority: Priority = Priority.INTERACTIVE,
    ) -> None:
        """Note a request that was sent; a second try replaces the first."""
        self.remove(run, now_s)
        sent = _Sent(upstream, prefill_tokens, now_s, priority)
        self._runs[run] = sent
        self._by_upstream[upstream][run] = sent

    def finish_prefill(self, run: RunId, now_s: float) -> None:
        """Note that a request's prompt is computed."""
        sent = self._runs.get(run)
        if sent is not None:
            sent.prefill_tokens = 0

    def remove(self, run: RunId, now_s: float) -> None:
        """Note that a request ended."""
        sent = self._runs.pop(run, None)
        if sent is None:
            return
        left = self._by_upstream[sent.upstream]
        left.pop(run, None)
        if not left:
            del self._by_upstream[sent.upstream]

    def sent_at_s(self, run: RunId) -> float | None:
        """Return the time at which a request was sent."""
        sent = self._runs.get(run)
        return sent.sent_at_s if sent is not None else None

    def estimate(
        self, view: UpstreamView, now_s: float, report_lag_s: float
    ) -> LoadEstimate:
        """Correct a load report by the time since and by what was sent since.

        The reported prompt tokens are assumed to have been worked off at the
        upstream's rate since the report arrived.
        """
        requests = view.running_requests + view.queued_requests
        age_s = max(0.0, now_s - view.reported_at_s)
        worked_off = age_s * view.prefill_tokens_per_s
        tokens = max(0.0, view.queued_prefill_tokens - worked_off)
        own = self._by_upstream.get(view.upstream)
        if not own:
            return LoadEstimate(requests, tokens, 0.0)
        seen_until_s = view.reported_at_s - report_lag_s
        own_tokens = 0
        interactive_tokens = 0
        for sent in own.values():
            own_tokens += sent.prefill_tokens
            if sent.priority is Priority.INTERACTIVE:
                interactive_tokens += sent.prefill_tokens
            if sent.sent_at_s >= seen_until_s:
                requests += 1
                tokens += sent.prefill_tokens
        return LoadEstimate(
            max(len(own), requests), max(own_tokens, tokens), interactive_tokens
        )
