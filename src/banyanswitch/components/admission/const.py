"""Constants of admission."""

from typing import Final

from banyanswitch.config.models import Priority

DOMAIN: Final = "admission"

MAX_WAIT_S: Final = {Priority.INTERACTIVE: 0.45, Priority.BATCH: 55.0}
"""Longest wait for a place at an upstream, by priority."""

BATCH_FIRST_TOKEN_S: Final = 60.0
"""Time to first token beyond which a batch request is refused, own prefill aside."""

LEAST_PREFILL_TOKENS_PER_S: Final = 4000.0
"""Rate by which the time for a request's own prefill is allowed for."""

ADVANCE_S: Final = 0.025
DEFAULT_CAPACITY: Final = 64
SMALLEST_BATCH_PIECES: Final = 2.0
"""Pieces of a prompt whose prefill is the least time between batch starts."""

REPORT_LAG_S: Final = 1.0
"""Time until a load report shows a request that was just started, in seconds."""
