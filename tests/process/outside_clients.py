"""A small crowd of clients that keep to no limit, against one real process."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable

from tests.process.platform_fleet import HOSTS, KEY, Platform

RECEIVE_BUFFER_BYTES = 4096
PART_BYTES = 65_536
STREAM_HEADERS = {
    "Model": "m",
    "Token-Usage": "17060,30",
    "Prompt-Prefix": "aa:12800,bb:4260",
    "Deadline-Ms": "60000",
}


class Connection:
    """Connection of a client, which stays open until its crowd leaves."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def async_send(self, data: bytes, times: int = 1) -> None:
        for _ in range(times):
            self.writer.write(data)
            await self.writer.drain()

    async def async_read_slowly(self) -> None:
        while await self.reader.read(256):
            await asyncio.sleep(0.2)


Client = Callable[[Connection, int], Awaitable[None]]


class Crowd:
    """Clients with one connection each to one listener of the first process."""

    def __init__(self, platform: Platform, listener: str) -> None:
        self._address = (HOSTS[0], platform.ports[listener])
        self._connections: list[Connection] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_run(self, client: Client, count: int, timeout_s: float) -> None:
        """Wait until all clients have sent what they send, or for the timeout."""
        for number in range(count):
            self._tasks.add(asyncio.create_task(self._async_behave(client, number)))
        await asyncio.wait(self._tasks, timeout=timeout_s)

    async def async_leave(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in self._connections:
            connection.writer.transport.abort()

    async def _async_behave(self, client: Client, number: int) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            raw = socket.socket()
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            raw.setblocking(False)
            await asyncio.get_running_loop().sock_connect(raw, self._address)
            connection = Connection(
                *await asyncio.open_connection(sock=raw, limit=RECEIVE_BUFFER_BYTES)
            )
            self._connections.append(connection)
            await client(connection, number)


def head(method: str, path: str, **headers: str) -> bytes:
    """Return a request head without its end."""
    named = {key.replace("_", "-"): value for key, value in headers.items()}
    lines = {"Host": "h.example", **KEY, **named}
    text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"{method} {path} HTTP/1.1\r\n{text}".encode()


CHUNKED = head("POST", "/again/", Transfer_Encoding="chunked") + b"\r\n"


async def async_send_one_endless_trailer(connection: Connection, _: int) -> None:
    await connection.async_send(CHUNKED + b"4\r\nbody\r\n0\r\nX-Long: ")
    await connection.async_send(b"a" * PART_BYTES, 1024)


async def async_send_many_trailers(connection: Connection, _: int) -> None:
    await connection.async_send(CHUNKED + b"4\r\nbody\r\n0\r\n")
    await connection.async_send(b"X-Trailer: aaaaaaaa\r\n" * 3000, 64)


async def async_stop_short_in_large_chunks(connection: Connection, _: int) -> None:
    await connection.async_send(CHUNKED)
    chunk = b"%x\r\n" % PART_BYTES + b"a" * PART_BYTES + b"\r\n"
    await connection.async_send(chunk, 60)


async def async_stop_short_in_tiny_chunks(connection: Connection, _: int) -> None:
    await connection.async_send(CHUNKED)
    await connection.async_send(b"1\r\na\r\n2\r\nbc\r\n" * 1000, 60)


async def async_send_chunk_extensions(connection: Connection, _: int) -> None:
    await connection.async_send(CHUNKED + b"4;")
    await connection.async_send(b"a" * PART_BYTES, 64)


async def async_send_slow_head(connection: Connection, _: int) -> None:
    await connection.async_send(head("GET", "/again/") + b"X-Long: " + b"a" * 15_000)
    while True:
        await connection.async_send(b"a")
        await asyncio.sleep(0.2)


async def async_pipeline(connection: Connection, number: int) -> None:
    name = f"pipelined{number}"
    if number % 2:
        request = head("GET", "/again/", Attempt_Id=name) + b"\r\n"
        await connection.async_send(request * (PART_BYTES * 8 // len(request)), 16)
        return
    body = b"a" * PART_BYTES * 8
    length = {"Attempt_Id": name, "Content_Length": str(len(body))}
    request = head("POST", "/again/", **length) + b"\r\n"
    await connection.async_send(request + body, 40)


async def async_read_answer_slowly(connection: Connection, number: int) -> None:
    request = head("GET", "/again/", Attempt_Id=f"answer{number}") + b"\r\n"
    for _ in range(20):
        await connection.async_send(request)
        answer = await connection.reader.readuntil(b"\r\n\r\n")
        if b" 200 " in answer:
            break
        await asyncio.sleep(0.2)
    await connection.async_read_slowly()


async def async_read_stream_slowly(connection: Connection, number: int) -> None:
    request = head("GET", "/stream/", Attempt_Id=f"stream{number}")
    lines = "".join(f"{name}: {value}\r\n" for name, value in STREAM_HEADERS.items())
    request += lines.encode() + b"\r\n"
    for _ in range(20):
        await connection.async_send(request)
        answer = await connection.reader.readuntil(b"\r\n\r\n")
        if b" 200 " in answer:
            break
        await asyncio.sleep(0.2)
    await connection.async_read_slowly()


async def async_send_nothing(connection: Connection, _: int) -> None:
    await connection.reader.read(1)
