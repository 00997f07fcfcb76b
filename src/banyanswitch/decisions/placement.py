"""Choice of the upstream for one request."""

import random
from collections.abc import Iterable
from typing import Final

from banyanswitch.config.models import Priority
from banyanswitch.decisions.cache_view import CacheView
from banyanswitch.decisions.in_flight import InFlightTracker, LoadEstimate
from banyanswitch.decisions.link_budget import LinkBudgets
from banyanswitch.decisions.placement_models import (
    ImportFirst,
    Place,
    PlacementPolicy,
    PlacementRequest,
    Refuse,
    RefuseReason,
)
from banyanswitch.decisions.placement_options import (
    ImportSource,
    QueueEstimate,
    ServingOption,
    compute_option,
    import_options,
    to_place_command,
)
from banyanswitch.decisions.prefix import prefix_key
from banyanswitch.decisions.upstream_pool import UpstreamPool, UpstreamView
from banyanswitch.identifiers import UpstreamId

__all__ = [
    "ImportFirst",
    "Place",
    "PlacementPolicy",
    "PlacementRequest",
    "Placer",
    "Refuse",
    "RefuseReason",
]

HOME_PIECES: Final = 2
"""Number of leading pieces whose hash selects the home upstream."""

MIN_WEIGHT: Final = 0.05
"""Minimum upstream weight by which the expected wait is divided."""

MIN_EXPECTED_FIRST_TOKEN_S: Final = 1.0
"""Minimum expected time to first token that updates the delay ratio, in seconds.

Shorter times give little information about the load of the upstreams.
"""

MAX_DELAY_RATIO: Final = 4.0
DELAY_RATIO_RISE_WEIGHT: Final = 0.2
"""Weight of the latest ratio if it is above the delay ratio."""

DELAY_RATIO_FALL_WEIGHT: Final = 0.05
"""Weight of the latest ratio if it is not above the delay ratio."""


class Placer:
    """Choose upstreams, taking into account requests in flight from this instance.

    Parameters
    ----------
    cache_view : CacheView
        Expected cache contents of upstreams and stores.
    rng : random.Random
        Seeded generator for the random candidates.
    links : LinkBudgets, optional
        Limits on the imports of each workspace.
    """

    def __init__(
        self,
        cache_view: CacheView,
        rng: random.Random,
        policy: PlacementPolicy | None = None,
        links: LinkBudgets | None = None,
    ) -> None:
        self.cache_view = cache_view
        self.in_flight = InFlightTracker()
        self._rng = rng
        self._policy = policy or PlacementPolicy()
        self._links = links
        self._delay_ratios = dict.fromkeys(Priority, 1.0)

    def place(
        self, request: PlacementRequest, pool: UpstreamPool, now_s: float
    ) -> Place | Refuse:
        """Choose the upstream with the lowest expected cost, or the home upstream.

        The home upstream of the prefix is chosen if its cost exceeds the lowest by at
        most ``home_slack_s``. The cost is the sum of time to first token, prefill time
        of pieces that exist elsewhere, and link time, weighted by the reuse policy of
        the service. Queued work of unknown priority adds to the time to first token.

        The candidates are the holders of the longest cached prefixes, the home upstream
        of the prefix and a few random upstreams, so the work does not depend on the
        number of upstreams.
        """
        matches = {
            match.upstream: match.pieces
            for match in self.cache_view.matches(request.piece_hashes)
        }
        source = self._import_source(request, pool, now_s)
        known_pieces = max(matches.values(), default=0)
        if source is not None:
            known_pieces = max(known_pieces, source.stored.pieces)
        home = self._home(request, pool)
        options: list[ServingOption] = []
        full: list[ServingOption] = []
        for upstream in self._candidates(request, pool, matches, home):
            view = pool.get(upstream)
            if view is None or not _may_serve(view, request):
                continue
            load = self.in_flight.estimate(view, now_s, self._policy.report_lag_s)
            cached = matches.get(upstream, 0)
            if cached:
                cached = round(cached * self.cache_view.confidence(upstream, now_s))
            queue = self._estimate_queue(request, view, load)
            option = compute_option(request, view, queue, cached, known_pieces)
            if self._is_full(view, request, load):
                full.append(option)
                continue
            options.append(option)
            if source is not None and source.stored.pieces > cached:
                options.extend(import_options(request, view, queue, cached, source))
        if not options:
            return self._refusal(request, full, now_s)
        best = self._best(options, home)
        if self._misses_deadline(request, best.first_token_s, now_s):
            return Refuse(
                run=request.run,
                reason=RefuseReason.DEADLINE,
                retry_after_s=best.first_token_s,
            )
        return to_place_command(request, best, source)

    def on_sent(self, place: Place, now_s: float) -> None:
        """Record that a request was sent to its upstream."""
        self.in_flight.add(
            place.run,
            place.upstream,
            place.prefill_tokens,
            now_s,
            priority=place.priority,
        )

    def on_first_token(self, place: Place, now_s: float) -> None:
        """Record that the upstream has finished the prefill of the prompt."""
        self._update_delay_ratio(place, now_s)
        self.in_flight.finish_prefill(place.run, now_s)
        self.cache_view.add(place.upstream, place.piece_hashes)

    def delay_ratio(self, priority: Priority) -> float:
        """Return the smoothed ratio of actual to expected time to first token.

        The ratio is at least 1 and at most `MAX_DELAY_RATIO`. It rises faster than it
        falls, so that for most of the recent requests the first token arrived within
        the expected time multiplied by this ratio.
        """
        return self._delay_ratios[priority]

    def on_finished(self, place: Place, now_s: float) -> None:
        """Record that a request has ended, whatever its outcome."""
        self.in_flight.remove(place.run, now_s)

    def _update_delay_ratio(self, place: Place, now_s: float) -> None:
        sent_at_s = self.in_flight.sent_at_s(place.run)
        if (
            sent_at_s is None
            or place.expected_first_token_s < MIN_EXPECTED_FIRST_TOKEN_S
        ):
            return
        ratio = (now_s - sent_at_s) / place.expected_first_token_s
        ratio = min(MAX_DELAY_RATIO, max(1.0, ratio))
        change = ratio - self._delay_ratios[place.priority]
        smoothing = DELAY_RATIO_RISE_WEIGHT if change > 0 else DELAY_RATIO_FALL_WEIGHT
        self._delay_ratios[place.priority] += smoothing * change

    def _import_source(
        self, request: PlacementRequest, pool: UpstreamPool, now_s: float
    ) -> ImportSource | None:
        stored = self.cache_view.stored_match(request.piece_hashes)
        if stored is None:
            return None
        view = pool.store(stored.store)
        if view is None or not view.is_available or view.bytes_per_s <= 0:
            return None
        if self._links is None:
            return ImportSource(stored, view, float("inf"))
        allowed = self._links.import_bytes(stored.store, request.workspace, now_s)
        return ImportSource(stored, view, allowed)

    def _home(self, request: PlacementRequest, pool: UpstreamPool) -> UpstreamId | None:
        if not request.piece_hashes:
            return None
        index = min(HOME_PIECES, len(request.piece_hashes)) - 1
        key = prefix_key(request.piece_hashes[index])
        return pool.home(request.service, request.weight_version, key)

    def _candidates(
        self,
        request: PlacementRequest,
        pool: UpstreamPool,
        matches: Iterable[UpstreamId],
        home: UpstreamId | None,
    ) -> dict[UpstreamId, None]:
        candidates = dict.fromkeys(matches)
        if home is not None:
            candidates[home] = None
        names = pool.accepting(request.service, request.weight_version)
        # Excluded upstreams may be drawn too, so the sample is larger by their number.
        count = self._policy.samples + len(request.excluded)
        if len(names) <= count:
            candidates.update(dict.fromkeys(names))
            return candidates
        drawn = self._rng.sample(range(len(names)), count)
        candidates.update(dict.fromkeys(names[index] for index in drawn))
        return candidates

    def _is_full(
        self, view: UpstreamView, request: PlacementRequest, load: LoadEstimate
    ) -> bool:
        bound = view.slots * self._policy.queue_factor * view.weight
        if request.priority is Priority.BATCH:
            bound *= self._policy.batch_slot_share
            backlog_s = load.prefill_tokens / view.prefill_tokens_per_s
            if backlog_s > self._policy.batch_backlog_s:
                return True
        return load.requests >= max(1.0, bound)

    def _estimate_queue(
        self, request: PlacementRequest, view: UpstreamView, load: LoadEstimate
    ) -> QueueEstimate:
        tokens = load.prefill_tokens
        tokens_ahead = tokens
        if request.priority is Priority.INTERACTIVE:
            priority_tokens = load.interactive_tokens + self._policy.chunk_tokens
            tokens_ahead = min(tokens, priority_tokens)
        excess = load.requests + 1 - view.slots
        slot_s = excess * self._policy.decode_slot_s if excess > 0 else 0.0
        weight = max(view.weight, MIN_WEIGHT)
        wait_s = (tokens_ahead / view.prefill_tokens_per_s + slot_s) / weight
        uncertain_s = (tokens - tokens_ahead) / view.prefill_tokens_per_s
        return QueueEstimate(wait_s, self._policy.uncertain_wait_weight * uncertain_s)

    def _best(
        self, options: list[ServingOption], home: UpstreamId | None
    ) -> ServingOption:
        best = min(options, key=_cost_of)
        for option in options:
            if option.upstream != home:
                continue
            if option.cost <= best.cost + self._policy.home_slack_s:
                return option
        return best

    def _misses_deadline(
        self, request: PlacementRequest, first_token_s: float, now_s: float
    ) -> bool:
        delay_ratio = (
            1.0 if request.has_waited else self._delay_ratios[request.priority]
        )
        return now_s + delay_ratio * first_token_s > request.deadline_s

    def _refusal(
        self, request: PlacementRequest, full: list[ServingOption], now_s: float
    ) -> Refuse:
        retry_after_s = self._policy.retry_after_s
        if not full:
            return Refuse(
                run=request.run,
                reason=RefuseReason.NO_UPSTREAM,
                retry_after_s=retry_after_s,
            )
        earliest_s = min(option.first_token_s for option in full)
        reason = RefuseReason.BUSY
        if self._misses_deadline(request, earliest_s, now_s):
            reason = RefuseReason.DEADLINE
            retry_after_s = max(retry_after_s, earliest_s)
        return Refuse(run=request.run, reason=reason, retry_after_s=retry_after_s)


def _may_serve(view: UpstreamView, request: PlacementRequest) -> bool:
    return (
        view.is_accepting
        and view.service == request.service
        and view.weight_version == request.weight_version
        and view.upstream not in request.excluded
    )


def _cost_of(option: ServingOption) -> float:
    return option.cost
