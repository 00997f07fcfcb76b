"""Upstreams that answer requests twice, the second time late, whole or cut."""

import asyncio
import random
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus

from aiohttp import web

IDLE_PAUSE_S = 0.01
"""Time after which a second answer is sent on an idle connection."""
READ_PAUSE_S = 0.002
"""Pause between two parts of an answer that are to arrive in two reads."""
MAX_CHUNKS = 3


class Framing(Enum):
    """How the end of an answer is told."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION_END = "connection_end"


class Moment(Enum):
    """When a second answer is sent, relative to the first."""

    AT_ONCE = "at_once"
    IDLE = "idle"
    BEFORE_NEXT = "before_next"


class Extent(Enum):
    """How much of a second answer is sent.

    ``TWO_READS`` cuts a second answer and the one behind it, and sends both parts.
    ``CUT`` sends the first part only and ends the connection.
    """

    WHOLE = "whole"
    TWO_READS = "two_reads"
    CUT = "cut"


@dataclass(frozen=True, slots=True)
class SecondAnswer:
    """Bytes of a second answer, and how they are sent."""

    data: bytes
    ends_connection: bool
    is_in_two_reads: bool


@dataclass
class _Connection:
    is_busy: bool = False
    has_ended: bool = False
    pending: SecondAnswer | None = None


@dataclass
class SecondAnswers:
    """Second answers of one upstream to some of its requests.

    Parameters
    ----------
    seed : str
        Seed of all draws.
    share : float
        Share of the answers that are followed by a second one.
    unframed_share : float
        Share of the answers without a length, other than streams.
    sent : int
        Number of second answers that were sent, whole or cut.
    obscured : set of str
        Attempts whose own answer is missing since the connection ended with a second
        answer in front of it, or can't be told from a second answer behind it.
    """

    seed: str
    share: float = 0.3
    unframed_share: float = 0.1
    sent: int = 0
    obscured: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)
        self._connections: dict[asyncio.BaseProtocol, _Connection] = {}

    def begin(self, request: web.Request) -> None:
        """Note that a request has arrived on its connection."""
        self._connection(request.protocol).is_busy = True

    async def async_answer(
        self, request: web.Request, status: int, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        """Answer a request that isn't a stream, perhaps twice."""
        framing = self._random.choice((Framing.LENGTH, Framing.CHUNKS))
        if self._random.random() < self.unframed_share:
            framing = Framing.CONNECTION_END
        answer = WrittenAnswer(self, request, headers, framing, status)
        await answer.async_send(body)
        return answer.response

    async def async_write_first(self, answer: "WrittenAnswer", data: bytes) -> bool:
        """Write the start of an answer behind the second answer that is due.

        Returns
        -------
        bool
            Whether the connection goes on.
        """
        transport = answer.transport
        connection = self._connection(answer.protocol)
        if connection.has_ended:
            self.obscured.add(answer.attempt)
        if transport is None:
            return False
        second, connection.pending = connection.pending, None
        if second is None:
            transport.write(data)
            return True
        if second.ends_connection:
            self.obscured.add(answer.attempt)
            self._send(answer.protocol, transport, second)
            return False
        self.sent += 1
        data = second.data + data
        # Otherwise, the end of the connection between both parts would look like that
        # of the answer.
        if second.is_in_two_reads and answer.framing is not Framing.CONNECTION_END:
            cut = self._random.randrange(1, len(data))
            transport.write(data[:cut])
            await asyncio.sleep(READ_PAUSE_S)
            data = data[cut:]
        transport.write(data)
        return True

    async def async_end(self, answer: "WrittenAnswer") -> None:
        """Send or schedule a second answer behind one that was written."""
        transport = answer.transport
        if transport is None:
            return
        connection = self._connection(answer.protocol)
        connection.is_busy = False
        second = None
        if self._random.random() < self.share:
            second = self._draw(answer)
        if answer.framing is Framing.CONNECTION_END:
            if second is not None:
                self.obscured.add(answer.attempt)
                await asyncio.sleep(self._random.choice((0.0, IDLE_PAUSE_S)))
                self._send(answer.protocol, transport, second)
            transport.close()
            return
        moment = self._random.choice(list(Moment))
        if second is None:
            return
        if moment is Moment.AT_ONCE:
            self._send(answer.protocol, transport, second)
            return
        connection.pending = second
        if moment is Moment.IDLE:
            loop = asyncio.get_running_loop()
            loop.call_later(IDLE_PAUSE_S, self._send_if_idle, answer, second)

    def _draw(self, answer: "WrittenAnswer") -> SecondAnswer:
        """Return the answer once more, or another one to the same request."""
        generator = self._random
        status, headers, body = answer.status, answer.headers, answer.body
        match generator.choice(("same", "other_body", "failed", "not_run")):
            case "other_body":
                body = b"second " + body
            case "failed":
                status, body = 500, b"second answer: failed"
            case "not_run":
                status, body = 503, b""
                headers = {"Attempt-Id": answer.attempt, "Not-Run": "1"}
        framing = generator.choice(list(Framing))
        data = head_bytes(status, headers, framing, len(body))
        data += body_bytes(body, framing, generator)
        extent = generator.choice(list(Extent))
        if extent is Extent.CUT:
            data = data[: generator.randrange(1, len(data))]
        ends_connection = extent is Extent.CUT or framing is Framing.CONNECTION_END
        return SecondAnswer(data, ends_connection, extent is Extent.TWO_READS)

    def _send_if_idle(self, answer: "WrittenAnswer", second: SecondAnswer) -> None:
        connection = self._connection(answer.protocol)
        transport = answer.transport
        if connection.is_busy or connection.pending is not second or transport is None:
            return
        connection.pending = None
        self._send(answer.protocol, transport, second)

    def _send(
        self,
        protocol: asyncio.BaseProtocol,
        transport: asyncio.Transport,
        second: SecondAnswer,
    ) -> None:
        if transport.is_closing():
            return
        self.sent += 1
        transport.write(second.data)
        if second.ends_connection:
            # A request that has been read may still start to run.
            self._connection(protocol).has_ended = True
            transport.close()

    def _connection(self, protocol: asyncio.BaseProtocol) -> _Connection:
        return self._connections.setdefault(protocol, _Connection())


class WrittenAnswer:
    """Answer that bypasses the HTTP library, perhaps behind or before a second one."""

    def __init__(
        self,
        second_answers: SecondAnswers,
        request: web.Request,
        headers: dict[str, str],
        framing: Framing,
        status: int = 200,
    ) -> None:
        self._second_answers = second_answers
        self._request = request
        self._is_open = True
        self.headers = headers
        self.framing = framing
        self.status = status
        self.body = b""
        self.response = _WrittenResponse(status=status)

    @property
    def attempt(self) -> str:
        """Identifier of the request."""
        return self._request.headers.get("Attempt-Id", "")

    @property
    def protocol(self) -> asyncio.BaseProtocol:
        """Key of the connection, also after it has ended."""
        return self._request.protocol

    @property
    def transport(self) -> asyncio.Transport | None:
        """Connection of the request, unless it has ended."""
        transport = self._request.transport
        return None if transport is None or transport.is_closing() else transport

    async def async_send(self, body: bytes) -> None:
        """Send the whole answer in one write."""
        head = head_bytes(self.status, self.headers, self.framing, len(body))
        self.body = body
        data = head + body_bytes(body, self.framing, random.Random(self.attempt))
        if await self._second_answers.async_write_first(self, data):
            await self._second_answers.async_end(self)

    async def async_start(self) -> None:
        """Send the head of an answer without a length."""
        head = head_bytes(self.status, self.headers, self.framing)
        self._is_open = await self._second_answers.async_write_first(self, head)

    async def async_write(self, data: bytes) -> None:
        """Send a part of the body."""
        self.body += data
        self._write(chunk(data) if self.framing is Framing.CHUNKS else data)

    async def async_break_off(self) -> None:
        """End the connection: in order without framing, otherwise with a reset."""
        if self.framing is Framing.CONNECTION_END:
            await self.async_end()
        elif self.transport is not None:
            self.transport.abort()

    async def async_end(self) -> None:
        """End the answer."""
        if self.framing is Framing.CHUNKS:
            self._write(chunk(b""))
        if self._is_open:
            await self._second_answers.async_end(self)

    def _write(self, data: bytes) -> None:
        if self._is_open and self.transport is not None:
            self.transport.write(data)


class _WrittenResponse(web.StreamResponse):
    """Response of which the HTTP library writes nothing."""

    @property
    def keep_alive(self) -> bool:
        return True

    async def prepare(self, request: web.BaseRequest) -> None:
        """Write nothing."""

    async def write_eof(self, data: bytes = b"") -> None:
        """Write nothing."""


def chunk(data: bytes) -> bytes:
    """Return one chunk; an empty one ends a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def head_bytes(
    status: int, headers: dict[str, str], framing: Framing, length: int = 0
) -> bytes:
    """Return the head of an answer."""
    framed = {
        Framing.LENGTH: f"Content-Length: {length}",
        Framing.CHUNKS: "Transfer-Encoding: chunked",
        Framing.CONNECTION_END: "Connection: close",
    }
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, framed[framing], "", ""]).encode()


def body_bytes(body: bytes, framing: Framing, generator: random.Random) -> bytes:
    """Return the body of an answer as it is sent."""
    if framing is not Framing.CHUNKS:
        return body
    cuts = sorted(
        generator.randrange(len(body) + 1)
        for _ in range(generator.randrange(MAX_CHUNKS))
    )
    parts = [body[a:b] for a, b in zip([0, *cuts], [*cuts, len(body)], strict=True)]
    return b"".join(chunk(part) for part in parts if part) + chunk(b"")
