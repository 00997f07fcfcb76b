"""HTTP interface of the stand-in engine."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Final

from aiohttp import web

from banyanswitch_standins.app import StandIn, async_decode, build_json_response
from banyanswitch_standins.engine.cache import PrefixCache
from banyanswitch_standins.engine.models import (
    DropRequest,
    EngineOptions,
    ExportRequest,
    ImportRequest,
    Order,
    async_parse_request,
)
from banyanswitch_standins.engine.responses import (
    async_send_events,
    completion_response,
)
from banyanswitch_standins.engine.runs import Run, RunScheduler
from banyanswitch_standins.engine.transfer import (
    TransferError,
    async_export,
    async_import,
)
from banyanswitch_standins.engine.weights import EngineState, OrderRefusedError
from banyanswitch_standins.faults import (
    LOSE_ANSWER,
    REQUEST_FAULTS,
    FaultKind,
    close_connection,
    has_fault,
)

MAX_LOAD_REPORTS: Final = 10_000


class EngineStandIn(StandIn):
    """Inference engine whose tokens depend only on weight version, body and offset.

    Parameters
    ----------
    unix_time : callable
        Returns the wall-clock time for the expiry of orders, in seconds.
    **options
        Fields of ``EngineOptions``.
    """

    def __init__(
        self, *, unix_time: Callable[[], float] = time.time, **options: Any
    ) -> None:
        super().__init__()
        self.options = EngineOptions(**options)
        self.cache = PrefixCache(self.options.cache_pieces, self.options.event_lag_s)
        self.state = EngineState(self.options, self.cache, self._note_load, unix_time)
        self.scheduler = RunScheduler(
            self.options, self.cache, lambda: self.state.version, self._note_load
        )
        self._load_history: deque[tuple[float, dict[str, object]]] = deque(
            maxlen=MAX_LOAD_REPORTS
        )

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of the engine."""
        router.add_post("/v1/chat/completions", self._handle_completion)
        router.add_post("/v1/completions", self._handle_completion)
        router.add_get("/engine/runs/{run_id}/stream", self._handle_resume)
        router.add_delete("/engine/runs/{run_id}", self._handle_cancel)
        router.add_get("/engine/load", self._handle_load)
        router.add_get("/engine/cache", self._handle_cache)
        router.add_get("/engine/cache/events", self._handle_events)
        router.add_post("/engine/cache/drop", self._handle_drop)
        router.add_post("/engine/orders", self._handle_order)
        router.add_post("/engine/kv/export", self._handle_export)
        router.add_post("/engine/kv/import", self._handle_import)

    async def async_stop(self) -> None:
        """Cancel all runs and the weight load in progress."""
        await self.state.async_stop()
        await self.scheduler.async_stop()

    async def _handle_completion(self, request: web.Request) -> web.StreamResponse:
        run_request = await async_parse_request(request)
        refusal = self._refusal(run_request.weight_version)
        if refusal is not None:
            return refusal
        run = self.scheduler.start(run_request, self.state.version)
        self._count_run(run)
        if request[LOSE_ANSWER]:
            return close_connection(request)
        if run_request.is_stream:
            return await self._async_stream(request, run, first=0)
        await run.async_wait(run_request.max_tokens)
        if len(run.tokens) < run_request.max_tokens:
            return close_connection(request)
        return completion_response(run, self._response_headers(request, run))

    def _refusal(self, wanted_version: str) -> web.Response | None:
        if self.state.is_leaving:
            return build_json_response({"code": "leaving"}, status=503)
        target = self.state.target_version
        if self.state.is_loading or wanted_version not in {"", target}:
            content = {"code": "wrong_version", "version": target}
            return build_json_response(content, status=409)
        if self.scheduler.queued >= self.options.max_queued:
            return build_json_response({"code": "queue_full"}, status=429)
        return None

    def _count_run(self, run: Run) -> None:
        counters = self.faults.counters
        counters["runs"] += 1
        counters["cached_pieces"] += run.cached_pieces
        counters["recomputed_tokens"] = self.scheduler.recomputed_tokens
        counters["reused_tokens"] = self.scheduler.reused_tokens
        counters["foreign_hits"] = self.cache.foreign_hits

    async def _async_stream(
        self, request: web.Request, run: Run, first: int
    ) -> web.StreamResponse:
        headers = self._response_headers(request, run)
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        self.scheduler.attach_reader(run)
        try:
            await response.prepare(request)
            await async_send_events(request, response, run, first)
            await response.write_eof()
        except ConnectionError:
            self.faults.counters["readers_gone"] += 1
        finally:
            self.scheduler.detach_reader(run)
        return response

    def _response_headers(self, request: web.Request, run: Run) -> dict[str, str]:
        run_id = run.request.run_id
        faults = request[REQUEST_FAULTS]
        if any(f.kind is FaultKind.CROSS and f.after_events == 0 for f in faults):
            run_id = f"other-{run_id}"
        scheduler = self.scheduler
        load = (scheduler.running, scheduler.queued, scheduler.queued_prefill_tokens)
        return {
            "X-Banyan-Run-Id": run_id,
            "X-Banyan-Workspace": run.request.workspace,
            "X-Banyan-Weight-Version": run.weight_version,
            "X-Banyan-Cached-Pieces": str(run.cached_pieces),
            "X-Banyan-Load": ",".join(str(value) for value in load),
        }

    async def _handle_resume(self, request: web.Request) -> web.StreamResponse:
        run = self.scheduler.find(request.match_info["run_id"])
        if run is None:
            return build_json_response({"code": "unknown_run"}, status=404)
        first = int(request.query.get("from", "0"))
        return await self._async_stream(request, run, first)

    async def _handle_cancel(self, request: web.Request) -> web.Response:
        run = self.scheduler.find(request.match_info["run_id"])
        if run is None:
            return build_json_response({}, status=404)
        if run.readers > 0 and request.query.get("only_if_unread") == "true":
            return build_json_response({"code": "has_reader"}, status=409)
        self.scheduler.cancel(run.request.run_id)
        self.faults.counters["cancelled_runs"] += 1
        return build_json_response({})

    async def _handle_load(self, _request: web.Request) -> web.Response:
        self._note_load()
        visible_until_s = asyncio.get_running_loop().time() - self.options.load_lag_s
        history = self._load_history
        while len(history) > 1 and history[1][0] <= visible_until_s:
            history.popleft()
        return build_json_response(history[0][1])

    def _note_load(self) -> None:
        report: dict[str, object] = {
            "upstream": self.options.upstream,
            "running_requests": self.scheduler.running,
            "queued_requests": self.scheduler.queued,
            "queued_prefill_tokens": self.scheduler.queued_prefill_tokens,
            "weight_version": self.state.version,
            "is_leaving": self.state.is_leaving,
            "is_loading": self.state.is_loading,
        }
        self._load_history.append((asyncio.get_running_loop().time(), report))

    async def _handle_cache(self, _request: web.Request) -> web.Response:
        content = {"keys": self.cache.keys(), "sequence": self.cache.sequence}
        return build_json_response(content)

    async def _handle_events(self, request: web.Request) -> web.Response:
        events = self.cache.visible_events(int(request.query.get("after", "0")))
        if has_fault(request, FaultKind.GAP):
            events = events[::2]
        newest = events[-1].sequence if events else self.cache.sequence
        content = {
            "events": events,
            "oldest_sequence": self.cache.oldest_sequence(),
            "newest_sequence": newest,
        }
        return build_json_response(content)

    async def _handle_drop(self, request: web.Request) -> web.Response:
        body = await async_decode(request, DropRequest)
        self.cache.drop(body.keys)
        return build_json_response({})

    async def _handle_order(self, request: web.Request) -> web.Response:
        order = await async_decode(request, Order)
        try:
            self.state.accept_order(order)
        except OrderRefusedError as error:
            return build_json_response({"code": error.code}, status=error.status)
        return build_json_response({}, status=202)

    async def _handle_export(self, request: web.Request) -> web.Response:
        body = await async_decode(request, ExportRequest)
        try:
            pieces = await async_export(self.cache, body, self.options.block_bytes)
        except TransferError as error:
            return build_json_response({"code": error.code}, status=error.status)
        return build_json_response({"pieces": pieces})

    async def _handle_import(self, request: web.Request) -> web.Response:
        body = await async_decode(request, ImportRequest)
        try:
            imported = await async_import(self.cache, body, self.state.version)
        except TransferError as error:
            return build_json_response({"code": error.code}, status=error.status)
        return build_json_response({"imported": imported})
