"""Proxy on loopback that delays, blocks and resets connections."""

import asyncio
import contextlib
import socket
import struct
from enum import Enum

CHUNK_BYTES = 64 * 1024
DELAY_S = 0.15
POLL_S = 0.02
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which closing a socket resets its connection."""


class Mode(Enum):
    """How the proxy treats the bytes that it forwards.

    ``DELAY`` delays each chunk by ``DELAY_S``. ``CUT_REQUESTS``, ``CUT_ANSWERS`` and
    ``SILENT`` hold back requests, answers or both until the mode changes.
    """

    PASS = "pass"
    DELAY = "delay"
    CUT_REQUESTS = "cut_requests"
    CUT_ANSWERS = "cut_answers"
    SILENT = "silent"


BLOCKING_MODES = {
    True: {Mode.CUT_REQUESTS, Mode.SILENT},
    False: {Mode.CUT_ANSWERS, Mode.SILENT},
}
"""Modes that block requests (``True``) and answers (``False``)."""


class Proxy:
    """Proxy of one server; blocked bytes are forwarded once the mode ends."""

    def __init__(self, host: str, port: int) -> None:
        self._target = (host, port)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self.mode = Mode.PASS

    async def async_start(self) -> str:
        """Start to listen and return the address."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def reset(self) -> None:
        """Reset all connections."""
        for writer in tuple(self._writers):
            raw = writer.get_extra_info("socket")
            if raw is not None and raw.fileno() >= 0:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            writer.transport.abort()

    def silence(self) -> None:
        """Let the open connections go silent for good, without a reset."""
        self._silent |= self._writers

    def stop(self) -> None:
        """Reset all connections and stop listening."""
        self._silent.clear()
        self.reset()
        if self._server is not None:
            self._server.close()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        forwards = (
            self._async_forward(reader, target_writer, is_request=True),
            self._async_forward(target_reader, writer, is_request=False),
        )
        try:
            await asyncio.gather(*forwards)
        finally:
            self._writers -= {writer, target_writer}
            self._silent -= {writer, target_writer}
            writer.transport.abort()
            target_writer.transport.abort()

    async def _async_forward(
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
                while self.mode in BLOCKING_MODES[is_request]:
                    await asyncio.sleep(POLL_S)
                while writer in self._silent and not reader.at_eof():
                    await asyncio.sleep(POLL_S)
                writer.write(chunk)
                await writer.drain()
        writer.transport.abort()
