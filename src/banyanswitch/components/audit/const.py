"""Constants of the audit component."""

from typing import Final

DOMAIN: Final = "audit"

AUDIT_PREFIX: Final = "audit/"
MILLISECONDS_PER_S: Final = 1000

FLUSH_INTERVAL_S: Final = 5.0
"""Interval at which queued records are written, in seconds."""

MAX_PENDING_RECORDS: Final = 1024
"""Maximum number of queued records; further records are dropped."""

MAX_RECORDS_PER_ITEM: Final = 256
"""Maximum number of records in one item of the table service."""

MAX_BATCH_SPAN_S: Final = 60.0
"""Maximum time between the first and the last record of an item, in seconds."""

RETENTION_LEASE: Final = "audit/retention"
RETENTION_INTERVAL_S: Final = 3600.0
MAX_DELETIONS_PER_TRANSACTION: Final = 100
