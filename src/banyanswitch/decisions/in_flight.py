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

    def requests(self, view: UpstreamView, now_s: float, report_lag_s: float) -> int:
        """Return the requests that an upstream is believed to hold."""
        reported = view.running_requests + view.queued_requests
        own = self._by_upstream.get(view.upstream)
        if not own:
            return reported
        seen_until_s = view.reported_at_s - report_lag_s
        unseen = sum(1 for sent in own.values() if sent.sent_at_s >= seen_until_s)
        return max(len(own), reported + unseen)

    def prefill_tokens(
        self, view: UpstreamView, now_s: float, report_lag_s: float
    ) -> float:
        """Return the prompt tokens that wait at an upstream.

        The reported ones are assumed to have been worked off at the
        upstream's rate since the report was made.
        """
        age_s = max(0.0, now_s - view.reported_at_s)
        worked_off = age_s * view.prefill_tokens_per_s
        reported = max(0.0, view.queued_prefill_tokens - worked_off)
        own = self._by_upstream.get(view.upstream)
        if not own:
            return reported
        seen_until_s = view.reported_at_s - report_lag_s
        unseen = sum(
            sent.prefill_tokens
            for sent in own.values()
            if sent.sent_at_s >= seen_until_s
        )
        own_tokens = sum(sent.prefill_tokens for sent in own.values())
        return max(float(own_tokens), reported + unseen)

    def interactive_tokens(self, view: UpstreamView) -> float:
        """Return the prompt tokens that are known to be of interactive requests.

        Load reports don't tell the priorities apart, so these are only the tokens
        of this instance's own requests.
        """
        own = self._by_upstream.get(view.upstream)
        if not own:
            return 0.0
        return float(
            sum(
                sent.prefill_tokens
                for sent in own.values()
                if sent.priority is Priority.INTERACTIVE
            )
        )
