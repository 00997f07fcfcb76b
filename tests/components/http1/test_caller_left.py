"""Callers who leave while the process has no time to read it."""

import asyncio
import socket
import struct
import time
from collections.abc import Callable

import pytest
import uvloop

from banyanswitch.components.http1.caller_server import CallerServer
from banyanswitch.components.http1.models import Request
from banyanswitch.components.http1.reply import Reply

MakeLoop = Callable[[], asyncio.AbstractEventLoop]
LOOPS = pytest.mark.parametrize(
    "make_loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["std", "uv"]
)
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


async def async_serve(leave: Callable[[socket.socket], None]) -> list[bool]:
    """Hold the loop up while a caller sends a request and leaves.

    Returns
    -------
    has_left : list of bool
        What the handler of each request is told when it begins.
    """
    seen: list[bool] = []

    async def async_handle(request: Request, reply: Reply) -> None:
        seen.append(reply.has_caller_left)
        reply.send(200, (), b"")

    server = CallerServer(async_handle)
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    await server.async_start("127.0.0.1", port)
    caller = socket.create_connection(("127.0.0.1", port))
    await asyncio.sleep(0.05)
    caller.sendall(REQUEST)
    leave(caller)
    time.sleep(0.05)  # noqa: ASYNC251
    await asyncio.sleep(0.1)
    caller.close()
    await asyncio.sleep(0.05)
    return seen


def reset(caller: socket.socket) -> None:
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()


# Guards against requests that are sent on although their callers have left.
@LOOPS
@pytest.mark.parametrize(
    ("leave", "expected"),
    [
        (lambda caller: caller.close(), [[True]]),
        (reset, [[True], []]),
        (lambda caller: None, [[False]]),
        (lambda caller: caller.sendall(REQUEST), [[False, False]]),
    ],
    ids=["close", "reset", "stays", "sends another request"],
)
def test_handler_learns_that_the_caller_has_left(
    make_loop: MakeLoop,
    leave: Callable[[socket.socket], None],
    expected: list[list[bool]],
) -> None:
    with asyncio.Runner(loop_factory=make_loop) as runner:
        assert runner.run(async_serve(leave)) in expected
