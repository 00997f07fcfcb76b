"""Constants of admission control."""

from typing import Final

from banyanswitch.config.models import Priority

DOMAIN: Final = "admission"

MAX_WAIT_S: Final = {Priority.INTERACTIVE: 0.45, Priority.BATCH: 55.0}
"""Maximum wait for an upstream by priority, in seconds."""

BATCH_FIRST_TOKEN_LIMIT_S: Final = 60.0
"""Maximum time to first token of a batch request, in seconds.

The time for the request's own prefill is added to it. A request that is expected to
take longer is refused.
"""

MIN_PREFILL_TOKENS_PER_S: Final = 4000.0
"""Assumed minimum prefill rate, which sets the time for a request's own prefill."""

ADVANCE_INTERVAL_S: Final = 0.025
"""Interval at which the admission queues are processed."""

DEFAULT_CAPACITY: Final = 64
"""Maximum number of admitted requests of a service that has no upstreams."""

MIN_BATCH_PIECES: Final = 2.0
"""Assumed prompt length of the smallest batch request, in pieces.

The base spacing of batch starts is at most the prefill time of such a request.
"""

REPORT_LAG_S: Final = 1.0
"""Time until load reports include a request that has just started, in seconds."""
