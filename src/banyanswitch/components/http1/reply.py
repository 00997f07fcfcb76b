"""Response to one request of a caller."""

from collections.abc import Callable, Iterable
from typing import Protocol

from banyanswitch.components.http1.const import MAX_JOINED_BYTES
from banyanswitch.components.http1.models import (
    BodyFraming,
    Header,
    encode_head,
    status_line,
)
from banyanswitch.core import callback

STATUSES_WITHOUT_BODY = frozenset({204, 304})


class ReplyConnection(Protocol):
    """Connection of a caller, as far as a response uses it."""

    closes_after_response: bool

    @property
    def is_connected(self) -> bool:
        """Whether the caller is connected and the connection isn't being closed."""

    @property
    def has_caller_left(self) -> bool:
        """Whether the caller has closed the connection; asks the kernel."""

    def write(self, data: bytes) -> None:
        """Send bytes to the caller."""

    def note_collected(self, size_bytes: int) -> None:
        """Report the size of the part of a response that is not yet written."""

    def finish_exchange(self, *, keeps_alive: bool) -> None:
        """Keep the connection for the next request, or close it."""

    def abort(self) -> None:
        """Close the connection at once."""

    async def async_drain(self) -> None:
        """Wait while writing is paused because the write buffer is too full."""


class Reply:
    """Response to one request of a caller.

    Parameters
    ----------
    connection : ReplyConnection
        Connection on which the request was received.
    is_head_only : bool
        Whether the response has no body, as for HEAD.
    keeps_alive : bool
        Whether the caller allows another request on the connection.

    Attributes
    ----------
    refusal_headers : callable
        Returns headers that a refusal has beside its own, given whether the request
        was declined.
    source_headers : callable
        Returns headers that name the upstream of a response, given its name and its
        start time in Unix milliseconds.
    request_id : str
        Identifier of the request for the log, if the handler has set it.
    """

    def __init__(
        self, connection: ReplyConnection, *, is_head_only: bool, keeps_alive: bool
    ) -> None:
        self._connection = connection
        self._is_head_only = is_head_only
        self._keeps_alive = keeps_alive
        self._is_chunked = False
        self.has_started = False
        self.is_complete = False
        self.refusal_headers: Callable[[bool], Iterable[Header]] = lambda _: ()
        self.source_headers: Callable[[str, int], Iterable[Header]] = lambda *_: ()
        self.request_id = ""

    @callback
    def refuse(
        self, status: int, headers: Iterable[Header], *, is_declined: bool
    ) -> None:
        """Send a response without a body instead of an upstream's.

        Parameters
        ----------
        is_declined : bool
            Whether the request was sent to no upstream and another instance may take
            it.
        """
        self.send(status, [*headers, *self.refusal_headers(is_declined)], b"")

    @callback
    def send(
        self, status: int, headers: Iterable[Header], body: bytes, reason: bytes = b""
    ) -> None:
        """Send a complete response."""
        all_headers = list(headers)
        if status not in STATUSES_WITHOUT_BODY:
            all_headers.append((b"Content-Length", b"%d" % len(body)))
        head = self._head(status, reason, all_headers)
        self._connection.note_collected(0)
        if self._is_head_only or len(body) > MAX_JOINED_BYTES:
            self._connection.write(head)
        if not self._is_head_only:
            self._connection.write(
                body if len(body) > MAX_JOINED_BYTES else head + body
            )
        self._finish()

    @callback
    def note_collected(self, size_bytes: int) -> None:
        """Report the size of the part of a response that is not yet sent."""
        self._connection.note_collected(size_bytes)

    @callback
    def start(
        self,
        status: int,
        headers: Iterable[Header],
        framing: BodyFraming,
        reason: bytes = b"",
    ) -> None:
        """Send the head of a response whose body follows in parts.

        Parameters
        ----------
        framing : BodyFraming
            ``LENGTH`` if the headers contain ``Content-Length``; for any other value,
            the body is sent chunked.
        """
        all_headers = list(headers)
        self._is_chunked = framing is not BodyFraming.LENGTH
        if self._is_chunked:
            all_headers.append((b"Transfer-Encoding", b"chunked"))
        self._connection.write(self._head(status, reason, all_headers))

    @callback
    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if not data or self._is_head_only:
            return
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.write(data)

    @callback
    def end(self) -> None:
        """Complete the response; send the last chunk if the body is chunked."""
        if self._is_chunked and not self._is_head_only:
            self._connection.write(b"0\r\n\r\n")
        self._finish()

    @property
    def is_awaited(self) -> bool:
        """Whether the caller is connected and has no complete response."""
        return self._connection.is_connected and not self.is_complete

    @property
    def has_caller_left(self) -> bool:
        """Whether the caller has closed the connection; asks the kernel."""
        return self._connection.has_caller_left

    @callback
    def abort(self) -> None:
        """Abort the connection, so that the response can't appear complete."""
        self.is_complete = True
        self._connection.abort()

    async def async_drain(self) -> None:
        """Wait while writing is paused because the write buffer is too full."""
        await self._connection.async_drain()

    def _head(self, status: int, reason: bytes, headers: list[Header]) -> bytes:
        self.has_started = True
        if not self._keeps_alive or self._connection.closes_after_response:
            self._keeps_alive = False
            headers.append((b"Connection", b"close"))
        return encode_head(status_line(status, reason or None), headers)

    def _finish(self) -> None:
        self.is_complete = True
        self._connection.finish_exchange(keeps_alive=self._keeps_alive)
