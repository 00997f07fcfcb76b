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
"""Hop-by-hop headers, which apply to one connection (RFC 9110, section 7.6.1)."""

DEFAULT_MAX_HEADER_BYTES: Final = 16 * 1024
"""Maximum size of a request head if the configuration sets no limit."""

DEFAULT_MAX_BODY_BYTES: Final = 4 * 1024 * 1024
"""Maximum size of a request body if the configuration sets no limit."""

DEFAULT_HEADER_TIMEOUT_S: Final = 3.0
"""Time limit for receiving a request head if the configuration sets no limit."""

DEFAULT_IDLE_TIMEOUT_S: Final = 15.0
"""Maximum time between two requests if the configuration sets no limit."""

IDLE_GRACE_S: Final = 1.0
"""Time added to a caller's idle timeout, so that a request sent just before the
timeout doesn't reach a closed connection."""

SWEEP_INTERVAL_S: Final = 0.5
"""Interval of the checks for idle and slow connections."""

INTERIM_STATUSES: Final = frozenset({100, *range(102, 200)})
"""Statuses of responses that another one follows. 101 (Switching Protocols) is none:
no request asks for another protocol."""

FINAL_STATUSES: Final = range(200, 600)
"""Statuses of the response to a request (RFC 9110, section 15)."""

MAX_RESPONSE_OVERHEAD_BYTES: Final = 64 * 1024
"""Bytes of a response that may arrive in sequence without a part of its body: its head,
interim responses, chunk extensions and trailers."""

MAX_SECOND_HEAD_BYTES: Final = 16 * 1024
"""Size up to which text in a body without a length may be the head of another
response."""

MAX_SKIPPED_RESPONSES: Final = 3
"""Maximum number of responses to other requests that are skipped on a connection."""

MAX_BUFFERED_BODY_BYTES: Final = 3_500_000
"""Maximum size of a response's body that is kept until it is complete."""

MAX_TABLE_BODY_BYTES: Final = 32 * 1024 * 1024
"""Maximum size of a response of the store or of another instance, which may be a copy
of a whole table."""

MAX_EVENT_BYTES: Final = 256 * 1024
"""Size of the incomplete event at which a stream is cut off."""

READ_HIGH_WATER_BYTES: Final = 256 * 1024
"""Buffered response bytes above which an upstream connection pauses reading."""

WRITE_HIGH_WATER_BYTES: Final = 128 * 1024
"""Unsent response bytes above which a caller's connection pauses its writer."""

UNSENT_POLL_INTERVAL_S: Final = 0.05
"""Interval at which a connection that is to be closed checks for bytes that its caller
has not acknowledged; an acknowledgement may be delayed by 40 ms."""

MAX_JOINED_BYTES: Final = 64 * 1024
"""Size up to which a body is copied behind its head, to send both in one write."""

MAX_PIPELINED_REQUESTS: Final = 8
"""Number of queued pipelined requests at which a connection pauses reading."""

MAX_PIPELINED_BYTES: Final = 256 * 1024
"""Size of queued pipelined requests at which a connection pauses reading."""

PARSE_BYTES: Final = 16 * 1024
"""Bytes that are parsed at a time, so that a long read of small pipelined requests
can be interrupted; it holds a thousand of them."""

REQUEST_OVERHEAD_BYTES: Final = 2048
"""Memory of a queued request beside its body and head: objects that each has."""

HEAD_COPIES: Final = 20
"""Memory of a request that is being handled, for each byte of its head: the headers,
the parts of its prompt, their plan, and the request that is sent."""

DEFAULT_MAX_HELD_BYTES: Final = 64 * 1024 * 1024
"""Limit of the memory account of a server that is given none."""

FULL_LOG_INTERVAL_S: Final = 5.0
"""Minimum time between two log lines of a server without room for connections."""

MAX_HEADERS: Final = 128
"""Maximum number of headers of one request; common clients send fewer than 20."""

CONNECT_TIMEOUT_S: Final = 0.5
"""Time limit for a new upstream connection; the longest network path takes 20 ms one
way."""

TCP_USER_TIMEOUT_MS: Final = 2000
"""Time without acknowledgement after which the kernel closes a connection."""

LISTEN_BACKLOG: Final = 512
"""Connections that may wait to be accepted; when one instance restarts, about a hundred
callers connect to the others."""

REFUSAL_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses with which an upstream refuses a request without running it."""

DEFAULT_MAX_IDLE_S: Final = 2.0
"""Idle time after which an upstream connection is no longer used by default.

A shorter limit that the upstream announced takes precedence. With a longer one, the
idle connection is only closed later.
"""

KEEP_ALIVE_MARGIN_S: Final = 1.0
"""Time subtracted from an announced idle limit, which has a resolution of one
second."""

REASON_PHRASES: Final = {
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
"""Reason phrases of the statuses that are sent most often."""
