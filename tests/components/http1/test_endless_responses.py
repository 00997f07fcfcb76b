"""Responses without end are cut off within a bound; no network."""

import asyncio
from collections.abc import Iterator

import pytest

from banyanswitch.components.forwarding.event_stream import EventSplitter
from banyanswitch.components.http1.client import HttpClient
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.http1.upstream_connection import UpstreamConnection
from banyanswitch.exceptions import UpstreamBrokenError
from tests.fakes.endless import BODIES, HEADS, PART_BYTES, Endless

MAX_TAKEN_BYTES = 4_000_000
"""Stated bound on the bytes that are taken before the connection is closed."""
SENT_BYTES = 10_000_000


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
    endless: Endless,
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
    endless: Endless,
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
