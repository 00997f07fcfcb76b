"""Constants of the membership protocol."""

from typing import Final

DOMAIN: Final = "membership"

DIGEST_BUCKETS: Final = 16
"""Buckets into which the member list is divided for comparison by digest."""

BUCKET_DIGEST_BYTES: Final = 4

MAX_MEMBERS_PER_MESSAGE: Final = 32
"""Limit of each list of member records in a message.

A record added so that its owner can refute it is not counted.
"""

RUMOUR_TRANSMISSIONS_PER_DOUBLING: Final = 1
"""Transmissions of a change for each doubling of the number of members."""

EAGER_FANOUT: Final = 3
"""Peers to which a change is sent immediately."""

EAGER_MESSAGES_PER_S: Final = 6.0
"""Limit of the messages per second that are sent because of changes."""

INDIRECT_PROBES: Final = 2
"""Peers that are asked to probe a member that did not answer."""

PROBE_TIMEOUT_HEARTBEATS: Final = 0.5
"""Timeout of a direct probe, and again of the indirect ones, in heartbeats."""

SUSPICION_HEARTBEATS: Final = 4.0
"""Time from suspicion to declaration of death in a small cluster, in heartbeats."""

SUSPICION_DOUBLINGS: Final = 3.0
"""Base-2 logarithm of the number of live members above which suspicion takes longer.

The suspicion time then grows with each doubling of that number, as does the time in
which a refutation spreads by rumours.
"""

RECONNECT_HEARTBEATS: Final = 5
"""Heartbeats between probes of a dead instance, a listed one or a seed.

Without other live members there is such a probe at each heartbeat.
"""

CATCH_UP_DIVISOR: Final = 4
"""Divisor of the heartbeat interval while member lists differ."""

TOMBSTONE_S: Final = 600.0
"""Time for which the record of a dead member is retained, in seconds."""

PAUSE_HEARTBEATS: Final = 2.0
"""Delay of a timer above which this process counts as paused, in heartbeats."""

LIST_INTERVAL_MIN_S: Final = 2.0
"""Shortest mean interval between one instance's reads of the platform's list."""

LIST_READS_PER_S: Final = 4.0
"""Reads per second of the platform's list by all instances together."""

LIST_TIMEOUT_S: Final = 2.0

SERVICE_MASK_BITS: Final = 60
"""Bits of the mask of the services that an instance serves."""
