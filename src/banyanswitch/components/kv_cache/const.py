"""Constants of the KV cache component."""

from typing import Final

DOMAIN: Final = "kv_cache"

IMPORT_TIMEOUT_S: Final = 10.0
"""Maximum time from reading a manifest to the end of the import."""

FREE_GRACE_S: Final = 2 * IMPORT_TIMEOUT_S
"""Time between deleting a manifest and deleting its blocks.

Imports on other instances that read the manifest before its deletion have ended by
then.
"""

EXPORT_TIMEOUT_S: Final = 60.0
CONTROL_TIMEOUT_S: Final = 5.0
"""Timeout of requests that transfer no blocks."""

EXPORT_INTERVAL_S: Final = 0.25
MAX_CONCURRENT_EXPORTS: Final = 4
STATUS_INTERVAL_S: Final = 5.0
STORE_LOST_AFTER_S: Final = 30.0
FREE_SPACE_SHARE: Final = 0.05
"""Share of a store's capacity that is kept free by deleting prefixes."""

EVENTS_INTERVAL_S: Final = 1.0
"""Minimum time between two reads of one upstream's cache events."""

MAX_EVENT_READS_PER_S: Final = 4.0
"""Maximum rate at which one instance reads cache events, over all upstreams."""

MAX_POLLED_UPSTREAMS: Final = 16
"""Maximum number of upstreams polled by one instance: the most recently used ones."""

INSTANCES_PER_WORKSPACE: Final = 3
"""Number of entry instances among which a workspace's requests are distributed."""

DIGEST_HEX_CHARACTERS: Final = 64

ANNOUNCE_INTERVAL_S: Final = 1.0
MAX_ANNOUNCED_PREFIXES: Final = 256
"""Maximum number of stored prefixes in one message; further ones are dropped."""

RETIRE_GRACE_S: Final = 60.0
"""Wait before the prefixes of an old weight version are deleted, in seconds.

It begins after the request timeout of the service, when no run uses the version.
"""
