"""Requests in flight from this instance, used to correct delayed load reports."""

from collections import defaultdict, deque
from dataclasses import dataclass
from typing import Final

from banyanswitch.config.models import Priority
from banyanswitch.decisions.upstream_pool import UpstreamView
from banyanswitch.identifiers import RunId, UpstreamId

ENDED_LIFETIME_S: Final = 10.0
"""Retention time of ended requests, in seconds."""

MAX_ENDED_PER_UPSTREAM: Final = 256
"""Maximum number of ended requests kept for one upstream."""


@dataclass(slots=True)
class _SentRequest:
    """A request that was sent and has not ended."""

    upstream: UpstreamId
    prefill_tokens: int
    sent_at_s: float
    priority: Priority


@dataclass(slots=True)
class LoadEstimate:
    """Estimated current load of an upstream.

    Parameters
    ----------
    requests : int
        Number of running and queued requests.
    prefill_tokens : float
        Number of queued prompt tokens.
    interactive_tokens : float
        Queued prompt tokens of interactive requests of this instance. Load reports do
        not distinguish priorities, so those of other instances are unknown.
    """

    requests: int
    prefill_tokens: float
    interactive_tokens: float


@dataclass(frozen=True, slots=True)
class _EndedRequest:
    """A request of this instance that ended recently."""

    sent_at_s: float
    ended_at_s: float


class InFlightTracker:
    """Track requests of this instance and combine them with upstream load reports."""

    def __init__(self) -> None:
        self._runs: dict[RunId, _SentRequest] = {}
        self._ended: dict[UpstreamId, deque[_EndedRequest]] = {}
        self._by_upstream: dict[UpstreamId, dict[RunId, _SentRequest]] = defaultdict(
            dict
        )

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
        """Record a sent request. A second attempt replaces the first."""
        self.remove(run, now_s)
        sent = _SentRequest(upstream, prefill_tokens, now_s, priority)
        self._runs[run] = sent
        self._by_upstream[upstream][run] = sent

    def finish_prefill(self, run: RunId, now_s: float) -> None:
        """Record that the prefill of a request has finished."""
        sent = self._runs.get(run)
        if sent is not None:
            sent.prefill_tokens = 0

    def remove(self, run: RunId, now_s: float) -> None:
        """Record the end of a request."""
        sent = self._runs.pop(run, None)
        if sent is None:
            return
        self._record_ended(sent, now_s)
        remaining = self._by_upstream[sent.upstream]
        remaining.pop(run, None)
        if not remaining:
            del self._by_upstream[sent.upstream]

    def sent_at_s(self, run: RunId) -> float | None:
        """Return the loop time at which a request was sent, or ``None``."""
        sent = self._runs.get(run)
        return sent.sent_at_s if sent is not None else None

    def estimate(
        self, view: UpstreamView, now_s: float, report_lag_s: float
    ) -> LoadEstimate:
        """Estimate the load of an upstream from its report and from later requests.

        The report describes the upstream at a time up to ``report_lag_s`` before the
        report arrived, on average half of it. The requests that this instance had at
        the upstream at the average time are subtracted, which leaves those of other
        instances. Then the requests of this instance now in flight are added.

        The reported prompt tokens are assumed to have been processed at the prefill
        rate of the upstream since the report arrived. The prompt tokens of requests
        sent within the whole lag or later are added, as the report may not include
        them.
        """
        described_at_s = view.reported_at_s - report_lag_s / 2.0
        reported = view.running_requests + view.queued_requests
        others = max(0, reported - self._count_at(view.upstream, described_at_s))
        age_s = max(0.0, now_s - view.reported_at_s)
        prefilled_tokens = age_s * view.prefill_tokens_per_s
        tokens = max(0.0, view.queued_prefill_tokens - prefilled_tokens)
        own_requests = self._by_upstream.get(view.upstream)
        if not own_requests:
            return LoadEstimate(others, tokens, 0.0)
        surely_included_until_s = view.reported_at_s - report_lag_s
        own_tokens = 0
        interactive_tokens = 0
        for sent in own_requests.values():
            own_tokens += sent.prefill_tokens
            if sent.priority is Priority.INTERACTIVE:
                interactive_tokens += sent.prefill_tokens
            if sent.sent_at_s >= surely_included_until_s:
                tokens += sent.prefill_tokens
        return LoadEstimate(
            others + len(own_requests), max(own_tokens, tokens), interactive_tokens
        )

    def ended_count(self, upstream: UpstreamId) -> int:
        """Return the number of ended requests kept for an upstream."""
        return len(self._ended.get(upstream, ()))

    def _count_at(self, upstream: UpstreamId, time_s: float) -> int:
        """Return how many requests this instance had at an upstream at a past time."""
        running = self._by_upstream.get(upstream, {})
        count = sum(1 for sent in running.values() if sent.sent_at_s <= time_s)
        for ended in self._ended.get(upstream, ()):
            if ended.sent_at_s <= time_s < ended.ended_at_s:
                count += 1
        return count

    def _record_ended(self, sent: _SentRequest, now_s: float) -> None:
        ended = self._ended.get(sent.upstream)
        if ended is None:
            ended = self._ended[sent.upstream] = deque(maxlen=MAX_ENDED_PER_UPSTREAM)
        ended.append(_EndedRequest(sent.sent_at_s, now_s))
        while ended[0].ended_at_s < now_s - ENDED_LIFETIME_S:
            ended.popleft()
