"""Constants of the streams' origins."""

from typing import Final

STREAM_LIFETIME_S: Final = 30.0
"""Time within which a stream that has begun may be taken up again; callers wait up to
15 s for a request and its repetitions."""

MAX_ORIGINS: Final = 50_000
"""Maximum number of remembered origins, about 10 MB; at the target size an instance
remembers some hundred."""

MAX_STREAM_BYTES: Final = 128
"""Length of the longest attempt identifier under which an origin is noted; callers set
it, and it is part of every message about the stream."""

KEEPERS: Final = 4
"""Number of other instances that remember an origin; it is lost only if all of them and
the instance that began the stream end within its lifetime."""

ASKED: Final = 8
"""Number of instances that are asked for an origin. More than `KEEPERS`, since the
instances that have joined or left since the stream began change the selection."""

ASK_ROUND_S: Final = 0.1
"""Time after which the question is repeated to the instances that have not answered;
they are up to 40 ms away."""

ASK_ROUNDS: Final = 3
"""Number of times that an instance is asked. Datagrams get lost, and instances that
have ended never answer."""

VERSIONS_TABLE: Final = "software"
"""Table of the software versions of each service."""

VERSIONS_INTERVAL_S: Final = 0.5
"""Interval between two comparisons of the stored versions with the upstreams."""

ADDITION_DELAY_S: Final = 1.0
"""Longest random delay before a new version is stored. The first instance to store it
saves the others a write."""

REMOVAL_DELAY_S: Final = 20.0
"""Longest random delay before a version that is gone is removed."""

SETTLED_AFTER_S: Final = ADDITION_DELAY_S + 2 * VERSIONS_INTERVAL_S
"""Time after which another instance has stored a version that it has seen."""

CHECKPOINT_KEY: Final = "checkpoint/software"
"""Row with the version of the store up to which all software versions are stored."""

CHECKPOINT_INTERVAL_S: Final = 5.0
"""Interval between two checkpoints. The store keeps its history for about 20 s, which
includes a restart of all instances."""

CONFIRMATION_TIMEOUT_S: Final = 0.3
"""Longest read that confirms the entries of the upstreams. The store answers in 4 ms; a
stream that can't go on is refused within the time that the search for its origin
takes."""

CONFIRMATION_PAUSE_S: Final = 0.25
"""Time after a failed read for which streams are refused without another one."""

CONFIRMATIONS_PER_S: Final = 200.0
"""Reads that all instances together begin per second, when many streams break."""

CONFIRMATION_MAX_SPACING_S: Final = 0.5
"""Longest time between the starts of two reads of one instance, for which a caller
waits."""

ERA_READ_SPREAD_S: Final = 2.0
"""Time over which the instances read the stored versions again after the store has
returned from an older copy."""

ORIGINS_TABLE: Final = "origins"
"""Table of the origins of unfinished streams while their version is ambiguous."""

ORIGIN_TICK_S: Final = 0.25
"""Interval at which new software versions are noticed."""

ORIGIN_WRITES_PER_S: Final = 100.0
"""Rows with origins that all instances together write per second."""

ORIGIN_READ_INTERVAL_S: Final = 0.5
"""Minimum age of the stored origins before they are read again."""

ORIGIN_SWEEP_DELAY_S: Final = 20.0
"""Longest random delay before the rows are removed after the last release."""

ORIGIN_SWEEP_BATCH: Final = 100
"""Number of rows that one transaction removes."""
