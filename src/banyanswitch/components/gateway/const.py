"""Constants of the HTTP API for callers."""

from typing import Final

DOMAIN: Final = "gateway"

MAX_HEADER_BYTES: Final = 16_384
MAX_OUTPUT_TOKENS: Final = 32_768
MAX_IDEMPOTENCY_KEY_CHARACTERS: Final = 128

PROBLEM_TYPE_PREFIX: Final = "urn:banyanswitch:problem:"
BEARER_PREFIX: Final = "Bearer "
