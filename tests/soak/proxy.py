"""Loopback proxy that delays, cuts, silences and resets connections."""

import asyncio
import contextlib
from enum import Enum

CHUNK_BYTES = 64 * 1024
DELAY_S = 0.15
POLL_S = 0.02


class Mode(Enum):
    """What happens to the bytes that pass."""

    PASS = "pass"
    DELAY = "delay"
    CUT_REQUESTS = "cut_requests"
    CUT_ANSWERS = "cut_answers"
    SILENT = "silent"


HELD = {
    True: {Mode.CUT_REQUESTS, Mode.SILENT},
    False: {Mode.CUT_ANSWERS, Mode.SILENT},
}
"""Modes that hold bytes back, for requests and for answers."""


class Proxy:
    """One listener before one server; held bytes arrive when the mode ends."""

    def __init__(self, host: str, port: int) -> None:
        self._target = (host, port)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.mode = Mode.PASS

    async def async_start(self) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def reset(self) -> None:
        """Reset all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Listen no more."""
        self.reset()
        if self._server is not None:
            self._server.close()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        pumps = (
            self._async_pump(reader, far_writer, is_request=True),
            self._async_pump(far_reader, writer, is_request=False),
        )
        try:
            await asyncio.gather(*pumps)
        finally:
            self._writers -= {writer, far_writer}
            writer.transport.abort()
            far_writer.transport.abort()

    async def _async_pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_request: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                while self.mode in HELD[is_request]:
                    await asyncio.sleep(POLL_S)
                writer.write(chunk)
                await writer.drain()
        writer.transport.abort()
