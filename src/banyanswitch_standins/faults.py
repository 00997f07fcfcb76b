"""Scripted faults that a stand-in applies to matching requests."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Final

import msgspec
from aiohttp import web

CALLER_HEADER: Final = "X-Banyan-Caller"
CONTROL_ROUTES: Final = ("/faults", "/stats")
REQUEST_FAULTS: Final = web.RequestKey("faults", list)
LOSE_ANSWER: Final = web.RequestKey("lose_answer", bool)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class FaultKind(Enum):
    """What happens to a request that a fault matches."""

    FAIL = "fail"
    DELAY = "delay"
    LOSE_ANSWER = "lose_answer"
    REFUSE = "refuse"
    DUPLICATE = "duplicate"
    REORDER = "reorder"
    CROSS = "cross"
    CUT = "cut"
    GAP = "gap"
    TORN = "torn"
    CORRUPT = "corrupt"


class Fault(msgspec.Struct, kw_only=True):
    """One scripted fault.

    Parameters
    ----------
    route : str
        Prefix of the paths that the fault applies to.
    times : int or None
        Requests to strike; ``None`` strikes until the fault is deleted.
    caller : str or None
        Only requests of this caller match; ``None`` matches all.
    skip : int
        Matching requests to let pass first.
    every : int
        Strike each n-th matching request after the skipped ones.
    after_events : int
        Events of a stream that go through before a stream fault strikes.
    """

    route: str
    kind: FaultKind
    times: int | None = None
    delay_s: float = 0.0
    caller: str | None = None
    skip: int = 0
    every: int = 1
    after_events: int = 1
    matched: int = 0

    def strikes(self, path: str, caller: str | None) -> bool:
        """Count a request and return whether the fault applies to it."""
        if not path.startswith(self.route):
            return False
        if self.caller is not None and self.caller != caller:
            return False
        if self.times == 0:
            return False
        self.matched += 1
        if self.matched <= self.skip:
            return False
        if (self.matched - self.skip) % self.every != 0:
            return False
        if self.times is not None:
            self.times -= 1
        return True


class FaultPlan:
    """Faults in force on one stand-in, and its counters."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self._faults: list[Fault] = []

    def add(self, fault: Fault) -> None:
        """Put a fault in force."""
        self._faults.append(fault)

    def clear(self) -> None:
        """Remove all faults."""
        self._faults.clear()

    def take(self, path: str, caller: str | None) -> list[Fault]:
        """Return the faults that strike this request."""
        return [fault for fault in self._faults if fault.strikes(path, caller)]

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Count the request and apply the faults that strike it."""
        if request.path in CONTROL_ROUTES:
            return await handler(request)
        self.counters[f"requests {request.method} {_route_name(request)}"] += 1
        faults = self.take(request.path, request.headers.get(CALLER_HEADER))
        for fault in faults:
            self.counters[f"faults {fault.kind.value}"] += 1
        kinds = {fault.kind for fault in faults}
        delay_s = sum(f.delay_s for f in faults if f.kind is FaultKind.DELAY)
        if delay_s:
            await asyncio.sleep(delay_s)
        if FaultKind.REFUSE in kinds:
            return close_connection(request)
        if FaultKind.FAIL in kinds:
            return web.json_response({"code": "unavailable"}, status=503)
        request[REQUEST_FAULTS] = faults
        request[LOSE_ANSWER] = FaultKind.LOSE_ANSWER in kinds
        response = await handler(request)
        if request[LOSE_ANSWER]:
            return close_connection(request)
        return response

    async def handle_add(self, request: web.Request) -> web.Response:
        """``POST /faults``."""
        self.add(msgspec.json.decode(await request.read(), type=Fault))
        return web.json_response({})

    async def handle_clear(self, _request: web.Request) -> web.Response:
        """``DELETE /faults``."""
        self.clear()
        return web.json_response({})

    async def handle_stats(self, _request: web.Request) -> web.Response:
        """``GET /stats``."""
        return web.json_response(dict(self.counters))


def has_fault(request: web.Request, kind: FaultKind) -> bool:
    """Return whether a fault of this kind strikes the request."""
    return any(fault.kind is kind for fault in request[REQUEST_FAULTS])


def close_connection(request: web.Request) -> web.Response:
    """Close the connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _route_name(request: web.Request) -> str:
    resource = request.match_info.route.resource
    return resource.canonical if resource is not None else "unknown"
