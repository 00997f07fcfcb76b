"""Constants of the configuration component."""

from typing import Final

DOMAIN: Final = "configuration"

HEAD_KEY: Final = "config/head"
DELTA_PREFIX: Final = "config/delta/"
SUPERSEDED_PREFIX: Final = "config/superseded/"
SNAPSHOT_OBJECT_PREFIX: Final = "config-snapshot-"
BUCKET_OBJECT_PREFIX: Final = "config-bucket-"

BUCKET_COUNT: Final = 256
"""Parts of the content that are stored, compared and transferred on their own."""

DIGEST_BYTES: Final = 32
COMPRESSION_LEVEL: Final = 6

MAX_DELTA_BYTES: Final = 64 * 1024
"""Largest set of changes kept in a delta; a larger one is stored by buckets."""

REVISIONS_PER_SNAPSHOT: Final = 64
"""Revisions after which the content is stored as objects again."""

DECODED_WORKSPACES: Final = 1024
"""Workspaces kept decoded on one instance."""

WATCHER_COUNT: Final = 3
"""Instances that read the head regularly."""

WATCH_INTERVAL_S: Final = 1.0
BACKGROUND_READS_PER_S: Final = 2.0
"""Reads of the head that all other instances make together."""

ANNOUNCE_INTERVAL_S: Final = 1.0
ANNOUNCE_FANOUT: Final = 4
"""Peers told at once when an instance learns of a new revision."""

STORE_READ_DELAY_S: Final = 0.5
"""Time for which a starting instance hears its peers before it reads the store."""

PEER_DISCOVERY_TIMEOUT_S: Final = 2.0
"""Time for which a starting instance that knows no other waits for one.

Instances that start together know of each other only a little later; without the
wait each would take itself for the one that reads the store.
"""

PEER_CHECK_INTERVAL_S: Final = 0.1

PEER_CONTENT_WAIT_S: Final = 4.0
"""Time for which an instance that does not watch waits for its peers' content."""

REQUEST_TIMEOUT_S: Final = 1.0
"""Time after which content asked of one peer is asked of another."""

MAX_KEPT_DELTAS: Final = 128
MAX_KEPT_DELTA_BYTES: Final = 256 * 1024
MAX_MESSAGE_BYTES: Final = 64 * 1024

BUCKETS_PER_REQUEST: Final = 32

MAX_KNOWN_DIGESTS: Final = 64
"""Revisions whose digest is remembered, to refuse other content for them."""

MAX_QUEUED_MESSAGES: Final = 256

CLEANUP_LEASE: Final = "configuration/cleanup"
CLEANUP_INTERVAL_S: Final = 3600.0
SUPERSEDED_GRACE_S: Final = 3600.0
"""Time for which objects stay after a head no longer refers to them.

An instance that read the head before has read the objects by then.
"""

CLEANUP_BATCH_ITEMS: Final = 100
