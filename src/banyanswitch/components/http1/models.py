"""Requests and answers as they stand on the wire."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from banyanswitch.components.http1.const import (
    DEFAULT_HEADER_TIMEOUT_S,
    DEFAULT_IDLE_TIMEOUT_S,
    DEFAULT_MAX_BODY_BYTES,
    DEFAULT_MAX_HEADER_BYTES,
    HOP_BY_HOP,
    REASONS,
)

Header = tuple[bytes, bytes]
Headers = tuple[Header, ...]


class BodyFraming(Enum):
    """How the end of a message body is known."""

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION_END = "connection_end"


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLimits:
    """What a caller may send, and how long it may take.

    Parameters
    ----------
    header_timeout_s : float
        Time for one request head, in seconds.
    idle_timeout_s : float
        Time between two requests on one connection, in seconds.
    """

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class Request:
    """One whole request of a caller.

    Parameters
    ----------
    target : bytes
        Path and query as sent.
    received_at_s : float
        Loop time at which its head was complete.
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
    """Status line and headers of an upstream's answer."""

    status: int
    reason: bytes
    headers: Headers
    framing: BodyFraming


def header_value(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header; ``name`` is in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that concern more than one connection."""
    dropped = set(HOP_BY_HOP)
    for key, value in headers:
        if key.lower() == b"connection":
            dropped.update(name.strip().lower() for name in value.split(b","))
    return tuple(header for header in headers if header[0].lower() not in dropped)


def encode_head(first_line: bytes, headers: Iterable[Header]) -> bytes:
    """Return the bytes of a message head, with the empty line at its end."""
    lines = [first_line]
    lines += [key + b": " + value for key, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def status_line(status: int, reason: bytes | None = None) -> bytes:
    """Return the first line of an answer."""
    phrase = REASONS.get(status, b"Unknown") if reason is None else reason
    return b"HTTP/1.1 %d %s" % (status, phrase)
