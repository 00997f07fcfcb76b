"""Connection to an upstream, which carries one request at a time."""

import asyncio
import socket
from collections import deque
from typing import cast

import httptools

from banyanswitch.components.http1.const import (
    FINAL_STATUSES,
    INTERIM_STATUSES,
    MAX_BUFFERED_BODY_BYTES,
    MAX_RESPONSE_OVERHEAD_BYTES,
    MAX_SKIPPED_RESPONSES,
    READ_HIGH_WATER_BYTES,
    REFUSAL_STATUSES,
    TCP_USER_TIMEOUT_MS,
)
from banyanswitch.components.http1.models import (
    BodyFraming,
    Header,
    ResponseHead,
    ResponseMatcher,
    header_value,
)
from banyanswitch.components.http1.second_response import SecondResponseScanner
from banyanswitch.core import callback
from banyanswitch.decisions.response_ownership import Ownership
from banyanswitch.exceptions import UpstreamBrokenError
from banyanswitch.helpers.send_queue import unsent_bytes

INSIDE_ANOTHER_RESPONSE = "the body may end inside the head of another response"


class UpstreamConnection(asyncio.Protocol):
    """Protocol that sends one request at a time and parses its response.

    The response is read with `async_head` and then with `async_part` until that
    returns ``None``. An incomplete response raises ``UpstreamBrokenError``.

    Responses to other requests are skipped while they are parsed, since the own
    response may follow in the same read. The connection then carries no further
    request. Neither does it after a refusal, since a second copy of the refusal could
    not be told from the response to a second send of the same request.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[None] | None = None
        self._heads: deque[ResponseHead] = deque()
        # One buffer, since the parts of a body may be many and tiny.
        self._body = bytearray()
        self._overhead_bytes = 0
        self._status = 0
        self._reason = b""
        self._headers: list[Header] = []
        self._framing = BodyFraming.NONE
        self._is_awaiting_response = False
        self._is_complete = False
        self._is_head_only = False
        self._matcher: ResponseMatcher | None = None
        self._sent_count = 0
        self._is_skipping = False
        self._skipped_count = 0
        self._skipped_bytes = 0
        self._scanner: SecondResponseScanner | None = None
        self._may_end_inside_head = False
        self._error: str | None = None
        self.keeps_alive = True
        self.used_at_s = self._loop.time()
        self.last_received_at_s = self._loop.time()

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and self.keeps_alive
            and self._error is None
            and not self._is_awaiting_response
            and self._transport.get_write_buffer_size() == 0
        )

    @property
    def failure(self) -> str | None:
        """Reason for which the connection failed, if it did."""
        return self._error

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the time limit for unacknowledged bytes (``TCP_USER_TIMEOUT``)."""
        self._transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
            )

    def data_received(self, data: bytes) -> None:
        """Parse bytes received from the upstream."""
        self.last_received_at_s = self._loop.time()
        if not self._is_awaiting_response:
            self._fail("received bytes while no response is awaited")
            return
        self._overhead_bytes += len(data)
        self._may_end_inside_head = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._may_end_inside_head:
                # The bytes behind the body are the rest of that head.
                self._is_complete = False
                self._fail(INSIDE_ANOTHER_RESPONSE)
                return
            self._fail(f"response can't be parsed: {error}")
            return
        limit_bytes = MAX_RESPONSE_OVERHEAD_BYTES
        if self._is_awaiting_response and self._overhead_bytes > limit_bytes:
            self._fail(
                "head, interim responses or trailers are longer than the limit of "
                f"{limit_bytes} bytes"
            )

    def eof_received(self) -> bool:
        """Complete a response whose body ends with the connection.

        After a short read, libuv also reports the end of the stream for a connection
        that was reset. The pending error of the socket tells the two cases apart, until
        a write has cleared it. An upstream that ends the connection before it has
        received the whole request resets it for the rest.
        """
        ends_with_connection = self._framing is BodyFraming.CONNECTION_END
        if self._is_awaiting_response and ends_with_connection and self._error is None:
            if self._was_reset():
                self._fail("connection reset before the end of the response")
            elif self._transport is not None and unsent_bytes(self._transport):
                self._fail("connection closed before the end of the request")
            elif self._scanner is not None and self._scanner.may_be_inside:
                self._fail(INSIDE_ANOTHER_RESPONSE)
            else:
                self._complete()
        self.keeps_alive = False
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the current exchange unless its response is complete."""
        self._transport = None
        if self._error is None and not self._is_complete:
            self._error = (
                f"connection lost: {exc!r}"
                if exc
                else "connection closed before the end of a response"
            )
        self._wake_reader()

    @callback
    def send(
        self,
        data: bytes,
        *,
        is_head_only: bool = False,
        matcher: ResponseMatcher | None = None,
    ) -> None:
        """Send a request; read its response with `async_head` and `async_part`.

        Parameters
        ----------
        matcher : ResponseMatcher, optional
            Tells which response belongs to the request; by default, the first one does.
        """
        self._is_awaiting_response = True
        self._is_complete = False
        self._is_head_only = is_head_only
        self._matcher = matcher
        self._sent_count += 1
        self._overhead_bytes = 0
        self.used_at_s = self._loop.time()
        if self._transport is not None:
            self._transport.write(data)

    async def async_head(self) -> ResponseHead:
        """Return the head of the next response.

        Raises
        ------
        UpstreamBrokenError
            If the connection fails before the head is complete.
        """
        while not self._heads:
            await self._async_wait()
        return self._heads.popleft()

    async def async_part(self) -> bytes | None:
        """Return the next part of the body, or ``None`` at its end.

        Raises
        ------
        UpstreamBrokenError
            If the connection fails before the response is complete.
        """
        while not self._body:
            if self._is_complete:
                return None
            await self._async_wait()
        part = bytes(self._body)
        self._body = bytearray()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        return part

    @callback
    def close(self) -> None:
        """Close the connection at once, so that the upstream stops its request."""
        self.keeps_alive = False
        # The connection and its parser refer to each other and are freed late.
        self._body = bytearray()
        if self._transport is not None:
            self._transport.abort()

    def on_message_begin(self) -> None:
        """Handle the start of a response.

        A response after the complete one is unexpected; the connection isn't reused.
        """
        self._headers = []
        self._reason = b""
        if self._is_complete:
            self.keeps_alive = False

    def on_status(self, reason: bytes) -> None:
        """Append a part of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append one header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Queue the response head for `async_head`; skip interim responses."""
        status = self._parser.get_status_code()
        if self._is_complete or self._error is not None:
            return
        if status in INTERIM_STATUSES:
            return
        if status not in FINAL_STATUSES:
            self._fail(f"received a response with status {status:03}")
            return
        headers = tuple(self._headers)
        self._framing = self._body_framing(headers)
        head = ResponseHead(status, self._reason, headers, self._framing)
        if self._matcher is not None:
            self._scanner = SecondResponseScanner(self._matcher.names_request)
        ownership = self._ownership(head)
        if ownership is Ownership.UNKNOWN:
            self._fail("received a response that may be to another request")
            return
        if ownership is Ownership.OTHER:
            self._skip_response()
            return
        self.keeps_alive = (
            self.keeps_alive
            and self._parser.should_keep_alive()
            and status not in REFUSAL_STATUSES
        )
        self._heads.append(head)
        self._wake_reader()
        if self._is_head_only:
            self.keeps_alive = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Queue a part of the body for `async_part`."""
        if self._is_complete or self._error is not None:
            return
        self._overhead_bytes = 0
        if self._scanner is not None:
            body = self._scanner.feed(body)
        if self._is_skipping:
            self._skip_body(len(body))
        elif body:
            self._queue_part(body)
        if self._scanner is not None and self._scanner.has_found:
            self._fail("the body contains the head of another response")

    def on_message_complete(self) -> None:
        """Complete the response; skip interim responses."""
        if self._parser.get_status_code() in INTERIM_STATUSES:
            return
        if self._is_complete or self._error is not None:
            return
        if self._is_skipping:
            self._is_skipping = False
            return
        if self._scanner is not None and self._scanner.may_be_inside:
            if self._scanner.has_status_line:
                self._fail(INSIDE_ANOTHER_RESPONSE)
                return
            self._may_end_inside_head = True
            self._queue_part(self._scanner.flush())
        self._complete()

    def _ownership(self, head: ResponseHead) -> Ownership:
        if self._matcher is None:
            return Ownership.OWN
        is_first_request = self._sent_count == 1
        return self._matcher.ownership(head, is_first_request=is_first_request)

    def _skip_response(self) -> None:
        """Skip the response whose head was parsed, up to its end.

        Fail if its end can't be told from the own response.
        """
        self.keeps_alive = False
        self._is_skipping = True
        self._skipped_count += 1
        if self._skipped_count > MAX_SKIPPED_RESPONSES:
            self._fail("received only responses to other requests")
        elif self._is_head_only or self._framing is BodyFraming.CONNECTION_END:
            self._fail("received a response to another request without a known end")

    def _skip_body(self, size_bytes: int) -> None:
        self._skipped_bytes += size_bytes
        if self._skipped_bytes > MAX_BUFFERED_BODY_BYTES:
            self._fail("responses to other requests are too long")

    def _queue_part(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > READ_HIGH_WATER_BYTES and self._transport:
            self._transport.pause_reading()
        self._wake_reader()

    def _body_framing(self, headers: tuple[Header, ...]) -> BodyFraming:
        if header_value(headers, b"transfer-encoding") is not None:
            return BodyFraming.CHUNKED
        if header_value(headers, b"content-length") is not None:
            return BodyFraming.LENGTH
        if self._is_head_only or self._parser.get_status_code() in (204, 304):
            return BodyFraming.NONE
        return BodyFraming.CONNECTION_END

    def _was_reset(self) -> bool:
        raw = self._transport.get_extra_info("socket") if self._transport else None
        if raw is None:
            return False
        return bool(raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    def _complete(self) -> None:
        self._is_complete = True
        self._is_awaiting_response = False
        self.used_at_s = self._loop.time()
        self._wake_reader()

    def _fail(self, reason: str) -> None:
        self._error = reason
        self.keeps_alive = False
        if self._transport is not None:
            self._transport.abort()
        self._wake_reader()

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _async_wait(self) -> None:
        if self._error is not None:
            raise UpstreamBrokenError(self._error)
        if self._transport is None:
            raise UpstreamBrokenError("the connection ended with an earlier response")
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
