"""Constants of the records of calls that may not be repeated."""

from typing import Final

DOMAIN: Final = "idempotency"

CLAIM_PREFIX: Final = "claim/"
"""Prefix of the records' keys in the table service."""

ANSWER_PREFIX: Final = "answer/"
"""Prefix of the names of answers in the object store."""

SWEEP_LEASE: Final = "idempotency/sweep"
"""Duty of removing old records."""

MAX_INLINE_ANSWER_BYTES: Final = 64 * 1024
"""Largest answer that is kept in the record itself, in bytes."""

FORGET_AFTER_S: Final = 7 * 86_400.0
"""Time after its expiry for which a key is still known, in seconds."""

SETTLE_WAIT_S: Final = 2.0
"""Time that a caller waits for a result to be recorded, in seconds."""

SETTLE_KEEP_TRYING_S: Final = 3_600.0
"""Time for which a result that could not be recorded is tried again, in seconds."""

SETTLE_RETRY_S: Final = 0.25
"""Time before the second try to record a result, in seconds; it doubles."""

MAX_SETTLE_RETRY_S: Final = 2.0
"""Longest time between tries to record a result, in seconds; while the table is
down, most tries are refused locally."""

OVERDUE_WAIT_S: Final = 4.0
"""Time that a claimant gets to record the end of an overdue call, in seconds: one
pause between its tries and the two calls of a try."""

OVERDUE_POLL_S: Final = 0.25
"""Time between two reads of the record of an overdue call, in seconds."""

MAX_REMEMBERED_OVERDUE: Final = 1_000
"""Overdue calls of which a process remembers that it has waited for them."""

MAX_SETTLING: Final = 1_000
"""Results that may wait to be recorded at the same time."""

PENDING_RETRY_AFTER_S: Final = 1.0
"""Time to come back while a call is on its way, in seconds."""

RELEASED_KEPT_S: Final = 600.0
"""Time for which a released record keeps late writes from landing, in seconds."""

SWEEP_PAGE_ITEMS: Final = 200
"""Records that one step of the sweep reads."""

SWEEP_INTERVAL_S: Final = 2.0
"""Time between two steps of the sweep, in seconds."""

SWEEP_STEP_WRITES: Final = 16
"""Records that one step of the sweep writes."""

MAX_EXPIRED_BYTES: Final = 4 * 1024
"""Longest answer that stays in an expired record, in bytes."""
