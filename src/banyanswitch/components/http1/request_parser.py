"""Parser of callers' requests that rejects ambiguous ones.

A request is ambiguous if two HTTP implementations could interpret it differently.
"""

from collections.abc import Callable
from typing import NoReturn

import httptools

from banyanswitch.components.http1.const import MAX_HEADERS
from banyanswitch.components.http1.models import ConnectionLimits, Header, Headers
from banyanswitch.exceptions import RequestSyntaxError

STATUS_BAD_REQUEST = 400
STATUS_BODY_TOO_LARGE = 413
STATUS_HEAD_TOO_LARGE = 431
HEADER_LINE_OVERHEAD_BYTES = 4
MIN_PART_BYTES = 4096
"""Size below which a part of a body is copied to the parts before it."""
SUPPORTED_VERSIONS = frozenset({"1.0", "1.1"})


class ParsedHead:
    """Head of a request whose body may not be complete yet.

    Attributes
    ----------
    declared_bytes : int
        Size of the body, 0 if it is not declared.
    size_bytes : int
        Size of the head.
    """

    __slots__ = (
        "declared_bytes",
        "expects_continue",
        "headers",
        "keeps_alive",
        "method",
        "size_bytes",
        "target",
    )

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        *,
        keeps_alive: bool,
        declared_bytes: int,
        size_bytes: int,
    ) -> None:
        self.size_bytes = size_bytes
        self.method = method
        self.target = target
        self.headers = headers
        self.keeps_alive = keeps_alive
        self.declared_bytes = declared_bytes
        self.expects_continue = any(
            key.lower() == b"expect" and value.lower() == b"100-continue"
            for key, value in headers
        )


class RequestParser:
    """Incremental parser that reports heads and complete requests to callbacks.

    Parameters
    ----------
    limits : callable
        Returns the current limits.
    on_head : callable
        Called with each complete head.
    on_request : callable
        Called with the head and the complete body of each request.
    """

    def __init__(
        self,
        limits: Callable[[], ConnectionLimits],
        on_head: Callable[[ParsedHead], None],
        on_request: Callable[[ParsedHead, bytes], None],
    ) -> None:
        self._limits = limits
        self._on_head = on_head
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._error: RequestSyntaxError | None = None
        self._head: ParsedHead | None = None
        self._target = b""
        self._has_progressed = False
        # Small parts in sequence share one bytearray, without an object for each.
        self._body: list[bytes | bytearray] = []
        self._small_parts: bytearray | None = None
        self._body_bytes = 0
        self._reset()

    @property
    def has_started(self) -> bool:
        """Whether a part of a request has been received."""
        return self._has_started

    @property
    def body_bytes(self) -> int:
        """Size of the part of the body that was received."""
        return self._body_bytes

    @property
    def missing_bytes(self) -> int:
        """Size of the missing part of a body whose size is declared, otherwise 0."""
        if self._head is None:
            return 0
        return max(0, self._head.declared_bytes - self._body_bytes)

    @property
    def held_bytes(self) -> int:
        """Size of the part of a request that was received."""
        return self._body_bytes + self._head_bytes + self._unreported_bytes

    @property
    def headers(self) -> Headers:
        """Headers of the request whose body is being received."""
        return () if self._head is None else self._head.headers

    @property
    def is_in_head(self) -> bool:
        """Whether a request head has started and is not complete."""
        return self._has_started and self._head is None

    def feed(self, data: bytes) -> None:
        """Parse the next bytes.

        Raises
        ------
        RequestSyntaxError
            If the bytes are not a request that can be served.
        """
        self._has_progressed = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise RequestSyntaxError(
                STATUS_BAD_REQUEST, "protocol upgrades are not supported"
            ) from error
        except httptools.HttpParserError as error:
            # httptools wraps an error that was raised in one of the callbacks.
            if self._error is not None:
                raise self._error from error
            raise RequestSyntaxError(STATUS_BAD_REQUEST, str(error)) from error
        # A header or trailer is reported only when it is complete, a chunk extension
        # never, so their size is limited by the received bytes, too. In a read that
        # ends another part of a message, it is unknown how many bytes belong to them.
        if self._has_progressed:
            self._unreported_bytes = 0
        elif self._has_started:
            self._unreported_bytes += len(data)
            self._check_head_size()

    def discard(self) -> None:
        """Drop the part of a request that was received; nothing may be fed then."""
        self._reset()

    def reject(self, status: int, reason: str) -> NoReturn:
        """Reject the request from within one of the callbacks."""
        self._fail(status, reason)

    def on_message_begin(self) -> None:
        """Handle the start of a request."""
        self._reset()
        self._has_started = True

    def on_url(self, target: bytes) -> None:
        """Append a part of the request target."""
        self._target += target
        self._head_bytes += len(target)
        self._check_head_size()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Check and append one header."""
        if len(self._headers) >= MAX_HEADERS:
            self._fail(STATUS_HEAD_TOO_LARGE, f"more than {MAX_HEADERS} headers")
        if b"\r" in value or b"\n" in value or b"\0" in value:
            self._fail(STATUS_BAD_REQUEST, "header value contains CR, LF or NUL")
        self._headers.append((name, value))
        self._head_bytes += len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES
        self._check_head_size()

    def on_headers_complete(self) -> None:
        """Check the head and report it to the callback."""
        self._has_progressed = True
        headers = tuple(self._headers)
        declared_bytes = self._check_head(headers)
        self._head = ParsedHead(
            self._parser.get_method(),
            self._target,
            headers,
            keeps_alive=self._parser.should_keep_alive(),
            declared_bytes=declared_bytes,
            size_bytes=self._head_bytes,
        )
        self._on_head(self._head)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._has_progressed = True
        self._body_bytes += len(body)
        if self._body_bytes > self._limits().max_body_bytes:
            self._fail(STATUS_BODY_TOO_LARGE, "request body exceeds the size limit")
        if len(body) >= MIN_PART_BYTES or not self._body:
            self._body.append(body)
            self._small_parts = None
            return
        if self._small_parts is None:
            self._small_parts = bytearray()
            self._body.append(self._small_parts)
        self._small_parts += body

    def on_message_complete(self) -> None:
        """Report the complete request to the callback."""
        self._has_progressed = True
        if self._head is None:
            self._fail(STATUS_BAD_REQUEST, "request has no head")
            return
        head, body = self._head, b"".join(self._body)
        self._reset()
        self._on_request(head, body)

    def _reset(self) -> None:
        self._has_started = False
        self._head = None
        self._target = b""
        self._headers: list[Header] = []
        self._body = []
        self._small_parts = None
        self._body_bytes = 0
        self._head_bytes = 0
        self._unreported_bytes = 0

    def _check_head(self, headers: Headers) -> int:
        """Check the head and return the declared size of the body."""
        if self._parser.get_http_version() not in SUPPORTED_VERSIONS:
            self._fail(STATUS_BAD_REQUEST, "HTTP version is not supported")
        if not self._target.startswith(b"/"):
            self._fail(STATUS_BAD_REQUEST, "request target is not a path")
        names = [key.lower() for key, _ in headers]
        if names.count(b"host") != 1:
            self._fail(STATUS_BAD_REQUEST, "request needs exactly one Host header")
        lengths = [value for key, value in headers if key.lower() == b"content-length"]
        encodings = [
            value.strip().lower()
            for key, value in headers
            if key.lower() == b"transfer-encoding"
        ]
        if encodings and (lengths or encodings != [b"chunked"]):
            self._fail(
                STATUS_BAD_REQUEST,
                "Transfer-Encoding is not chunked or comes with a Content-Length",
            )
        if len(lengths) > 1 or not all(value.isdigit() for value in lengths):
            self._fail(STATUS_BAD_REQUEST, "Content-Length is repeated or invalid")
        declared_bytes = int(lengths[0]) if lengths else 0
        if declared_bytes > self._limits().max_body_bytes:
            self._fail(STATUS_BODY_TOO_LARGE, "request body exceeds the size limit")
        return declared_bytes

    def _check_head_size(self) -> None:
        limit = self._limits().max_header_bytes
        if max(self._head_bytes, self._unreported_bytes) <= limit:
            return
        self._fail(
            STATUS_HEAD_TOO_LARGE, "request head or trailers exceed the size limit"
        )

    def _fail(self, status: int, reason: str) -> NoReturn:
        self._error = RequestSyntaxError(status, reason)
        raise self._error
