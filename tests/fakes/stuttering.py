"""Upstreams that answer a request again where the next answer is expected."""

import asyncio
from collections.abc import Callable
from typing import Any

from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.http1.upstream_connection import UpstreamConnection

PAUSE_S = 0.01
"""Time until the first read, and between two reads, in which their reader runs."""
Respond = Callable[[bytes], bytes]
Cut = Callable[[bytes, bytes], tuple[bytes, ...]]


def in_one_read(second: bytes, own: bytes) -> tuple[bytes, ...]:
    return (second + own,)


def own_in_a_later_read(second: bytes, own: bytes) -> tuple[bytes, ...]:
    return (second, own) if second else (own,)


def cut_at(number: int) -> Cut:
    """Return a cut at a byte of both answers together, counted from their start."""

    def cut(second: bytes, own: bytes) -> tuple[bytes, ...]:
        data = second + own
        return tuple(read for read in (data[:number], data[number:]) if read)

    return cut


class StutteringTransport(asyncio.Transport):
    """Transport to an upstream that repeats each answer before a later one."""

    def __init__(
        self, respond: Respond, cut: Cut, calls_late: int, sent: list[bytes]
    ) -> None:
        super().__init__()
        self._loop = asyncio.get_running_loop()
        self._respond = respond
        self._cut = cut
        self._sent = sent
        self._answers = [b""] * calls_late
        self._is_closed = False
        self.connection = UpstreamConnection()
        self.connection.connection_made(self)

    def write(self, data: Any) -> None:
        self._sent.append(bytes(data))
        own = self._respond(bytes(data))
        reads = self._cut(self._answers.pop(0), own)
        self._answers.append(own)
        for number, read in enumerate(reads, 1):
            self._loop.call_later(number * PAUSE_S, self._deliver, read)

    def _deliver(self, read: bytes) -> None:
        if not self._is_closed:
            self.connection.data_received(read)

    def abort(self) -> None:
        if not self._is_closed:
            self._is_closed = True
            self._loop.call_soon(self.connection.connection_lost, None)

    def is_closing(self) -> bool:
        return self._is_closed

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        return

    def resume_reading(self) -> None:
        return


class StutteringPool(ConnectionPool):
    """Pool of connections to stuttering upstreams.

    Parameters
    ----------
    respond : callable
        Returns the answer to a request.
    cut : callable
        Cuts the late second answer to an earlier request, empty if there is none, and
        the own answer into reads.
    calls_late : int
        Number of requests after which the second answer to a request comes.

    Attributes
    ----------
    sent : list of bytes
        The requests.
    """

    def __init__(self, respond: Respond, cut: Cut, calls_late: int = 1) -> None:
        super().__init__()
        self._respond = respond
        self._cut = cut
        self._calls_late = calls_late
        self.sent: list[bytes] = []

    async def async_open(self, address: str) -> UpstreamConnection:
        self.opened_count += 1
        self._change_open_count(address, 1)
        return StutteringTransport(
            self._respond, self._cut, self._calls_late, self.sent
        ).connection
