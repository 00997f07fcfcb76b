"""Requests with large heads that are handled at the same time."""

import asyncio

import pytest

from banyanswitch.components.http1.caller_server import CallerServer
from banyanswitch.components.http1.const import HEAD_COPIES
from banyanswitch.components.http1.memory_guard import MemoryGuard
from banyanswitch.components.http1.models import Request
from banyanswitch.components.http1.reply import Reply
from banyanswitch.decisions.memory_account import MemoryPolicy

HEAD_BYTES = 12_000
LIMIT_BYTES = 4_000_000
COUNT = 60


# Guards against heads of many parts that fill the memory while they are handled, since
# only bodies were counted, and against refusals of small requests beside them.
async def test_requests_with_large_heads_are_refused_under_pressure() -> None:
    handled = 0
    may_respond = asyncio.Event()

    async def async_respond(request: Request, reply: Reply) -> None:
        nonlocal handled
        handled += 1
        await may_respond.wait()
        reply.send(200, [], b"")

    guard = MemoryGuard(MemoryPolicy(limit_bytes=LIMIT_BYTES))
    server = CallerServer(async_respond, guard=guard)
    await server.async_start("127.0.0.1", 0)
    large = b"GET / HTTP/1.1\r\nHost: h\r\nParts: " + b"a" * HEAD_BYTES + b"\r\n\r\n"
    small = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"

    async def async_exchange(data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(data)
        status = await reader.readline()
        writer.close()
        return status.split()[1]

    exchanges = [asyncio.create_task(async_exchange(large)) for _ in range(COUNT)]
    await asyncio.sleep(0.3)
    held_bytes = HEAD_COPIES * HEAD_BYTES
    most = guard.account.policy.pressure_share * LIMIT_BYTES / held_bytes + 1
    assert handled == pytest.approx(most, abs=1.0)
    assert guard.account.held_bytes >= handled * held_bytes
    exchanges += [asyncio.create_task(async_exchange(small)) for _ in range(5)]
    await asyncio.sleep(0.1)
    may_respond.set()
    statuses = await asyncio.gather(*exchanges)
    assert statuses[COUNT:] == [b"200"] * 5
    assert sorted(set(statuses[:COUNT])) == [b"200", b"503"]
    assert statuses.count(b"503") == COUNT + 5 - handled
    await asyncio.sleep(0.1)
    assert guard.account.held_bytes == 0
    server.stop_listening()
    server.abort_all()
