"""Constants of the load reports."""

from typing import Final

DOMAIN: Final = "upstream_load"

GROUP_UPSTREAMS: Final = 40
"""Most upstreams of one service that are polled by the same gatherers."""

MIN_GATHERERS: Final = 2
MAX_GATHERERS: Final = 8

UPSTREAMS_PER_GATHERER: Final = 4
"""Upstreams of a group for which it gets one more gatherer."""

GATHER_TICK_S: Final = 0.1
"""Time between two looks at whose turn it is, in seconds."""

RELAY_FANOUT: Final = 3
"""Instances to which one instance passes a digest on."""

DIGEST_INTERVAL_S: Final = 6.0
"""Time between two digests of a group in which no upstream changed its state."""

LOADING_POLL_S: Final = 0.25
"""Time between two polls of an upstream that loads weights, in seconds."""

FIRST_DIGEST_S: Final = 1.0
"""Time from becoming a gatherer to its first digest, in seconds."""

CHANGE_REPEATS_S: Final = (1.0, 1.0)
"""Times after which a changed state is sent again, because an instance that passes
digests on may have died, in seconds."""

STAND_IN_INTERVALS: Final = 2.5
"""Digest intervals without a digest after which another gatherer sends."""

LEAVING_HOLD_S: Final = 5.0
"""A report that contradicts a leaving state must be this much later, because load
reports lag behind what the upstream says with an answer."""

REPORT_LIFETIME_S: Final = 30.0
"""Age beyond which a load report says nothing any more, in seconds."""

INTEREST_LIFETIME_S: Final = 600.0
"""Time after the last use for which a service's load is followed, in seconds."""

POLL_TIMEOUT_S: Final = 1.0

MAX_POLLS_PER_S: Final = 4.0
"""Polls a second of one gatherer in one group; larger groups are polled less often."""

MAX_CONCURRENT_POLLS: Final = 16

TOKENS_PER_UNIT: Final = 64
"""Queued prefill tokens are passed on in units of this many."""

MAX_KNOWN_GATHERERS: Final = 4096
"""Gatherers whose last sequence numbers are remembered."""
