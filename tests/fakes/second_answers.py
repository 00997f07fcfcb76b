"""Upstream that answers its first request twice, the second time late."""

import asyncio
import contextlib
from collections.abc import Sequence
from enum import Enum, auto

PAUSE_S = 0.002


class Arrival(Enum):
    """When the second answer to the first request arrives."""

    SAME_READ = auto()
    IDLE = auto()
    BEFORE_NEXT_ANSWER = auto()


class TwiceAnsweringUpstream:
    """Answer each request, and the first one a second time on the same connection.

    Parameters
    ----------
    answers : sequence of bytes
        Answers to the requests, in the order in which the requests arrive. Requests
        after the last of them are not answered.
    late : bytes
        Second answer to the first request.
    cut : int
        Number of bytes of the second answer, and of the answer behind it, that are
        sent in a part of their own.

    Attributes
    ----------
    request_count : int
        Number of requests that arrived.
    """

    def __init__(
        self, answers: Sequence[bytes], late: bytes, arrival: Arrival, cut: int = 0
    ) -> None:
        self._answers = answers
        self._late = late
        self._arrival = arrival
        self._cut = cut
        self._server: asyncio.Server | None = None
        self.request_count = 0

    async def __aenter__(self) -> str:
        """Start to listen and return the URL."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        return f"http://127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def __aexit__(self, *_error: object) -> None:
        """Stop listening."""
        assert self._server is not None
        self._server.close()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        owes_second = False
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await async_read_request(reader)
                number = self.request_count
                self.request_count += 1
                if number >= len(self._answers):
                    continue
                data = self._answers[number]
                if number == 0:
                    owes_second = await self._async_answer_first(writer, data)
                    continue
                await self._async_write(writer, self._late * owes_second + data)
                owes_second = False
        writer.close()

    async def _async_answer_first(
        self, writer: asyncio.StreamWriter, data: bytes
    ) -> bool:
        """Answer the first request; return whether its second answer is due later."""
        if self._arrival is Arrival.SAME_READ:
            writer.write(data + self._late)
            return False
        writer.write(data)
        if self._arrival is Arrival.IDLE:
            await asyncio.sleep(PAUSE_S)
            writer.write(self._late)
            return False
        return True

    async def _async_write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(data[: self._cut])
        if self._cut:
            await asyncio.sleep(PAUSE_S)
        writer.write(data[self._cut :])


async def async_read_request(reader: asyncio.StreamReader) -> None:
    """Read a request with its body.

    Raises
    ------
    asyncio.IncompleteReadError
        If the connection ended.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name == b"content-length":
            await reader.readexactly(int(value))


def make_answer(
    body: bytes = b"{}", *headers: str, status: str = "200 OK", is_chunked: bool = False
) -> bytes:
    """Return an answer of JSON as it is sent."""
    framing = f"Content-Length: {len(body)}"
    if is_chunked:
        framing = "Transfer-Encoding: chunked"
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    lines = (f"HTTP/1.1 {status}", "Content-Type: application/json", framing, *headers)
    return "".join(f"{line}\r\n" for line in lines).encode() + b"\r\n" + body
