"""Tests of upstream responses that are complete, incomplete, repeated or late."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest
import structlog
import structlog.testing

from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.http1.models import BodyFraming, Headers, ResponseHead
from banyanswitch.components.http1.upstream_connection import UpstreamConnection
from banyanswitch.decisions.response_ownership import Ownership
from banyanswitch.exceptions import UpstreamBrokenError, UpstreamNotSentError

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
RESPONSE_UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody"
RESPONSE_WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def async_start_upstream(script: Script) -> tuple[asyncio.Server, str]:
    server = await asyncio.start_server(script, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}"


async def async_read_all(connection: UpstreamConnection) -> bytes:
    parts = []
    while (part := await connection.async_part()) is not None:
        parts.append(part)
    return b"".join(parts)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def test_response_without_length_is_complete_at_end_of_stream() -> None:
    async def async_script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(RESPONSE_UNTIL_CLOSE)
        writer.close()

    server, address = await async_start_upstream(async_script)
    pool = ConnectionPool()
    connection = await pool.async_acquire(address)
    connection.send(REQUEST)
    head = await connection.async_head()
    assert head.framing is BodyFraming.CONNECTION_END
    assert await async_read_all(connection) == b"body"
    assert not connection.is_usable
    server.close()


async def test_response_without_length_fails_on_connection_reset() -> None:
    async def async_script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(RESPONSE_UNTIL_CLOSE)
        await writer.drain()
        await asyncio.sleep(0.05)
        reset_connection(writer)

    server, address = await async_start_upstream(async_script)
    connection = await ConnectionPool().async_acquire(address)
    connection.send(REQUEST)
    await connection.async_head()
    with pytest.raises(UpstreamBrokenError):
        await async_read_all(connection)
    server.close()


async def test_end_of_stream_with_pending_socket_error_is_a_reset() -> None:
    """After a short read, libuv reports a reset connection as the end of the stream."""

    class Socket:
        def setsockopt(self, *_args: int) -> None: ...

        def getsockopt(self, level: int, option: int) -> int:
            assert (level, option) == (socket.SOL_SOCKET, socket.SO_ERROR)
            return 104

    class Transport(asyncio.Transport):
        def get_extra_info(self, name: str, default: object = None) -> object:
            return Socket() if name == "socket" else default

        def write(self, data: bytes) -> None: ...

        def abort(self) -> None: ...

        def is_closing(self) -> bool:
            return False

        def resume_reading(self) -> None: ...

    connection = UpstreamConnection()
    connection.connection_made(Transport())
    connection.send(REQUEST)
    connection.data_received(RESPONSE_UNTIL_CLOSE)
    connection.eof_received()
    await connection.async_head()
    assert await connection.async_part() == b"body"
    with pytest.raises(UpstreamBrokenError, match="reset"):
        await connection.async_part()


async def test_response_shorter_than_content_length_fails() -> None:
    async def async_script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody")
        writer.close()

    server, address = await async_start_upstream(async_script)
    connection = await ConnectionPool().async_acquire(address)
    connection.send(REQUEST)
    await connection.async_head()
    with pytest.raises(UpstreamBrokenError):
        await async_read_all(connection)
    server.close()


@pytest.mark.parametrize("pause_s", [0.0, 0.03])
async def test_connection_is_not_reused_after_a_second_response(pause_s: float) -> None:
    async def async_script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            RESPONSE_WITH_LENGTH
            if pause_s
            else RESPONSE_WITH_LENGTH + RESPONSE_WITH_LENGTH
        )
        if pause_s:
            await asyncio.sleep(pause_s)
            writer.write(RESPONSE_WITH_LENGTH)

    server, address = await async_start_upstream(async_script)
    pool = ConnectionPool()
    connection = await pool.async_acquire(address)
    connection.send(REQUEST)
    await connection.async_head()
    assert await async_read_all(connection) == b"body"
    pool.release(address, connection)
    await asyncio.sleep(0.1)
    assert not connection.is_usable
    other = await pool.async_acquire(address)
    assert other is not connection
    server.close()


async def test_malformed_response_fails() -> None:
    async def async_script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"\x01\x02 no answer\r\n\r\n")

    server, address = await async_start_upstream(async_script)
    connection = await ConnectionPool().async_acquire(address)
    connection.send(REQUEST)
    with pytest.raises(UpstreamBrokenError):
        await connection.async_head()
    server.close()


async def test_connection_is_reused_until_announced_idle_limit() -> None:
    accepted = 0

    async def async_script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal accepted
        accepted += 1
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(
                RESPONSE_WITH_LENGTH.replace(
                    b"\r\n\r\n", b"\r\nKeep-Alive: timeout=1\r\n\r\n"
                )
            )

    server, address = await async_start_upstream(async_script)
    pool = ConnectionPool()
    for _ in range(2):
        connection = await pool.async_acquire(address)
        connection.send(REQUEST)
        head = await connection.async_head()
        await async_read_all(connection)
        pool.release(address, connection)
    assert accepted == 1
    pool.note_keep_alive(address, head.headers)
    await asyncio.sleep(0.05)
    assert await pool.async_acquire(address) is not connection
    server.close()


async def test_closed_port_raises_not_sent() -> None:
    server, address = await async_start_upstream(lambda _r, _w: asyncio.sleep(0))
    server.close()
    await server.wait_closed()
    pool = ConnectionPool()
    with pytest.raises(UpstreamNotSentError):
        await pool.async_acquire(address)
    assert pool.open_count(address) == 0


class Others:
    """Implements ``ResponseMatcher`` for a request that gets no response."""

    def ownership(self, head: ResponseHead, *, is_first_request: bool) -> Ownership:
        return Ownership.OTHER

    def names_request(self, headers: Headers) -> bool:
        return True


# Guards against a request that waits until its deadline on a connection that has ended.
@pytest.mark.parametrize("pause_s", [0.0, 0.05])
@pytest.mark.parametrize("response", [RESPONSE_UNTIL_CLOSE, RESPONSE_WITH_LENGTH])
async def test_no_response_is_awaited_after_a_foreign_one_that_ended_the_connection(
    response: bytes, pause_s: float
) -> None:
    async def async_script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        writer.close()

    server, address = await async_start_upstream(async_script)
    connection = await ConnectionPool().async_acquire(address)
    connection.send(REQUEST, matcher=Others())
    await asyncio.sleep(pause_s)
    async with asyncio.timeout(2.0):
        with pytest.raises(UpstreamBrokenError):
            await connection.async_head()
    server.close()


# Guards against a reason phrase of which only the last part reaches the caller.
async def test_reason_phrase_in_several_reads_is_whole() -> None:
    async def async_script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for part in (b"HTTP/1.1 200 Very", b" Fi", b"ne\r\nContent-Length: 0\r\n\r\n"):
            writer.write(part)
            await asyncio.sleep(0.02)

    server, address = await async_start_upstream(async_script)
    connection = await ConnectionPool().async_acquire(address)
    connection.send(REQUEST)
    assert (await connection.async_head()).reason == b"Very Fine"
    server.close()


# Guards against second answers on idle connections that no line tells of.
async def test_bytes_on_an_idle_connection_are_logged() -> None:
    async def async_script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(RESPONSE_WITH_LENGTH)
        await asyncio.sleep(0.05)
        writer.write(RESPONSE_WITH_LENGTH)

    server, address = await async_start_upstream(async_script)
    pool = ConnectionPool()
    connection = await pool.async_acquire(address)
    connection.send(REQUEST)
    await connection.async_head()
    assert await async_read_all(connection) == b"body"
    pool.release(address, connection)
    await asyncio.sleep(0.1)
    with structlog.testing.capture_logs() as logs:
        pool.sweep(asyncio.get_running_loop().time())
    assert [line["event"] for line in logs] == ["idle_connection_failed"]
    assert logs[0]["address"] == address
    assert pool.open_count(address) == 0
    server.close()
