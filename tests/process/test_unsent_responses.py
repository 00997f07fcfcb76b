"""Responses that callers still read when their instance is stopped."""

import asyncio
import json
import signal
import socket
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from tests.process.platform_fleet import HOSTS, KEY, Platform

pytestmark = pytest.mark.process
GRACE_S = 8.0
BODY_BYTES = 2_000_000
BYTES_PER_S = 400_000
"""Speed of a caller, which needs about 5 s for a response."""

READ_BYTES = 4096
WINDOW_BYTES = 8 * 1024
SEGMENT_BYTES = 1460
STOP_AFTER_S = 0.3


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    platform = Platform(tmp_path, grace_s=GRACE_S)
    try:
        await platform.async_start()
        for upstream in platform.upstreams.values():
            upstream.echoes_body = True
        yield platform
    finally:
        await platform.async_stop()


async def async_connect(platform: Platform, attempt: str) -> socket.socket:
    """Send a request with a long response over a connection with a small window."""
    connection = socket.socket()
    # The loopback device has larger segments and windows than a network.
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (HOSTS[0], platform.ports["front"]))
    headers = {
        "Host": "h.example",
        "Attempt-Id": attempt,
        "Content-Length": str(BODY_BYTES),
        **KEY,
    }
    lines = ["POST /once/ HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    head = "\r\n".join(lines) + "\r\n\r\n"
    await loop.sock_sendall(connection, head.encode() + b"x" * BODY_BYTES)
    return connection


async def async_read_slowly(connection: socket.socket) -> bytes:
    loop = asyncio.get_running_loop()
    free_at_s = loop.time()
    data = b""
    while part := await loop.sock_recv(connection, READ_BYTES):
        data += part
        free_at_s = max(loop.time(), free_at_s) + len(part) / BYTES_PER_S
        await asyncio.sleep(free_at_s - loop.time())
    return data


async def async_stop(platform: Platform) -> float:
    """Stop the first instance; return the time until its exit, in seconds."""
    loop = asyncio.get_running_loop()
    process = platform.processes[HOSTS[0]]
    began_at_s = loop.time()
    process.send_signal(signal.SIGTERM)
    await process.wait()
    assert process.returncode == 0
    return loop.time() - began_at_s


def logged(platform: Platform, event: str) -> list[dict[str, Any]]:
    lines = (platform.folder / f"{HOSTS[0]}.log").read_text().splitlines()
    found = [json.loads(line) for line in lines if line.startswith("{")]
    return [line for line in found if line.get("event") == event]


# Guards against an exit that drops what answered callers have not read yet.
async def test_response_is_sent_whole_after_a_stop(platform: Platform) -> None:
    connections = [await async_connect(platform, f"a{number}") for number in range(2)]
    readers = [asyncio.create_task(async_read_slowly(c)) for c in connections]
    await asyncio.sleep(STOP_AFTER_S)
    stopping = asyncio.create_task(async_stop(platform))
    for response in await asyncio.gather(*readers):
        assert response.startswith(b"HTTP/1.1 200 ")
        assert response.count(b"x" * 1000) == BODY_BYTES // 1000
    assert await stopping < GRACE_S
    assert logged(platform, "response_cut") == []


# Guards against an exit that waits beyond the grace period, and against responses that
# are cut without a trace.
async def test_caller_that_reads_nothing_does_not_delay_the_exit(
    platform: Platform,
) -> None:
    connection = await async_connect(platform, "a1")
    await asyncio.sleep(STOP_AFTER_S)
    assert await async_stop(platform) < GRACE_S
    connection.close()
    (line,) = logged(platform, "response_cut")
    assert line["request"] == "a1"
    assert 0 < line["unsent_bytes"] <= BODY_BYTES + 1000


# Guards against an exit that waits although nothing is left to be sent.
async def test_stop_without_unsent_bytes_does_not_take_the_grace_period(
    platform: Platform,
) -> None:
    status, _, _ = await platform.async_call("/once/", "a1")
    assert status == 200
    assert await async_stop(platform) < 0.6 * GRACE_S
