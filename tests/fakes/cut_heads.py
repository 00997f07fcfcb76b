"""Server that stops in the middle of the head of an answer."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Iterator

REST = b"attempt-id: a1\r\nServer-Stamp: stamp\r\nWeight-Versions: 1\r\n"
STATUS = b"HTTP/1.1 200 OK\r\n"
EVENT = b"id: 2\ndata: x\n\n"
HEADS = {
    "length": STATUS + REST + b"Content-Length: 15\r\n\r\n",
    "length_first": STATUS + b"Content-Length: 15\r\n" + REST + b"\r\n",
    "no_body": STATUS + b"Content-Length: 0\r\n" + REST + b"\r\n",
    "chunks": STATUS + b"Transfer-Encoding: chunked\r\n" + REST + b"\r\n",
    "connection_end": STATUS + b"Connection: close\r\n" + REST + b"\r\n",
    "events": STATUS + b"Content-Type: text/event-stream\r\n" + REST + b"\r\n",
    "http_1_0": b"HTTP/1.0 200 OK\r\n" + REST + b"\r\n",
    "204": b"HTTP/1.1 204 No Content\r\n" + REST + b"\r\n",
    "304": b"HTTP/1.1 304 Not Modified\r\n" + REST + b"\r\n",
    "line_feeds": (STATUS + b"Content-Length: 15\r\n" + REST + b"\r\n").replace(
        b"\r\n", b"\n"
    ),
    "after_100": b"HTTP/1.1 100 Continue\r\n\r\n" + STATUS + REST + b"\r\n",
    "after_103": b"HTTP/1.1 103 X\r\nLink: x\r\n\r\n" + STATUS + REST + b"\r\n",
    "error": b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n" + REST + b"\r\n",
    "refusal": b"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n"
    + REST
    + b"\r\n",
}
"""Heads of answers, whose bodies would follow."""


def cuts(head: bytes, step: int = 1) -> Iterator[bytes]:
    """Return the beginnings of a head that are shorter than it, from its first byte.

    Parameters
    ----------
    step : int
        Difference between two lengths, in bytes. The longest beginning, which lacks one
        byte, is always among them.
    """
    for size_bytes in range(len(head) - 1, 0, -step):
        yield head[:size_bytes]


class CutServer:
    """Server that answers each request with the same bytes, and ends the connection.

    Attributes
    ----------
    answer : bytes
        What it sends.
    resets : bool
        Whether the connection is reset, in place of an end in order.
    pieces : int
        Number of parts in which the answer is sent.
    requests : int
        Number of requests received.
    """

    def __init__(self) -> None:
        self.answer = b""
        self.resets = False
        self.pieces = 1
        self.requests = 0
        self._server: asyncio.Server | None = None

    async def async_start(self, host: str = "127.0.0.1") -> str:
        """Listen at a free port, and return the address."""
        self._server = await asyncio.start_server(self._async_answer, host, 0)
        return f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _async_answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            request = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(_body_bytes(request))
            self.requests += 1
            size_bytes = -(-len(self.answer) // self.pieces)
            for start in range(0, len(self.answer), size_bytes):
                writer.write(self.answer[start : start + size_bytes])
                await asyncio.sleep(0.002 if self.pieces > 1 else 0.0)
            raw = writer.get_extra_info("socket")
            if self.resets and raw is not None:
                option = struct.pack("ii", 1, 0)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        writer.close()


def _body_bytes(request: bytes) -> int:
    for line in request.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0
