"""Constants of the audit component."""

from typing import Final

DOMAIN: Final = "audit"

AUDIT_PREFIX: Final = "audit/"
MILLISECONDS_PER_S: Final = 1000

FLUSH_INTERVAL_S: Final = 5.0
"""Time for which records wait for others to share a write."""

MAX_PENDING_RECORDS: Final = 1024
"""Records kept while the table service can't be written."""

MAX_RECORDS_PER_ITEM: Final = 256
"""Records that share one item of the table service."""

MAX_BATCH_SPAN_S: Final = 60.0
"""Time between the first and the last record of an item."""

RETENTION_LEASE: Final = "audit/retention"
RETENTION_INTERVAL_S: Final = 3600.0
MAX_DELETIONS: Final = 100
