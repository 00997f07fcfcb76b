"""Connections kept alive by upstreams whose bytes a test writes itself."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from banyanswitch.components.forwarding.models import Repeatability
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.http1.const import DEFAULT_MAX_IDLE_S
from banyanswitch.components.http1.upstream_connection import UpstreamConnection
from tests.components.forwarding.fakes import ATTEMPT, FakeReply, record
from tests.components.forwarding.instance import Instance

PAUSE_S = 0.01
"""Time between two reads, in which their reader runs."""


@dataclass(frozen=True, slots=True)
class Exchange:
    """What an upstream writes after it has received one request.

    Parameters
    ----------
    reads : sequence of bytes
        Bytes of each read of the connection.
    pause_s : float or None
        Time between the reads, in seconds; ``None`` if the reader does not run between
        them.
    ends : bool
        Whether the connection then ends in order.
    """

    reads: Sequence[bytes]
    pause_s: float | None = PAUSE_S
    ends: bool = False


class ScriptedTransport(asyncio.Transport):
    """Transport to an upstream that answers its requests with exchanges in order."""

    def __init__(self, exchanges: list[Exchange]) -> None:
        super().__init__()
        self._loop = asyncio.get_running_loop()
        self._exchanges = exchanges
        self._is_closed = False
        self._is_paused = False
        self.connection = UpstreamConnection()
        self.connection.connection_made(self)

    def write(self, data: Any) -> None:
        exchange = self._exchanges.pop(0)
        steps: list[Callable[[], None]] = [
            lambda read=read: self.connection.data_received(read)
            for read in exchange.reads
        ]
        if exchange.ends:
            steps.append(self._end)
        if exchange.pause_s is None:
            self._loop.call_later(PAUSE_S, self._run, steps)
            return
        for number, step in enumerate(steps, 1):
            self._loop.call_later(number * exchange.pause_s, self._run, [step])

    def _run(self, steps: list[Callable[[], None]]) -> None:
        for number, step in enumerate(steps):
            if self._is_paused and not self._is_closed:
                self._loop.call_later(PAUSE_S, self._run, steps[number:])
                return
            if not self._is_closed:
                step()

    def _end(self) -> None:
        self.connection.eof_received()
        self.abort()

    def abort(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._loop.call_soon(self.connection.connection_lost, None)

    def close(self) -> None:
        self.abort()

    def is_closing(self) -> bool:
        return self._is_closed

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        self._is_paused = True

    def resume_reading(self) -> None:
        self._is_paused = False


class ScriptedPool(ConnectionPool):
    """Pool that keeps its connections, each to an upstream with the same exchanges.

    Parameters
    ----------
    exchanges : sequence of Exchange
        Answers to the requests of one connection, in order.
    """

    def __init__(self, exchanges: Sequence[Exchange]) -> None:
        super().__init__()
        self._exchanges = exchanges

    async def async_acquire(
        self, address: str, *, max_idle_s: float = DEFAULT_MAX_IDLE_S
    ) -> UpstreamConnection:
        idle = self._take_idle(address, max_idle_s)
        if idle is not None:
            return idle
        self.opened_count += 1
        self._change_open_count(address, 1)
        return ScriptedTransport(list(self._exchanges)).connection


def head(attempt: bytes, framing: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nattempt-id: %b\r\n%b\r\n\r\n" % (attempt, framing)


def with_length(attempt: bytes, body: bytes) -> bytes:
    return head(attempt, b"Content-Length: %d" % len(body)) + body


def with_chunks(attempt: bytes, body: bytes) -> bytes:
    chunks = b"".join(
        b"%x\r\n%b\r\n" % (len(part), part) for part in (body[:9], body[9:])
    )
    return head(attempt, b"Transfer-Encoding: chunked") + chunks + b"0\r\n\r\n"


def until_close(attempt: bytes, body: bytes) -> bytes:
    return head(attempt, b"Connection: close") + body


async def async_send(
    exchanges: Sequence[Exchange], kind: Repeatability, attempts: Sequence[bytes]
) -> tuple[list[FakeReply], float, ScriptedPool]:
    """Send requests one after the other on one connection.

    Returns
    -------
    replies : list of FakeReply
        Replies to the requests.
    last_s : float
        Time until the last reply, in seconds.
    pool : ScriptedPool
        The connections.
    """
    pool = ScriptedPool(exchanges)
    instance = Instance(pool)
    instance.upstreams.put(record("a"))
    replies = []
    began_at_s = 0.0
    for attempt in attempts:
        began_at_s = asyncio.get_running_loop().time()
        reply, handling = instance.send(kind, headers=((ATTEMPT, attempt),))
        await handling
        replies.append(reply)
    return replies, asyncio.get_running_loop().time() - began_at_s, pool
