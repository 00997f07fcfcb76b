"""Constants shared by several components."""

from typing import Final

HEADER_RUN_ID: Final = "X-Banyan-Run-Id"
HEADER_WORKSPACE: Final = "X-Banyan-Workspace"
HEADER_WEIGHT_VERSION: Final = "X-Banyan-Weight-Version"
HEADER_CACHE_SALT: Final = "X-Banyan-Cache-Salt"
HEADER_PRIORITY: Final = "X-Banyan-Priority"
HEADER_IDEMPOTENCY_KEY: Final = "Idempotency-Key"
HEADER_CALLER: Final = "X-Banyan-Caller"
HEADER_RETRY_AFTER: Final = "Retry-After"
HEADER_LAST_EVENT_ID: Final = "Last-Event-ID"

CONTENT_TYPE_PROBLEM: Final = "application/problem+json"
CONTENT_TYPE_EVENT_STREAM: Final = "text/event-stream"

DEFAULT_PIECE_TOKENS: Final = 4000
"""Tokens in one piece of a prompt: the unit of caching and transfer."""

BYTES_PER_TOKEN: Final = 4
"""Estimated size of a token, to derive the length of a prompt in tokens."""
