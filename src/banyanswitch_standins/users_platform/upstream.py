"""Upstream that handles requests, streams events and accepts weight-load orders."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from aiohttp import web

from banyanswitch_standins.users_platform.second_answers import (
    Framing,
    SecondAnswers,
    WrittenAnswer,
)

EVENT_INTERVAL_S = 0.005
CRASH_AFTER_S = 0.05


@dataclass(frozen=True, slots=True)
class CrashingRequest:
    """What the requests have in common that crash an upstream."""

    target: str
    workspace: str
    body: bytes


@dataclass(slots=True)
class ReceivedRequest:
    """A request that the upstream received and did not refuse."""

    attempt: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class PlatformUpstream:
    """Simulated upstream.

    Parameters
    ----------
    name : str
        Name, as in the ``Expect-Instance`` header.
    model : str
        Model that it serves.
    weight_version : int
        Version of the loaded weights.
    software_version : str
        Version of its software, which it doesn't check when it resumes a stream.
    events : int
        Number of events in a stream.
    names_version : bool
        Whether each event names the software version.
    echoes_body : bool
        Whether answers and each event contain the body of the request.
    answer_bytes : int
        Number of bytes added to each answer and to each event.
    second_answers : SecondAnswers or None
        Sends second answers to some requests.
    aborts_after : int or None
        Number of the event after which the next stream is aborted, in the middle of
        the following event. The value applies to the next stream only, and has no
        effect if that stream starts after the event or ends with it.
    is_unframed : bool
        Whether streams have neither a length nor chunks and end with their connection.
        With ``aborts_after`` the connection then ends in order, not with a reset.
    refuses : bool
        Whether requests get 503 with ``Not-Run``.
    fails : bool
        Whether requests get 500.
    hangs : bool
        Whether requests get no response for 60 s.
    sends_head_first : bool
        Whether streams that hang have sent their head before.
    refuses_orders : bool
        Whether orders get 409.
    load_s : float
        Time to load weights, in seconds.
    crashing_part : str or None
        Part of a prompt, other than the last, under which it crashes as soon as it
        begins to write an answer.
    crashing_request : CrashingRequest or None
        Request under which it crashes soon after it begins to run it.
    on_crash : callable or None
        Ends the upstream; called when it crashes.
    limit_per_s : float or None
        Limit that it names in its responses, in requests per second from all callers.
    rest_s : float or None
        Rest that it asks for, in seconds, with 503 to each request and report.
    is_leaving : bool
        Whether it says in all its responses that it leaves.
    arrivals : list of tuple
        Loop time and attempt of each request that arrived, also refused ones.
    arrived_at_s : list of float
        Loop times at which requests arrived, also those that it refused.
    reported_at_s : list of float
        Loop times at which reports were read.
    received : list of ReceivedRequest
        Requests that were not refused.
    orders : list of dict
        Accepted orders.
    cancelled : int
        Number of requests cancelled during the wait caused by ``hangs``.
    cancelled_at_s : list of float
        Loop times of these cancellations.
    """

    name: str
    model: str = "m"
    weight_version: int = 1
    software_version: str = "v1"
    events: int = 3
    names_version: bool = False
    echoes_body: bool = False
    answer_bytes: int = 0
    second_answers: SecondAnswers | None = None
    aborts_after: int | None = None
    is_unframed: bool = False
    refuses: bool = False
    fails: bool = False
    hangs: bool = False
    sends_head_first: bool = False
    refuses_orders: bool = False
    load_s: float = 0.05
    crashing_part: str | None = None
    crashing_request: CrashingRequest | None = None
    on_crash: Callable[[], None] | None = None
    limit_per_s: float | None = None
    rest_s: float | None = None
    is_leaving: bool = False
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    arrived_at_s: list[float] = field(default_factory=list)
    reported_at_s: list[float] = field(default_factory=list)
    received: list[ReceivedRequest] = field(default_factory=list)
    orders: list[dict[str, object]] = field(default_factory=list)
    cancelled: int = 0
    cancelled_at_s: list[float] = field(default_factory=list)
    _loading_until_s: float = 0.0
    _highest_fencing_token: int = 0

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_get("/-/report", self._async_report)
        app.router.add_post("/-/order", self._async_order)
        app.router.add_route("*", "/{tail:.*}", self._async_serve)
        return app

    async def _async_report(self, _request: web.Request) -> web.Response:
        self.reported_at_s.append(asyncio.get_running_loop().time())
        if self.rest_s is not None:
            return web.Response(status=503, headers=self._notice_headers())
        return web.json_response(
            {
                "sequence": len(self.orders),
                "busy": self._is_loading(),
                "models": [{"name": self.model, "version": self.weight_version}],
            },
            headers=self._notice_headers(),
        )

    async def _async_order(self, request: web.Request) -> web.Response:
        order = await request.json()
        if order["fencingToken"] < self._highest_fencing_token:
            return web.Response(status=412)
        is_outdated = order["expectedRevision"] != len(self.orders)
        if self.refuses_orders or self._is_loading() or is_outdated:
            return web.Response(status=409)
        self._highest_fencing_token = order["fencingToken"]
        self.orders.append(order)
        loop = asyncio.get_running_loop()
        self._loading_until_s = loop.time() + self.load_s
        loop.call_later(self.load_s, self._set_version, order["version"])
        return web.Response(status=202)

    def carry_out_late(self, version: int) -> None:
        """Load weights by an order of before a restart, which forgot its token."""
        self._highest_fencing_token = 0
        self.orders = [{"version": version, "fencingToken": 0}]
        self._set_version(version)

    def _set_version(self, version: int) -> None:
        self.weight_version = version

    def _is_loading(self) -> bool:
        return asyncio.get_running_loop().time() < self._loading_until_s

    async def _async_serve(self, request: web.Request) -> web.StreamResponse:
        self.arrived_at_s.append(asyncio.get_running_loop().time())
        if self.second_answers is not None:
            self.second_answers.begin(request)
        body = await request.read()
        attempt = request.headers.get("Attempt-Id", "")
        self.arrivals.append((self.arrived_at_s[-1], attempt))
        headers = {
            "Attempt-Id": attempt,
            "Server-Stamp": f"stamp-{self.name}",
            "Weight-Versions": str(self.weight_version),
            **self._notice_headers(),
        }
        refusal = self._refusal(request)
        if refusal is not None:
            not_run = {
                "Attempt-Id": attempt,
                "Not-Run": "1",
                "Weight-Versions": str(self.weight_version),
                **self._notice_headers(),
            }
            return await self._async_answer(request, refusal, not_run)
        self.received.append(
            ReceivedRequest(
                attempt,
                request.method,
                request.raw_path,
                {key.lower(): value for key, value in request.headers.items()},
                body,
            )
        )
        content = CrashingRequest(
            request.raw_path, request.headers.get("Tenant", ""), body
        )
        if content == self.crashing_request:
            return await self._async_crash(request)
        is_stream = "Prompt-Prefix" in request.headers
        if self.hangs and not (is_stream and self.sends_head_first):
            await self._async_hang()
        if self.fails:
            return await self._async_answer(request, 500, headers)
        if is_stream:
            return await self._async_stream(request, headers, self._echo(body))
        answer = f"answer of {self.name}{self._echo(body)}".encode()
        return await self._async_answer(request, 200, headers, answer)

    async def _async_answer(
        self,
        request: web.Request,
        status: int,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> web.StreamResponse:
        if self.second_answers is None:
            return web.Response(status=status, headers=headers, body=body)
        return await self.second_answers.async_answer(request, status, headers, body)

    def _echo(self, body: bytes) -> str:
        echo = f" to {body.decode()}" if self.echoes_body else ""
        return echo + "a" * self.answer_bytes

    async def _async_crash(self, request: web.Request) -> web.Response:
        await asyncio.sleep(CRASH_AFTER_S)
        if self.on_crash is not None:
            self.on_crash()
        if request.transport is not None:
            request.transport.abort()
        return web.Response()

    def _notice_headers(self) -> dict[str, str]:
        """Return the headers in which it speaks of itself."""
        headers = {}
        if self.limit_per_s is not None:
            headers["Server-Limit"] = str(self.limit_per_s)
        if self.rest_s is not None:
            headers["Retry-After"] = str(self.rest_s)
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        return headers

    def most_arrivals(
        self, window_s: float, since_s: float, until_s: float = float("inf")
    ) -> int:
        """Return the highest number of arrivals in any window between loop times."""
        times_s = [at_s for at_s in self.arrived_at_s if since_s <= at_s < until_s]
        return max(
            (sum(at_s <= t < at_s + window_s for t in times_s) for at_s in times_s),
            default=0,
        )

    def _refusal(self, request: web.Request) -> int | None:
        if request.headers.get("Expect-Instance", self.name) != self.name:
            return 421
        expected = request.headers.get("Expect-Version")
        if expected is not None and int(expected) != self.weight_version:
            return 421
        is_turned_away = self.refuses or self.rest_s is not None
        return 503 if is_turned_away or self._is_loading() else None

    def _event(self, number: int, echo: str) -> bytes:
        version = f" {self.software_version}" if self.names_version else ""
        return f"id: {number}\ndata: event {number}{version}{echo}\n\n".encode()

    async def _async_hang(self) -> None:
        try:
            await asyncio.sleep(60.0)
        except asyncio.CancelledError:
            self.cancelled += 1
            self.cancelled_at_s.append(asyncio.get_running_loop().time())
            raise

    def _event_stream(
        self, request: web.Request, headers: dict[str, str]
    ) -> "_EventStream | WrittenAnswer":
        if self.second_answers is None:
            return _EventStream(request, headers, is_unframed=self.is_unframed)
        framing = Framing.CONNECTION_END if self.is_unframed else Framing.CHUNKS
        headers = {**headers, "Content-Type": "text/event-stream"}
        return WrittenAnswer(self.second_answers, request, headers, framing)

    async def _async_stream(
        self, request: web.Request, headers: dict[str, str], echo: str
    ) -> web.StreamResponse:
        response = self._event_stream(request, headers)
        await response.async_start()
        if self.hangs:
            await self._async_hang()
        if self.crashing_part in shared_parts(request.headers["Prompt-Prefix"]):
            await response.async_write(b"id: 1\ndata: ev")
            if self.on_crash is not None:
                self.on_crash()
            return response.response
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        aborts_after, self.aborts_after = self.aborts_after, None
        for number in range(first, self.events + 1):
            if aborts_after is not None and number > aborts_after >= first:
                await response.async_write(f"id: {number}\ndata: ha".encode())
                await asyncio.sleep(EVENT_INTERVAL_S)
                await response.async_break_off()
                return response.response
            await response.async_write(self._event(number, echo))
            await asyncio.sleep(EVENT_INTERVAL_S)
        await response.async_end()
        return response.response


def shared_parts(prefix: str) -> list[str]:
    """Return the parts of a prompt that other requests may share."""
    return [part.partition(":")[0] for part in prefix.split(",")[:-1]]


class _EventStream:
    """Response with events, in chunks or without any framing.

    Parameters
    ----------
    is_unframed : bool
        Whether the response bypasses the HTTP library, which always frames bodies.
    """

    def __init__(
        self, request: web.Request, headers: dict[str, str], *, is_unframed: bool
    ) -> None:
        self._request = request
        self._is_unframed = is_unframed
        headers = {**headers, "Content-Type": "text/event-stream"}
        self.response = web.StreamResponse(headers=headers)

    async def async_start(self) -> None:
        """Send the head."""
        if not self._is_unframed:
            await self.response.prepare(self._request)
            return
        lines = [f"{name}: {value}" for name, value in self.response.headers.items()]
        head = ["HTTP/1.1 200 OK", *lines, "Connection: close"]
        await self.async_write("\r\n".join([*head, "", ""]).encode())

    async def async_write(self, data: bytes) -> None:
        """Send a part of the body."""
        if not self._is_unframed:
            await self.response.write(data)
        elif self._request.transport is not None:
            self._request.transport.write(data)

    async def async_break_off(self) -> None:
        """End the connection: in order without framing, otherwise with a reset."""
        transport = self._request.transport
        if transport is None:
            return
        if self._is_unframed:
            transport.close()
        else:
            transport.abort()

    async def async_end(self) -> None:
        """End the response."""
        if not self._is_unframed:
            await self.response.write_eof()
        elif self._request.transport is not None:
            self._request.transport.close()
