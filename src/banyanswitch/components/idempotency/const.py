"""Constants of the idempotency component."""

from typing import Final

DOMAIN: Final = "idempotency"

CLAIM_PREFIX: Final = "claim/"
"""Key prefix of claim records in the table service."""

ANSWER_PREFIX: Final = "answer/"
"""Name prefix of stored responses in the object store."""

SWEEP_LEASE: Final = "idempotency/sweep"
"""Lease of the instance that removes expired records."""

MAX_INLINE_ANSWER_BYTES: Final = 64 * 1024
"""Size of the largest response that is stored in the record itself, in bytes."""

EXPIRED_RETENTION_S: Final = 7 * 86_400.0
"""Time for which a record is retained after its expiry, in seconds."""

SETTLE_WAIT_S: Final = 2.0
"""Longest time that a caller waits for a result to be recorded, in seconds."""

SETTLE_RETRY_PERIOD_S: Final = 3_600.0
"""Time for which recording a result is retried, in seconds."""

SETTLE_RETRY_DELAY_S: Final = 0.25
"""Delay before the first retry, in seconds; it doubles with each retry."""

MAX_SETTLE_RETRY_DELAY_S: Final = 2.0
"""Longest delay between retries, in seconds.

While the table service is down, the circuit breaker refuses most retries without a
request."""

OVERDUE_WAIT_S: Final = 4.0
"""Time to wait for the claimant of an overdue call to settle its record, in seconds.

It covers one delay between retries and the two table requests of a retry."""

OVERDUE_POLL_S: Final = 0.25
"""Polling interval of the record of an overdue call, in seconds."""

MAX_UNSETTLED_ATTEMPTS: Final = 1_000
"""Number of overdue attempts that a process remembers after waiting for them."""

MAX_PENDING_SETTLEMENTS: Final = 1_000
"""Maximum number of results that wait to be recorded; further ones are dropped."""

PENDING_RETRY_AFTER_S: Final = 1.0
"""Retry delay that a caller gets while the call is pending, in seconds."""

RELEASED_RETENTION_S: Final = 600.0
"""Time for which a released record blocks delayed claim writes, in seconds."""

SWEEP_PAGE_ITEMS: Final = 200
"""Number of records that the sweeper reads in one step."""

SWEEP_INTERVAL_S: Final = 2.0
"""Time between two steps of the sweeper, in seconds."""

SWEEP_STEP_WRITES: Final = 16
"""Maximum number of records that the sweeper writes in one step."""

MAX_EXPIRED_BYTES: Final = 4 * 1024
"""Size of the largest response that stays in an expired record, in bytes."""
