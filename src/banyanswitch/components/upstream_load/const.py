"""Constants of the collection and distribution of load reports."""

from typing import Final

DOMAIN: Final = "upstream_load"

MAX_GROUP_SIZE: Final = 40
"""Maximum number of upstreams in a group. The same collectors poll all of them."""

MIN_COLLECTORS: Final = 2
MAX_COLLECTORS: Final = 8

UPSTREAMS_PER_COLLECTOR: Final = 4
"""Number of upstreams of a group per assigned collector."""

SCHEDULER_INTERVAL_S: Final = 0.1
"""Interval at which due polls and digests are checked, in seconds."""

RELAY_FANOUT: Final = 3
"""Maximum number of instances to which one instance relays a digest."""

DIGEST_INTERVAL_S: Final = 6.0
"""Time between two digests of a group without state changes, in seconds."""

LOADING_POLL_INTERVAL_S: Final = 0.25
"""Minimum time between two polls of loading upstreams by one collector, in seconds."""

FIRST_DIGEST_DELAY_S: Final = 1.0
"""Delay of the first digest of a new collector, in seconds."""

CHANGE_RESEND_DELAYS_S: Final = (1.0, 1.0)
"""Delays after which the digest of a state change is sent again, in seconds.

An instance that relays digests may have failed and not relayed the first one. Each
delay counts from the previous digest of the group.
"""

FAILOVER_DIGEST_INTERVALS: Final = 2.5
"""Number of digest intervals after which a secondary collector sends a digest.

It does so if it has neither received one from the primary collector nor sent one.
"""

LEAVING_HOLD_S: Final = 5.0
"""Minimum time for which the leaving state of an upstream persists, in seconds.

It counts from the last report with the leaving state. A report without it clears the
state only after this time.

Polled load reports lag behind the state that an upstream sends with a response.
"""

REPORT_LIFETIME_S: Final = 30.0
"""Age at which the loading state of a load report expires, in seconds."""

INTEREST_LIFETIME_S: Final = 600.0
"""Time after the last use for which the loads of a service are received, in seconds."""

POLL_TIMEOUT_S: Final = 1.0

MAX_POLLS_PER_S: Final = 4.0
"""Maximum average number of regular polls per second of a collector in one group.

Larger groups are polled less often.
"""

MAX_CONCURRENT_POLLS: Final = 16

TOKENS_PER_UNIT: Final = 64
"""Number of queued prefill tokens per unit in a digest."""

MAX_TRACKED_COLLECTORS: Final = 4096
"""Maximum number of pairs of group and collector whose last sequence is stored.

All of them are removed when the number is reached.
"""
