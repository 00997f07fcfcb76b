"""Constants of the KV stores."""

from typing import Final

EVENTS_WAIT_S: Final = 1.0
"""Time that one call for events waits; the longest that stores allow."""

RETRY_S: Final = 0.5
"""Pause after a failed call for events."""

PENDING_SAVE_LIFETIME_S: Final = 4.0
"""Time for which a save is taken to be under way; a transfer starts within 2 s."""

READER_SHARE: Final = 0.75
"""Part of a store's event calls that instances may hold at once; the rest is for
those that disagree on who reads."""

RELAY_READERS: Final = 2
"""Instances that read a store for all; one is left when the other dies."""

ROLE_CHECK_S: Final = 0.5
"""Time between two looks at who reads a store."""

RELAY_STALE_AFTER_S: Final = 4.0
"""Time without word of a store's readers after which nothing is fetched from it; a
dead reader is noticed and followed by another within some 2 s, and words among 91
instances come every 1.1 s."""

SNAPSHOT_INTERVAL_S: Final = 0.5
"""Shortest time between two reads of a whole store's list from one instance."""

SNAPSHOT_TIMEOUT_S: Final = 1.0
"""Deadline of such a read; a list of 4,000 parts has 84 kB."""

MAX_RELAYED_EVENTS: Final = 300
"""Events of one store in one word; 6 kB. Who misses more reads the list."""

FLOOR_LIFETIME_S: Final = 0.8
"""Time without word from any other instance after which parts of older weights are
not fetched; reports come every 0.1 to 0.4 s."""

FREE_DELAY_S: Final = 2.5
"""Time from the word that a part is no longer fetched to its free: its way over
another instance (0.4 s), the time for which that may be missed (0.8 s), the lifetime
of a fetch (0.8 s) and a margin for lost datagrams."""

REPORT_INTERVAL_S: Final = 0.4
"""Interval of reports that `FREE_DELAY_S` counts with; longer ones add to it twice."""

FREE_BATCH_PARTS: Final = 400
"""Parts that one call frees; about 12 kB."""

RELAY_INTERVAL_MIN_S: Final = 0.2
"""Shortest time between two words of a reader."""

RELAY_MESSAGES_PER_S: Final = 80.0
"""Words that one instance takes in each second if all are readers; their interval grows
with the instances. Among 91 with 27 stores, about half are."""

RELAY_BYTES_PER_S: Final = 200_000.0
"""Rate at which a word goes out, in bytes a second; a third of the slowest link, which
leaves room for reports. One of 300 events reaches 90 instances within
`RELAY_SILENCE_S`."""
