"""Constants of the platform clients."""

from typing import Final

DOMAIN: Final = "table_service"

MAX_TRANSACTION_WRITES: Final = 100
"""Maximum number of writes that the table service accepts in one transaction."""

FAILURES_BEFORE_OPEN: Final = 3
"""Consecutive failures after which the circuit breaker opens."""

PROBE_INTERVAL_S: Final = 1.0
"""Time between two probes while the circuit breaker is open, in seconds."""

DEFAULT_RETRY_AFTER_S: Final = 1.0
"""Retry delay if a 429 response has no usable one, in seconds."""

CLAIM_SHARE: Final = 0.7
"""Share of the write budget for claims and stored responses of calls."""

LEASE_SHARE: Final = 0.2
"""Share of the write budget that is reserved for leases."""

CONFIGURATION_SHARE: Final = 0.1
"""Share of the write budget that is reserved for configuration."""

CLAIM_RATE_BACKOFF_FACTOR: Final = 0.25
"""Factor applied to the claim rate when the table service throttles a write."""

CLAIM_RATE_BACKOFF_INTERVAL_S: Final = 1.0
"""Minimum time between two reductions of the claim rate, in seconds."""

CLAIM_RATE_RECOVERY_PER_S: Final = 0.01
"""Share of its current value by which a reduced claim rate grows each second."""

MIN_CLAIM_RATE_SHARE: Final = 0.002
"""Lower bound of the claim rate, as a share of the full claim rate."""

BUDGET_BURST_S: Final = 2.0
"""Time for which unused write budget accumulates, in seconds."""

MAX_CONNECTIONS: Final = 32
"""Maximum number of connections to one host."""

MAX_BATCH_WRITES: Final = 64
"""Maximum number of writes that are combined into one transaction."""

MAX_BATCH_BYTES: Final = 1024 * 1024
"""Content size from which a batch takes no further writes, in bytes."""

MAX_BATCH_DELAY_S: Final = 0.25
"""Maximum time that a batch waits for the write budget, in seconds."""

MAX_PENDING_WRITES: Final = 512
"""Maximum number of queued writes; further writes are refused."""
