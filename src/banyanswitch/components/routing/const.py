"""Constants of routing."""

from typing import Final

DOMAIN: Final = "routing"

HEADER_PIECES: Final = "X-Banyan-Pieces"
HEADER_PROMPT_TOKENS: Final = "X-Banyan-Prompt-Tokens"
HEADER_CACHED_PIECES: Final = "X-Banyan-Cached-Pieces"
HEADER_LOAD: Final = "X-Banyan-Load"

CONNECT_TIMEOUT_S: Final = 1.0
RESPONSE_HEADERS_TIMEOUT_S: Final = 5.0
"""Maximum time to connect, send a request and receive the headers of its response."""

TOKEN_TIMEOUT_S: Final = 10.0
"""Maximum time that one read of a running stream waits for data.

After that, the connection is closed and the run is resumed over a new one.
"""

CANCEL_TIMEOUT_S: Final = 2.0
RESUME_ATTEMPTS: Final = 4
RESUME_BACKOFF_S: Final = 0.1
RESUME_GRACE_S: Final = 5.0
"""Time in which a disconnected caller may resume its stream at any instance.

After that, the run is cancelled if nobody reads it.
"""

HEDGE_MIN_S: Final = 1.0
"""Minimum wait for a first event before another upstream is tried.

This applies to interactive requests only.
"""

MAX_PLAIN_ATTEMPTS: Final = 4
UPSTREAM_CONNECTIONS: Final = 1024
READ_BUFFER_BYTES: Final = 65_536
NONCE_BITS: Final = 64
RETRY_AFTER_S: Final = 1.0

CODE_LEAVING: Final = "leaving"
CODE_WRONG_VERSION: Final = "wrong_version"
CODE_QUEUE_FULL: Final = "queue_full"
NOT_RUN_CODES: Final = frozenset({CODE_LEAVING, CODE_WRONG_VERSION, CODE_QUEUE_FULL})
"""Codes by which an upstream reports that it did not run the request."""
