"""Test the time limit on writes to a caller that does not read its stream."""

import asyncio
from dataclasses import dataclass, field
from typing import Any, cast

import pytest
from aiohttp import web

from banyanswitch.components.gateway.slow_reader import (
    SLOW_READER_TIMEOUT_S,
    ResponseWriter,
)
from banyanswitch.components.routing.watchdog import CHECK_INTERVAL_S, StreamWatchdog
from banyanswitch.core import Kernel


@dataclass
class _Connection:
    """Request and response whose writes block while the caller does not read.

    An abort fails the blocked write.
    """

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
async def test_overdue_write_is_aborted_and_others_are_not() -> None:
    kernel = Kernel(settings=None)
    watchdog = StreamWatchdog(kernel)
    stuck = _Connection(is_reading=False)
    reading = _Connection()
    writers = {}
    for connection in (stuck, reading):
        request = cast(web.Request, connection)
        response = cast(Any, connection)
        writers[id(connection)] = ResponseWriter(request, response)
        watchdog.add(writers[id(connection)])
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    await writers[id(reading)].async_write(b"x")
    with pytest.raises(ConnectionResetError):
        await writers[id(stuck)].async_write(b"x")
    waited_s = loop.time() - started_at_s
    assert (
        SLOW_READER_TIMEOUT_S
        <= waited_s
        <= SLOW_READER_TIMEOUT_S + 2 * CHECK_INTERVAL_S
    )
    await asyncio.sleep(2 * SLOW_READER_TIMEOUT_S)
    assert not reading.aborted.is_set()
    await kernel.async_stop()
