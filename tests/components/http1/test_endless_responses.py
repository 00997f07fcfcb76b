"""Responses without end are cut off within a bound; no network."""

import asyncio
import itertools
from collections.abc import Callable, Iterator

import pytest

from banyanswitch.components.forwarding.event_stream import EventSplitter
from banyanswitch.components.http1.client import HttpClient
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.http1.upstream_connection import UpstreamConnection
from banyanswitch.exceptions import UpstreamBrokenError

MAX_TAKEN_BYTES = 4_000_000
"""Stated bound on the bytes that are taken before the connection is closed."""
SENT_BYTES = 10_000_000
PART_BYTES = 16_384
STATUS = b"HTTP/1.1 200 OK\r\n"
CHUNKED = STATUS + b"Transfer-Encoding: chunked\r\n\r\n"


class Transport(asyncio.Transport):
    """Transport that only records whether it was closed or paused."""

    def __init__(self) -> None:
        super().__init__()
        self.is_aborted = False
        self.is_paused = False

    def write(self, data: object) -> None:
        return

    def abort(self) -> None:
        self.is_aborted = True

    def is_closing(self) -> bool:
        return self.is_aborted

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False


def one_header() -> Iterator[bytes]:
    yield STATUS + b"X-Long: "
    yield from itertools.repeat(b"a" * PART_BYTES)


def headers() -> Iterator[bytes]:
    yield STATUS
    for number in itertools.count():
        yield b"".join(b"X-%d-%d: a\r\n" % (number, n) for n in range(1000))


def reason() -> Iterator[bytes]:
    yield b"HTTP/1.1 200 "
    yield from itertools.repeat(b"a" * PART_BYTES)


def interim_responses() -> Iterator[bytes]:
    yield from itertools.repeat(b"HTTP/1.1 100 Continue\r\n\r\n" * 500)


def trailers() -> Iterator[bytes]:
    yield CHUNKED + b"4\r\nbody\r\n0\r\n"
    yield from itertools.repeat(b"X-Trailer: aaaaaaaa\r\n" * 500)


def chunk_extension() -> Iterator[bytes]:
    yield CHUNKED + b"4;"
    yield from itertools.repeat(b"a" * PART_BYTES)


def chunked_body() -> Iterator[bytes]:
    yield CHUNKED
    yield from itertools.repeat(b"%x\r\n" % PART_BYTES + b"a" * PART_BYTES + b"\r\n")


def unframed_body() -> Iterator[bytes]:
    yield STATUS + b"Connection: close\r\n\r\n"
    yield from itertools.repeat(b"a" * PART_BYTES)


HEADS = (one_header, headers, reason, interim_responses, trailers, chunk_extension)
BODIES = (chunked_body, unframed_body)


async def async_feed(
    connection: UpstreamConnection, transport: Transport, parts: Iterator[bytes]
) -> int:
    """Feed bytes until the connection is closed and return their number."""
    taken_bytes = 0
    while not transport.is_aborted and taken_bytes < SENT_BYTES:
        part = next(parts)
        taken_bytes += len(part)
        connection.data_received(part)
        await asyncio.sleep(0)
        while transport.is_paused and not transport.is_aborted:
            await asyncio.sleep(0)
    return taken_bytes


def make_connection() -> tuple[UpstreamConnection, Transport]:
    connection, transport = UpstreamConnection(), Transport()
    connection.connection_made(transport)
    return connection, transport


# Guards against heads and trailers without end that fill memory or stop the loop.
@pytest.mark.parametrize("endless", HEADS, ids=lambda make: make.__name__)
async def test_connection_with_an_endless_head_is_closed(
    endless: Callable[[], Iterator[bytes]],
) -> None:
    connection, transport = make_connection()
    connection.send(b"GET / HTTP/1.1\r\n\r\n")
    taken_bytes = await async_feed(connection, transport, endless())
    assert transport.is_aborted
    assert taken_bytes <= MAX_TAKEN_BYTES
    with pytest.raises(UpstreamBrokenError, match="bytes"):
        await connection.async_head()
        while await connection.async_part() is not None:
            pass


class OneConnectionPool(ConnectionPool):
    """Pool with a single connection."""

    def __init__(self, connection: UpstreamConnection) -> None:
        super().__init__()
        self._connection = connection

    async def async_acquire(
        self, address: str, *, max_idle_s: float = 0.0
    ) -> UpstreamConnection:
        return self._connection


# Guards against responses to calls of the product itself that fill memory.
@pytest.mark.parametrize("endless", BODIES, ids=lambda make: make.__name__)
async def test_call_with_an_endless_body_is_closed(
    endless: Callable[[], Iterator[bytes]],
) -> None:
    connection, transport = make_connection()
    client = HttpClient(OneConnectionPool(connection))
    call = asyncio.create_task(client.async_call("GET", "u:1", "/", timeout_s=30.0))
    await asyncio.sleep(0)
    taken_bytes = await async_feed(connection, transport, endless())
    assert transport.is_aborted
    assert taken_bytes <= MAX_TAKEN_BYTES
    with pytest.raises(UpstreamBrokenError, match="bytes"):
        await call


# Guards against an event without end that fills memory.
def test_endless_event_is_refused() -> None:
    splitter = EventSplitter()
    taken_bytes = 0
    with pytest.raises(UpstreamBrokenError, match="bytes"):
        while taken_bytes < SENT_BYTES:
            taken_bytes += PART_BYTES
            splitter.feed(b"a" * PART_BYTES)
    assert taken_bytes <= MAX_TAKEN_BYTES
