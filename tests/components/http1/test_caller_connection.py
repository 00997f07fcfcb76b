"""Tests of callers' connections over real sockets."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable

import pytest
import structlog

from banyanswitch.components.http1.caller_server import CallerServer
from banyanswitch.components.http1.models import (
    BodyFraming,
    ConnectionLimits,
    Request,
)
from banyanswitch.components.http1.reply import Reply

HOST = "127.0.0.1"
LONG_BYTES = 8_000_000
"""Size of a response that the kernel doesn't take at once."""

GET = b"GET /a/b?c=%20d HTTP/1.1\r\nHost: h\r\n\r\n"


class Handler:
    """Handler that records requests and responds once `may_respond` is set."""

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.may_respond = asyncio.Event()
        self.may_respond.set()
        self.cancelled = 0

    async def __call__(self, request: Request, reply: Reply) -> None:
        self.requests.append(request)
        try:
            await self.may_respond.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        reply.send(200, [(b"X", b"y")], b"body of " + request.target)


@pytest.fixture
def handler() -> Handler:
    return Handler()


@pytest.fixture
async def server(handler: Handler) -> AsyncIterator[CallerServer]:
    server = CallerServer(handler, lambda: ConnectionLimits(max_body_bytes=1000))
    await server.async_start(HOST, 0)
    yield server
    server.stop_listening()
    server.abort_all()


async def async_exchange(server: CallerServer, data: bytes) -> bytes:
    """Send bytes; return the data received until its end or a pause of 0.3 s."""
    reader, writer = await asyncio.open_connection(HOST, server.port)
    writer.write(data)
    response = b""
    try:
        while True:
            part = await asyncio.wait_for(reader.read(4096), 0.3)
            if not part:
                break
            response += part
    except TimeoutError:
        pass
    writer.close()
    return response


async def test_target_headers_and_body_pass_unchanged(
    server: CallerServer, handler: Handler
) -> None:
    body = bytes(range(256))
    head = b"POST /x%2Fy/?q=a+b HTTP/1.1\r\nhOst: h\r\nX-Odd:  v \r\n"
    data = head + b"Content-Length: 256\r\n\r\n" + body
    response = await async_exchange(server, data)
    assert response.startswith(b"HTTP/1.1 200 OK\r\n")
    (request,) = handler.requests
    assert request.method == b"POST"
    assert request.target == b"/x%2Fy/?q=a+b"
    assert (b"hOst", b"h") in request.headers
    assert request.body == body


async def test_chunked_body_is_decoded(server: CallerServer, handler: Handler) -> None:
    head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    await async_exchange(server, head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert handler.requests[0].body == b"abcde"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /",
            b"400",
        ),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabcd",
            b"400",
        ),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n",
            b"400",
        ),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
            b"400",
        ),
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", b"400"),
        (b"GET http://other/ HTTP/1.1\r\nHost: h\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", b"400"),
        (b"\x00\x01\x02\r\n\r\n", b"400"),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", b"413"),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 20000 + b"\r\n\r\n", b"431"),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 20000, b"431"),
    ],
)
async def test_malformed_ambiguous_and_oversized_requests_are_rejected(
    server: CallerServer, handler: Handler, data: bytes, status: bytes
) -> None:
    response = await async_exchange(server, data)
    assert response.split(b" ", 2)[1] == status
    assert response.count(b"HTTP/1.1") == 1
    assert handler.requests == []


async def test_chunked_body_above_limit_is_rejected(
    server: CallerServer, handler: Handler
) -> None:
    head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    response = await async_exchange(server, head + b"3e9\r\n" + b"a" * 1001 + b"\r\n")
    assert b" 413 " in response.split(b"\r\n")[0]
    assert handler.requests == []


async def test_pipelined_requests_get_responses_in_order(
    server: CallerServer, handler: Handler
) -> None:
    data = b"".join(
        b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % number for number in range(12)
    )
    response = await async_exchange(server, data)
    positions = [response.index(b"body of /%d" % number) for number in range(12)]
    assert positions == sorted(positions)


async def test_idle_connection_serves_a_request_during_shutdown(
    server: CallerServer, handler: Handler
) -> None:
    reader, writer = await asyncio.open_connection(HOST, server.port)
    writer.write(GET)
    await reader.readuntil(b"d")
    server.announce_close()
    writer.write(GET)
    response = await asyncio.wait_for(reader.read(), 1.0)
    assert b"200 OK" in response
    assert b"Connection: close" in response
    assert len(handler.requests) == 2
    writer.close()


async def test_close_idle_does_not_interrupt_a_request_in_progress(
    server: CallerServer, handler: Handler
) -> None:
    handler.may_respond.clear()
    reader, writer = await asyncio.open_connection(HOST, server.port)
    writer.write(GET)
    await _async_wait_until(lambda: len(handler.requests) == 1)
    server.announce_close()
    server.close_idle()
    handler.may_respond.set()
    response = await asyncio.wait_for(reader.read(), 1.0)
    assert response.endswith(b"body of /a/b?c=%20d")
    writer.close()


async def async_slow_reader(
    server: CallerServer,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect with a window that is much smaller than a long response."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 * 1024)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (HOST, server.port))
    return await asyncio.open_connection(sock=connection, limit=4096)


@pytest.fixture
async def long_server() -> AsyncIterator[CallerServer]:
    async def async_respond(request: Request, reply: Reply) -> None:
        reply.request_id = request.target.decode()
        reply.send(200, [], b"x" * LONG_BYTES)

    server = CallerServer(async_respond)
    await server.async_start(HOST, 0)
    yield server
    server.stop_listening()
    server.abort_all()


# Guards against a stopping process that takes an answered caller for done although the
# write buffer or the kernel's queue holds a part of its response.
async def test_connection_counts_as_unsent_until_its_caller_has_all(
    long_server: CallerServer,
) -> None:
    reader, writer = await async_slow_reader(long_server)
    long_server.announce_close()
    # Pipelined bytes that nobody reads would reset the connection when it is closed.
    writer.write(GET * 3)
    head = await reader.readuntil(b"\r\n\r\n")
    assert b"Connection: close" in head
    long_server.close_idle()
    assert (long_server.busy_count, long_server.unsent_count) == (0, 1)
    assert await asyncio.wait_for(reader.read(), 10.0) == b"x" * LONG_BYTES
    await _async_wait_until(lambda: long_server.connection_count == 0)
    assert long_server.unsent_count == 0
    writer.close()


# Guards against a wait for a caller that has left.
async def test_connection_of_a_caller_that_left_has_nothing_unsent(
    long_server: CallerServer,
) -> None:
    reader, writer = await async_slow_reader(long_server)
    long_server.announce_close()
    writer.write(GET)
    await reader.readuntil(b"\r\n\r\n")
    assert long_server.unsent_count == 1
    writer.transport.abort()
    await _async_wait_until(lambda: long_server.connection_count == 0)
    assert long_server.unsent_count == 0


# Guards against responses that are cut without a trace, and against the cut of one that
# only waits for its reader when requests in progress are ended.
async def test_cut_response_is_logged(long_server: CallerServer) -> None:
    reader, writer = await async_slow_reader(long_server)
    long_server.announce_close()
    writer.write(GET)
    await reader.readuntil(b"\r\n\r\n")
    with structlog.testing.capture_logs() as logs:
        long_server.end_requests()
        assert (long_server.unsent_count, logs) == (1, [])
        long_server.abort_all()
    (line,) = logs
    assert line["event"] == "response_cut"
    assert line["request"] == "/a/b?c=%20d"
    assert 0 < line["unsent_bytes"] <= LONG_BYTES
    assert line["is_answered"]
    writer.close()


async def test_handler_is_cancelled_when_caller_disconnects(
    server: CallerServer, handler: Handler
) -> None:
    handler.may_respond.clear()
    _, writer = await asyncio.open_connection(HOST, server.port)
    writer.write(GET)
    await _async_wait_until(lambda: len(handler.requests) == 1)
    writer.close()
    await _async_wait_until(lambda: handler.cancelled == 1)


async def test_aborted_response_does_not_appear_complete() -> None:
    async def async_respond_partially(_request: Request, reply: Reply) -> None:
        reply.start(200, [], BodyFraming.CHUNKED)
        reply.write(b"some")

    server = CallerServer(async_respond_partially)
    await server.async_start(HOST, 0)
    reader, writer = await asyncio.open_connection(HOST, server.port)
    writer.write(GET)
    response = await asyncio.wait_for(reader.read(), 1.0)
    assert b"Transfer-Encoding: chunked" in response
    assert b"0\r\n\r\n" not in response
    writer.close()
    server.stop_listening()


async def test_slow_request_head_gets_status_408(handler: Handler) -> None:
    limits = ConnectionLimits(header_timeout_s=0.05)
    server = CallerServer(handler, lambda: limits)
    await server.async_start(HOST, 0)
    sweeper = asyncio.create_task(server.async_sweep())
    reader, writer = await asyncio.open_connection(HOST, server.port)
    writer.write(b"GET / HTTP/1.1\r\nHo")
    response = await asyncio.wait_for(reader.read(), 2.0)
    assert b" 408 " in response
    writer.close()
    sweeper.cancel()
    server.stop_listening()


async def test_100_continue_is_sent_when_expected(
    server: CallerServer, handler: Handler
) -> None:
    reader, writer = await asyncio.open_connection(HOST, server.port)
    writer.write(
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
        b"Expect: 100-continue\r\n\r\n"
    )
    assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
    writer.write(b"ok")
    assert b"200 OK" in await reader.readuntil(b"\r\n\r\n")
    assert handler.requests[0].body == b"ok"
    writer.close()


async def _async_close(*writers: asyncio.StreamWriter) -> None:
    for writer in writers:
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()


async def _async_wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(2.0):
        while not condition():
            await asyncio.sleep(0.01)


# Guards against silent connections that keep all others out.
async def test_longest_idle_connection_gives_way_to_a_new_one(handler: Handler) -> None:
    server = CallerServer(handler, max_connections=2)
    await server.async_start(HOST, 0)
    connections = [await asyncio.open_connection(HOST, server.port) for _ in range(3)]
    assert await asyncio.wait_for(connections[0][0].read(), 1.0) == b""
    for reader, writer in connections[1:]:
        writer.write(GET)
        assert b"200 OK" in await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1.0)
    server.stop_listening()
    await _async_close(*(writer for _, writer in connections))


# Guards against requests in progress that are interrupted for new connections.
async def test_new_connection_is_closed_if_all_others_are_busy(
    handler: Handler,
) -> None:
    handler.may_respond.clear()
    server = CallerServer(handler, max_connections=1)
    await server.async_start(HOST, 0)
    reader, writer = await asyncio.open_connection(HOST, server.port)
    writer.write(GET)
    await _async_wait_until(lambda: len(handler.requests) == 1)
    other_reader, other_writer = await asyncio.open_connection(HOST, server.port)
    with contextlib.suppress(ConnectionError):
        assert await asyncio.wait_for(other_reader.read(), 1.0) == b""
    handler.may_respond.set()
    assert b"200 OK" in await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1.0)
    server.stop_listening()
    await _async_close(writer, other_writer)
