"""Fake of a model engine: slots, chunked prefill by priority, bounded cache."""

from collections import OrderedDict, deque
from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass, field

from banyanswitch.config.models import Priority
from banyanswitch.decisions.cache_view import CacheEvent, CacheEventKind
from banyanswitch.identifiers import (
    FailureDomainId,
    PrefixHash,
    UpstreamId,
    WeightVersion,
)
from bench.decisions.deployments import Deployment
from bench.decisions.simulator import Simulator

CHUNK_TOKENS = 1_000
LOG_RETENTION_S = 10.0


@dataclass(slots=True, eq=False)
class Job:
    """Request at an engine.

    Parameters
    ----------
    cached_pieces : int
        Leading pieces found in the cache when prefill starts; 0 while queued, and -1
        from the assignment of a slot until prefill starts.
    """

    pieces: tuple[PrefixHash, ...]
    prompt_tokens: int
    output_tokens: int
    priority: Priority
    on_first_token: Callable[[int], None]
    on_finished: Callable[[], None]
    on_failed: Callable[[], None]
    cached_pieces: int = 0
    remaining_tokens: int = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an engine at a point in time."""

    at_s: float
    running: int
    queued: int
    queued_prefill_tokens: int
    version: WeightVersion
    is_accepting: bool


@dataclass(slots=True)
class EngineCounters:
    """Prefill time and cache evictions of an engine."""

    prefill_s: float = 0.0
    evictions: int = 0


@dataclass(slots=True)
class _TimedCacheEvent:
    at_s: float
    event: CacheEvent


@dataclass(slots=True, eq=False)
class Engine:
    """Simulated upstream of the model service.

    Parameters
    ----------
    shared_cache : dict, optional
        Unbounded cache by weight version that replaces the cache of the engine.
    """

    simulator: Simulator
    deployment: Deployment
    name: UpstreamId
    failure_domain: FailureDomainId
    version: WeightVersion
    cache: OrderedDict[PrefixHash, None] = field(default_factory=OrderedDict)
    counters: EngineCounters = field(default_factory=EngineCounters)
    is_alive: bool = True
    is_loading: bool = False
    shared_cache: dict[WeightVersion, set[PrefixHash]] | None = None

    _running: set[Job] = field(default_factory=set)
    _queued: dict[Priority, deque[Job]] = field(
        default_factory=lambda: {priority: deque() for priority in Priority}
    )
    _prefilling: dict[Priority, deque[Job]] = field(
        default_factory=lambda: {priority: deque() for priority in Priority}
    )
    _is_busy: bool = False
    _sequence: int = 0
    _events: deque[_TimedCacheEvent] = field(default_factory=deque)
    _reports: deque[LoadReport] = field(default_factory=deque)
    # Number of failures. Callbacks scheduled before the last one are ignored.
    _epoch: int = 0

    def __post_init__(self) -> None:
        """Record the first load report."""
        self._note_load()

    def submit(self, job: Job) -> bool:
        """Queue a request; return false if the engine does not accept it."""
        if not self.is_alive or self.is_loading:
            return False
        self._queued[job.priority].append(job)
        self._fill_slots()
        self._note_load()
        return True

    def report(self, at_s: float) -> LoadReport:
        """Return the load at a time, and discard the reports older than this one."""
        reports = self._reports
        while len(reports) > 1 and reports[1].at_s <= at_s:
            reports.popleft()
        return reports[0]

    def events(self, after: int, until_s: float) -> tuple[list[CacheEvent], int | None]:
        """Return the events after a sequence number and up to a time.

        The second value is the oldest sequence number retained, if there is one.
        """
        retained = self._events
        found = [
            item.event
            for item in retained
            if item.event.sequence > after and item.at_s <= until_s
        ]
        return found, retained[0].event.sequence if retained else None

    def snapshot(self) -> tuple[list[PrefixHash], int]:
        """Return all cached pieces and the newest sequence number."""
        return list(self.cache), self._sequence

    def add_pieces(self, pieces: Sequence[PrefixHash]) -> None:
        """Add pieces to the cache and evict the least recently used ones.

        The last pieces of a prompt are added first, so they are evicted before its
        leading pieces.
        """
        if self.shared_cache is not None:
            self.shared_cache.setdefault(self.version, set()).update(pieces)
            return
        for piece in reversed(pieces):
            if piece in self.cache:
                self.cache.move_to_end(piece)
                continue
            self.cache[piece] = None
            self._log(CacheEventKind.STORED, piece)
        while len(self.cache) > self.deployment.cache_pieces:
            piece, _ = self.cache.popitem(last=False)
            self.counters.evictions += 1
            self._log(CacheEventKind.EVICTED, piece)

    def cached_count(self, pieces: Sequence[PrefixHash]) -> int:
        """Return the number of leading pieces that are cached."""
        cached: Container[PrefixHash] = self.cache
        if self.shared_cache is not None:
            cached = self.shared_cache.get(self.version, set())
        for index, piece in enumerate(pieces):
            if piece not in cached:
                return index
        return len(pieces)

    def load_weights(self, version: WeightVersion, duration_s: float) -> None:
        """Start to load a weight version; requests accepted before keep running."""
        self.is_loading = True
        self._note_load()
        self.simulator.call_later(duration_s, lambda: self._loaded(version))

    def fail(self) -> None:
        """Stop serving, fail all requests and lose the cache."""
        self.is_alive = False
        self._epoch += 1
        lost = list(self._running)
        for queue in self._queued.values():
            lost.extend(queue)
            queue.clear()
        for queue in self._prefilling.values():
            queue.clear()
        self._running.clear()
        self._is_busy = False
        self._clear_cache()
        self._note_load()
        for job in lost:
            job.on_failed()

    def recover(self) -> None:
        """Resume serving with an empty cache."""
        self.is_alive = True
        self._note_load()

    def _loaded(self, version: WeightVersion) -> None:
        self.version = version
        self.is_loading = False
        self._clear_cache()
        self._note_load()

    def _clear_cache(self) -> None:
        self.cache.clear()
        self._log(CacheEventKind.CLEARED, PrefixHash(""))

    def _fill_slots(self) -> None:
        for priority in Priority:
            queue = self._queued[priority]
            while queue and len(self._running) < self.deployment.slots:
                job = queue.popleft()
                self._running.add(job)
                job.remaining_tokens = job.prompt_tokens
                job.cached_pieces = -1
                self._prefilling[priority].append(job)
        self._prefill()

    def _prefill(self) -> None:
        if self._is_busy:
            return
        job = self._next_prefill()
        if job is None:
            return
        if job.cached_pieces < 0:
            job.cached_pieces = self.cached_count(job.pieces)
            cached_tokens = job.cached_pieces * self.deployment.piece_tokens
            job.remaining_tokens = max(1, job.prompt_tokens - cached_tokens)
        tokens = min(CHUNK_TOKENS, job.remaining_tokens)
        duration_s = tokens / self.deployment.prefill_tokens_per_s
        self._is_busy = True
        epoch = self._epoch
        self.simulator.call_later(
            duration_s, lambda: self._chunk_done(job, tokens, duration_s, epoch)
        )

    def _next_prefill(self) -> Job | None:
        for priority in Priority:
            if self._prefilling[priority]:
                return self._prefilling[priority][0]
        return None

    def _chunk_done(self, job: Job, tokens: int, duration_s: float, epoch: int) -> None:
        if epoch != self._epoch:
            return
        self._is_busy = False
        self.counters.prefill_s += duration_s
        job.remaining_tokens -= tokens
        if job.remaining_tokens > 0:
            self._prefill()
            return
        self._prefilling[job.priority].remove(job)
        self.add_pieces(job.pieces)
        self._note_load()
        job.on_first_token(job.cached_pieces)
        decode_s = job.output_tokens * self.deployment.decode_s_per_token
        self.simulator.call_later(decode_s, lambda: self._finished(job, epoch))
        self._prefill()

    def _finished(self, job: Job, epoch: int) -> None:
        if epoch != self._epoch:
            return
        self._running.discard(job)
        self._fill_slots()
        self._note_load()
        job.on_finished()

    def _log(self, kind: CacheEventKind, key: PrefixHash) -> None:
        self._sequence += 1
        now_s = self.simulator.now_s
        event = CacheEvent(self._sequence, kind, key)
        self._events.append(_TimedCacheEvent(now_s, event))
        while self._events[0].at_s < now_s - LOG_RETENTION_S:
            self._events.popleft()

    def _note_load(self) -> None:
        waiting = sum(
            job.remaining_tokens for queue in self._prefilling.values() for job in queue
        )
        waiting += sum(
            job.prompt_tokens for queue in self._queued.values() for job in queue
        )
        report = LoadReport(
            at_s=self.simulator.now_s,
            running=len(self._running),
            queued=sum(len(queue) for queue in self._queued.values()),
            queued_prefill_tokens=waiting,
            version=self.version,
            is_accepting=self.is_alive and not self.is_loading,
        )
        self._reports.append(report)
        while self._is_oldest_report_expired():
            self._reports.popleft()

    def _is_oldest_report_expired(self) -> bool:
        if len(self._reports) < 2:
            return False
        return self._reports[1].at_s < self.simulator.now_s - LOG_RETENTION_S
