"""Constants of the configuration component."""

from typing import Final

DOMAIN: Final = "configuration"

HEAD_KEY: Final = "config/head"
DELTA_PREFIX: Final = "config/delta/"
SUPERSEDED_PREFIX: Final = "config/superseded/"
SNAPSHOT_OBJECT_PREFIX: Final = "config-snapshot-"
BUCKET_OBJECT_PREFIX: Final = "config-bucket-"

BUCKET_COUNT: Final = 256
"""Parts of the content that are stored, compared and transferred separately."""

DIGEST_BYTES: Final = 32
COMPRESSION_LEVEL: Final = 6

MAX_DELTA_BYTES: Final = 64 * 1024
"""Maximum size of the changes in a delta; larger changes are stored as a snapshot."""

REVISIONS_PER_SNAPSHOT: Final = 64
"""Revisions from one snapshot to the next."""

DECODED_WORKSPACES: Final = 1024
"""Workspaces that one instance caches decoded."""

WATCHER_COUNT: Final = 3
"""Instances that poll the head at each interval."""

WATCH_INTERVAL_S: Final = 1.0
BACKGROUND_READS_PER_S: Final = 2.0
"""Maximum mean rate at which all other instances together read the head."""

ANNOUNCE_INTERVAL_S: Final = 1.0
ANNOUNCE_FANOUT: Final = 4
"""Peers that an instance notifies immediately of a new revision."""

STORE_READ_DELAY_S: Final = 0.5
"""Time for which a starting instance waits for its peers before it reads the store.

Each instance waits 50 to 100 % of it.
"""

PEER_DISCOVERY_TIMEOUT_S: Final = 2.0
"""Time for which a starting instance without known peers waits to discover one.

Instances that start at the same time discover each other with a delay. Without this
wait each of them would choose itself as a watcher and read the store.
"""

PEER_CHECK_INTERVAL_S: Final = 0.1

PEER_CONTENT_WAIT_S: Final = 4.0
"""Minimum time for which a non-watcher waits for the first content from its peers.

Each instance waits 100 to 200 % of it and then reads the store.
"""

REQUEST_TIMEOUT_S: Final = 1.0
"""Time after which a request without a response is repeated, to a random source."""

MAX_KEPT_DELTAS: Final = 128
MAX_KEPT_DELTA_BYTES: Final = 256 * 1024
MAX_MESSAGE_BYTES: Final = 64 * 1024

BUCKETS_PER_REQUEST: Final = 32

MAX_KNOWN_DIGESTS: Final = 64
"""Maximum number of revisions whose digests are stored.

Content with another digest than the stored one is rejected.
"""

MAX_QUEUED_MESSAGES: Final = 256

CLEANUP_LEASE: Final = "configuration/cleanup"
CLEANUP_INTERVAL_S: Final = 3600.0
SUPERSEDED_GRACE_S: Final = 3600.0
"""Time for which objects are kept after the head stopped referring to them.

Instances that read the previous head have read its objects within this time.
"""

CLEANUP_BATCH_ITEMS: Final = 100
