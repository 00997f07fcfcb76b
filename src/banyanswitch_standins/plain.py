"""Stand-in for a plain service whose requests must not be repeated."""

import asyncio
from collections import Counter
from hashlib import sha256

from aiohttp import web

from banyanswitch_standins.app import StandIn, build_json_response
from banyanswitch_standins.faults import FaultKind, has_fault

RUN_ID_HEADER = "X-Banyan-Run-Id"
WORKSPACE_HEADER = "X-Banyan-Workspace"


class PlainStandIn(StandIn):
    """Service that counts executions by run ID and by digest of the body.

    Parameters
    ----------
    work_s : float
        Processing time of one request, in seconds.
    """

    def __init__(self, *, work_s: float = 0.0) -> None:
        super().__init__()
        self._work_s = work_s
        self._by_run: Counter[str] = Counter()
        self._by_digest: Counter[str] = Counter()
        self._running = 0

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of the counters and the load, and a catch-all route."""
        router.add_get("/executions", self._handle_executions)
        router.add_get("/engine/load", self._handle_load)
        router.add_route("*", "/{path:.*}", self._handle_call)

    async def _handle_executions(self, _request: web.Request) -> web.Response:
        return build_json_response(
            {"by_run": self._by_run, "by_digest": self._by_digest}
        )

    async def _handle_load(self, _request: web.Request) -> web.Response:
        return build_json_response(
            {
                "upstream": "",
                "running_requests": self._running,
                "queued_requests": 0,
                "queued_prefill_tokens": 0,
                "weight_version": None,
                "is_leaving": False,
                "is_loading": False,
            }
        )

    async def _handle_call(self, request: web.Request) -> web.Response:
        run_id = request.headers.get(RUN_ID_HEADER, "")
        body_digest = sha256(await request.read()).hexdigest()
        self._by_run[run_id] += 1
        self._by_digest[body_digest] += 1
        execution = self._by_digest[body_digest]
        self._running += 1
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self._running -= 1
        headers = {
            RUN_ID_HEADER: run_id,
            WORKSPACE_HEADER: request.headers.get(WORKSPACE_HEADER, ""),
        }
        if has_fault(request, FaultKind.CROSS):
            headers[RUN_ID_HEADER] = f"other-{run_id}"
        content = {"execution": execution, "body_digest": body_digest}
        return build_json_response(content, headers=headers)
