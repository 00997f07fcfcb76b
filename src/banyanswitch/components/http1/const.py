"""Constants of the HTTP/1.1 connections."""

from typing import Final

HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that concern one connection (RFC 9110, section 7.6.1)."""

DEFAULT_MAX_HEADER_BYTES: Final = 16 * 1024
"""Largest request head until a configuration names its own limit."""

DEFAULT_MAX_BODY_BYTES: Final = 4 * 1024 * 1024
"""Largest request body until a configuration names its own limit."""

DEFAULT_HEADER_TIMEOUT_S: Final = 3.0
"""Time for a request head until a configuration names its own limit."""

DEFAULT_IDLE_TIMEOUT_S: Final = 15.0
"""Time between two requests until a configuration names its own limit."""

IDLE_GRACE_S: Final = 1.0
"""Extra time on a caller's idle limit, so that a request sent just within it is
not met by the close."""

SWEEP_INTERVAL_S: Final = 0.5
"""Time between two checks of idle and slow connections."""

READ_HIGH_WATER_BYTES: Final = 256 * 1024
"""Unread answer bytes at which an upstream connection stops reading."""

WRITE_HIGH_WATER_BYTES: Final = 128 * 1024
"""Unsent answer bytes at which a caller's connection pauses its writer."""

MAX_PIPELINED: Final = 8
"""Requests that may wait on one connection before it is no longer read."""

MAX_HEADERS: Final = 128
"""Most headers of one message; a plain client sends under 20."""

CONNECT_TIMEOUT_S: Final = 0.5
"""Time for a new upstream connection; the longest path is 20 ms one way."""

TCP_USER_TIMEOUT_MS: Final = 2000
"""Time without acknowledgement after which the kernel gives a connection up."""

LISTEN_BACKLOG: Final = 512
"""Connections that wait to be accepted; one restart moves some hundred callers."""

DEFAULT_MAX_IDLE_S: Final = 2.0
"""Idle time after which an upstream connection without an announced limit is no
longer used."""

KEEP_ALIVE_MARGIN_S: Final = 1.0
"""Time before an announced limit at which a connection is no longer used, since
the limit has a resolution of one second."""

REASONS: Final = {
    200: b"OK",
    202: b"Accepted",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
"""Reason phrases of the statuses that are sent most."""
