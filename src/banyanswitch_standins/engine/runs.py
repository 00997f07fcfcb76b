"""Scheduling, prefill and decoding of the stand-in engine's runs."""

import asyncio
from collections.abc import Callable
from typing import Final

from banyanswitch_standins.engine.cache import PieceOrigin, PrefixCache
from banyanswitch_standins.engine.models import (
    EngineOptions,
    RunRequest,
    expected_token,
)
from banyanswitch_standins.rates import PrioritySemaphore

PREFILL_CHUNK_TOKENS: Final = 2000


class Run:
    """Generation of one completion.

    Attributes
    ----------
    weight_version : str
        Weight version of all tokens, even if other weights are loaded meanwhile.
    cached_pieces : int
        Leading pieces of the prompt that were in the prefix cache.
    tokens : list of str
        Tokens generated so far; the index is the offset.
    readers : int
        Number of streams that read the run.
    queued_prefill_tokens : int
        Prompt tokens that still have to be computed.
    """

    def __init__(self, request: RunRequest, weight_version: str) -> None:
        self.request = request
        self.weight_version = weight_version
        self.cached_pieces = 0
        self.tokens: list[str] = []
        self.is_ended = False
        self.readers = 0
        self.queued_prefill_tokens = 0
        self.task: asyncio.Task[None] | None = None
        self.orphan_timer: asyncio.TimerHandle | None = None
        self._progress = asyncio.Event()

    def notify(self) -> None:
        """Wake the readers after a new token or the end of the run."""
        self._progress.set()
        self._progress = asyncio.Event()

    async def async_wait(self, offset: int) -> None:
        """Wait until there is a token at ``offset`` or the run has ended."""
        while len(self.tokens) <= offset and not self.is_ended:
            await self._progress.wait()


class RunScheduler:
    """Scheduler that runs requests in slots, interactive requests first.

    Parameters
    ----------
    current_version : callable
        Returns the loaded weight version; runs of other versions cache no pieces.
    on_change : callable
        Called when a run is queued, is admitted to a slot or leaves it.

    Attributes
    ----------
    running, queued : int
        Number of requests in a slot and of requests that wait for one.
    recomputed_tokens, reused_tokens : int
        Prompt tokens of all runs that were not in the cache when their run started,
        and those that were.
    """

    def __init__(
        self,
        options: EngineOptions,
        cache: PrefixCache,
        current_version: Callable[[], str],
        on_change: Callable[[], None],
    ) -> None:
        self.running = 0
        self.queued = 0
        self.recomputed_tokens = 0
        self.reused_tokens = 0
        self._options = options
        self._cache = cache
        self._current_version = current_version
        self._on_change = on_change
        self._slots = PrioritySemaphore(options.slots)
        self._prefill = PrioritySemaphore(1)
        self._runs: dict[str, Run] = {}

    @property
    def queued_prefill_tokens(self) -> int:
        """Prompt tokens of all runs that still have to be computed."""
        return sum(run.queued_prefill_tokens for run in self._runs.values())

    def find(self, run_id: str) -> Run | None:
        """Return a run that is in progress or retained after its end."""
        return self._runs.get(run_id)

    def start(self, request: RunRequest, weight_version: str) -> Run:
        """Start a run for a request; a run with the same ID is cancelled."""
        self.cancel(request.run_id)
        run = Run(request, weight_version)
        origin = PieceOrigin(weight_version, request.cache_salt)
        run.cached_pieces = self._cache.leading_hits(request.pieces, origin)
        cached_tokens = run.cached_pieces * self._options.piece_tokens
        run.queued_prefill_tokens = max(0, request.prompt_tokens - cached_tokens)
        self.recomputed_tokens += run.queued_prefill_tokens
        self.reused_tokens += request.prompt_tokens - run.queued_prefill_tokens
        self._runs[request.run_id] = run
        run.task = asyncio.create_task(self._async_run(run, origin))
        return run

    def cancel(self, run_id: str) -> bool:
        """Cancel and remove a run, and return whether there was one."""
        run = self._runs.pop(run_id, None)
        if run is None:
            return False
        if run.task is not None:
            run.task.cancel()
        return True

    def attach_reader(self, run: Run) -> None:
        """Count a reader of a run and stop the timer that would cancel the run."""
        run.readers += 1
        if run.orphan_timer is not None:
            run.orphan_timer.cancel()
            run.orphan_timer = None

    def detach_reader(self, run: Run) -> None:
        """Remove a reader and, if it was the last one, start the cancellation timer.

        The run is cancelled after ``orphan_s``. If it has completed by then, it is
        removed.
        """
        run.readers -= 1
        if run.readers > 0 or run.is_ended:
            return
        loop = asyncio.get_running_loop()
        run.orphan_timer = loop.call_later(
            self._options.orphan_s, self.cancel, run.request.run_id
        )

    async def async_stop(self) -> None:
        """Cancel all runs."""
        tasks = [run.task for run in self._runs.values() if run.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _async_run(self, run: Run, origin: PieceOrigin) -> None:
        try:
            await self._async_generate(run, origin)
        finally:
            run.queued_prefill_tokens = 0
            run.is_ended = True
            run.notify()
            self._schedule_removal(run)

    async def _async_generate(self, run: Run, origin: PieceOrigin) -> None:
        rank = run.request.rank
        self.queued += 1
        self._on_change()
        try:
            await self._slots.async_acquire(rank)
        finally:
            self.queued -= 1
        self.running += 1
        self._on_change()
        try:
            await self._async_prefill(run)
            for piece in run.request.pieces:
                if run.weight_version == self._current_version():
                    self._cache.store(piece, origin)
            await self._async_decode(run)
        finally:
            self.running -= 1
            self._slots.release()
            self._on_change()

    async def _async_prefill(self, run: Run) -> None:
        while run.queued_prefill_tokens > 0:
            chunk_tokens = min(PREFILL_CHUNK_TOKENS, run.queued_prefill_tokens)
            await self._prefill.async_acquire(run.request.rank)
            try:
                await asyncio.sleep(chunk_tokens / self._options.prefill_tokens_per_s)
            finally:
                self._prefill.release()
            run.queued_prefill_tokens -= chunk_tokens

    async def _async_decode(self, run: Run) -> None:
        request = run.request
        started_at_s = asyncio.get_running_loop().time()
        for offset in range(request.max_tokens):
            due_at_s = started_at_s + (offset + 1) / self._options.decode_tokens_per_s
            delay_s = due_at_s - asyncio.get_running_loop().time()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            token = expected_token(run.weight_version, request.body_digest, offset)
            run.tokens.append(token)
            run.notify()

    def _schedule_removal(self, run: Run) -> None:
        asyncio.get_running_loop().call_later(
            self._options.keep_runs_s, self._remove_run, run
        )

    def _remove_run(self, run: Run) -> None:
        if self._runs.get(run.request.run_id) is run:
            del self._runs[run.request.run_id]
