"""A caller that does not read its stream is cut after a bounded time."""

import asyncio
from dataclasses import dataclass, field
from typing import Any, cast

import pytest
from aiohttp import web

from banyanswitch.components.gateway.slow_reader import (
    SLOW_READER_TIMEOUT_S,
    CallerWrites,
)
from banyanswitch.components.routing.watchdog import CHECK_INTERVAL_S, StreamWatchdog
from banyanswitch.core import Kernel


@dataclass
class _Connection:
    """Takes writes while the caller reads; an abort fails the pending write."""

    is_reading: bool = True
    aborted: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def transport(self) -> "_Connection":
        return self

    def abort(self) -> None:
        self.aborted.set()

    async def write(self, _content: bytes) -> None:
        if self.is_reading:
            return
        await self.aborted.wait()
        raise ConnectionResetError


@pytest.mark.looptime
async def test_pending_write_is_cut_and_others_are_not() -> None:
    kernel = Kernel(settings=None)
    watchdog = StreamWatchdog(kernel)
    stuck = _Connection(is_reading=False)
    reading = _Connection()
    writes = {}
    for connection in (stuck, reading):
        request = cast(web.Request, connection)
        response = cast(Any, connection)
        writes[id(connection)] = CallerWrites(request, response)
        watchdog.add(writes[id(connection)])
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    await writes[id(reading)].async_write(b"x")
    with pytest.raises(ConnectionResetError):
        await writes[id(stuck)].async_write(b"x")
    waited_s = loop.time() - started_at_s
    assert (
        SLOW_READER_TIMEOUT_S
        <= waited_s
        <= SLOW_READER_TIMEOUT_S + 2 * CHECK_INTERVAL_S
    )
    await asyncio.sleep(2 * SLOW_READER_TIMEOUT_S)
    assert not reading.aborted.is_set()
    await kernel.async_stop()
