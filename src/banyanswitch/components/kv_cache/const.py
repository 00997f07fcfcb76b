"""Constants of the KV cache component."""

from typing import Final

DOMAIN: Final = "kv_cache"

IMPORT_DEADLINE_S: Final = 10.0
"""Longest time from reading a manifest to the end of the import."""

FREE_GRACE_S: Final = 2 * IMPORT_DEADLINE_S
"""Time between deleting a manifest and deleting its blocks.

Imports on other instances that read the manifest before have ended by then.
"""

EXPORT_DEADLINE_S: Final = 60.0
CONTROL_TIMEOUT_S: Final = 5.0
"""Deadline of calls that move no blocks."""

EXPORT_INTERVAL_S: Final = 0.25
MAX_CONCURRENT_EXPORTS: Final = 4
STATUS_INTERVAL_S: Final = 5.0
STORE_LOST_AFTER_S: Final = 30.0
FREE_SPACE_SHARE: Final = 0.05
"""Share of a store that is kept free by dropping prefixes."""

EVENTS_INTERVAL_S: Final = 1.0
"""Shortest time between two reads of one upstream's cache events."""

MAX_EVENT_READS_PER_S: Final = 4.0
"""Reads of cache events that one instance makes of all upstreams together."""

MAX_POLLED_UPSTREAMS: Final = 16
"""Upstreams whose cache events one instance reads: those it used last."""

INSTANCES_PER_WORKSPACE: Final = 3
"""Instances among which the requests of a workspace are spread."""

DIGEST_HEX_CHARACTERS: Final = 64

ANNOUNCE_INTERVAL_S: Final = 1.0
MAX_ANNOUNCED_PREFIXES: Final = 256
"""Stored prefixes that one message names."""

RETIRE_GRACE_S: Final = 60.0
"""Time after the longest run on an old weight version before it is dropped."""
