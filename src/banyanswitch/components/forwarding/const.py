"""Constants of forwarding."""

from typing import Final

from banyanswitch.components.table_mirror.const import REWRITE_S

MISSING_ENTRY_GRACE_S: Final = REWRITE_S
"""Time after the store's return for which an upstream without an entry is kept; one
that vanishes later has left."""

MAX_DROPPED_UPSTREAMS: Final = 2_000
"""Number of dropped upstreams whose last entry is remembered; at the target size of 780
upstreams, it covers two full replacements."""

MAX_CONTACT_AGE_S: Final = 4.0
"""Age of the last answer from the store up to which the entries are up to date; each
read waits 3 s for a change."""

MAX_ENTRY_AGE_S: Final = 3.0
"""Age of what an entry says when it is read: about 2 s, and the delay of the feed."""

VERSION_HISTORY_S: Final = 300.0
"""Time for which a software version that has left a service is remembered."""

LOADING_NOTICE_TTL_S: Final = 2.0
"""Validity of a notice that an upstream is loading weights. The instance that ordered
the load repeats the notice with each report; without repeats it expires, so the load
also counts as ended when that instance has failed."""

REFUSAL_COOLDOWN_S: Final = 0.2
"""Time for which an upstream that refused a request is avoided; requests of services
without model engines take about 0.1 s, so capacity is free again by then."""

MAX_MISDIRECTED_COOLDOWN_S: Final = 1.6
"""Longest time for which an upstream is avoided that refuses one request after the
other as not meant for it. The time doubles with each one."""

REPLACED_COOLDOWN_S: Final = 5.0
"""Time for which an upstream gets no requests after another upstream responded at its
address; its entry expires after three heartbeats of 1.2 s."""

LOAD_REPORT_TTL_S: Final = 1.5
"""Age after which another instance's load report, or the load that an upstream's home
has told, is ignored."""

SILENCE_TIMEOUT_S: Final = 1.0
"""Time without a response head from an upstream with outstanding responses after which
it gets no further requests while others can take them."""

UNAVAILABLE_RETRY_AFTER_S: Final = 0.4
"""Base of the Retry-After time when no upstream can take a request; a caller that
retries sooner finds the same upstreams."""

BUSY_RETRY_AFTER_S: Final = 0.15
"""Base of the Retry-After time after upstreams refused a request."""

UNCONFIGURED_RETRY_AFTER_S: Final = 0.5
"""Base of the Retry-After time of an instance that has no configuration yet."""

MAX_LIMIT_RETRY_AFTER_S: Final = 2.0
"""Highest base of the Retry-After time while upstreams are at their limit, of which
other instances may have a share."""

EVACUATED_RETRY_AFTER_S: Final = 2.0
"""Base of the Retry-After time while all upstreams of a service are evacuated; an
evacuation takes minutes, and the end of one is known within about a second."""

MAX_RETRY_AFTER_SHARE: Final = 0.3
"""Maximum Retry-After time as a share of the request's remaining time; callers honour
up to a third."""

MAX_UNSENT_ATTEMPTS: Final = 3
"""Upstreams tried for one request while none of its bytes was sent."""

ONCE_MAX_IDLE_S: Final = 0.8
"""Maximum idle time of a connection that is reused for a non-repeatable request. After
the request is sent, the reset of a connection that the upstream had closed can't be
distinguished from a lost response, so the request could not be sent again."""

TARGET_TIME_RESOLUTION_S: Final = 0.001
"""Resolution of the ages of target weight versions in the instances' reports."""

MIN_TIME_LEFT_S: Final = 0.03
"""Remaining time below which no attempt is sent."""

RETRY_BUDGET_SHARE: Final = 0.75
"""Share of the platform's retry budget that is used. The rest is a margin, because
each instance counts its windows separately, and a restarted instance begins with a full
bucket."""

CONNECTION_SHARE: Final = 0.9
"""Share of an upstream's connections that all instances together use."""

MAX_QUEUE_WAIT_S: Final = 2.5
"""Maximum time that a request with a large prefill waits in the local queue; after it,
the request is sent and queues at the upstream, or is refused if all upstreams are
overloaded or their weights would soon be too old to start it. By then it has missed its
latency objective of 1 s, but not its deadline of 10 s."""

MAX_QUEUE_WAIT_SHARE: Final = 0.25
"""Maximum wait in the local queue as a share of the caller's remaining time; the rest
is for the upstream."""

DUE_SHARE: Final = 0.5
"""Share of the latency objective after which a waiting request yields to later ones;
the rest is for its prefill."""

OVERLOAD_RETRY_AFTER_S: Final = 1.0
"""Base of the Retry-After time of a request that found no upstream with room for it
within its wait."""

QUEUE_POLL_INTERVAL_S: Final = 0.05
"""Time after which placing a queued request is retried if no change is notified."""

QUEUE_POLL_JITTER_S: Final = 0.02
"""Maximum random delay before a queued request is placed again, so that several
instances do not claim the same free capacity; a placement is reported to the other
instances within a few ms."""

SAMPLE_SIZE: Final = 4
"""Number of upstreams whose load is looked up for one request in a large fleet."""

MAX_LOGGED_PARTS: Final = 8
"""Number of prompt parts in a log line."""

MAX_TOKENS: Final = 1_000_000_000
"""Highest number of tokens that is counted for one part of a request, above the memory
of any upstream. Sums over all requests of an instance fit into 64 bits."""

MAX_REQUESTS: Final = 1_000_000
"""Highest number of requests at an upstream that is believed."""

PLAN_INTERVAL_S_PER_PART: Final = 0.0005
"""Minimum time between two placements of a queued request, for each part of its prompt,
so that a request that waits takes about a hundredth of the processor at most."""

FIRST_PLAN_SHARE: Final = 0.1
"""Share of this time for the first request of the queue."""
