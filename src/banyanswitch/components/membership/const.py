"""Constants of the membership protocol."""

from typing import Final

DOMAIN: Final = "membership"

DIGEST_BUCKETS: Final = 16
"""Parts into which the member list is cut for comparison."""

BUCKET_DIGEST_BYTES: Final = 4

MAX_MEMBERS_PER_MESSAGE: Final = 32
"""Most member records that one message carries."""

RUMOUR_TRANSMISSIONS_PER_DOUBLING: Final = 1
"""Times a change is passed on for each doubling of the number of members."""

EAGER_FANOUT: Final = 3
"""Peers that a change is sent to at once."""

EAGER_MESSAGES_PER_S: Final = 6.0
"""Most messages a second that are sent because of changes."""

INDIRECT_PROBES: Final = 2
"""Peers asked to probe a member that did not answer."""

PROBE_TIMEOUT_HEARTBEATS: Final = 0.5
"""Time to wait for a direct answer, in heartbeats."""

SUSPICION_HEARTBEATS: Final = 4.0
"""Time from suspicion to death among few members, in heartbeats."""

SUSPICION_DOUBLINGS: Final = 3.0
"""From 2 to this power of members on, that time grows with each doubling, as does the
way of an objection through rumours."""

RECONNECT_HEARTBEATS: Final = 5
"""A dead or merely listed instance is probed once in so many heartbeats."""

CATCH_UP_DIVISOR: Final = 4
"""Heartbeats are sent so many times faster while member lists differ."""

TOMBSTONE_S: Final = 600.0
"""Time for which a dead member is remembered, in seconds."""

PAUSE_HEARTBEATS: Final = 2.0
"""A heartbeat this late means that this process was paused, in heartbeats."""

LIST_INTERVAL_MIN_S: Final = 2.0
"""Shortest time between two reads of the platform's list by one instance."""

LIST_READS_PER_S: Final = 4.0
"""Reads a second of the platform's list by all instances together."""

LIST_TIMEOUT_S: Final = 2.0

SERVICE_MASK_BITS: Final = 60
"""Bits of the mask that says which services an instance serves."""
