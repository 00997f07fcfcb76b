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
    """Effect of a fault on a request that it triggers on.

    Attributes
    ----------
    FAIL
        The response is 503, and the request is not handled.
    DELAY
        The request is handled after ``delay_s``.
    LOSE_ANSWER
        The request is handled, then the connection is closed without a response.
    REFUSE
        The connection is closed before the request is handled.
    DUPLICATE
        One event of a stream is sent twice.
    REORDER
        Two consecutive events of a stream are swapped.
    CROSS
        A response carries another run ID, or an event with another run ID is added to
        a stream.
    CUT
        The connection is closed in the middle of a stream.
    GAP
        Every second cache event is left out.
    TORN
        A read of a block of a KV store returns only its first half.
    CORRUPT
        A read of a block of a KV store returns zeros.
    """

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
    kind : FaultKind
        Effect on a request.
    times : int or None
        Number of requests that the fault still triggers on; ``None`` means no limit.
    delay_s : float
        Delay of a ``DELAY`` fault, in seconds.
    caller : str or None
        Caller whose requests match, as named in ``X-Banyan-Caller``; ``None``
        matches all.
    skip : int
        Number of matching requests that pass before the fault can trigger.
    every : int
        After the skipped requests, the fault triggers on each n-th match.
    after_events : int
        Number of events that a stream sends before a stream fault triggers. With 0, a
        ``CROSS`` fault of the engine also changes the run ID in the response headers.
    matched : int
        Number of matching requests until ``times`` reached 0.
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

    def triggers_on(self, path: str, caller: str | None) -> bool:
        """Count the request if it matches; return whether the fault triggers on it."""
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


class FaultInjector:
    """Active faults and counters of one stand-in.

    Attributes
    ----------
    counters : Counter of str
        Counters that ``GET /stats`` returns.
    """

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self._faults: list[Fault] = []

    def add(self, fault: Fault) -> None:
        """Activate a fault."""
        self._faults.append(fault)

    def clear(self) -> None:
        """Remove all faults."""
        self._faults.clear()

    def faults_for(self, path: str, caller: str | None) -> list[Fault]:
        """Return the faults that trigger on this request, and update their counts."""
        return [fault for fault in self._faults if fault.triggers_on(path, caller)]

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Count the request and apply the faults that trigger on it.

        Faults that depend on the content of the response are left to the handler.
        """
        if request.path in CONTROL_ROUTES:
            return await handler(request)
        self.counters[f"requests {request.method} {_route_name(request)}"] += 1
        faults = self.faults_for(request.path, request.headers.get(CALLER_HEADER))
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
        """Handle ``POST /faults``, which adds a fault."""
        self.add(msgspec.json.decode(await request.read(), type=Fault))
        return web.json_response({})

    async def handle_clear(self, _request: web.Request) -> web.Response:
        """Handle ``DELETE /faults``, which removes all faults."""
        self.clear()
        return web.json_response({})

    async def handle_stats(self, _request: web.Request) -> web.Response:
        """Handle ``GET /stats``, which returns the counters."""
        return web.json_response(dict(self.counters))


def has_fault(request: web.Request, kind: FaultKind) -> bool:
    """Return whether a fault of this kind triggered on the request."""
    return any(fault.kind is kind for fault in request[REQUEST_FAULTS])


def close_connection(request: web.Request) -> web.Response:
    """Abort the connection; the returned response is a placeholder."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _route_name(request: web.Request) -> str:
    resource = request.match_info.route.resource
    return resource.canonical if resource is not None else "unknown"
