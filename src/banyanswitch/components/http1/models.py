"""HTTP/1.1 messages, their encoding and the limits of connections."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from banyanswitch.components.http1.const import (
    DEFAULT_HEADER_TIMEOUT_S,
    DEFAULT_IDLE_TIMEOUT_S,
    DEFAULT_MAX_BODY_BYTES,
    DEFAULT_MAX_HEADER_BYTES,
    HOP_BY_HOP,
    REASON_PHRASES,
)
from banyanswitch.decisions.response_ownership import Ownership

Header = tuple[bytes, bytes]
Headers = tuple[Header, ...]


class BodyFraming(Enum):
    """How the end of a message body is determined."""

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION_END = "connection_end"


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLimits:
    """Size and time limits of a caller's connection.

    Parameters
    ----------
    header_timeout_s : float
        Time limit for receiving a request head, in seconds.
    idle_timeout_s : float
        Maximum time between two requests on one connection, in seconds.
    """

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class Request:
    """Complete request of a caller.

    Parameters
    ----------
    target : bytes
        Path and query as sent.
    received_at_s : float
        Event loop time at which the request head was complete.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at_s: float

    @property
    def path(self) -> bytes:
        """Path without the query."""
        return self.target.split(b"?", 1)[0]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status line and headers of an upstream's response."""

    status: int
    reason: bytes
    headers: Headers
    framing: BodyFraming


class ResponseMatcher(Protocol):
    """Tells which responses belong to the request that was sent on a connection."""

    def ownership(self, head: ResponseHead, *, is_first_request: bool) -> Ownership:
        """Return whether the response with a head belongs to the request.

        Parameters
        ----------
        is_first_request : bool
            Whether no other request was sent on the connection before.
        """

    def names_request(self, headers: Headers) -> bool:
        """Return whether the headers of a response name the request it belongs to."""


def header_value(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header; ``name`` is in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop headers."""
    dropped = set(HOP_BY_HOP)
    for key, value in headers:
        if key.lower() == b"connection":
            dropped.update(name.strip().lower() for name in value.split(b","))
    return tuple(header for header in headers if header[0].lower() not in dropped)


def encode_head(start_line: bytes, headers: Iterable[Header]) -> bytes:
    """Return the bytes of a message head, including the empty line at its end."""
    lines = [start_line]
    lines += [key + b": " + value for key, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def status_line(status: int, reason: bytes | None = None) -> bytes:
    """Return the status line of a response."""
    phrase = REASON_PHRASES.get(status, b"Unknown") if reason is None else reason
    return b"HTTP/1.1 %d %s" % (status, phrase)
