"""Choice of the upstream for one request."""

import random
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from banyanswitch.config.models import Priority, ReusePolicy
from banyanswitch.const import DEFAULT_PIECE_TOKENS
from banyanswitch.decisions.cache_view import CacheView, StoredPrefix
from banyanswitch.decisions.in_flight import InFlightTracker
from banyanswitch.decisions.link_budget import LinkBudgets
from banyanswitch.decisions.prefix import prefix_key
from banyanswitch.decisions.upstream_pool import UpstreamPool, UpstreamView
from banyanswitch.identifiers import (
    PrefixHash,
    RunId,
    ServiceName,
    StoreId,
    UpstreamId,
    WeightVersion,
    WorkspaceId,
)

DEFAULT_SAMPLES: Final = 3
HOME_PIECES: Final = 2
MIN_WEIGHT: Final = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """What placement needs to know of a request.

    Parameters
    ----------
    weight_version : str or None
        Version pinned at admission; ``None`` for plain services.
    piece_hashes : tuple of str
        Chained hashes of the prompt's whole pieces, from `prefix`.
    prompt_tokens : int
        Estimated length of the prompt, in tokens.
    deadline_s : float
        Time by which the first token must come.
    excluded : frozenset of str
        Upstreams that must not be chosen, such as those that failed it.
    """

    run: RunId
    workspace: WorkspaceId
    service: ServiceName
    weight_version: WeightVersion | None
    piece_hashes: tuple[PrefixHash, ...] = ()
    prompt_tokens: int = 0
    piece_tokens: int = DEFAULT_PIECE_TOKENS
    priority: Priority = Priority.INTERACTIVE
    deadline_s: float = float("inf")
    excluded: frozenset[UpstreamId] = frozenset()
    reuse: ReusePolicy = field(default_factory=ReusePolicy)


@dataclass(frozen=True, slots=True, kw_only=True)
class ImportFirst:
    """Command: import a stored prefix before the request is sent."""

    store: StoreId
    manifest: str
    pieces: int
    size_bytes: int
    expected_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """Command: send the request to this upstream.

    Parameters
    ----------
    expected_first_token_s : float
        Expected time to first token from now, in seconds.
    expected_cached_pieces : int
        Leading pieces that need no prefill there, imported ones included.
    prefill_tokens : int
        Tokens that the upstream is expected to compute.
    """

    run: RunId
    upstream: UpstreamId
    expected_first_token_s: float
    expected_cached_pieces: int
    prefill_tokens: int
    piece_hashes: tuple[PrefixHash, ...] = ()
    import_first: ImportFirst | None = None
    priority: Priority = Priority.INTERACTIVE


class RefuseReason(Enum):
    """Why a request is not placed."""

    NO_UPSTREAM = "no_upstream"
    BUSY = "busy"
    DEADLINE = "deadline"


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Command: do not send the request.

    A ``BUSY`` request may wait in the admission queue; the other reasons are
    final.
    """

    run: RunId
    reason: RefuseReason
    retry_after_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementPolicy:
    """Settings of placement that are not per service.

    Parameters
    ----------
    samples : int
        Upstreams drawn at random beside those with a cached prefix.
    batch_slot_share : float
        Share of an upstream's slots that batch requests may fill.
    home_slack_s : float
        Cost by which the home of a prefix may exceed the best candidate.
    report_lag_s : float
        Age of a load report when it arrives, in seconds.
    decode_slot_s : float
        Expected time until a busy upstream frees a slot, in seconds.
    queue_factor : float
        Requests per slot that an upstream may hold, waiting ones included.
    retry_after_s : float
        Time to come back when no upstream is available, in seconds.
    chunk_tokens : int
        Tokens that an engine computes before it turns to a request that goes first.
    unsure_wait_weight : float
        Cost of a second of queued work whose priority is not known.
    """

    samples: int = DEFAULT_SAMPLES
    batch_slot_share: float = 0.75
    home_slack_s: float = 0.1
    report_lag_s: float = 0.5
    decode_slot_s: float = 0.3
    queue_factor: float = 1.0
    retry_after_s: float = 1.0
    chunk_tokens: int = 1000
    unsure_wait_weight: float = 0.5


@dataclass(frozen=True, slots=True)
class _Wait:
    """Time before the prefill of a request begins.

    Parameters
    ----------
    cost_s : float
        Added to its cost for work that may turn out to go first.
    """

    expected_s: float
    cost_s: float


@dataclass(frozen=True, slots=True)
class _Option:
    """One way to serve a request, with its cost."""

    upstream: UpstreamId
    cost: float
    first_token_s: float
    cached_pieces: int
    prefill_tokens: int
    import_first: ImportFirst | None = None


class Placer:
    """Choose upstreams, corrected by what this instance has in flight.

    Parameters
    ----------
    cache_view : CacheView
        What upstreams and stores are believed to hold.
    rng : random.Random
        Seeded source of the random samples.
    links : LinkBudgets, optional
        Bounds the imports of each workspace.
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

    def place(
        self, request: PlacementRequest, pool: UpstreamPool, now_s: float
    ) -> Place | Refuse:
        """Choose the upstream with the least expected cost.

        The cost weighs time to first token, engine time spent on pieces that
        exist elsewhere, and link time, as the service's reuse policy says.
        Candidates are the holders of the longest cached prefixes, the home of
        the prefix and a few drawn at random, so the work does not depend on
        the number of upstreams.
        """
        matches = {
            match.upstream: match.pieces
            for match in self.cache_view.matches(request.piece_hashes)
        }
        stored = self.cache_view.stored_match(request.piece_hashes)
        known_pieces = max(matches.values(), default=0)
        if stored is not None:
            known_pieces = max(known_pieces, stored.pieces)
        home = self._home(request, pool)
        options: list[_Option] = []
        has_candidate = False
        for upstream in self._candidates(request, pool, matches, home):
            view = pool.get(upstream)
            if view is None or not _may_serve(view, request):
                continue
            has_candidate = True
            if self._is_full(view, request, now_s):
                continue
            cached = matches.get(upstream, 0)
            cached = round(cached * self.cache_view.confidence(upstream, now_s))
            options.append(
                self._compute_option(request, view, cached, known_pieces, now_s)
            )
            if stored is not None and stored.pieces > cached:
                imported = self._import_option(
                    request, view, cached, stored, pool=pool, now_s=now_s
                )
                if imported is not None:
                    options.append(imported)
        if not options:
            return self._refusal(request, has_candidate)
        best = self._best(options, home)
        if now_s + best.first_token_s > request.deadline_s:
            return Refuse(
                run=request.run,
                reason=RefuseReason.DEADLINE,
                retry_after_s=best.first_token_s,
            )
        return Place(
            run=request.run,
            upstream=best.upstream,
            expected_first_token_s=best.first_token_s,
            expected_cached_pieces=best.cached_pieces,
            prefill_tokens=best.prefill_tokens,
            piece_hashes=request.piece_hashes,
            import_first=best.import_first,
            priority=request.priority,
        )

    def on_sent(self, place: Place, now_s: float) -> None:
        """Note that a request was sent as ordered."""
        self.in_flight.add(
            place.run,
            place.upstream,
            place.prefill_tokens,
            now_s,
            priority=place.priority,
        )

    def on_first_token(self, place: Place, now_s: float) -> None:
        """Note that the upstream has computed the whole prompt."""
        self.in_flight.finish_prefill(place.run, now_s)
        self.cache_view.add(place.upstream, place.piece_hashes)

    def on_finished(self, place: Place, now_s: float) -> None:
        """Note that a request has ended, whatever its outcome."""
        self.in_flight.remove(place.run, now_s)

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
        matches: dict[UpstreamId, int],
        home: UpstreamId | None,
    ) -> dict[UpstreamId, None]:
        candidates = dict.fromkeys(matches)
        if home is not None:
            candidates[home] = None
        names = pool.accepting(request.service, request.weight_version)
        for _ in range(self._policy.samples + len(request.excluded)):
            if names:
                candidates[names[int(self._rng.random() * len(names))]] = None
        return candidates

    def _is_full(
        self, view: UpstreamView, request: PlacementRequest, now_s: float
    ) -> bool:
        running = self.in_flight.requests(view, now_s, self._policy.report_lag_s)
        bound = view.slots * self._policy.queue_factor * view.weight
        if request.priority is Priority.BATCH:
            bound *= self._policy.batch_slot_share
        return running >= max(1.0, bound)

    def _wait(
        self, request: PlacementRequest, view: UpstreamView, now_s: float
    ) -> _Wait:
        lag_s = self._policy.report_lag_s
        tokens = self.in_flight.prefill_tokens(view, now_s, lag_s)
        first_tokens = tokens
        if request.priority is Priority.INTERACTIVE:
            own_tokens = self.in_flight.interactive_tokens(view)
            first_tokens = min(tokens, own_tokens + self._policy.chunk_tokens)
        excess = self.in_flight.requests(view, now_s, lag_s) + 1 - view.slots
        slot_s = max(0, excess) * self._policy.decode_slot_s
        weight = max(view.weight, MIN_WEIGHT)
        expected_s = (first_tokens / view.prefill_tokens_per_s + slot_s) / weight
        unsure_s = (tokens - first_tokens) / view.prefill_tokens_per_s
        return _Wait(expected_s, self._policy.unsure_wait_weight * unsure_s)

    def _compute_option(
        self,
        request: PlacementRequest,
        view: UpstreamView,
        cached_pieces: int,
        known_pieces: int,
        now_s: float,
    ) -> _Option:
        tokens = max(0, request.prompt_tokens - cached_pieces * request.piece_tokens)
        wait = self._wait(request, view, now_s)
        first_token_s = wait.expected_s + tokens / view.prefill_tokens_per_s
        redone_tokens = max(0, known_pieces - cached_pieces) * request.piece_tokens
        cost = request.reuse.first_token_weight * (first_token_s + wait.cost_s)
        cost += (
            request.reuse.recompute_weight * redone_tokens / view.prefill_tokens_per_s
        )
        return _Option(view.upstream, cost, first_token_s, cached_pieces, tokens)

    def _import_option(
        self,
        request: PlacementRequest,
        view: UpstreamView,
        cached_pieces: int,
        stored: StoredPrefix,
        *,
        pool: UpstreamPool,
        now_s: float,
    ) -> _Option | None:
        store = pool.store(stored.store)
        if store is None or not store.is_available or store.bytes_per_s <= 0:
            return None
        pieces = self._importable_pieces(request, cached_pieces, stored, now_s)
        if pieces <= cached_pieces:
            return None
        size_bytes = (pieces - cached_pieces) * stored.size_bytes // stored.pieces
        link_s = size_bytes / store.bytes_per_s
        import_s = link_s + store.queued_bytes / store.bytes_per_s
        if stored.is_on_disk:
            import_s += size_bytes / store.disk_bytes_per_s
        tokens = max(0, request.prompt_tokens - pieces * request.piece_tokens)
        redone_tokens = (stored.pieces - pieces) * request.piece_tokens
        wait = self._wait(request, view, now_s)
        wait_s = max(import_s, wait.expected_s)
        first_token_s = wait_s + tokens / view.prefill_tokens_per_s
        cost = request.reuse.first_token_weight * (first_token_s + wait.cost_s)
        cost += request.reuse.link_weight * link_s
        cost += (
            request.reuse.recompute_weight * redone_tokens / view.prefill_tokens_per_s
        )
        order = ImportFirst(
            store=stored.store,
            manifest=stored.manifest,
            pieces=pieces,
            size_bytes=size_bytes,
            expected_s=import_s,
        )
        return _Option(view.upstream, cost, first_token_s, pieces, tokens, order)

    def _importable_pieces(
        self,
        request: PlacementRequest,
        cached_pieces: int,
        stored: StoredPrefix,
        now_s: float,
    ) -> int:
        if self._links is None or stored.pieces <= 0:
            return stored.pieces
        allowed = self._links.import_bytes(stored.store, request.workspace, now_s)
        allowed_pieces = int(allowed * stored.pieces // max(1, stored.size_bytes))
        return min(stored.pieces, cached_pieces + allowed_pieces)

    def _best(self, options: list[_Option], home: UpstreamId | None) -> _Option:
        best = min(options, key=_cost_of)
        for option in options:
            if option.upstream != home:
                continue
            if option.cost <= best.cost + self._policy.home_slack_s:
                return option
        return best

    def _refusal(self, request: PlacementRequest, has_candidate: bool) -> Refuse:
        reason = RefuseReason.BUSY if has_candidate else RefuseReason.NO_UPSTREAM
        return Refuse(
            run=request.run, reason=reason, retry_after_s=self._policy.retry_after_s
        )


def _may_serve(view: UpstreamView, request: PlacementRequest) -> bool:
    return (
        view.is_accepting
        and view.service == request.service
        and view.weight_version == request.weight_version
        and view.upstream not in request.excluded
    )


def _cost_of(option: _Option) -> float:
    return option.cost
