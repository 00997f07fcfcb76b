"""Responses without a length whose connection ends while the request is being sent."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from enum import Enum

import pytest
import uvloop

from banyanswitch.components.http1.client import HttpClient, HttpResponse
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.exceptions import UpstreamBrokenError

UPLOAD_BYTES = 12_000_000
"""More than the kernel takes for an upstream that doesn't read."""

READ_BYTES = 16_384
ANSWER = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nConnection: close\r\n\r\npart"
LOOPS = pytest.mark.parametrize(
    "make_loop", [asyncio.new_event_loop, uvloop.new_event_loop]
)
MakeLoop = Callable[[], asyncio.AbstractEventLoop]


class End(Enum):
    """How an upstream ends a connection."""

    RESET = "reset"
    CLOSE = "close"
    FINISH_AND_RESET = "finish and reset"


def run(make_loop: MakeLoop, call: Callable[[], Awaitable[HttpResponse]]) -> bytes:
    async def async_run() -> bytes:
        return (await call()).body

    with asyncio.Runner(loop_factory=make_loop) as runner:
        return runner.run(async_run())


async def async_upload(end: End | None, pause_s: float) -> HttpResponse:
    """Send a long request to an upstream that answers before it has read it all."""
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)

        async def async_answer() -> None:
            connection, _ = await loop.sock_accept(listener)
            connection.setblocking(False)
            received = await loop.sock_recv(connection, READ_BYTES)
            while end is None and not received.endswith(b"end"):
                received = await loop.sock_recv(connection, READ_BYTES)
            await loop.sock_sendall(connection, ANSWER)
            await asyncio.sleep(pause_s)
            if end is End.RESET:
                option = struct.pack("ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
            elif end is not End.CLOSE:
                connection.shutdown(socket.SHUT_WR)
                await asyncio.sleep(pause_s)
            connection.close()

        answering = asyncio.create_task(async_answer())
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        client = HttpClient(ConnectionPool())
        try:
            return await client.async_call(
                "POST", address, "/", timeout_s=10.0, body=b"x" * UPLOAD_BYTES + b"end"
            )
        finally:
            client.close()
            with contextlib.suppress(OSError):
                await answering


# Guards against a part of a body that is taken for the whole, since the connection was
# reset while the request was still being sent.
@LOOPS
@pytest.mark.parametrize("end", End)
@pytest.mark.parametrize("pause_s", [0.0, 0.01])
def test_response_is_broken_if_the_request_was_not_received(
    make_loop: MakeLoop, end: End, pause_s: float
) -> None:
    for _ in range(5):
        with pytest.raises(UpstreamBrokenError):
            run(make_loop, lambda: async_upload(end, pause_s))


# Guards against the failure of whole responses to long requests.
@LOOPS
def test_response_is_complete_if_the_request_was_received(make_loop: MakeLoop) -> None:
    assert run(make_loop, lambda: async_upload(None, 0.0)) == b"part"
