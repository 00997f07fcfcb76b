"""Constants of the platform's clients."""

from typing import Final

DOMAIN: Final = "table_service"

MAX_TRANSACTION_WRITES: Final = 100
"""Most writes that the table service takes in one transaction."""

FAILURES_BEFORE_PAUSE: Final = 3
"""Failures in a row after which calls are refused without being sent."""

PAUSE_S: Final = 1.0
"""Time between two probes of a service that fails, in seconds."""

DEFAULT_RETRY_AFTER_S: Final = 1.0
"""Time to come back when the service does not name one, in seconds."""

CLAIM_SHARE: Final = 0.7
"""Share of the write budget that claims and answers of calls may use."""

LEASE_SHARE: Final = 0.2
"""Share of the write budget that leases have for themselves."""

CONFIGURATION_SHARE: Final = 0.1
"""Share of the write budget that configuration has for itself."""

SLOWDOWN_FACTOR: Final = 0.25
"""Factor of the claims' rate after the table has refused a write."""

SLOWDOWN_INTERVAL_S: Final = 1.0
"""Shortest time between two slowdowns of the claims, in seconds."""

SPEED_UP_PER_S: Final = 0.01
"""Share of their present rate that slowed claims gain back each second."""

MIN_CLAIM_SPEED: Final = 0.002
"""Share of the claims' full rate that they always keep."""

BUDGET_BURST_S: Final = 2.0
"""Time for which unused write budget is kept, in seconds."""

MAX_CONNECTIONS: Final = 32
"""Most connections to one service of the platform."""

MAX_BATCH_WRITES: Final = 64
"""Most writes that are joined into one transaction."""

MAX_BATCH_BYTES: Final = 1024 * 1024
"""Content at which a batch is closed, in bytes."""

MAX_BATCH_DELAY_S: Final = 0.25
"""Longest time that a batch waits for the write budget, in seconds."""

MAX_WAITING_WRITES: Final = 512
"""Writes that may wait for a transaction before more are refused."""
